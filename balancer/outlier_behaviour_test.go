package balancer_test

import (
	"testing"
	"time"

	"bankshift/balancer"
)

// failWith makes the endpoints for which it holds respond so, and the others as before.
func (h *harness) failWith(latency time.Duration, outcome balancer.Outcome, matches func(balancer.EndpointID) bool) {
	before := h.respond
	h.respond = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if matches(id) {
			return latency, outcome
		}
		return before(id)
	}
}

// A silent endpoint is ejected and its requests are served elsewhere, also while discovery is down. When it is back its
// load grows slowly, as it may warm up.
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
		t.Errorf("the silent endpoint got %d, %d failed, %d rejected", h.sent[3], h.failed, h.rejected)
	}
	if h.polls < 3 {
		t.Errorf("only %d polls for the endpoint list", h.polls)
	}
	h.respond = healthy
	h.resetCounts()
	h.run(3*time.Second, 100, "ordinary")
	early := h.sent[3]
	h.run(9*time.Second, 100, "ordinary")
	h.resetCounts()
	h.run(5*time.Second, 100, "ordinary")
	if early > 50 || h.sent[3] < 60 {
		t.Errorf("back from silence: %d in the first 3 s, %d in 5 s once warm", early, h.sent[3])
	}
}

// An endpoint that fails fast must not attract work.
func TestFastFailingEndpointAttractsNoRequests(t *testing.T) {
	h := newHarness(harnessSettings(), 4)
	h.failWith(time.Millisecond, balancer.ServerError, func(id balancer.EndpointID) bool { return id == 2 })
	h.run(10*time.Second, 100, "ordinary")
	if h.sent[2] > 60 {
		t.Errorf("%d of %d sends went to the endpoint that fails", h.sent[2], h.totalSent())
	}
}

// If all endpoints slow down at once none is ejected, and each is kept as busy as it was, in requests in flight.
func TestUniformSlowdownEjectsNone(t *testing.T) {
	h := newHarness(harnessSettings(), 4)
	h.run(5*time.Second, 80, "ordinary")
	h.respond = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		return 150 * time.Millisecond, balancer.OK
	}
	h.resetCounts()
	h.run(5*time.Second, 80, "ordinary")
	if h.logActions > 0 {
		t.Errorf("%d endpoints were ejected", h.logActions)
	}
	for id := balancer.EndpointID(1); id <= 4; id++ {
		if h.sent[id] < 25 { // one in flight, as before, is 33 in 5 s
			t.Errorf("endpoint %d got only %d", id, h.sent[id])
		}
	}
}

// Actions for the log are few even if an endpoint fails and recovers all the time.
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
		t.Errorf("%d log actions in a minute about one endpoint", h.logActions)
	}
}
