package balancer_test

import (
	"testing"
	"time"

	"bankshift/balancer"
)

// Guards against overloading the other endpoints when a zone is lost, and the zone's endpoints when they come back. The
// zone is lost together with the nodes there: its endpoints stop responding, this node gets twice the traffic,
// discovery removes the endpoints late, and they come back as new processes that must warm up.
func TestZoneLostWithItsNodesWarmsUpAfterwards(t *testing.T) {
	settings := harnessSettings()
	settings.Nodes = 2
	h := newHarness(settings, 8)
	h.run(10*time.Second, 60, "ordinary")
	lost := func(id balancer.EndpointID) bool { return id > 4 }
	healthy := h.respond
	h.failWith(time.Hour, balancer.TimedOut, lost)
	h.run(2*time.Second, 120, "ordinary")
	h.resetCounts()
	h.run(5*time.Second, 120, "ordinary")
	toLost := h.sentTo(lost)
	toRest := h.totalSent() - toLost
	if toLost > 60 || toRest < 300 || h.failed > 0 {
		t.Errorf("zone lost: %d sends into it, %d to the rest, %d failed; want at most 60, at least 300, none",
			toLost, toRest, h.failed)
	}

	removed := balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate}
	back := balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate}
	for id := balancer.EndpointID(5); id <= 8; id++ {
		removed.Endpoints = append(removed.Endpoints, balancer.Endpoint{ID: id, Zone: "z", State: balancer.Removed})
		started := balancer.Endpoint{ID: id, Zone: "z", StartedAt: h.now + 2*time.Second}
		back.Endpoints = append(back.Endpoints, started)
	}
	h.handle(removed)
	h.resetCounts()
	h.run(2*time.Second, 120, "ordinary")
	for id := range h.sent {
		if lost(id) {
			t.Errorf("sent to endpoint %d, which was removed", id)
		}
	}

	h.respond = healthy
	h.handle(back)
	h.resetCounts()
	h.run(time.Second, 120, "ordinary")
	for id, n := range h.sent {
		// This node is one of two. A warm endpoint serves 30/s for it.
		if budget := 2.5 * 0.3 * 30; lost(id) && float64(n) > budget/2+2 {
			t.Errorf("endpoint %d, which warms up, got %d requests in its first second", id, n)
		}
	}
	h.run(9*time.Second, 60, "ordinary")
	h.resetCounts()
	h.run(5*time.Second, 60, "ordinary")
	if n := h.sentTo(lost); n < 90 || h.rejected > 0 {
		t.Errorf("once warm: %d of 300 sends to the zone, %d rejected; want at least 90, none", n, h.rejected)
	}
}

// Guards against limiting an endpoint that warms up by the duration of the slow start alone: one that responds well
// must get work as fast as the overload factor allows.
func TestSlowStartGrowsWithResponses(t *testing.T) {
	sentWith := func(overloadFactor float64) int {
		settings := harnessSettings()
		settings.OverloadFactor = overloadFactor
		h := newHarness(settings, 4)
		h.run(10*time.Second, 100, "ordinary")
		h.handle(balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Endpoints: []balancer.Endpoint{
			{ID: 2, Zone: "z", StartedAt: h.now},
		}})
		h.run(time.Second, 100, "ordinary")
		h.resetCounts()
		h.run(2*time.Second, 100, "ordinary")
		return h.sent[2]
	}
	if low, high := sentWith(1), sentWith(4); high*2 < low*3 {
		t.Errorf("%d sends in 2 s with overload factor 1, %d with 4, want at least 1.5 times as many", low, high)
	}
}
