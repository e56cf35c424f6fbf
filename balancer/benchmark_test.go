package balancer_test

import (
	"fmt"
	"testing"
	"time"

	"bankshift/balancer"
)

const benchmarkRequests = 2000 // requests that the node serves before a benchmark begins

// benchmarkNode returns the balancer of one of 30 nodes, its endpoint list and the time, after benchmarkRequests served
// requests.
func benchmarkNode(endpoints int) (*balancer.Balancer, []balancer.Endpoint, balancer.Time) {
	settings := balancer.Settings{Nodes: 30, MaxAttempts: 3, CancelAllowed: true, MinEventInterval: 5 * time.Millisecond,
		SlowStartCapacity: 0.3, SlowStartDuration: 8 * time.Second, OverloadFactor: 2.5, ConnectTimeout: 100 * time.Millisecond,
		Classes: []balancer.Class{{Name: "page", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second,
			Idempotency: balancer.Idempotent}}}
	node := balancer.New(settings, 1)
	update := balancer.EndpointUpdate{Kind: balancer.FullUpdate, Version: 1}
	for i := range endpoints {
		update.Endpoints = append(update.Endpoints, balancer.Endpoint{ID: balancer.EndpointID(i + 1), Zone: "a"})
	}
	now := time.Hour
	node.Handle(now, update)
	for i := range benchmarkRequests {
		now += 5 * time.Millisecond
		serveRequest(node, now, i)
		if i%5 == 0 {
			node.Handle(now, balancer.TimerFired{})
		}
	}
	return node, update.Endpoints, now
}

// serveRequest delivers a request that is served at its first attempt.
func serveRequest(node *balancer.Balancer, now balancer.Time, number int) {
	id := balancer.RequestID(fmt.Sprint(number))
	for _, action := range node.Handle(now, balancer.RequestArrived{ID: id, Class: "page", Timeout: time.Second}) {
		if send, ok := action.(balancer.Send); ok {
			node.Handle(now, balancer.AttemptEnded{ID: id, Endpoint: send.Endpoint, RequestDone: true, Elapsed: 5 * time.Millisecond})
		}
	}
}

// BenchmarkTick measures one round of periodic work.
func BenchmarkTick(b *testing.B) {
	for _, endpoints := range []int{60, 1000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			node, _, now := benchmarkNode(endpoints)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now += 25 * time.Millisecond
				node.Handle(now, balancer.TimerFired{})
			}
		})
	}
}

// BenchmarkEndpointUpdate measures an update of one endpoint.
func BenchmarkEndpointUpdate(b *testing.B) {
	for _, endpoints := range []int{60, 1000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			node, list, now := benchmarkNode(endpoints)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 5 * time.Millisecond
				changed := list[i/2%len(list)]
				if i%2 == 0 {
					changed.State = balancer.Draining
				}
				node.Handle(now, balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Version: uint64(i) + 2,
					Endpoints: []balancer.Endpoint{changed}})
			}
		})
	}
}

// BenchmarkServedRequest measures one request from its arrival to its response, at one of 30 nodes.
func BenchmarkServedRequest(b *testing.B) {
	for _, endpoints := range []int{60, 1000} {
		b.Run(fmt.Sprint(endpoints), func(b *testing.B) {
			node, _, now := benchmarkNode(endpoints)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 5 * time.Millisecond
				serveRequest(node, now, benchmarkRequests+i)
				if i%5 == 0 {
					node.Handle(now, balancer.TimerFired{})
				}
			}
		})
	}
}
