package balancer

import (
	"testing"
	"time"
)

// Guards against estimating an endpoint that has not responded for a while by the fleet's mean latency, by which a slow
// machine would look as good as a fast one. One of many nodes has too few responses from a single endpoint to know its
// latency, but many from its machine type.
func TestUnknownEndpointUsesMachineTypeLatency(t *testing.T) {
	settings := Settings{
		Nodes:        80,
		MachineTypes: []string{"fast", "slow"},
		Classes:      []Class{{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second}},
	}
	node := New(settings, 1)
	node.now = time.Hour
	update := EndpointUpdate{Kind: FullUpdate}
	for id := range EndpointID(8) { // even ones are fast
		machineType := settings.MachineTypes[id%2]
		update.Endpoints = append(update.Endpoints, Endpoint{ID: id, MachineType: machineType, State: Ready})
	}
	node.applyEndpoints(update)
	latencies := func(fast, slow EndpointID) (float64, float64) {
		return node.latencyOf(node.endpointsByID[fast]), node.latencyOf(node.endpointsByID[slow])
	}
	if fast, slow := latencies(6, 7); fast != slow {
		t.Error("expected latencies of the machine types differ before the first response")
	}
	for i := range 200 { // only the first six endpoints respond
		node.now += 50 * time.Millisecond
		endpoint := node.endpointsByID[EndpointID(i%6)]
		latency := 40 * time.Millisecond
		if i%2 == 1 {
			latency = 120 * time.Millisecond
		}
		node.recordOutcome(endpoint, requestSentTo(node, endpoint), AttemptEnded{Elapsed: latency})
	}
	if fast, slow := latencies(6, 7); slow < 2*fast {
		t.Errorf("expected latency %.3f s on the fast machine type, %.3f s on the slow one, want about three times as much",
			fast, slow)
	}
	node.now += time.Minute
	if fast, slow := latencies(0, 1); slow < 2*fast {
		t.Errorf("a minute after the last response: expected latency %.3f s (fast), %.3f s (slow), want twice as much",
			fast, slow)
	}
}
