package scaling

import (
	"context"
	"fmt"
	"time"

	"bankshift/internal/lab/hollow"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// wholeList measures the size of a whole list, its part of a node's traffic
// budget and the time to apply it, by servers; and the traffic when every node
// fetches one whole list, by nodes.
func wholeList(ctx context.Context, e *Env) ([]Figure, error) {
	figure := func(name, unit, mechanism, note string) Figure {
		return Figure{Name: name, Unit: unit, Over: "servers", Planned: plannedServers, Mechanism: mechanism, Note: note}
	}
	size := figure("whole list: size", "KB", mechanismFetch, "")
	budget := figure("whole list: seconds of a node's traffic budget", "s", mechanismFetch, "3 KB/s a node; a day has 86,400 s")
	apply := figure("whole list: time to take up", "ms", mechanismDirectory+"; "+mechanismApply, "decoding, directory and decisions")
	listBytes := 0 // size of the largest list measured so far
	for _, n := range e.servers() {
		b, err := newBenchBalancer(n)
		if err != nil {
			return nil, err
		}
		raw := model.EncodeSnapshot(1, b.entries)
		listBytes = len(raw)
		seconds, err := e.benchmark(ctx, func(int) error {
			update, err := b.decode(raw)
			b.balancer.Handle(b.now, update)
			return err
		})
		if err != nil {
			return nil, err
		}
		size.add(float64(n), float64(listBytes)/1e3)
		budget.add(float64(n), float64(listBytes)/budgetListRate)
		apply.add(float64(n), seconds*1e3)
	}
	all := Figure{
		Name: "whole list for all nodes at once", Unit: "MB", Over: "nodes", Planned: plannedNodes,
		Mechanism: mechanismFetch, Note: fmt.Sprintf("%d servers", e.maxServers()),
	}
	for _, nodes := range []float64{50, 150, plannedNodes} {
		all.add(nodes, nodes*float64(listBytes)/1e6)
	}
	return []Figure{size, budget, apply, all}, nil
}

// registryBytes measures the list traffic of discovery, by nodes times list
// changes a second. It runs hollow fleets with list changes and one request a
// second.
func registryBytes(ctx context.Context, e *Env) ([]Figure, error) {
	const (
		changesPerSecond = 2
		servers          = 120
	)
	length := 20 * time.Second
	if e.small {
		length = 4 * time.Second
	}
	f := Figure{
		Name: "discovery: bytes sent and received", Unit: "KB/s", Over: "nodes x list changes/s",
		Planned: plannedNodes * changesPerSecond, Budget: plannedNodes * budgetListRate / 1e3,
		Mechanism: mechanismWatcher, Note: "hollow nodes, pushed lists, 120 servers",
	}
	for _, nodes := range e.sizes([]int{50, 150, plannedNodes}, []int{2, 4, 8}) {
		s := plannedScenario(nodes, servers)
		s.Traffic.Rate = 1
		s.Length = scenario.Duration(length)
		s.Warmup = scenario.Duration(2 * time.Second)
		s.Events = []scenario.Event{{
			Spread: s.Length,
			Action: scenario.ChangeLists,
			Count:  changesPerSecond * int(length/time.Second),
		}}
		r, err := hollow.Run(ctx, s)
		if err != nil {
			return nil, err
		}
		f.add(float64(nodes)*float64(r.ListTraffic.Changes)/r.Seconds, float64(r.ListTraffic.Bytes)/r.Seconds/1e3)
	}
	return []Figure{f}, nil
}
