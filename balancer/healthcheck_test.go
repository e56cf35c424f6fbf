package balancer

import (
	"testing"
	"time"
)

// newCheckingNode returns one of 30 nodes with 20 endpoints, which checks their load before each send if a health check
// costs little.
func newCheckingNode(healthCheckCost float64) *Balancer {
	settings := Settings{
		Nodes:               30,
		MaxAttempts:         3,
		MinEventInterval:    time.Millisecond,
		SlowStartCapacity:   0.3,
		SlowStartDuration:   8 * time.Second,
		OverloadFactor:      3,
		ConnectTimeout:      100 * time.Millisecond,
		HealthChecksAllowed: true,
		LoadReportSource:    LoadReportsByHealthCheck,
		Costs:               Costs{HealthCheck: healthCheckCost},
		Classes: []Class{{
			Name:             "page",
			PriorityWeight:   1,
			LatencyObjective: 500 * time.Millisecond,
			Deadline:         time.Second,
			Idempotency:      Idempotent,
		}},
	}
	node := New(settings, 3)
	node.Handle(time.Hour, EndpointUpdate{Kind: CachedUpdate, Endpoints: readyEndpoints(20)})
	node.serviceTime = ewma{mean: 0.1, samples: 100}
	node.latency.samples = 100
	node.tightestObjective = 0.5
	return node
}

const (
	lowHealthCheckCost  = 0.002
	highHealthCheckCost = 0.01
)

// pageRequest is a request for the class of newCheckingNode.
func pageRequest() RequestArrived {
	return RequestArrived{ID: "a", Class: "page", Timeout: time.Second}
}

func reportOf(inFlight, queued float64) *LoadReport {
	return &LoadReport{InFlight: inFlight, HasInFlight: true, Queued: queued, HasQueued: true}
}

// One of many nodes does not know what the others have sent: it checks two endpoints and takes the one with less load.
func TestChecksTwoEndpointsAndTakesTheLessLoaded(t *testing.T) {
	node := newCheckingNode(lowHealthCheckCost)
	actions := node.Handle(time.Hour, pageRequest())
	checked := healthChecks(actions)
	if len(checked) != 2 || checked[0] == checked[1] || len(sends(actions)) > 0 {
		t.Fatalf("%v", actions)
	}
	actions = node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(2, 1)})
	if len(sends(actions)) > 0 {
		t.Fatal("sent before the second result")
	}
	to := sends(node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(0, 0)}))
	if len(to) != 1 || to[0] != checked[1] {
		t.Errorf("sent to %v, want %v", to, checked[1])
	}
}

// A silent endpoint does not delay the request for long: it goes to the one that answers its health check.
func TestHealthCheckTimesOut(t *testing.T) {
	node := newCheckingNode(lowHealthCheckCost)
	checked := healthChecks(node.Handle(time.Hour, pageRequest()))
	node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(1, 0)})
	to := sends(node.Handle(node.now+healthCheckTimeout, TimerFired{Token: healthCheckToken}))
	if len(to) != 1 || to[0] != checked[0] {
		t.Errorf("sent to %v, want %v", to, checked[0])
	}
}

// Two full endpoints may be chance: more are checked before the request is rejected, but not for ever.
func TestMoreEndpointsAreCheckedIfTwoAreFull(t *testing.T) {
	node := newCheckingNode(lowHealthCheckCost)
	actions := node.Handle(time.Hour, pageRequest())
	for round := 1; round <= maxHealthCheckRounds; round++ {
		checked := healthChecks(actions)
		if len(checked) != 2 {
			t.Fatalf("round %d: %v", round, actions)
		}
		node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(30, 29)})
		actions = node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(30, 29)})
	}
	if len(actions) != 1 || actions[0].(Reject).ID != "a" {
		t.Errorf("after %d rounds: %v", maxHealthCheckRounds, actions)
	}
}

// If health checks are expensive the node goes by its own counts. The result of one for an endpoint that is no longer
// listed must not add it again.
func TestNoHealthChecksIfExpensive(t *testing.T) {
	node := newCheckingNode(highHealthCheckCost)
	actions := node.Handle(time.Hour, pageRequest())
	if len(healthChecks(actions)) > 0 || len(sends(actions)) != 1 {
		t.Errorf("%v", actions)
	}
	node.Handle(node.now, HealthCheckEnded{Endpoint: 999, Report: reportOf(0, 0)})
	if node.endpointsByID[999] != nil {
		t.Error("an endpoint that is not listed was added")
	}
}

// Before a node has had responses there must be an H nevertheless: with no limit, a fleet at its capacity jams in its
// first seconds, while every node still learns.
func TestThresholdBeforeAnyResponse(t *testing.T) {
	node := newCheckingNode(lowHealthCheckCost)
	node.serviceTime = ewma{}
	node.latency.samples = 0
	node.refreshSubsets()
	endpoint := node.endpoints[0]
	node.applyLoadReport(endpoint, reportOf(1, 0))
	if node.updateMode(node.placements[0], endpoint) != Normal {
		t.Error("one request is no overload")
	}
	node.applyLoadReport(endpoint, reportOf(9, 8))
	if node.updateMode(node.placements[0], endpoint) != Blocked {
		t.Error("nine requests at an unknown endpoint do not block it")
	}
}

// A heavy request that would be late behind the work at both endpoints checks others, where a light one is sent.
func TestHeavyRequestNeedsALessLoadedEndpoint(t *testing.T) {
	for hint, wantSends := range map[time.Duration]int{20 * time.Millisecond: 1, 400 * time.Millisecond: 0} {
		node := newCheckingNode(lowHealthCheckCost)
		node.classByName("page").workHint = ewma{mean: 0.1, samples: 100}
		request := pageRequest()
		request.WorkHint = hint
		request.HasWorkHint = true
		checked := healthChecks(node.Handle(time.Hour, request))
		node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(1, 0)})
		actions := node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(1, 0)})
		if len(sends(actions)) != wantSends || len(healthChecks(actions)) != 2*(1-wantSends) {
			t.Errorf("hint %v: %v", hint, actions)
		}
	}
}

// An endpoint that warms up does the same work more slowly: a request that fits a warm one may be late there.
func TestWarmingUpEndpointCountsAsSlower(t *testing.T) {
	node := newCheckingNode(lowHealthCheckCost)
	checked := healthChecks(node.Handle(time.Hour, pageRequest()))
	for _, id := range checked {
		endpoint := node.endpointsByID[id]
		node.startWarmup(endpoint, node.now)
		endpoint.slowStartBudget.tokens = 1
	}
	node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(1, 0)})
	actions := node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(1, 0)})
	if len(healthChecks(actions)) != 2 {
		t.Errorf("%v", actions)
	}
}
