package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against blaming an endpoint for a timeout that came before a response could be expected, because a slow
// connection or an earlier attempt had left little time. Only a timeout after conclusiveFactor times the expected
// latency counts as a failure.
func TestEarlyTimeoutIsInconclusive(t *testing.T) {
	for _, c := range []struct {
		sinceSent  time.Duration
		conclusive bool
	}{
		{190 * time.Millisecond, false},
		{210 * time.Millisecond, true},
		{0, true}, // not known, which counts as conclusive
	} {
		node := newAggregatedNode(t)
		endpoint := node.placements[0].subset[0]
		node.latency.mean = 0.1
		endpoint.machineType.recentLatency.mean = 0.1
		endpoint.excessLatency.value = 0
		outcome := AttemptEnded{Outcome: TimedOut, Elapsed: time.Second, SinceSent: c.sinceSent}
		node.recordOutcome(endpoint, requestSentTo(node, endpoint), outcome)
		overloaded := node.updateMode(node.placements[0], endpoint) == Overloaded
		if overloaded != c.conclusive || (endpoint.consecutiveFailures > 0) != c.conclusive {
			t.Errorf("%v without a response: overloaded %v, %d failures; want conclusive %v",
				c.sinceSent, overloaded, endpoint.consecutiveFailures, c.conclusive)
		}
	}
}

// Guards against slow start after mere server errors: if all endpoints of a fleet failed for a second and then warmed
// up, the fleet would reject most of its traffic for a long time. Only an ejected endpoint that was silent or
// unreachable may have restarted and warms up when it recovers.
func TestServerErrorsDoNotImplyRestart(t *testing.T) {
	for _, outcome := range []Outcome{ServerError, TimedOut, ConnectFailed} {
		node := newAggregatedNode(t)
		endpoint := node.placements[0].subset[0]
		request := requestSentTo(node, endpoint)
		request.trial = true
		for range minUnansweredSends + minConsecutiveFailures {
			endpoint.unansweredSends++
			node.recordOutcome(endpoint, request, AttemptEnded{Outcome: outcome, Elapsed: time.Second})
		}
		if !endpoint.ejected || (endpoint.unansweredSends == 0) != (outcome == ServerError) {
			t.Fatalf("outcome %v: ejected %v, %d unanswered sends", outcome, endpoint.ejected, endpoint.unansweredSends)
		}
		node.recordOutcome(endpoint, request, AttemptEnded{Outcome: OK, Elapsed: time.Second})
		if want := outcome != ServerError; endpoint.ejected || endpoint.warmingUp != want {
			t.Errorf("after outcome %v: ejected %v, warming up %v, want %v",
				outcome, endpoint.ejected, endpoint.warmingUp, want)
		}
	}
}

// Guards against too many trial requests if many endpoints are ejected: each delays a request and costs a connection,
// so they must stay a small part of the traffic.
func TestTrialRequestsAreLimited(t *testing.T) {
	node := newNode(1, 360, 60)
	for _, endpoint := range node.endpoints[:20] {
		node.eject(endpoint, "test")
	}
	trials := 0
	for i := range 400 {
		id := RequestID(fmt.Sprint(i))
		arrived := RequestArrived{ID: id, Class: "page", Timeout: 2 * time.Second}
		node.Handle(node.now+100*time.Millisecond, arrived)
		if request := node.requests[id]; request != nil && request.trial {
			trials++
		}
	}
	if trials < 5 || trials > 25 {
		t.Errorf("%d trial requests in 400 requests, want 5 to 25", trials)
	}
}

// Guards against counting faults of the client (BadRequest) or of this node (NotSent) as failures of the endpoint. A
// BadRequest must also end its request without another attempt.
func TestOutcomesNotCountedAsFailures(t *testing.T) {
	for _, outcome := range []Outcome{BadRequest, NotSent} {
		node := New(Settings{Nodes: 2, MaxAttempts: 9, Classes: []Class{
			{Name: "page", PriorityWeight: 1, LatencyObjective: 2 * time.Second, Idempotency: Idempotent},
		}}, 1)
		update := EndpointUpdate{Kind: FullUpdate}
		for id := range EndpointID(9) {
			update.Endpoints = append(update.Endpoints, Endpoint{ID: id, State: Ready})
		}
		node.Handle(time.Hour, update)
		sent, answered := 0, 0
		for i := range 50 {
			id := RequestID(fmt.Sprint(i))
			actions := node.Handle(node.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second})
			for len(actions) > 0 {
				action := actions[0]
				switch action := action.(type) {
				case Send:
					sent++
					actions = append(actions, node.Handle(node.now, AttemptEnded{
						ID:       id,
						Attempt:  len(node.requests[id].attempts) - 1,
						Endpoint: action.Endpoint,
						Outcome:  outcome,
					})...)
				case Fail, Reject:
					answered++
				}
				actions = actions[1:]
			}
		}
		for _, endpoint := range node.endpoints {
			if endpoint.consecutiveFailures > 0 || endpoint.ejected || endpoint.unansweredSends > 0 {
				t.Errorf("outcome %v: %d failures, ejected %v, %d unanswered sends; want none of these",
					outcome, endpoint.consecutiveFailures, endpoint.ejected, endpoint.unansweredSends)
			}
		}
		if answered != 50 || outcome == BadRequest && sent != 50 {
			t.Errorf("outcome %v: %d sends and %d final answers for 50 requests, want 50 answers and, if bad request, 50 sends",
				outcome, sent, answered)
		}
	}
}

// Guards against ejecting an endpoint for a few failures in a row if failures are common at all endpoints.
func TestChanceFailuresDoNotEject(t *testing.T) {
	for _, c := range []struct {
		failureShare float64
		ejected      bool
	}{
		{0.001, true},
		{0.1, false},
	} {
		node := New(Settings{Nodes: 2}, 1)
		node.Handle(time.Hour, EndpointUpdate{Kind: FullUpdate})
		node.failureShare = c.failureShare
		failing := &endpoint{}
		for range minConsecutiveFailures {
			node.recordFailure(failing, ServerError)
		}
		if failing.ejected != c.ejected {
			t.Errorf("%d failures in a row where a share of %v of all attempts fails: ejected %v, want %v",
				minConsecutiveFailures, c.failureShare, failing.ejected, c.ejected)
		}
	}
}
