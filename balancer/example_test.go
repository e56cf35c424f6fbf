package balancer_test

import (
	"fmt"
	"time"

	"bankshift/balancer"
)

// A node passes an arrived request to its balancer and carries out the resulting actions.
func Example() {
	node := balancer.New(balancer.Settings{
		Nodes:             1,
		MaxAttempts:       3,
		SlowStartCapacity: 0.5,
		SlowStartDuration: 5 * time.Second,
		Classes: []balancer.Class{{
			Name:             "page",
			PriorityWeight:   1,
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			Idempotency:      balancer.Idempotent,
		}},
	}, 1)
	now := 10 * time.Second
	node.Handle(now, balancer.EndpointUpdate{
		Kind:      balancer.CachedUpdate,
		Endpoints: []balancer.Endpoint{{ID: 7, State: balancer.Ready}},
	})
	actions := node.Handle(now, balancer.RequestArrived{ID: "r1", Class: "page", Timeout: time.Second})
	for _, action := range actions {
		if send, ok := action.(balancer.Send); ok {
			fmt.Printf("send %s to endpoint %d with timeout %v\n", send.ID, send.Endpoint, send.Timeout)
		}
	}
	// Output: send r1 to endpoint 7 with timeout 1s
}
