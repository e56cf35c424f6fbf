// Package hollow runs a scenario with hollow nodes: hundreds of nodes without
// sockets in one process, on one virtual clock.
//
// A hollow node runs the project's own code: node.ParseConfig on the
// configuration that the scenario gives a real node, discovery.Watcher and
// discovery.Directory on the bytes of model.Registry's lists, and
// balancer.Balancer. It passes the balancer the same events in the same way as
// the event loop of package node, and carries out the resulting actions, with
// these differences: AttemptEnded has no SinceSent, so the balancer takes all of
// Elapsed for it. DeadlineExceeded is also sent for a request of which nothing
// has been sent; if the balancer does not end the request then, it fails, while a
// real node rejects it. A rejection at MaxOpenRequests has no Retry-After.
//
// The work of the request path itself is not modelled: sockets, HTTP parsing and
// writing, bodies, goroutines and their scheduling. A node decides and forwards
// in no time, its processor time is unlimited, and there is no network between
// it and its clients. The latency that it adds to a request is therefore only
// waiting: for connections, for attempts that fail, for clients' retries. A
// message that is lost to a partition or a disconnected machine is never sent
// again, while TCP would retransmit it. Lists are decoded once for all nodes
// that receive the same bytes.
//
// The handling of connections in package upstream is reimplemented in pool.go
// and attempt.go: which connection is taken, how soon it is reused after a
// response, when it expires, when one is dialled, evicted or closed, and the
// checks before a request's first byte. MinReuseDelay and IdleTimeoutFraction
// come from package upstream; its unexported constants are copied.
//
// Repeated runs of a scenario give the same result, except for its cost.
package hollow

import (
	"context"
	"runtime"
	"time"

	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// Run runs a scenario to its end. It fails only if the node's own code rejects the scenario's configuration, or
// with ctx's error when ctx ends.
func Run(ctx context.Context, s *scenario.Scenario) (*result.Run, error) {
	began := time.Now()
	m, err := newSim(s)
	if err != nil {
		return nil, err
	}
	defer func() { m.stopArrivals() }()
	if err := m.run(ctx, m.trafficStart); err != nil {
		return nil, err
	}
	heapWithNodes := heapInUse()
	if err := m.run(ctx, m.trafficStart+s.Warmup.Std()); err != nil {
		return nil, err
	}
	m.endWarmup()
	if err := m.run(ctx, m.trafficStart+s.Length.Std()); err != nil {
		return nil, err
	}
	m.endTraffic()
	if err := m.run(ctx, m.now+s.MaxDeadline()+time.Second); err != nil {
		return nil, err
	}
	r := m.result()
	r.Cost.NodeMemory = (heapWithNodes - m.heapWithoutNodes) / int64(s.Fleet.Nodes)
	r.Cost.Seconds = time.Since(began).Seconds()
	return r, nil
}

// heapInUse is the size of the live objects on the heap, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
