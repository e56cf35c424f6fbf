// Package hollow plays a scenario with hollow nodes: hundreds of them in one
// process, on one virtual clock.
//
// A hollow node runs the project's own code: node.ParseConfig on the
// configuration that the scenario gives a real node, discovery.Watcher and
// discovery.Directory on the bytes of model.Registry's lists, and
// balancer.Balancer. It gives the balancer the same events in the same manner
// as the loop of package node, and carries out its actions.
//
// Left out is the request path's own work: sockets, HTTP parsing and writing,
// bodies, goroutines and their scheduling. A node takes no time to decide or to
// pass anything on, has no limit of processor time, and its clients are beside
// it, so that what it adds to a request is waiting alone: for connections, for
// attempts that fail, for clients' retries. A message lost to a partition or a
// vanished machine is never repeated, where TCP would try again. Lists are
// decoded once for all nodes that get the same bytes.
//
// Modelled a second time is what package upstream's pool does with
// connections: which one is taken, how long it rests, when it expires, when
// one is dialled, evicted or closed, and the checks before a request's first
// byte (pool.go, attempt.go). The times come from package upstream.
//
// A run of one scenario gives the same result each time, except for its cost.
package hollow

import (
	"context"
	"runtime"
	"time"

	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// Run plays a scenario to its end. It fails only where the node's own code does
// not accept the scenario's configuration, or with ctx's error when ctx ends.
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
