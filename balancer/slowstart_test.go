package balancer

import (
	"math"
	"slices"
	"testing"
	"time"
)

// newNodeWithStartedEndpoint returns a node with endpoint 1 in its subset. The endpoint has just started, and its slow
// start takes so long that its warmth stays at the minimum.
func newNodeWithStartedEndpoint(index int) *Balancer {
	node := newNode(index, 360, 60)
	node.learned = true
	node.latency.mean = 0.1
	node.meanThroughput = 0.5
	node.peakThroughput = 0.5
	node.unloadedLatency = 0.1
	node.tightestObjective = 1
	node.settings.SlowStartDuration = 1e6 * time.Hour
	endpoint := node.endpointByID(1)
	endpoint.inSubset = true
	node.startWarmup(endpoint, node.now)
	return node
}

// Guards against a burst that overloads an endpoint that has just started, which thirty nodes could send if each had a
// whole token at once, at the start or after a quiet time. Each node must have a token at some time, but the nodes that
// have one at any time must be no more than the tokens that all nodes get in a second, but for chance.
func TestSlowStartBudgetsOfManyNodes(t *testing.T) {
	const nodes, stepsPerSecond, seconds = 36, 100, 90
	var fleet []*Balancer
	for index := range nodes {
		fleet = append(fleet, newNodeWithStartedEndpoint(index))
	}
	held := make([]int, seconds*stepsPerSecond) // number of nodes that may send, at each step
	turns := make([]int, nodes)                 // number of steps in which a node may send
	for step := range held {
		for index, node := range fleet {
			endpoint := node.endpointsByID[1]
			if step > 0 {
				node.now += time.Second / stepsPerSecond
			}
			if !node.slowStartExhausted(endpoint) {
				held[step]++
				turns[index]++
			}
			if endpoint.slowStartBudget.tokens >= 2 {
				t.Fatalf("node %d saved up %v tokens, want less than 2", index, endpoint.slowStartBudget.tokens)
			}
		}
	}
	first := fleet[0]
	warmth := first.warmth(first.endpointsByID[1])
	given := nodes * slowStartGrowth * first.settings.OverloadFactor * warmth * first.meanThroughput
	mean := 0.0
	for _, n := range held {
		mean += float64(n) / float64(len(held))
	}
	most := slices.Max(held)
	if held[0] > 4 || mean > 1.1*given+1 || most > int(given+3*math.Sqrt(given)+1) {
		t.Errorf("%d nodes may send at the start, %.1f on average, %d at most; together they get %.1f tokens per second",
			held[0], mean, most, given)
	}
	for index, n := range turns {
		if n == 0 {
			t.Errorf("node %d may not send at any time in %d s", index, seconds)
		}
	}
}

// Guards against overloading an endpoint that has just restarted while most others are ejected, for example because
// idle connections were dropped and handshakes are slow. The subsets of all nodes then widen to the few that are not
// ejected, the just restarted ones first, and all nodes together would send more than such an endpoint can serve.
func TestOnlySubsetNodesSendToWarmingUpEndpoint(t *testing.T) {
	const nodes = 360
	senders := 0
	for index := range nodes {
		node := newNode(index, nodes, 60)
		for _, endpoint := range node.endpoints {
			if endpoint.ID != 1 {
				node.eject(endpoint, "test")
			}
		}
		node.Handle(node.now, EndpointUpdate{Kind: IncrementalUpdate, Endpoints: []Endpoint{
			{ID: 1, Zone: "z", StartedAt: node.now},
		}})
		restarted := node.endpointsByID[1]
		restarted.slowStartBudget.tokens = 1
		if !node.slowStartExhausted(restarted) {
			senders++
		}
	}
	if senders < 20 || senders > 40 {
		t.Errorf("%d of %d nodes may send to an endpoint that has just started, want about 30", senders, nodes)
	}
}
