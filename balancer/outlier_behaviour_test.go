package balancer_test

import (
	"testing"
	"time"

	"bankshift/balancer"
)

// failWith gives attempts at the matching endpoints this latency and outcome. The other endpoints respond as before.
func (h *harness) failWith(latency time.Duration, outcome balancer.Outcome, matches func(balancer.EndpointID) bool) {
	before := h.respond
	h.respond = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if matches(id) {
			return latency, outcome
		}
		return before(id)
	}
}

// Guards against requests lost at a silent endpoint while discovery is down: the endpoint must be ejected and its
// requests served elsewhere. When it recovers its load must grow slowly, as it may have to warm up.
func TestSilentEndpointWhileDiscoveryIsDown(t *testing.T) {
	settings := harnessSettings()
	settings.EndpointsOnDemand = true
	h := newHarness(settings, 5)
	h.run(5*time.Second, 100, "ordinary")
	healthy := h.respond
	h.failWith(time.Hour, balancer.TimedOut, func(id balancer.EndpointID) bool { return id == 3 })
	h.resetCounts()
	h.run(6*time.Second, 100, "ordinary")
	if h.sent[3] > 25 || h.failed > 0 || h.rejected > 5 {
		t.Errorf("%d sends to the silent endpoint, %d requests failed, %d rejected; want at most 25, 0, 5",
			h.sent[3], h.failed, h.rejected)
	}
	if h.polls < 3 {
		t.Errorf("%d polls for the endpoint list, want at least 3", h.polls)
	}
	h.respond = healthy
	h.resetCounts()
	h.run(3*time.Second, 100, "ordinary")
	early := h.sent[3]
	h.run(9*time.Second, 100, "ordinary")
	h.resetCounts()
	h.run(5*time.Second, 100, "ordinary")
	if early > 50 || h.sent[3] < 60 {
		t.Errorf("recovered endpoint: %d sends in the first 3 s, %d in 5 s once warm; want at most 50, at least 60",
			early, h.sent[3])
	}
}

// Guards against an endpoint that fails fast and attracts requests because its low latency looks good.
func TestFastFailingEndpointAttractsNoRequests(t *testing.T) {
	h := newHarness(harnessSettings(), 4)
	h.failWith(time.Millisecond, balancer.ServerError, func(id balancer.EndpointID) bool { return id == 2 })
	h.run(10*time.Second, 100, "ordinary")
	if h.sent[2] > 60 {
		t.Errorf("%d of %d sends went to the endpoint that fails, want at most 60", h.sent[2], h.totalSent())
	}
}

// Guards against ejecting endpoints or sending them less if all slow down at once: each must have as many requests in
// flight as before.
func TestUniformSlowdownEjectsNone(t *testing.T) {
	h := newHarness(harnessSettings(), 4)
	h.run(5*time.Second, 80, "ordinary")
	h.respond = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		return 150 * time.Millisecond, balancer.OK
	}
	h.resetCounts()
	h.run(5*time.Second, 80, "ordinary")
	if h.logActions > 0 {
		t.Errorf("%d log actions for ejected or recovered endpoints, want 0", h.logActions)
	}
	for id := balancer.EndpointID(1); id <= 4; id++ {
		if h.sent[id] < 25 { // one in flight, as before, is 33 in 5 s
			t.Errorf("endpoint %d got %d sends in 5 s, want at least 25", id, h.sent[id])
		}
	}
}

// Guards against many log actions about an endpoint that fails and recovers all the time: they must be few.
func TestLogActionsAreLimited(t *testing.T) {
	h := newHarness(harnessSettings(), 3)
	h.run(3*time.Second, 100, "ordinary")
	n := 0
	h.failWith(time.Millisecond, balancer.Reset, func(id balancer.EndpointID) bool {
		if id != 1 {
			return false
		}
		n++
		return n%3 != 0
	})
	h.logActions = 0
	h.run(60*time.Second, 100, "ordinary")
	if h.logActions == 0 || h.logActions > 13 {
		t.Errorf("%d log actions in a minute about one endpoint, want 1 to 13", h.logActions)
	}
}
