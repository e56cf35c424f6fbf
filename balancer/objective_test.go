package balancer

import (
	"testing"
	"time"
)

// clientTimeout is how long a client of these tests waits.
const clientTimeout = 2 * time.Second

// classesWithoutObjective has the only class of the settings for two cases: class "page" without a latency objective,
// and another class, so that "page" is missing from the settings.
var classesWithoutObjective = map[string]Class{
	"no objective": {Name: "page", PriorityWeight: 1, Deadline: clientTimeout, Idempotency: Idempotent},
	"unknown":      {Name: "another", PriorityWeight: 1, Deadline: clientTimeout, Idempotency: Idempotent},
}

// newNodeWithoutObjective returns a node that has learned, and whose requests of class "page" have no latency
// objective.
func newNodeWithoutObjective(class Class) *Balancer {
	node := New(Settings{
		MaxAttempts:       3,
		CancelAllowed:     true,
		RetryAfterAllowed: true,
		MaxRetryAfter:     time.Second,
		ConnectTimeout:    100 * time.Millisecond,
		SlowStartDuration: 8 * time.Second,
		OverloadFactor:    2.5,
		Classes:           []Class{class},
	}, 1)
	node.Handle(time.Hour, EndpointUpdate{Kind: CachedUpdate, Endpoints: readyEndpoints(4)})
	node.learned = true
	node.latency = ewma{mean: 0.05, samples: 1000}
	node.trialBudget.deposit(1, 1)
	node.classByName("page").Idempotency = Idempotent // also if the settings lack the class
	return node
}

// Guards against a trial request that takes all of the client's time if the class has no objective: it must leave time
// for another attempt.
func TestTrialLeavesTimeWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		node.eject(node.endpoints[0], "test")
		actions := node.Handle(node.now+time.Minute, RequestArrived{ID: "q", Class: "page", Timeout: clientTimeout})
		sent := false
		for _, action := range actions {
			send, ok := action.(Send)
			if !ok || send.Endpoint != node.endpoints[0].ID {
				continue
			}
			sent = true
			if send.Timeout <= 0 || send.Timeout > clientTimeout/2 {
				t.Errorf("%s: a trial request has a timeout of %v, want more than 0 and at most half of %v",
					name, send.Timeout, clientTimeout)
			}
		}
		if !sent {
			t.Errorf("%s: no trial request among the actions %v", name, actions)
		}
	}
}

// Guards against an attempt that waits until the deadline if the class has no objective: one that takes much longer
// than usual must be given up while there is time for another.
func TestAttemptTimeoutWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		node.Handle(node.now, RequestArrived{ID: "q", Class: "page", Timeout: clientTimeout})
		request := node.requests["q"]
		if got := node.attemptTimeout(request, node.endpoints[0]); got <= 0 || got > clientTimeout/2 {
			t.Errorf("%s: an attempt has a timeout of %v, want more than 0 and at most half of %v", name, got, clientTimeout)
		}
	}
}

// Guards against an endpoint that attracts requests by failing fast: a failure must count as a slow response, also if
// the class has no objective.
func TestFastFailureCountsAsSlowWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		node.Handle(node.now, RequestArrived{ID: "q", Class: "page", Timeout: clientTimeout})
		endpoint := node.requests["q"].attempts[0].endpoint
		before := node.latencyOf(endpoint)
		node.Handle(node.now, AttemptEnded{ID: "q", Endpoint: endpoint.ID, Elapsed: time.Millisecond, Outcome: ServerError})
		if after := node.latencyOf(endpoint); after <= before {
			t.Errorf("%s: a failure after 1 ms moves the endpoint's latency from %v s to %v s, want a higher one",
				name, before, after)
		}
	}
}

// Guards against treating an idle endpoint as overloaded, where the load is checked, for a request whose class has no
// objective to compare its wait with.
func TestCheckedEndpointWithoutObjective(t *testing.T) {
	for name := range classesWithoutObjective {
		node := newCheckingNode(lowHealthCheckPenalty)
		arrived := pageRequest()
		if name == "unknown" {
			arrived.Class = "unknown"
		}
		node.classByName(arrived.Class).LatencyObjective = 0
		checked := healthChecks(node.Handle(time.Hour, arrived))
		node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(0, 0)})
		actions := node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(0, 0)})
		if len(sends(actions)) != 1 {
			t.Errorf("%s: want one send to an idle endpoint, got the actions %v", name, actions)
		}
	}
}

// Guards against rejections without a Retry-After time if the class has no objective.
func TestRetryAfterWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		for _, endpoint := range node.endpoints {
			node.eject(endpoint, "test")
		}
		actions := node.Handle(node.now, RequestArrived{ID: "q", Class: "page", Timeout: clientTimeout})
		reject, ok := actions[0].(Reject)
		if !ok || reject.RetryAfter <= 0 || reject.RetryAfter > time.Second {
			t.Errorf("%s: actions %v, want first a rejection with a Retry-After time above 0 and of at most 1 s", name, actions)
		}
	}
}
