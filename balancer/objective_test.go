package balancer

import (
	"testing"
	"time"
)

// patience is how long a client of these tests waits.
const patience = 2 * time.Second

// classesWithoutObjective are a class whose settings state no latency objective, and one that the settings lack.
var classesWithoutObjective = map[string]Class{
	"no objective": {Name: "page", PriorityWeight: 1, Deadline: patience, Idempotency: Idempotent},
	"unknown":      {Name: "another", PriorityWeight: 1, Deadline: patience, Idempotency: Idempotent},
}

// newNodeWithoutObjective returns a node that has learned, and the requests of which have no objective.
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
	node.classByName("page").Idempotency = Idempotent // also where the settings lack it
	return node
}

// A trial request leaves time for another attempt, whatever the settings say of its class.
func TestTrialLeavesTimeWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		node.eject(node.endpoints[0], "test")
		actions := node.Handle(node.now+time.Minute, RequestArrived{ID: "q", Class: "page", Timeout: patience})
		sent := false
		for _, action := range actions {
			send, ok := action.(Send)
			if !ok || send.Endpoint != node.endpoints[0].ID {
				continue
			}
			sent = true
			if send.Timeout <= 0 || send.Timeout > patience/2 {
				t.Errorf("%s: a trial request has %v of %v", name, send.Timeout, patience)
			}
		}
		if !sent {
			t.Errorf("%s: no trial request: %v", name, actions)
		}
	}
}

// An attempt that takes much longer than usual is given up while there is time for another.
func TestAttemptTimeoutWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		node.Handle(node.now, RequestArrived{ID: "q", Class: "page", Timeout: patience})
		request := node.requests["q"]
		if got := node.attemptTimeout(request, node.endpoints[0]); got <= 0 || got > patience/2 {
			t.Errorf("%s: an attempt has %v of %v", name, got, patience)
		}
	}
}

// Failing fast attracts no work.
func TestFastFailureIsSlowWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		node.Handle(node.now, RequestArrived{ID: "q", Class: "page", Timeout: patience})
		endpoint := node.requests["q"].attempts[0].endpoint
		before := node.latencyOf(endpoint)
		node.Handle(node.now, AttemptEnded{ID: "q", Endpoint: endpoint.ID, Elapsed: time.Millisecond, Outcome: ServerError})
		if after := node.latencyOf(endpoint); after <= before {
			t.Errorf("%s: a failure after 1 ms moves the latency from %v s to %v s", name, before, after)
		}
	}
}

// Where the load is checked, an idle endpoint is not overloaded for the request.
func TestCheckedEndpointWithoutObjective(t *testing.T) {
	for name := range classesWithoutObjective {
		node := newCheckingNode(lowHealthCheckCost)
		arrived := pageRequest()
		if name == "unknown" {
			arrived.Class = "unknown"
		}
		node.classByName(arrived.Class).LatencyObjective = 0
		checked := healthChecks(node.Handle(time.Hour, arrived))
		node.Handle(node.now, HealthCheckEnded{Endpoint: checked[0], Report: reportOf(0, 0)})
		actions := node.Handle(node.now, HealthCheckEnded{Endpoint: checked[1], Report: reportOf(0, 0)})
		if len(sends(actions)) != 1 {
			t.Errorf("%s: not sent to an idle endpoint: %v", name, actions)
		}
	}
}

// A rejected client is told to wait.
func TestRetryAfterWithoutObjective(t *testing.T) {
	for name, class := range classesWithoutObjective {
		node := newNodeWithoutObjective(class)
		for _, endpoint := range node.endpoints {
			node.eject(endpoint, "test")
		}
		actions := node.Handle(node.now, RequestArrived{ID: "q", Class: "page", Timeout: patience})
		reject, ok := actions[0].(Reject)
		if !ok || reject.RetryAfter <= 0 || reject.RetryAfter > time.Second {
			t.Errorf("%s: %v, want a rejection with a time of at most 1 s", name, actions)
		}
	}
}
