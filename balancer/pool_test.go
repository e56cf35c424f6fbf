package balancer

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"
)

func manyNodes(self, nodes, servers int) *Balancer {
	m := New(Settings{Nodes: nodes, NodeIndex: self, MaxAttempts: 3, MinEventInterval: 5 * time.Millisecond, SlowStartCapacity: 0.3,
		SlowStartDuration: 8 * time.Second, OverloadFactor: 2.5, ConnectTimeout: 100 * time.Millisecond,
		Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent}}}, int64(self))
	var list []Endpoint
	for i := range servers {
		list = append(list, Endpoint{ID: EndpointID(i + 1), Zone: "z"})
	}
	m.Handle(time.Hour, EndpointUpdate{Kind: CachedUpdate, Endpoints: list})
	return m
}

// Servers take few connections: of many nodes each works with a part of the fleet, and all servers with like parts of
// the nodes.
func TestReachIsEven(t *testing.T) {
	const nodes, servers = 360, 60
	count := map[EndpointID]int{}
	for self := range nodes {
		m := manyNodes(self, nodes, servers)
		if len(m.placements[0].subset) != minSubsetSize {
			t.Fatalf("node %d works with %d servers, want %v", self, len(m.placements[0].subset), minSubsetSize)
		}
		for _, s := range m.placements[0].subset {
			count[s.ID]++
		}
	}
	want := nodes * int(minSubsetSize) / servers
	for id := range servers {
		if n := count[EndpointID(id+1)]; n < want-subsetOrders/2 || n > want+subsetOrders/2 { // each ring may round by one
			t.Errorf("server %d is in reach of %d nodes, want about %d", id+1, n, want)
		}
	}
	if m := manyNodes(2, 3, 20); len(m.placements[0].subset) != 20 {
		t.Errorf("one of 3 nodes works with %d of 20 servers", len(m.placements[0].subset))
	}
}

// A server answers about 30 requests a second. A node that is to learn of a crowd there while it lasts must see some of
// those answers within the time that its memory of them holds, and still have servers enough to choose from.
func TestReachLeavesAnswersToLearnFrom(t *testing.T) {
	for _, size := range []struct{ nodes, servers int }{{80, 60}, {80, 40}, {120, 60}, {40, 30}} {
		m := manyNodes(1, size.nodes, size.servers)
		near := float64(len(m.placements[0].subset))
		seen := 30 * float64(size.servers) / float64(size.nodes) / near * throughputTau
		if seen < 6 || near < minSubsetSize {
			t.Errorf("one of %d nodes at %d servers works with %v of them and sees %.1f answers of each within %v s",
				size.nodes, size.servers, near, seen, throughputTau)
		}
	}
}

// Nodes that share a server must share few others. Else the load of servers that are lost moves on to the next few on
// the ring, and nodes in a slow neighbourhood refuse most requests while others have room.
func TestNeighboursAreScattered(t *testing.T) {
	const nodes, servers = 80, 60
	near := make([]map[EndpointID]bool, nodes)
	for self := range near {
		near[self] = map[EndpointID]bool{}
		for _, s := range manyNodes(self, nodes, servers).placements[0].subset {
			near[self][s.ID] = true
		}
	}
	for id := range EndpointID(servers) {
		others := map[EndpointID]bool{}
		for _, n := range near {
			if n[id+1] {
				for other := range n {
					others[other] = true
				}
			}
		}
		if len(others) < servers/3 { // one ring: twice the reach less one, 15
			t.Errorf("the nodes at server %d work with %d of %d servers, want a third", id+1, len(others), servers)
		}
	}
}

// A server that leaves the list changes little of what a node works with; a suspect's place is taken by the next.
func TestReachIsStable(t *testing.T) {
	for self := range 50 {
		m := manyNodes(self, 360, 60)
		before := map[EndpointID]bool{}
		for _, s := range m.placements[0].subset {
			before[s.ID] = true
		}
		m.Handle(time.Hour, EndpointUpdate{Kind: IncrementalUpdate, Endpoints: []Endpoint{{ID: 7, State: Removed}}})
		changed := 0
		for _, s := range m.placements[0].subset {
			if !before[s.ID] {
				changed++
			}
		}
		if changed > 2 {
			t.Errorf("node %d: %d of %d servers changed as one left", self, changed, len(m.placements[0].subset))
		}
		first := m.placements[0].subset[0]
		m.eject(first, "test")
		if m.refreshSubsets(); len(m.placements[0].subset) != minSubsetSize || m.placements[0].subset[0] == first {
			t.Errorf("node %d: a suspect keeps its place", self)
		}
	}
}

// pooledNode is one of many nodes, with an answer of 100 ms each two seconds from each server in reach.
func pooledNode(t *testing.T) *Balancer {
	m := manyNodes(1, 360, 60)
	m.learned, m.latency.mean, m.uncrowdedLatency, m.tightestObjective, m.meanThroughput, m.peakThroughput = true, 0.1, 0.1, 1, 0.5, 0.5
	for _, s := range m.placements[0].subset {
		s.throughput.value, s.throughput.at, s.listedAt = 0.5, m.now, m.now-time.Hour
		s.overloadThreshold = m.overloadThreshold(s)
	}
	if m.updateAggregate(m.placements[0]); !m.placements[0].aggregated {
		t.Fatalf("H %v and still not judged together", m.overloadThreshold(m.placements[0].subset[0]))
	}
	return m
}

// A node with few requests at each server must not refuse because they come together by chance, but must when they
// stay: counts are summed and smoothed.
func TestPoolJudgesSmoothedSums(t *testing.T) {
	m := pooledNode(t)
	h := 0.0
	for _, s := range m.placements[0].subset {
		h += m.overloadThreshold(s)
	}
	m.placements[0].subset[0].inFlight = 1
	if m.updateAggregate(m.placements[0]); m.placements[0].mode != Normal || m.updateMode(m.placements[0], m.placements[0].subset[0]) != Normal {
		t.Errorf("one request, just sent, at H %.2f in all: %v", h, m.placements[0].mode)
	}
	m.placements[0].subset[0].inFlight, m.placements[0].subset[1].inFlight = 2, 2
	if m.updateAggregate(m.placements[0]); m.placements[0].mode == Normal {
		t.Errorf("four requests at once at H %.2f in all: normal", h)
	}
	m = pooledNode(t)
	for _, s := range m.placements[0].subset {
		s.inFlight = 1.1 * s.overloadThreshold // between H and R
	}
	m.placements[0].smoothedCount.value = 0
	for range 500 {
		m.now += tickInterval
		for _, s := range m.placements[0].subset {
			s.throughput.at = m.now
		}
		m.updateAggregate(m.placements[0])
	}
	if m.placements[0].mode != Overloaded {
		t.Errorf("a tenth more than H for 12 s: %v", m.placements[0].mode)
	}
	for _, s := range m.placements[0].subset {
		s.inFlight = 0
	}
	for range 500 {
		m.now += tickInterval
		m.updateAggregate(m.placements[0])
	}
	if m.placements[0].mode != Normal {
		t.Errorf("nothing for 12 s: %v", m.placements[0].mode)
	}
}

// Clients that are refused come back at once, so an overload fills what room there is above H. With half as many again
// as H at all servers, all of them have queues: nothing more may go there, whatever its worth.
func TestNoRoomFarAboveH(t *testing.T) {
	m := pooledNode(t)
	g := m.placements[0]
	for range 200 {
		m.now += tickInterval
		for _, s := range g.subset {
			s.throughput.at, s.inFlight = m.now, 1.5*s.overloadThreshold
		}
		m.updateAggregate(g)
	}
	if g.mode != Blocked || g.excess != 1 {
		t.Errorf("half as many again as H for 5 s: mode %v, fill %.2f", g.mode, g.excess)
	}
	for _, a := range m.Handle(m.now, RequestArrived{ID: "a", Class: "page", Timeout: time.Second}) {
		if s, ok := a.(Send); ok {
			t.Errorf("sent to %d all the same", s.Endpoint)
		}
	}
}

// A full answer blocks its own server also while servers are judged together.
func TestImposedModeWhilePooled(t *testing.T) {
	m := pooledNode(t)
	m.impose(m.placements[0].subset[0], Blocked, modeValidity)
	if m.updateMode(m.placements[0], m.placements[0].subset[0]) != Blocked || m.updateMode(m.placements[0], m.placements[0].subset[1]) != Normal {
		t.Error("imposed mode lost, or spread")
	}
	if m.now += modeValidity; m.updateMode(m.placements[0], m.placements[0].subset[0]) != Normal {
		t.Error("imposed mode did not lapse")
	}
}

// One request that times out tells that a server's queue is longer than clients wait, which its few own requests there
// do not show a node of many. It is overloaded for some seconds, in which others get the work; a full one stays blocked.
func TestTimeOutMeansOverloaded(t *testing.T) {
	m := pooledNode(t)
	g := m.placements[0]
	s, full := g.subset[0], g.subset[1]
	r := &request{class: m.classOrder[0], relativeWork: 1, attempts: []attempt{{endpoint: s}}}
	m.impose(full, Blocked, modeValidity)
	for _, to := range []*endpoint{s, full} {
		m.recordOutcome(to, r, AttemptEnded{Outcome: TimedOut, Elapsed: time.Second})
	}
	if got := m.updateMode(g, s); got != Overloaded || s.ejected {
		t.Errorf("after a time-out: mode %v, suspect %v", got, s.ejected)
	}
	if got := m.updateMode(g, full); got != Blocked {
		t.Errorf("a full server whose request timed out: mode %v", got)
	}
	for i := range 50 {
		if to, mode := m.pick(&request{class: m.classOrder[0], relativeWork: 1, deadline: m.now + time.Second}); to == s || mode != Normal {
			t.Fatalf("request %d goes to server %v in mode %v", i, to, mode)
		}
	}
	if m.now += timeoutRest; m.updateMode(g, s) != Normal {
		t.Error("the mode did not lapse")
	}
}

// A request that a late connection or a first attempt has left little time tells nothing of the server that
// could not answer in the rest of it; one that has waited as long as answers take does.
func TestLittleTimeTellsNothing(t *testing.T) {
	for _, c := range []struct {
		waited time.Duration
		blamed bool
	}{{190 * time.Millisecond, false}, {210 * time.Millisecond, true}, {0, true}} {
		m := pooledNode(t)
		s := m.placements[0].subset[0]
		m.latency.mean, s.machineType.recentLatency.mean, s.excessLatency.value = 0.1, 0.1, 0
		r := &request{class: m.classOrder[0], relativeWork: 1, attempts: []attempt{{endpoint: s}}}
		m.recordOutcome(s, r, AttemptEnded{Outcome: TimedOut, Elapsed: time.Second, SinceSent: c.waited})
		if got := m.updateMode(m.placements[0], s) == Overloaded; got != c.blamed || (s.consecutiveFailures > 0) != c.blamed {
			t.Errorf("%v without an answer: overloaded %v, %d strikes; want blame %v", c.waited, got, s.consecutiveFailures, c.blamed)
		}
	}
}

// A suspect that was silent may have restarted, and comes back cold. One that answered each request with an error
// has not: taken for cold, a fleet whose servers all failed for a second would refuse most of its traffic for long.
func TestErrorsAreNoRestart(t *testing.T) {
	for _, code := range []Outcome{ServerError, TimedOut, ConnectFailed} {
		m := pooledNode(t)
		s := m.placements[0].subset[0]
		r := &request{class: m.classOrder[0], relativeWork: 1, trial: true, attempts: []attempt{{endpoint: s}}}
		for range minUnansweredSends + minConsecutiveFailures {
			s.unansweredSends++
			m.recordOutcome(s, r, AttemptEnded{Outcome: code, Elapsed: time.Second})
		}
		if !s.ejected || (s.unansweredSends == 0) != (code == ServerError) {
			t.Fatalf("outcome %v: suspect %v, %d unanswered", code, s.ejected, s.unansweredSends)
		}
		m.recordOutcome(s, r, AttemptEnded{Outcome: OK, Elapsed: time.Second})
		if want := code != ServerError; s.ejected || s.warmingUp != want {
			t.Errorf("behind outcome %v: suspect %v, cold %v, want cold %v", code, s.ejected, s.warmingUp, want)
		}
	}
}

// Thirty nodes with a whole send each for a server that has just started are a burst that pushes it over, and so are they
// later, behind a quiet time: each has its turn, and what they hold at any time is no more than they are given in a second.
func TestColdBudgetsOfManyNodes(t *testing.T) {
	const nodes, second = 36, 100
	var modules []*Balancer
	for self := range nodes {
		m := manyNodes(self, 360, 60)
		m.learned, m.latency.mean, m.meanThroughput, m.peakThroughput, m.uncrowdedLatency, m.tightestObjective = true, 0.1, 0.5, 0.5, 0.1, 1
		m.settings.SlowStartDuration = 1e6 * time.Hour // it gets no warmer
		s := m.endpointByID(1)
		s.inSubset = true
		m.startWarmup(s, m.now)
		modules = append(modules, m)
	}
	held, turns := make([]int, 90*second), make([]int, nodes)
	for at := range held {
		for i, m := range modules {
			s := m.endpointsByID[1]
			if before := m.now; at > 0 {
				m.now = before + time.Second/second
			}
			if !m.slowStartExhausted(s) {
				held[at]++
				turns[i]++
			}
			if s.slowStartBudget.tokens >= 2 {
				t.Fatalf("node %d saved up %v sends", i, s.slowStartBudget.tokens)
			}
		}
	}
	s := modules[0].endpointsByID[1]
	given := nodes * slowStartGrowth * modules[0].settings.OverloadFactor * modules[0].warmth(s) * modules[0].meanThroughput
	mean := 0.0
	for _, n := range held {
		mean += float64(n) / float64(len(held))
	}
	if held[0] > 4 || mean > 1.1*given+1 || slices.Max(held) > int(given+3*math.Sqrt(given)+1) {
		t.Errorf("%d may send at the start, %.1f on average, %d at most; they are given %.1f a second", held[0], mean, slices.Max(held), given)
	}
	for i, n := range turns {
		if n == 0 {
			t.Errorf("node %d has no turn in 90 s", i)
		}
	}
}

// With many suspects, trials must stay a small part of the traffic: each delays a request and costs a connection.
func TestTrialsAreFew(t *testing.T) {
	m := manyNodes(1, 360, 60)
	for _, s := range m.endpoints[:20] {
		m.eject(s, "test")
	}
	trials := 0
	for i := range 400 {
		id := RequestID(fmt.Sprint(i))
		m.Handle(m.now+100*time.Millisecond, RequestArrived{ID: id, Class: "page", Timeout: 2 * time.Second})
		if r := m.requests[id]; r != nil && r.trial {
			trials++
		}
	}
	if trials < 5 || trials > 25 {
		t.Errorf("%d trials in 400 requests", trials)
	}
}

// Rounding drawn once and for all would leave some servers without requests for good where H is under one.
func TestRoundingMovesOn(t *testing.T) {
	m := manyNodes(0, 5, 15)
	m.learned, m.latency.mean, m.uncrowdedLatency, m.tightestObjective, m.meanThroughput, m.peakThroughput = true, 0.1, 0.1, 1, 1.5, 1.5
	for _, s := range m.endpoints {
		open := 0
		for range 200 {
			m.now += shedPeriod
			m.periodStartedAt = m.now
			m.placements[0].aggregated, s.modeByCount, s.throughput.value, s.throughput.at, s.listedAt = false, Normal, 1.5, m.now, m.now-time.Hour
			if s.overloadThreshold = m.overloadThreshold(s); m.updateMode(m.placements[0], s) == Normal {
				open++
			}
		}
		h := m.overloadThreshold(s)
		if part := float64(open) / 200; h >= 1 || part < h-0.1 || part > h+0.1 {
			t.Errorf("server %d is normal %.2f of the time at H %.2f", s.ID, part, h)
		}
	}
}

// When most servers are suspects (idle connections dropped, slow handshakes) the reach of every node widens to the few
// that are not, those just restarted first: added up, the nodes pushed such a server over.
func TestColdServerIsLeftToItsOwnNodes(t *testing.T) {
	const nodes = 360
	senders := 0
	for self := range nodes {
		m := manyNodes(self, nodes, 60)
		for _, s := range m.endpoints {
			if s.ID != 1 {
				m.eject(s, "test")
			}
		}
		m.Handle(m.now, EndpointUpdate{Kind: IncrementalUpdate, Endpoints: []Endpoint{{ID: 1, Zone: "z", StartedAt: m.now}}})
		s := m.endpointsByID[1]
		if s.slowStartBudget.tokens = 1; !m.slowStartExhausted(s) {
			senders++
		}
	}
	if senders < 20 || senders > 40 {
		t.Errorf("%d of %d nodes may send to a server that has just started, want about 30", senders, nodes)
	}
}

// TestWideSlowServersAreFilled: H follows the uncrowded latency of a server's kind. By the fleet's, a kind that
// is slow but wide is called overloaded with its cores idle.
func TestWideSlowServersAreFilled(t *testing.T) {
	set := Settings{Nodes: 2, MachineTypes: []string{"fast", "slow"}, Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second}}}
	m := New(set, 1)
	m.now = time.Hour
	m.applyEndpoints(EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: 1, MachineType: "fast", State: Ready}, {ID: 2, MachineType: "slow", State: Ready},
		{ID: 3, MachineType: "new", State: Ready}, {ID: 4, MachineType: "newer", State: Ready}}})
	for i := range 4000 { // both answer as many
		m.now += 5 * time.Millisecond
		s, took := m.endpointsByID[EndpointID(1+i%2)], 20*time.Millisecond
		if i%2 == 1 {
			took = 80 * time.Millisecond
		}
		r := &request{class: m.classOrder[0], relativeWork: 1, attempts: []attempt{{endpoint: s}}}
		m.recordOutcome(s, r, AttemptEnded{Elapsed: took})
		m.refreshSubsets()
	}
	if fast, slow := m.overloadThreshold(m.endpointsByID[1]), m.overloadThreshold(m.endpointsByID[2]); slow < 2*fast {
		t.Errorf("H is %.2f for the fast and %.2f for the slow, want about four times as much", fast, slow)
	}
	if len(m.machineTypes) > len(set.MachineTypes)+1 {
		t.Errorf("%d kinds are kept, though the settings name %d", len(m.machineTypes), len(set.MachineTypes))
	}
}

// TestUnknownServerIsExpectedToBeLikeItsKind: a node of many hears too seldom from one server to know it, but often from
// its kind. By the fleet's mean a slow machine looks as good as a fast one whenever it has not answered for a while.
func TestUnknownServerIsExpectedToBeLikeItsKind(t *testing.T) {
	set := Settings{Nodes: 80, MachineTypes: []string{"fast", "slow"}, Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second}}}
	m := New(set, 1)
	m.now = time.Hour
	var list []Endpoint
	for id := range EndpointID(8) {
		list = append(list, Endpoint{ID: id, MachineType: set.MachineTypes[id%2], State: Ready})
	}
	m.applyEndpoints(EndpointUpdate{Kind: FullUpdate, Endpoints: list})
	if m.latencyOf(m.endpointsByID[6]) != m.latencyOf(m.endpointsByID[7]) {
		t.Error("kinds differ before anything is known of them")
	}
	for i := range 200 { // only the first six answer
		m.now += 50 * time.Millisecond
		s, took := m.endpointsByID[EndpointID(i%6)], 40*time.Millisecond
		if i%2 == 1 {
			took = 120 * time.Millisecond
		}
		m.recordOutcome(s, &request{class: m.classOrder[0], relativeWork: 1, attempts: []attempt{{endpoint: s}}}, AttemptEnded{Elapsed: took})
	}
	if fast, slow := m.latencyOf(m.endpointsByID[6]), m.latencyOf(m.endpointsByID[7]); slow < 2*fast {
		t.Errorf("%.3f s is expected of the fast and %.3f s of the slow, want about three times as much", fast, slow)
	}
	m.now += time.Minute
	if fast, slow := m.latencyOf(m.endpointsByID[0]), m.latencyOf(m.endpointsByID[1]); slow < 2*fast {
		t.Errorf("a minute later %.3f s and %.3f s are expected of those that answered", fast, slow)
	}
}

// What a client did wrong, or this node could not do, is no failure of the server; and the first ends the request.
func TestNoBlame(t *testing.T) {
	for _, code := range []Outcome{BadRequest, NotSent} {
		m := New(Settings{Nodes: 2, MaxAttempts: 9, Classes: []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Idempotency: Idempotent}}}, 1)
		var entries []Endpoint
		for id := range EndpointID(9) {
			entries = append(entries, Endpoint{ID: id, State: Ready})
		}
		m.Handle(time.Hour, EndpointUpdate{Kind: FullUpdate, Endpoints: entries})
		sends, ends := 0, 0
		for i := range 50 {
			id := RequestID(fmt.Sprint(i))
			for todo := m.Handle(m.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second}); len(todo) > 0; {
				a := todo[0]
				switch a := a.(type) {
				case Send:
					sends++
					todo = append(todo, m.Handle(m.now, AttemptEnded{ID: id, Attempt: len(m.requests[id].attempts) - 1, Endpoint: a.Endpoint, Outcome: code})...)
				case Fail, Reject:
					ends++
				}
				todo = todo[1:]
			}
		}
		for _, s := range m.endpoints {
			if s.consecutiveFailures > 0 || s.ejected || s.unansweredSends > 0 {
				t.Errorf("outcome %d: %d strikes, suspect %v, %d unanswered", code, s.consecutiveFailures, s.ejected, s.unansweredSends)
			}
		}
		if ends != 50 || code == BadRequest && sends != 50 {
			t.Errorf("outcome %d: %d sends and %d final answers for 50 requests", code, sends, ends)
		}
	}
}

// An attempt that falls silent is no load for long, leaves its request time for another server, and where all
// servers fail alike a few failures in a row accuse none.
func TestSilentAttempts(t *testing.T) {
	set := Settings{Nodes: 2, MaxAttempts: 4, CancelAllowed: true, Classes: []Class{
		{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Idempotency: Idempotent}, {Name: "pay", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Idempotency: NotIdempotent}}}
	m := New(set, 1)
	m.Handle(time.Hour, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{{ID: 1, State: Ready}, {ID: 2, State: Ready}}})
	m.learned, m.latency.mean, m.latency.samples = true, 0.02, 1000
	timeout := func(id RequestID, class string) time.Duration {
		for _, a := range m.Handle(m.now, RequestArrived{ID: id, Class: class, Timeout: 4 * time.Second}) {
			if s, ok := a.(Send); ok {
				return s.Timeout
			}
		}
		t.Fatalf("%s is not sent", id)
		return 0
	}
	if got := timeout("a", "page"); got < 100*time.Millisecond || got > time.Second {
		t.Errorf("a request that may be sent again waits %v for an answer that takes 20 ms", got)
	}
	if got := timeout("b", "pay"); got != 4*time.Second {
		t.Errorf("one that may not be sent again waits %v, want all its time", got)
	}
	held := func() float64 { return m.endpointsByID[1].inFlight + m.endpointsByID[2].inFlight }
	if held() != 2 {
		t.Fatalf("%v in flight, want 2", held())
	}
	m.Handle(m.now+time.Second, TimerFired{})
	if held() != 0 {
		t.Errorf("%v in flight, though both are silent for fifty times what answers take", held())
	}
	a := m.requests["a"].attempts[0]
	other := m.endpointsByID[3-a.endpoint.ID]
	other.inFlight = 1
	m.Handle(m.now, AttemptEnded{ID: "a", Endpoint: a.endpoint.ID, RequestDone: true, Outcome: TimedOut})
	if a.endpoint.inFlight != 0 || other.inFlight != 1 {
		t.Errorf("the end of a silent attempt leaves %v and %v in flight, want 0 and 1", a.endpoint.inFlight, other.inFlight)
	}
	for _, c := range []struct {
		failing float64
		suspect bool
	}{{0.001, true}, {0.1, false}} {
		s := &endpoint{}
		m.failureShare = c.failing
		for range minConsecutiveFailures {
			m.recordFailure(s, ServerError)
		}
		if s.ejected != c.suspect {
			t.Errorf("%d failures in a row where %v of all fail: suspect %v", minConsecutiveFailures, c.failing, s.ejected)
		}
	}
}
