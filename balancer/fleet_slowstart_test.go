package balancer_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// loadStep returns a load that changes once, when the time then has passed since the endpoints started. Both its values
// are multiples of the traffic before that start.
func loadStep(before float64, then time.Duration, after float64) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at < then {
			return before
		}
		return after
	}
}

// uniformUpTo returns a function that draws a uniformly distributed time up to longest.
func uniformUpTo(longest time.Duration) func(rng *rand.Rand) time.Duration {
	return func(rng *rand.Rand) time.Duration { return time.Duration(rng.Float64() * float64(longest)) }
}

// never returns a time later than the end of any case.
func never(*rand.Rand) time.Duration { return time.Hour }

// slowStartCases describe how endpoints start; the tests set the fleet's size. A negative number n of starting
// endpoints stands for one endpoint in -n.
var slowStartCases = []fleetCase{
	{name: "burst at once"},
	{name: "idle 2 s, then a burst", load: loadStep(0, 2*time.Second, 1.5)},
	{name: "all restarted together", restartNodes: true},
	{name: "notified within 4 s", notifiedAfter: uniformUpTo(4 * time.Second)},
	{name: "uneven nodes", uneven: true},
	{name: "three new in one subset", starting: 3, down: -1},
	{name: "unannounced, after 3 s", down: 3 * time.Second, notifiedAfter: never},
	{name: "notified during trials, after 3 s", down: 3 * time.Second, uneven: true, notifiedAfter: uniformUpTo(3 * time.Second)},
	{name: "a third back after 5 s", starting: -3, down: 5 * time.Second},
	{name: "a third new, all restarted", starting: -3, restartNodes: true, down: -1},
	{name: "three times the load", load: loadStep(0, 0, 3)},
	{name: "quiet 3 s, then four times", load: loadStep(0.3, 3*time.Second, 4)},
	{name: "utilization 0.35, idle 2 s, then twice the load", utilization: 0.35, load: loadStep(0, 2*time.Second, 2)},
	{name: "one response in five fails", failureShare: 0.2, uneven: true},
	{name: "quiet 3 s, then six times", load: loadStep(0.3, 3*time.Second, 6)},
	{name: "idle 4 s, then eight times", load: loadStep(0, 4*time.Second, 8), duration: 8 * time.Second},
	{name: "utilization 0.2, quiet, then eight times", utilization: 0.2, load: loadStep(0.2, 2*time.Second, 8), uneven: true},
	{name: "a quarter new, idle 2 s, then eight times", starting: -4, down: -1, load: loadStep(0, 2*time.Second, 8)},
	{name: "clocks an hour ahead", clocksAhead: time.Hour},
	{name: "clocks an hour ahead, three new", clocksAhead: time.Hour, starting: 3, down: -1, notifiedAfter: uniformUpTo(2 * time.Second)},
	{name: "clocks five seconds ahead", clocksAhead: 5 * time.Second, uneven: true},
	{name: "clocks an hour behind, all restarted", clocksAhead: -time.Hour, restartNodes: true},
	{name: "dated before its last start", clocksAhead: time.Hour, startedBefore: 10 * time.Minute},
}

// Guards against overloading an endpoint that warms up: in a fleet of any size, it must get no more from all nodes than
// the settings allow, but for chance. This holds for endpoints that are slow until warm, and for those that respond at
// once whatever they get: their responses do not permit sending them more.
func TestSlowStartOfTheFleet(t *testing.T) {
	sizes := []struct{ nodes, endpoints int }{{5, 12}, {10, 12}, {20, 12}, {30, 12}, {300, 12}, {1, 12}, {2, 40}}
	rates := []float64{3, 10, 30}
	for i, base := range slowStartCases {
		t.Run(base.name, func(t *testing.T) {
			t.Parallel()
			for j, size := range sizes {
				c := base
				c.nodes = size.nodes
				c.endpoints = size.endpoints
				c.rate = rates[(i+j)%len(rates)]
				if c.nodes > 100 {
					c.rate = 3 // many nodes, some requests per second at each endpoint
				}
				if c.starting < 0 {
					c.starting = c.endpoints / -c.starting
				}
				for _, c.instant = range []bool{false, true} {
					if c.nodes > 100 && i%4 != 0 || !c.instant && j != i%5 {
						continue // only some combinations are run, to keep the test short
					}
					checkSlowStart(t, c, int64(i+1))
				}
			}
		})
	}
}

// checkSlowStart simulates a case and fails if an endpoint that starts got more than is allowed.
func checkSlowStart(t *testing.T, c fleetCase, seed int64) {
	t.Helper()
	f := simulateFleet(c, seed)
	worst := slowStartLoad{allowed: math.Inf(1)}
	for _, endpoint := range f.startingEndpoints() {
		if load := f.worstLoad(endpoint); load.excess() > worst.excess() {
			worst = load
		}
	}
	line := fmt.Sprintf("%d nodes, %d endpoints at %.0f/s, instant %v: budget %.1f, allowed %.1f, sent %.0f; %.2f unanswered",
		c.nodes, c.endpoints, c.rate, c.instant, worst.budget, worst.allowed, worst.sent,
		float64(f.unanswered)/float64(max(1, f.arrived)))
	t.Log(line)
	if worst.excess() > 0 {
		t.Error("an endpoint that warms up got more than is allowed: ", line)
	}
}

// allowedLoad is the number of requests that an endpoint that warms up may get in a span of OverloadDuration by the
// operators' terms. They leave less margin for chance where the budget is large.
func allowedLoad(budget float64) float64 {
	if budget < 30 {
		return budget + 3*math.Sqrt(budget) + 3
	}
	return budget + 2*math.Sqrt(budget) + 2
}

// Guards against a burst from tokens saved up in a quiet time: an endpoint may get hardly two requests in a span of
// OverloadDuration, each of tens of nodes has had time to save up one for it, and a burst of traffic begins at all
// nodes at once.
func TestSlowStartAfterAQuietTime(t *testing.T) {
	violations, endpoints := 0, 0
	for _, nodes := range []int{10, 20, 30, 100} {
		for _, quiet := range []float64{0, 0.3} {
			for seed := range int64(8) {
				f := simulateFleet(fleetCase{
					nodes:     nodes,
					endpoints: 12,
					rate:      1,
					starting:  3,
					down:      -1,
					instant:   true,
					load:      loadStep(quiet, 3*time.Second, 8),
					duration:  6 * time.Second,
				}, seed+1)
				for _, endpoint := range f.startingEndpoints() {
					endpoints++
					load := f.worstLoad(endpoint)
					if allowed := allowedLoad(load.budget); load.sent > allowed {
						violations++
						t.Errorf("%d nodes, quiet %v, seed %d: budget %.1f, allowed %.1f, sent %.0f",
							nodes, quiet, seed+1, load.budget, allowed, load.sent)
					}
				}
			}
		}
	}
	t.Logf("%d of %d endpoints got more than is allowed", violations, endpoints)
}

// Guards against starving an endpoint that warms up: where capacity grows with work, one that gets nothing never warms
// up. It must get a good part of what it can serve by then, whether its nodes see much traffic or little.
func TestEndpointsWarmUp(t *testing.T) {
	for _, c := range []fleetCase{
		{nodes: 5, endpoints: 12, rate: 30},
		{nodes: 30, endpoints: 12, rate: 10},
		{nodes: 30, endpoints: 40, rate: 3},
		{nodes: 5, endpoints: 12, rate: 30, clocksAhead: -time.Hour},
	} {
		name := fmt.Sprint(c.nodes, " nodes, ", c.endpoints, " endpoints, clocks ahead ", c.clocksAhead)
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const seeds = 3
			c.load = loadStep(0, 0, 1)
			c.duration = 10 * time.Second
			var got, servable [2]float64 // requests received and servable: in the first 5 s, and in all
			for seed := range int64(seeds) {
				f := simulateFleet(c, seed+1)
				endpoint := f.simulated[0]
				for i, span := range []time.Duration{5 * time.Second, 10 * time.Second} {
					servable[i] += f.capacity * span.Seconds() * f.warmth(endpoint, f.start+span/2) / seeds
					for _, arrival := range endpoint.arrivals {
						if arrival.at < f.start+span {
							got[i] += 1.0 / seeds
						}
					}
				}
			}
			t.Logf("the endpoint got %.0f requests in 5 s and %.0f in 10 s; it can serve %.0f and %.0f",
				got[0], got[1], servable[0], servable[1])
			if got[0] < 0.3*servable[0] || got[1] < 0.4*servable[1] {
				t.Errorf("the endpoint is starved: want at least 0.3 of what it can serve in 5 s and 0.4 in 10 s")
			}
		})
	}
}
