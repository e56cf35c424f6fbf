package scaling

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/lab/hollow"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/node"
)

// bench gives the time of one f, in seconds.
func (e *Env) bench(f func(i int)) (float64, error) {
	testing.Init() // the flags of package testing hold how long a benchmark takes
	d := e.Bench
	if d <= 0 {
		d = 500 * time.Millisecond
	}
	before := flag.Lookup("test.benchtime").Value.String()
	if err := flag.Set("test.benchtime", d.String()); err != nil {
		return 0, err
	}
	defer flag.Set("test.benchtime", before) // it was valid
	r := testing.Benchmark(func(b *testing.B) {
		for i := range b.N {
			f(i)
		}
	})
	if r.N == 0 {
		return 0, fmt.Errorf("a benchmark failed")
	}
	return r.T.Seconds() / float64(r.N), nil
}

// configOf is the configuration of a node of servers/10.
func configOf(servers, tenants int) ([]byte, error) {
	s := plannedScenario(max(1, servers/10), servers)
	s.Traffic.Tenants = tenants
	return s.NodeConfig(0, scenario.NodeStart{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", KnownList: listJSON(1, entries(s))})
}

func configuration(ctx context.Context, e *Env) ([]Figure, error) {
	var out []Figure
	tenants := []int{0, 5000, 20000}
	if e.small {
		tenants = []int{0, 10, 20}
	}
	for _, by := range []struct {
		over    string
		planned float64
		sizes   []int
		of      func(int) ([]byte, error)
	}{
		{"servers", plannedServers, e.servers(), func(n int) ([]byte, error) { return configOf(n, 0) }},
		{"tenants", plannedTenants, tenants, func(n int) ([]byte, error) { return configOf(e.most(), n) }},
	} {
		size := Figure{Name: "configuration: size", Unit: "KB", Over: by.over, Planned: by.planned,
			Mechanism: "internal/node/config.go ParseConfig; internal/settings Decode"}
		read := size
		read.Name, read.Unit, read.Budget = "configuration: time to read", "ms", budgetForce
		if by.over == "tenants" {
			size.Note = fmt.Sprintf("before %d servers", e.most())
			read.Note = size.Note
		}
		for _, n := range by.sizes {
			raw, err := by.of(n)
			if err != nil {
				return nil, err
			}
			var failed error
			t, err := e.bench(func(int) {
				if _, err := node.ParseConfig(raw); err != nil {
					failed = err
				}
			})
			if err = firstOf(err, failed, ctx.Err()); err != nil {
				return nil, err
			}
			size.Points = append(size.Points, Point{float64(n), float64(len(raw)) / 1e3})
			read.Points = append(read.Points, Point{float64(n), t * 1e3})
		}
		out = append(out, size, read)
	}
	return out, nil
}

func firstOf(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// world is a module with its list and some traffic behind it.
type benchBalancer struct {
	m       *balancer.Balancer
	now     balancer.Time
	servers []balancer.Endpoint
	entries []model.Entry
	classes []balancer.Class
	dir     *discovery.Directory
	version uint64
	next    int
}

// arrivalGap is between requests, at the planned rate.
const arrivalGap = time.Second / plannedRate

func newWorld(servers int) (*benchBalancer, error) {
	raw, err := configOf(servers, 0)
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(raw)
	if err != nil {
		return nil, err
	}
	w := &benchBalancer{m: balancer.New(cfg.Settings, 1), now: time.Hour, entries: entries(plannedScenario(max(1, servers/10), servers)),
		classes: cfg.Settings.Classes, dir: &discovery.Directory{}}
	u, err := w.decode(listJSON(1, w.entries))
	if err != nil {
		return nil, err
	}
	w.servers = u.Endpoints
	w.m.Handle(w.now, u)
	for range 2000 { // latencies and rates are learned
		w.request()
		if w.next%5 == 0 {
			w.tick()
		}
	}
	return w, nil
}

func (w *benchBalancer) decode(raw []byte) (balancer.EndpointUpdate, error) {
	var l discovery.List
	if err := json.Unmarshal(raw, &l); err != nil {
		return balancer.EndpointUpdate{}, err
	}
	u, _ := w.dir.Apply(l, l.Kind())
	return u, nil
}

func (w *benchBalancer) tick() {
	w.now += 25 * time.Millisecond
	w.m.Handle(w.now, balancer.TimerFired{})
}

// request has one arrive and be served.
func (w *benchBalancer) request() {
	w.next++
	w.now += arrivalGap
	id := balancer.RequestID(fmt.Sprintf("%016x", w.next))
	for _, a := range w.m.Handle(w.now, balancer.RequestArrived{ID: id, Class: w.classes[w.next%len(w.classes)].Name, Timeout: time.Second}) {
		if send, ok := a.(balancer.Send); ok {
			w.m.Handle(w.now+5*time.Millisecond, balancer.AttemptEnded{ID: id, Endpoint: send.Endpoint, RequestDone: true, Elapsed: 5 * time.Millisecond, Outcome: balancer.OK})
		}
	}
}

// change is a list change of one entry, as discovery writes it.
func (w *benchBalancer) change() []byte {
	w.version++
	e := w.entries[int(w.version)*7919%len(w.entries)]
	e.Weight = 1 + 0.01*float64(w.version%10)
	raw, _ := json.Marshal(map[string]any{"index": 1 + w.version, "snapshot": false, "endpoints": []model.Entry{e}}) // never fails for such
	return raw
}

func decisions(ctx context.Context, e *Env) ([]Figure, error) {
	fig := func(name, mechanism string) Figure {
		return Figure{Name: name, Unit: "µs", Over: "servers", Planned: plannedServers, Mechanism: mechanism, Note: "nodes = servers/10"}
	}
	tick := fig("decide: tick", "decide/decide.go Module.tick, survey")
	tick.Note += "; 40 a second"
	change := fig("decide: list change of one entry", "decide/decide.go Module.follow")
	request := fig("decide: request with its outcome", "decide/decide.go Module.arrive, ended")
	before := fig("discovery: list change of one entry", "internal/discovery/list.go Directory.Apply")
	before.Note = "decoding and directory, before the decisions; the pool's part is in the processor time by list changes"
	for _, n := range e.servers() {
		w, err := newWorld(n)
		if err != nil {
			return nil, err
		}
		var failed error
		for _, b := range []struct {
			f  *Figure
			do func(int)
		}{
			{&request, func(i int) {
				w.request()
			}},
			{&tick, func(int) { w.tick() }},
			{&change, func(i int) {
				s := w.servers[i*7919%len(w.servers)]
				s.Weight = 1 + 0.01*float64(i%10)
				w.version++
				w.m.Handle(w.now, balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate, Version: 1 + w.version, Endpoints: []balancer.Endpoint{s}})
			}},
		} {
			t, err := e.bench(b.do)
			if err = firstOf(err, ctx.Err()); err != nil {
				return nil, err
			}
			b.f.Points = append(b.f.Points, Point{float64(n), t * 1e6})
		}
		raws := make([][]byte, 64)
		for i := range raws {
			raws[i] = w.change()
		}
		t, err := e.bench(func(i int) {
			if _, err := w.decode(raws[i%len(raws)]); err != nil {
				failed = err
			}
		})
		if err = firstOf(err, failed); err != nil {
			return nil, err
		}
		before.Points = append(before.Points, Point{float64(n), t * 1e6})
	}
	return []Figure{tick, change, request, before}, nil
}

func wholeList(ctx context.Context, e *Env) ([]Figure, error) {
	size := Figure{Name: "whole list: size", Unit: "KB", Over: "servers", Planned: plannedServers,
		Mechanism: "internal/discovery/client.go Client.get"}
	wait := Figure{Name: "whole list: seconds of a node's traffic budget", Unit: "s", Over: "servers", Planned: plannedServers,
		Mechanism: size.Mechanism, Note: "3 KB/s a node; a day has 86,400 s"}
	take := Figure{Name: "whole list: time to take up", Unit: "ms", Over: "servers", Planned: plannedServers,
		Mechanism: "internal/discovery/list.go Directory.Apply; decide/decide.go Module.follow", Note: "decoding, directory and decisions"}
	all := Figure{Name: "whole list for all nodes at once", Unit: "MB", Over: "nodes", Planned: plannedNodes,
		Mechanism: size.Mechanism, Note: fmt.Sprintf("%d servers", e.most())}
	var last int
	for _, n := range e.servers() {
		w, err := newWorld(n)
		if err != nil {
			return nil, err
		}
		raw := listJSON(1, w.entries)
		last = len(raw)
		var failed error
		t, err := e.bench(func(int) {
			u, err := w.decode(raw)
			if err != nil {
				failed = err
			}
			w.m.Handle(w.now, u)
		})
		if err = firstOf(err, failed, ctx.Err()); err != nil {
			return nil, err
		}
		size.Points = append(size.Points, Point{float64(n), float64(len(raw)) / 1e3})
		wait.Points = append(wait.Points, Point{float64(n), float64(len(raw)) / budgetBytes})
		take.Points = append(take.Points, Point{float64(n), t * 1e3})
	}
	for _, n := range []float64{50, 150, plannedNodes} {
		all.Points = append(all.Points, Point{n, n * float64(last) / 1e6})
	}
	return []Figure{size, wait, take, all}, nil
}

// registryBytes plays hollow fleets that nobody asks, with list changes.
func registryBytes(ctx context.Context, e *Env) ([]Figure, error) {
	const changes = 2 // a second
	nodes, length := []int{50, 150, plannedNodes}, 20*time.Second
	if e.small {
		nodes, length = []int{2, 4, 8}, 4*time.Second
	}
	f := Figure{Name: "discovery: bytes sent and received", Unit: "KB/s", Over: "nodes x list changes/s", Planned: plannedNodes * changes,
		Budget: plannedNodes * budgetBytes / 1e3, Mechanism: "internal/discovery/watcher.go Watcher.Next", Note: "hollow nodes, pushed lists, 120 servers"}
	for _, n := range nodes {
		s := plannedScenario(n, 120)
		s.Traffic.Rate = 1
		s.Length, s.Warmup = scenario.Duration(length), scenario.Duration(2*time.Second)
		s.Events = []scenario.Event{{At: 0, Spread: s.Length, Action: "change-lists", Count: changes * int(length/time.Second)}}
		r, err := hollow.Run(ctx, s)
		if err != nil {
			return nil, err
		}
		f.Points = append(f.Points, Point{float64(n) * float64(r.Control.Changes) / r.Seconds, float64(r.Control.Bytes) / r.Seconds / 1e3})
	}
	return []Figure{f}, nil
}
