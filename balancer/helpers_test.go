package balancer

import (
	"testing"
	"time"
)

// Helpers of the tests that use the unexported state of a Balancer.

// newNode returns the balancer of the node with this index among the given number of nodes. It knows the given number
// of ready endpoints, with the IDs 1, 2 and so on.
func newNode(index, nodes, endpoints int) *Balancer {
	settings := Settings{
		Nodes:             nodes,
		NodeIndex:         index,
		MaxAttempts:       3,
		MinEventInterval:  5 * time.Millisecond,
		SlowStartCapacity: 0.3,
		SlowStartDuration: 8 * time.Second,
		OverloadFactor:    2.5,
		ConnectTimeout:    100 * time.Millisecond,
		Classes: []Class{{
			Name:             "page",
			PriorityWeight:   1,
			LatencyObjective: time.Second,
			Deadline:         2 * time.Second,
			Idempotency:      Idempotent,
		}},
	}
	node := New(settings, int64(index))
	node.Handle(time.Hour, EndpointUpdate{Kind: CachedUpdate, Endpoints: readyEndpoints(endpoints)})
	return node
}

// readyEndpoints returns the endpoints 1 to n.
func readyEndpoints(n int) []Endpoint {
	var endpoints []Endpoint
	for i := range n {
		endpoints = append(endpoints, Endpoint{ID: EndpointID(i + 1), Zone: "z"})
	}
	return endpoints
}

// newAggregatedNode returns the balancer of one of 360 nodes. It has a response of 100 ms every two seconds from each
// endpoint of its subset, which is so little that it derives one mode for the subset as a whole.
func newAggregatedNode(t *testing.T) *Balancer {
	t.Helper()
	node := newNode(1, 360, 60)
	node.learned = true
	node.latency.mean = 0.1
	node.unloadedLatency = 0.1
	node.tightestObjective = 1
	node.meanThroughput = 0.5
	node.peakThroughput = 0.5
	subset := node.placements[0].subset
	for _, endpoint := range subset {
		endpoint.throughput.set(0.5, node.now)
		endpoint.listedAt = node.now - time.Hour
		endpoint.overloadThreshold = node.overloadThreshold(endpoint)
	}
	node.updateAggregate(node.placements[0])
	if !node.placements[0].aggregated {
		t.Fatalf("the subset is not aggregated with an H of %v per endpoint", node.overloadThreshold(subset[0]))
	}
	return node
}

// requestSentTo returns a request of the node's first class that has one attempt, at the endpoint.
func requestSentTo(node *Balancer, endpoint *endpoint) *request {
	return &request{class: node.classOrder[0], relativeWork: 1, attempts: []attempt{{endpoint: endpoint}}}
}

// sends returns the endpoints of the Send actions.
func sends(actions []Action) []EndpointID {
	var endpoints []EndpointID
	for _, action := range actions {
		if send, ok := action.(Send); ok {
			endpoints = append(endpoints, send.Endpoint)
		}
	}
	return endpoints
}

// healthChecks returns the endpoints of the HealthCheck actions.
func healthChecks(actions []Action) []EndpointID {
	var endpoints []EndpointID
	for _, action := range actions {
		if check, ok := action.(HealthCheck); ok {
			endpoints = append(endpoints, check.Endpoint)
		}
	}
	return endpoints
}
