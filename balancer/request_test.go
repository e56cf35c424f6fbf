package balancer

import (
	"testing"
	"time"
)

// An attempt that gets no response is no load for long, and leaves its request time for another endpoint.
func TestSilentAttemptIsTimedOutAndNotCounted(t *testing.T) {
	node := New(Settings{Nodes: 2, MaxAttempts: 4, CancelAllowed: true, Classes: []Class{
		{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Idempotency: Idempotent},
		{Name: "pay", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Idempotency: NotIdempotent},
	}}, 1)
	node.Handle(time.Hour, EndpointUpdate{Kind: FullUpdate, Endpoints: []Endpoint{
		{ID: 1, State: Ready},
		{ID: 2, State: Ready},
	}})
	node.learned = true
	node.latency = ewma{mean: 0.02, samples: 1000}
	timeoutOf := func(id RequestID, class string) time.Duration {
		for _, action := range node.Handle(node.now, RequestArrived{ID: id, Class: class, Timeout: 4 * time.Second}) {
			if send, ok := action.(Send); ok {
				return send.Timeout
			}
		}
		t.Fatalf("%s is not sent", id)
		return 0
	}
	if got := timeoutOf("a", "page"); got < 100*time.Millisecond || got > time.Second {
		t.Errorf("a request that may be sent again has a timeout of %v for a response that takes 20 ms", got)
	}
	if got := timeoutOf("b", "pay"); got != 4*time.Second {
		t.Errorf("one that may not be sent again has a timeout of %v, want all its time", got)
	}

	inFlight := func() float64 { return node.endpointsByID[1].inFlight + node.endpointsByID[2].inFlight }
	if inFlight() != 2 {
		t.Fatalf("%v in flight, want 2", inFlight())
	}
	node.Handle(node.now+time.Second, TimerFired{})
	if inFlight() != 0 {
		t.Errorf("%v in flight, though both are silent for fifty times what responses take", inFlight())
	}

	silent := node.requests["a"].attempts[0].endpoint
	other := node.endpointsByID[3-silent.ID]
	other.inFlight = 1
	node.Handle(node.now, AttemptEnded{ID: "a", Endpoint: silent.ID, RequestDone: true, Outcome: TimedOut})
	if silent.inFlight != 0 || other.inFlight != 1 {
		t.Errorf("the end of a silent attempt leaves %v and %v in flight, want 0 and 1", silent.inFlight, other.inFlight)
	}
}
