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

// Guards against rejections when a node with few requests at each endpoint has several in flight at once by chance, and
// against missing an overload that lasts: counts are summed over the subset and smoothed.
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
		t.Errorf("one request, just sent, at a total H of %.2f: mode %v, want Normal", high, placement.mode)
	}
	subset[0].inFlight = 2
	subset[1].inFlight = 2
	node.updateAggregate(placement)
	if placement.mode == Normal {
		t.Errorf("four requests at once at a total H of %.2f: mode Normal, want a higher one", high)
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
		t.Errorf("a tenth more than H for 12 s: mode %v, want Overloaded", placement.mode)
	}
	for _, endpoint := range subset {
		endpoint.inFlight = 0
	}
	for range 500 {
		node.now += tickInterval
		node.updateAggregate(placement)
	}
	if placement.mode != Normal {
		t.Errorf("no requests for 12 s: mode %v, want Normal", placement.mode)
	}
}

// Guards against sending more to endpoints far above H. Rejected clients retry at once, so an overload fills any room
// above H. At 1.5 times H all endpoints have queues: no request may be sent there, whatever its priority.
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
		t.Errorf("1.5 times H for 5 s: mode %v, excess %.2f, want Blocked and 1", placement.mode, placement.excess)
	}
	for _, id := range sends(node.Handle(node.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second})) {
		t.Errorf("a request was sent to endpoint %d, although all are blocked", id)
	}
}

// Guards against losing the effect of a rejection where the subset is evaluated as a whole: the endpoint that rejected
// a request must be blocked, and only that one.
func TestImposedModeOfAggregatedEndpoint(t *testing.T) {
	node := newAggregatedNode(t)
	placement := node.placements[0]
	rejecting, other := placement.subset[0], placement.subset[1]
	node.impose(rejecting, Blocked, modeValidity)
	if node.updateMode(placement, rejecting) != Blocked || node.updateMode(placement, other) != Normal {
		t.Error("after a rejection: want the endpoint that rejected Blocked and the other Normal")
	}
	node.now += modeValidity
	if node.updateMode(placement, rejecting) != Normal {
		t.Error("the imposed mode did not expire after modeValidity")
	}
}

// Guards against sending on to an endpoint whose queue is longer than clients wait. One of many nodes does not see the
// queue by its own few requests there, but by a timeout: it then treats the endpoint as overloaded for some seconds, in
// which others get the requests. An endpoint that rejected a request stays blocked.
func TestTimeoutMeansOverloaded(t *testing.T) {
	node := newAggregatedNode(t)
	placement := node.placements[0]
	slow, full := placement.subset[0], placement.subset[1]
	timedOut := requestSentTo(node, slow)
	node.impose(full, Blocked, modeValidity)
	for _, endpoint := range []*endpoint{slow, full} {
		node.recordOutcome(endpoint, timedOut, AttemptEnded{Outcome: TimedOut, Elapsed: time.Second})
	}
	if got := node.updateMode(placement, slow); got != Overloaded || slow.ejected {
		t.Errorf("after a timeout: mode %v, ejected %v, want Overloaded and false", got, slow.ejected)
	}
	if got := node.updateMode(placement, full); got != Blocked {
		t.Errorf("after a rejection and a timeout: mode %v, want Blocked", got)
	}
	for i := range 50 {
		next := &request{class: node.classOrder[0], relativeWork: 1, deadline: node.now + time.Second}
		if to, mode := node.pick(next); to == slow || mode != Normal {
			t.Fatalf("request %d goes to endpoint %v in mode %v", i, to, mode)
		}
	}
	node.now += timeoutModeValidity
	if node.updateMode(placement, slow) != Normal {
		t.Error("the mode imposed by the timeout did not expire after timeoutModeValidity")
	}
}

// Guards against endpoints that get no requests at all where H is below one: if the rounding of H did not change over
// time, H would stay 0 for some of them.
func TestRoundingOfHChangesOverTime(t *testing.T) {
	node := newNode(0, 5, 15)
	node.learned = true
	node.latency.mean = 0.1
	node.unloadedLatency = 0.1
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
			t.Errorf("endpoint %d is normal for a fraction of %.2f of the time, want H, %.2f, to within 0.1",
				endpoint.ID, part, high)
		}
	}
}

// Guards against a threshold based on the unloaded latency of the fleet instead of the endpoint's machine type: a
// machine with many slow cores would count as overloaded while cores are idle.
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
		node.recordOutcome(endpoint, requestSentTo(node, endpoint), AttemptEnded{Elapsed: latency})
		node.refreshSubsets()
	}
	for range 2000 { // both respond equally often
		respond(fast, 20*time.Millisecond)
		respond(slow, 80*time.Millisecond)
	}
	if fastH, slowH := node.overloadThreshold(fast), node.overloadThreshold(slow); slowH < 2*fastH {
		t.Errorf("H is %.2f for the fast machine type and %.2f for the slow one, want about four times as much for the slow",
			fastH, slowH)
	}
	if len(node.machineTypes) > len(settings.MachineTypes)+1 {
		t.Errorf("%d machine types are kept, want at most one more than the %d that the settings name",
			len(node.machineTypes), len(settings.MachineTypes))
	}
}
