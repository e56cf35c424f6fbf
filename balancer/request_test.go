package balancer

import (
	"testing"
	"time"
)

// Guards against attempts without a response that make endpoints look full or use up their requests' time: they must
// soon stop counting as load, and must time out early if their requests may be sent again.
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
		t.Errorf("a request that may be sent again has a timeout of %v, want 100 ms to 1 s: responses take 20 ms", got)
	}
	if got := timeoutOf("b", "pay"); got != 4*time.Second {
		t.Errorf("a request that may not be sent again has a timeout of %v, want its whole 4 s", got)
	}

	inFlight := func() float64 { return node.endpointsByID[1].inFlight + node.endpointsByID[2].inFlight }
	if inFlight() != 2 {
		t.Fatalf("%v attempts in flight, want 2", inFlight())
	}
	node.Handle(node.now+time.Second, TimerFired{})
	if inFlight() != 0 {
		t.Errorf("%v attempts in flight, want 0: both have had no response for 50 times the usual latency", inFlight())
	}

	silent := node.requests["a"].attempts[0].endpoint
	other := node.endpointsByID[3-silent.ID]
	other.inFlight = 1
	node.Handle(node.now, AttemptEnded{ID: "a", Endpoint: silent.ID, RequestDone: true, Outcome: TimedOut})
	if silent.inFlight != 0 || other.inFlight != 1 {
		t.Errorf("%v and %v in flight after the end of a silent attempt, want 0 and 1", silent.inFlight, other.inFlight)
	}
}
