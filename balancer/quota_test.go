package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// spread returns, for each of the given number of nodes, the fraction of a tenant's traffic that it gets.
type spread func(nodes int) []float64

// evenly gives each node the same fraction of the traffic.
func evenly(nodes int) []float64 {
	parts := make([]float64, nodes)
	for i := range parts {
		parts[i] = 1 / float64(nodes)
	}
	return parts
}

// hot gives every tenth node, starting with the first, the given multiple of the mean, but at most 70% of the traffic
// in all. The other nodes get the rest.
func hot(times float64) spread {
	return func(nodes int) []float64 {
		parts := evenly(nodes)
		all := float64(nodes)
		hotNodes := float64((nodes + 9) / 10)
		times := math.Min(times, 0.7*all/hotNodes)
		for i := range parts {
			if i%10 == 0 {
				parts[i] *= times
			} else {
				parts[i] *= (all - hotNodes*times) / (all - hotNodes)
			}
		}
		return parts
	}
}

// onlyOn spreads all of the traffic over n nodes.
func onlyOn(n int) spread {
	return func(nodes int) []float64 {
		parts := make([]float64, nodes)
		n := min(n, nodes)
		for i := range n {
			parts[i*nodes/n] = 1 / float64(n)
		}
		return parts
	}
}

// tenantLoad is a tenant's quota and traffic.
type tenantLoad struct {
	quota   float64 // requests per second
	offered float64 // requests per second
	spread  spread
}

// simulateQuotas runs a fleet for the given seconds and returns the fraction of each tenant's requests that are within
// its quota.
func simulateQuotas(seed int64, nodes int, seconds float64, loads []tenantLoad) []float64 {
	rng := rand.New(rand.NewSource(seed))
	settings := Settings{Nodes: nodes, Classes: []Class{{
		Name:             "c",
		PriorityWeight:   1,
		LatencyObjective: time.Second,
		Deadline:         time.Second,
		Idempotency:      Idempotent,
	}}}
	for i, load := range loads {
		settings.Tenants = append(settings.Tenants, Tenant{Name: fmt.Sprint(i), Quota: load.quota})
	}
	within := make([]float64, len(loads))
	all := make([]float64, len(loads))
	for index := range nodes {
		settings.NodeIndex = index
		node := New(settings, rng.Int63())
		start := Time(rng.Int63n(1e12))
		node.Handle(start, EndpointUpdate{Kind: CachedUpdate})
		placement := node.classOrder[0].placement
		total := 0.0
		rates := make([]float64, len(loads))
		for i, load := range loads {
			rates[i] = load.offered * load.spread(nodes)[index]
			total += rates[i]
		}
		if total == 0 {
			continue
		}
		for at := rng.ExpFloat64() / total; at < seconds; at += rng.ExpFloat64() / total {
			i := 0
			draw := rng.Float64() * total
			for ; i < len(rates)-1 && draw >= rates[i]; i++ {
				draw -= rates[i]
			}
			before := placement.priorityArrivals
			arrived := RequestArrived{ID: "r", Class: "c", Tenant: fmt.Sprint(i), Timeout: time.Second}
			node.Handle(start+Time(at*1e9), arrived)
			node.openRequests = node.openRequests[:0]
			all[i]++
			within[i] += placement.priorityArrivals - before
		}
	}
	for i := range within {
		within[i] /= math.Max(1, all[i])
	}
	return within
}

// withinEvenParts returns the fraction of a tenant's requests that is within its quota if each node grants an even part
// of the quota. The tenant offers the given multiple of its quota, and each node gets the fraction of that in its
// element of parts.
func withinEvenParts(parts []float64, times float64) float64 {
	within := 0.0
	for _, part := range parts {
		within += math.Min(part, 1/(times*float64(len(parts))))
	}
	return within
}

// Guards against quotas that do not hold over a fleet. The fraction of a tenant's requests within its quota must be
// min(1, quota/offered) to within a tenth, for any quota and number of nodes, if the spread is even or the tenant is
// over its even part of the quota at every node, or at none. At other spreads a node cannot know better: a tenant at
// its quota that sends most of its traffic to this node looks like one over its quota everywhere. Then the node's even
// part of the quota must hold.
func TestQuotasHoldOverTheFleet(t *testing.T) {
	for _, s := range []struct {
		name   string
		spread spread
	}{
		{"even", evenly},
		{"a tenth of the nodes get twice the mean", hot(2)},
		{"a tenth get four times the mean", hot(4)},
		{"on 3 nodes", onlyOn(3)},
		{"on 1 node", onlyOn(1)},
	} {
		t.Logf("%s: fraction within quota/min(1, quota/offered), with 0.2, 0.5, 1, 2, 5 times the quota offered", s.name)
		for _, nodes := range []int{3, 30, 300, 450} {
			for p, perNode := range []float64{0.01, 1, 10} {
				quota := perNode * float64(nodes)
				line := ""
				for i, times := range []float64{0.2, 0.5, 1, 2, 5} {
					tokens := math.Max(40, 1500/float64(nodes))
					load := tenantLoad{quota: quota, offered: times * quota, spread: s.spread}
					got := simulateQuotas(int64(10*p+i), nodes, tokens/perNode, []tenantLoad{load})[0]
					want := math.Min(1, 1/times)
					possible := withinEvenParts(s.spread(nodes), times)
					line += fmt.Sprintf("  %.2f/%.2f", got, want)
					if math.Abs(possible-want) > 0.001 {
						line += "*"
					} else if math.Abs(got-want) > 0.1 {
						t.Errorf("%s, %d nodes, quota %g, offered %g times: %.3f within it, want %.3f",
							s.name, nodes, quota, times, got, want)
					}
					if math.Abs(got-possible) > 0.1 {
						t.Errorf("%s, %d nodes, quota %g, offered %g times: %.3f within it, %.3f by even parts",
							s.name, nodes, quota, times, got, possible)
					}
				}
				t.Logf("%4d nodes, quota %6.4g:%s", nodes, quota, line)
			}
		}
	}
	t.Log("*: impossible, as the tenant is over an even part at some nodes and under it at others")
}

// Guards against a tenant that loses its priority because its quota is small compared with the number of nodes.
func TestSmallQuotaHolds(t *testing.T) {
	const quota = 5 // requests per second
	for _, nodes := range []int{3, 30, 300, 450} {
		fourFifths := tenantLoad{quota: quota, offered: 4, spread: evenly}
		if got := simulateQuotas(1, nodes, 40*float64(nodes)/quota, []tenantLoad{fourFifths})[0]; got < 0.9 {
			t.Errorf("%d nodes: %.3f of the requests of a tenant below its quota of 5/s are within it, want at least 0.9",
				nodes, got)
		}
		onePerNode := tenantLoad{quota: quota, offered: float64(nodes), spread: evenly}
		got := simulateQuotas(1, nodes, 1000, []tenantLoad{onePerNode})[0]
		want := math.Min(1, quota/float64(nodes))
		t.Logf("%d nodes, quota 5/s, 1/s at each: %.3f within it, want %.3f", nodes, got, want)
		if math.Abs(got-want) > 0.1 || got == 0 {
			t.Errorf("%d nodes: %.3f within quota, want %.3f", nodes, got, want)
		}
	}
}

// Guards against requests that count as within a quota of 0, for example by the tokens that a quota starts with.
func TestZeroQuota(t *testing.T) {
	if got := simulateQuotas(1, 3, 100, []tenantLoad{{quota: 0, offered: 3, spread: evenly}})[0]; got != 0 {
		t.Errorf("%.3f of the requests are within a quota of 0, want none", got)
	}
}

// overloadedFleet simulates one of many nodes, whose endpoints are all overloaded: each serves two requests a second of
// this node, one at a time.
type overloadedFleet struct {
	node     *Balancer
	now      Time
	freeAt   map[EndpointID]Time // when an endpoint will have served its queue
	pending  []pendingOutcome    // in order of their sends
	arrivals int                 // requests that have arrived so far
}

type pendingOutcome struct {
	at      Time
	outcome AttemptEnded
}

// newOverloadedFleet returns a fleet of 300 nodes and 10 endpoints.
func newOverloadedFleet(tenants []Tenant, seed int64) *overloadedFleet {
	settings := Settings{
		Nodes:            300,
		MaxAttempts:      1,
		MinEventInterval: time.Millisecond,
		Classes: []Class{{
			Name:             "c",
			PriorityWeight:   1,
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			Idempotency:      Idempotent,
		}},
		Tenants: tenants,
	}
	fleet := &overloadedFleet{node: New(settings, seed), freeAt: map[EndpointID]Time{}}
	fleet.node.Handle(0, EndpointUpdate{Kind: FullUpdate, Endpoints: readyEndpoints(10)})
	return fleet
}

// deliver passes the outcomes that are due to the node.
func (f *overloadedFleet) deliver() {
	for i := 0; i < len(f.pending); i++ {
		if due := f.pending[i]; due.at <= f.now {
			f.pending = append(f.pending[:i], f.pending[i+1:]...)
			f.node.Handle(f.now, due.outcome)
			i--
		}
	}
}

// arrive passes a tenant's request to the node and returns the number of its sends.
func (f *overloadedFleet) arrive(tenant string) int {
	const serviceTime, timeout = 500 * time.Millisecond, 2 * time.Second
	f.arrivals++
	id := RequestID(fmt.Sprint(f.arrivals))
	endpoints := sends(f.node.Handle(f.now, RequestArrived{ID: id, Class: "c", Tenant: tenant, Timeout: timeout}))
	for _, endpoint := range endpoints {
		f.freeAt[endpoint] = max(f.freeAt[endpoint], f.now) + serviceTime
		at := min(f.freeAt[endpoint], f.now+timeout)
		outcome := OK
		if at < f.freeAt[endpoint] {
			outcome = TimedOut
		}
		f.pending = append(f.pending, pendingOutcome{at, AttemptEnded{
			ID:          id,
			Endpoint:    endpoint,
			Elapsed:     at - f.now,
			Outcome:     outcome,
			RequestDone: outcome == OK,
		}})
	}
	return len(endpoints)
}

// Guards against serving a tenant that is over its quota before one that is within it, where every endpoint is
// overloaded and the quota is small compared with the number of nodes.
func TestTenantWithinQuotaIsServedFirst(t *testing.T) {
	const (
		within   = "within"
		over     = "over"
		learning = 20 * time.Second
		duration = 120 * time.Second
	)
	tenants := []Tenant{{Name: within, Quota: 150}, {Name: over, Quota: 150}} // 0.5/s at this node
	sent, arrived := map[string]float64{}, map[string]float64{}
	for seed := int64(1); seed <= 5; seed++ {
		rng := rand.New(rand.NewSource(seed))
		fleet := newOverloadedFleet(tenants, seed)
		nextTick := tickInterval
		for ; fleet.now < duration; fleet.now += time.Millisecond {
			fleet.deliver()
			if fleet.now >= nextTick {
				fleet.node.Handle(fleet.now, TimerFired{})
				nextTick = fleet.now + tickInterval
			}
			tenant := ""
			switch draw := rng.Float64() * 1000; { // per second: 0.3 and 40 requests
			case draw < 0.3:
				tenant = within
			case draw < 40.3:
				tenant = over
			default:
				continue
			}
			count := float64(fleet.arrive(tenant))
			if fleet.now > learning {
				arrived[tenant]++
				sent[tenant] += count
			}
		}
	}
	withinPart, overPart := sent[within]/arrived[within], sent[over]/arrived[over]
	t.Logf("sent: %.2f of the tenant within its quota, %.2f of the one over it", withinPart, overPart)
	if withinPart < 0.8 || overPart > 0.7 || withinPart < overPart+0.2 {
		t.Errorf("sent: %.2f of the tenant within quota, want at least 0.8; %.2f of the other, want at most 0.7 and 0.2 less",
			withinPart, overPart)
	}
}

// BenchmarkQuotaTake measures one decision on a quota, with 20,000 tenants.
func BenchmarkQuotaTake(b *testing.B) {
	const tenants = 20000
	settings := Settings{Nodes: 450}
	for i := range tenants {
		settings.Tenants = append(settings.Tenants, Tenant{Name: fmt.Sprint("tenant-", i), Quota: 1})
	}
	node := New(settings, 1)
	for i := range b.N {
		node.quotas[settings.Tenants[i*7919%tenants].Name].take(Time(i) * time.Microsecond)
	}
}
