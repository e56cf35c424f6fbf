package balancer

import (
	"testing"
	"time"
)

func TestHysteresisAtItsEdges(t *testing.T) {
	bounds := thresholds{low: 3, high: 5, block: 9}
	for _, c := range []struct {
		from  Mode
		count float64
		want  Mode
	}{
		{Normal, 4, Normal},
		{Normal, 5, Overloaded}, // exceeds H-1
		{Normal, 8, Overloaded},
		{Normal, 9, Blocked}, // exceeds R-1
		{Overloaded, 3, Overloaded},
		{Overloaded, 2, Normal}, // below L
		{Overloaded, 8, Overloaded},
		{Overloaded, 9, Blocked},
		{Blocked, 6, Blocked},
		{Blocked, 5, Overloaded}, // below H+1
	} {
		if got := bounds.next(c.from, c.count); got != c.want {
			t.Errorf("from %v at %v: %v, want %v", c.from, c.count, got, c.want)
		}
	}
}

// A node with few requests at each endpoint must not reject because they come together by chance, but must if they
// stay: counts are summed and smoothed.
func TestAggregateIsSmoothed(t *testing.T) {
	node := newAggregatedNode(t)
	placement := node.placements[0]
	subset := placement.subset
	high := 0.0
	for _, endpoint := range subset {
		high += node.overloadThreshold(endpoint)
	}
	subset[0].inFlight = 1
	node.updateAggregate(placement)
	if placement.mode != Normal || node.updateMode(placement, subset[0]) != Normal {
		t.Errorf("one request, just sent, at H %.2f in all: %v", high, placement.mode)
	}
	subset[0].inFlight = 2
	subset[1].inFlight = 2
	node.updateAggregate(placement)
	if placement.mode == Normal {
		t.Errorf("four requests at once at H %.2f in all: normal", high)
	}

	node = newAggregatedNode(t)
	placement = node.placements[0]
	subset = placement.subset
	for _, endpoint := range subset {
		endpoint.inFlight = 1.1 * endpoint.overloadThreshold // between H and R
	}
	placement.smoothedCount.value = 0
	for range 500 {
		node.now += tickInterval
		for _, endpoint := range subset {
			endpoint.throughput.at = node.now
		}
		node.updateAggregate(placement)
	}
	if placement.mode != Overloaded {
		t.Errorf("a tenth more than H for 12 s: %v", placement.mode)
	}
	for _, endpoint := range subset {
		endpoint.inFlight = 0
	}
	for range 500 {
		node.now += tickInterval
		node.updateAggregate(placement)
	}
	if placement.mode != Normal {
		t.Errorf("nothing for 12 s: %v", placement.mode)
	}
}

// Clients that are rejected come back at once, so an overload fills what room there is above H. At half as much again as
// H all endpoints have queues: nothing more may go there, whatever its priority.
func TestNothingIsSentFarAboveH(t *testing.T) {
	node := newAggregatedNode(t)
	placement := node.placements[0]
	for range 200 {
		node.now += tickInterval
		for _, endpoint := range placement.subset {
			endpoint.throughput.at = node.now
			endpoint.inFlight = 1.5 * endpoint.overloadThreshold
		}
		node.updateAggregate(placement)
	}
	if placement.mode != Blocked || placement.excess != 1 {
		t.Errorf("half as much again as H for 5 s: mode %v, excess %.2f", placement.mode, placement.excess)
	}
	for _, id := range sends(node.Handle(node.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})) {
		t.Errorf("sent to %d nevertheless", id)
	}
}

// A rejection blocks its own endpoint even if the subset is judged as a whole.
func TestImposedModeOfAggregatedEndpoint(t *testing.T) {
	node := newAggregatedNode(t)
	placement := node.placements[0]
	rejecting, other := placement.subset[0], placement.subset[1]
	node.impose(rejecting, Blocked, modeValidity)
	if node.updateMode(placement, rejecting) != Blocked || node.updateMode(placement, other) != Normal {
		t.Error("the imposed mode is lost, or holds for another endpoint")
	}
	node.now += modeValidity
	if node.updateMode(placement, rejecting) != Normal {
		t.Error("the imposed mode did not lapse")
	}
}

// A request that times out shows that an endpoint's queue is longer than clients wait, which the few own requests of
// one of many nodes do not show. The endpoint is overloaded for some seconds, in which others get the work. One that
// rejected a request stays blocked.
func TestTimeoutMeansOverloaded(t *testing.T) {
	node := newAggregatedNode(t)
	placement := node.placements[0]
	slow, full := placement.subset[0], placement.subset[1]
	timedOut := attemptAt(node, slow)
	node.impose(full, Blocked, modeValidity)
	for _, endpoint := range []*endpoint{slow, full} {
		node.recordOutcome(endpoint, timedOut, AttemptEnded{Outcome: TimedOut, Elapsed: time.Second})
	}
	if got := node.updateMode(placement, slow); got != Overloaded || slow.ejected {
		t.Errorf("after a timeout: mode %v, ejected %v", got, slow.ejected)
	}
	if got := node.updateMode(placement, full); got != Blocked {
		t.Errorf("a full endpoint whose request timed out: mode %v", got)
	}
	for i := range 50 {
		next := &request{class: node.classOrder[0], relativeWork: 1, deadline: node.now + time.Second}
		if to, mode := node.pick(next); to == slow || mode != Normal {
			t.Fatalf("request %d goes to endpoint %v in mode %v", i, to, mode)
		}
	}
	node.now += timeoutRest
	if node.updateMode(placement, slow) != Normal {
		t.Error("the mode did not lapse")
	}
}

// If H were rounded once and for all, some endpoints would get no requests at all where H is below one.
func TestRoundingOfHMovesOn(t *testing.T) {
	node := newNode(0, 5, 15)
	node.learned = true
	node.latency.mean = 0.1
	node.uncrowdedLatency = 0.1
	node.tightestObjective = 1
	node.meanThroughput = 1.5
	node.peakThroughput = 1.5
	for _, endpoint := range node.endpoints {
		const periods = 200
		normal := 0
		for range periods {
			node.now += shedPeriod
			node.periodStartedAt = node.now
			node.placements[0].aggregated = false
			endpoint.modeByCount = Normal
			endpoint.throughput.set(1.5, node.now)
			endpoint.listedAt = node.now - time.Hour
			endpoint.overloadThreshold = node.overloadThreshold(endpoint)
			if node.updateMode(node.placements[0], endpoint) == Normal {
				normal++
			}
		}
		high := node.overloadThreshold(endpoint)
		if part := float64(normal) / periods; high >= 1 || part < high-0.1 || part > high+0.1 {
			t.Errorf("endpoint %d is normal %.2f of the time at H %.2f", endpoint.ID, part, high)
		}
	}
}

// H follows the uncrowded latency of an endpoint's machine type. By the fleet's, a machine type that is slow but wide
// would be overloaded with its cores idle.
func TestThresholdByMachineType(t *testing.T) {
	settings := Settings{
		Nodes:        2,
		MachineTypes: []string{"fast", "slow"},
		Classes:      []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second}},
	}
	node := New(settings, 1)
	node.now = time.Hour
	node.applyEndpoints(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{
		{ID: 1, MachineType: "fast", State: Ready},
		{ID: 2, MachineType: "slow", State: Ready},
		{ID: 3, MachineType: "new", State: Ready},
		{ID: 4, MachineType: "newer", State: Ready},
	}})
	fast, slow := node.endpointsByID[1], node.endpointsByID[2]
	respond := func(endpoint *endpoint, latency time.Duration) {
		node.now += 5 * time.Millisecond
		node.recordOutcome(endpoint, attemptAt(node, endpoint), AttemptEnded{Elapsed: latency})
		node.refreshSubsets()
	}
	for range 2000 { // both give as many responses
		respond(fast, 20*time.Millisecond)
		respond(slow, 80*time.Millisecond)
	}
	if fastH, slowH := node.overloadThreshold(fast), node.overloadThreshold(slow); slowH < 2*fastH {
		t.Errorf("H is %.2f for the fast and %.2f for the slow, want about four times as much", fastH, slowH)
	}
	if len(node.machineTypes) > len(settings.MachineTypes)+1 {
		t.Errorf("%d machine types are kept, though the settings name %d", len(node.machineTypes), len(settings.MachineTypes))
	}
}
