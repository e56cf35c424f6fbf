package balancer

import (
	"testing"
	"time"
)

// subsetOf returns the subset of the node's first placement.
func subsetOf(node *Balancer) []*endpoint { return node.placements[0].subset }

// Guards against more connections at an endpoint than it accepts: each of many nodes must work with a part of the
// endpoints, and each endpoint must be in the subsets of a similar number of nodes.
func TestSubsetsAreEven(t *testing.T) {
	const nodes, endpoints = 360, 60
	nodesAt := map[EndpointID]int{}
	for index := range nodes {
		subset := subsetOf(newNode(index, nodes, endpoints))
		if len(subset) != minSubsetSize {
			t.Fatalf("node %d works with %d endpoints, want %v", index, len(subset), minSubsetSize)
		}
		for _, endpoint := range subset {
			nodesAt[endpoint.ID]++
		}
	}
	want := nodes * int(minSubsetSize) / endpoints
	for i := range endpoints {
		id := EndpointID(i + 1)
		// Rounding may change the number by one in each of the orders.
		if n := nodesAt[id]; n < want-subsetOrders/2 || n > want+subsetOrders/2 {
			t.Errorf("endpoint %d is in the subsets of %d nodes, want about %d", id, n, want)
		}
	}
	if subset := subsetOf(newNode(2, 3, 20)); len(subset) != 20 {
		t.Errorf("one of 3 nodes works with %d of 20 endpoints, want all", len(subset))
	}
}

// Guards against subsets so large that a node learns of an endpoint's overload too late: of about 30 responses a second
// from an endpoint, the node must see some within throughputTau. It must still have enough endpoints to choose from.
func TestSubsetsAreSmallEnoughToLearn(t *testing.T) {
	for _, size := range []struct{ nodes, endpoints int }{{80, 60}, {80, 40}, {120, 60}, {40, 30}} {
		subset := float64(len(subsetOf(newNode(1, size.nodes, size.endpoints))))
		seen := 30 * float64(size.endpoints) / float64(size.nodes) / subset * throughputTau
		if seen < 6 || subset < minSubsetSize {
			t.Errorf("one of %d nodes at %d endpoints works with %v of them and sees %.1f responses of each within %v s, want 6",
				size.nodes, size.endpoints, subset, seen, throughputTau)
		}
	}
}

// Guards against nodes that share an endpoint and also most others. The load of lost endpoints would move on to the
// next few in order, and nodes with slow endpoints would reject most requests while other endpoints have room.
func TestNodesShareFewEndpoints(t *testing.T) {
	const nodes, endpoints = 80, 60
	subsets := make([]map[EndpointID]bool, nodes)
	for index := range subsets {
		subsets[index] = map[EndpointID]bool{}
		for _, endpoint := range subsetOf(newNode(index, nodes, endpoints)) {
			subsets[index][endpoint.ID] = true
		}
	}
	for i := range EndpointID(endpoints) {
		id := i + 1
		others := map[EndpointID]bool{}
		for _, subset := range subsets {
			if !subset[id] {
				continue
			}
			for other := range subset {
				others[other] = true
			}
		}
		if len(others) < endpoints/3 { // a single order would give twice the subset's size less one: 15
			t.Errorf("the nodes at endpoint %d work with %d of %d endpoints, want a third", id, len(others), endpoints)
		}
	}
}

// Guards against a removed endpoint changing most of a subset, and against an ejected endpoint staying in it: the next
// one in order must take its place.
func TestSubsetsAreStable(t *testing.T) {
	for index := range 50 {
		node := newNode(index, 360, 60)
		before := map[EndpointID]bool{}
		for _, endpoint := range subsetOf(node) {
			before[endpoint.ID] = true
		}
		node.Handle(time.Hour, EndpointUpdate{Kind: IncrementalUpdate, Endpoints: []Endpoint{{ID: 7, State: Removed}}})
		changed := 0
		for _, endpoint := range subsetOf(node) {
			if !before[endpoint.ID] {
				changed++
			}
		}
		if changed > 2 {
			t.Errorf("node %d: %d of %d endpoints changed as one was removed, want at most 2",
				index, changed, len(subsetOf(node)))
		}
		first := subsetOf(node)[0]
		node.eject(first, "test")
		node.refreshSubsets()
		if len(subsetOf(node)) != minSubsetSize || subsetOf(node)[0] == first {
			t.Errorf("node %d: an ejected endpoint is still first in the subset, or was not replaced", index)
		}
	}
}
