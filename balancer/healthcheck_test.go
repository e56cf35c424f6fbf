package balancer

import (
	"testing"
	"time"
)

// newCheckingNode returns the balancer of one of 30 nodes with 20 endpoints. It checks their load before each send if
// the given penalty for a health check is low.
func newCheckingNode(healthCheckPenalty float64) *Balancer {
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
		ResultPenalties:     ResultPenalties{HealthCheck: healthCheckPenalty},
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
	lowHealthCheckPenalty  = 0.002
	highHealthCheckPenalty = 0.01
)

// pageRequest returns a request of the class that newCheckingNode has.
func pageRequest() RequestArrived {
	return RequestArrived{ID: "a", Class: "page", Timeout: time.Second}
}

func reportOf(inFlight, queued float64) *LoadReport {
	return &LoadReport{InFlight: inFlight, HasInFlight: true, Queued: queued, HasQueued: true}
}

// Guards against sending without knowledge of the load that other nodes put on an endpoint: a node checks two endpoints
// and sends to the less loaded one.
func TestChecksTwoEndpointsAndTakesTheLessLoaded(t *testing.T) {
	node := newCheckingNode(lowHealthCheckPenalty)
	actions := node.Handle(time.Hour, pageRequest())
	checked := healthChecks(actions)
	if len(checked) != 2 || checked[0] == checked[1] || len(sends(actions)) > 0 {
		t.Fatalf("got actions %v, want health checks of two different endpoints and no send", actions)
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

// Guards against a health check without a response that delays the request: after healthCheckTimeout, the request must
// be sent to the endpoint that answered its health check.
func TestHealthCheckTimesOut(t *testing.T) {
	node := newCheckingNode(lowHealthCheckPenalty)
	checked := healthChecks(node.Handle(time.Hour, pageRequest()))
	node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(1, 0)})
	to := sends(node.Handle(node.now+healthCheckTimeout, TimerFired{Token: healthCheckToken}))
	if len(to) != 1 || to[0] != checked[0] {
		t.Errorf("sent to %v, want %v", to, checked[0])
	}
}

// Guards against rejecting a request because two endpoints happen to be full, and against checking endless others: more
// endpoints are checked first, in at most maxHealthCheckRounds rounds.
func TestMoreEndpointsAreCheckedIfTwoAreFull(t *testing.T) {
	node := newCheckingNode(lowHealthCheckPenalty)
	actions := node.Handle(time.Hour, pageRequest())
	for round := 1; round <= maxHealthCheckRounds; round++ {
		checked := healthChecks(actions)
		if len(checked) != 2 {
			t.Fatalf("round %d: got actions %v, want two health checks", round, actions)
		}
		node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(30, 29)})
		actions = node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(30, 29)})
	}
	if len(actions) != 1 || actions[0].(Reject).ID != "a" {
		t.Errorf("after %d rounds: got actions %v, want a rejection", maxHealthCheckRounds, actions)
	}
}

// Guards against costly health checks: if they are expensive, the node relies on its own counts. Also guards against
// adding an endpoint that is not listed because a health check of it has ended.
func TestNoHealthChecksIfExpensive(t *testing.T) {
	node := newCheckingNode(highHealthCheckPenalty)
	actions := node.Handle(time.Hour, pageRequest())
	if len(healthChecks(actions)) > 0 || len(sends(actions)) != 1 {
		t.Errorf("got actions %v, want one send and no health check", actions)
	}
	node.Handle(node.now, HealthCheckEnded{Endpoint: 999, Report: reportOf(0, 0)})
	if node.endpointsByID[999] != nil {
		t.Error("endpoint 999, which is not listed, was added")
	}
}

// Guards against a node without a limit before its first responses: a fleet at its capacity would be overloaded in its
// first seconds, while every node still learns. There must be a threshold H from the start.
func TestThresholdBeforeAnyResponse(t *testing.T) {
	node := newCheckingNode(lowHealthCheckPenalty)
	node.serviceTime = ewma{}
	node.latency.samples = 0
	node.refreshSubsets()
	endpoint := node.endpoints[0]
	node.applyLoadReport(endpoint, reportOf(1, 0))
	if node.updateMode(node.placements[0], endpoint) != Normal {
		t.Error("an endpoint that reports one request is not normal")
	}
	node.applyLoadReport(endpoint, reportOf(9, 8))
	if node.updateMode(node.placements[0], endpoint) != Blocked {
		t.Error("an endpoint that reports nine requests is not blocked")
	}
}

// Guards against late responses to requests with much work: if such a request would be late behind the work at both
// checked endpoints, others are checked, whereas a request with little work is sent.
func TestHeavyRequestNeedsALessLoadedEndpoint(t *testing.T) {
	for hint, wantSends := range map[time.Duration]int{20 * time.Millisecond: 1, 400 * time.Millisecond: 0} {
		node := newCheckingNode(lowHealthCheckPenalty)
		node.classByName("page").workHint = ewma{mean: 0.1, samples: 100}
		request := pageRequest()
		request.WorkHint = hint
		request.HasWorkHint = true
		checked := healthChecks(node.Handle(time.Hour, request))
		node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(1, 0)})
		actions := node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(1, 0)})
		if len(sends(actions)) != wantSends || len(healthChecks(actions)) != 2*(1-wantSends) {
			t.Errorf("hint %v: got actions %v, want a send for 20 ms or two health checks for 400 ms", hint, actions)
		}
	}
}

// Guards against late responses from endpoints that warm up, which do the same work more slowly: a request that a warm
// endpoint would serve in time may be late there, and others are checked.
func TestWarmingUpEndpointCountsAsSlower(t *testing.T) {
	node := newCheckingNode(lowHealthCheckPenalty)
	checked := healthChecks(node.Handle(time.Hour, pageRequest()))
	for _, id := range checked {
		endpoint := node.endpointsByID[id]
		node.startWarmup(endpoint, node.now)
		endpoint.slowStartBudget.tokens = 1
	}
	node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(1, 0)})
	actions := node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(1, 0)})
	if len(healthChecks(actions)) != 2 {
		t.Errorf("got actions %v, want two health checks", actions)
	}
}
