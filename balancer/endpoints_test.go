package balancer

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a memory leak in a node that runs for months while endpoints are replaced: removed endpoints and
// finished requests must be forgotten.
func TestRemovedEndpointsAreForgotten(t *testing.T) {
	node := newCheckingNode(lowHealthCheckPenalty)
	for i := range 5000 {
		node.Handle(node.now+time.Second, EndpointUpdate{Kind: IncrementalUpdate, Endpoints: []Endpoint{
			{ID: EndpointID(i + 100), State: Ready, StartedAt: node.now},
			{ID: EndpointID(i + 99), State: Removed},
		}})
		id := RequestID(fmt.Sprint(i))
		node.Handle(node.now, RequestArrived{ID: id, Class: "page", Timeout: time.Second})
		node.Handle(node.now+2*time.Second, TimerFired{})
	}
	if len(node.endpointsByID) > 25 || len(node.endpoints) > 25 ||
		len(node.requests) > 2 || len(node.openRequests) > 2 || len(node.awaitingChecks) > 2 {
		t.Errorf("%d endpoints known, %d listed; %d requests known, %d open, %d awaiting health checks; want few",
			len(node.endpointsByID), len(node.endpoints), len(node.requests), len(node.openRequests),
			len(node.awaitingChecks))
	}
}
