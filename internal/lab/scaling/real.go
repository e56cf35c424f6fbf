package scaling

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"

	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/fleet"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// nodeThreads is GOMAXPROCS of the real nodes: on the platform a node sees the
// one core that it is given.
const nodeThreads = 1

var serverSizes = []int{60, 450, 1500, 4500}

func (e *Env) servers() []int {
	if e.small {
		return []int{20, 40, 60}
	}
	return serverSizes
}

// planned is a fleet as the operators plan it, of the given size.
func plannedScenario(nodes, servers int) *scenario.Scenario {
	s, err := scenario.Parse("planned", []byte(`
name = "planned"
[fleet]
memory_mb = 256
[servers]
cell_size = 8
[[servers.kind]]
name = "new-4c"
part = 2
cores = 4
[[servers.kind]]
name = "old-2c"
cores = 2
speed = 0.7
[[zone]]
name = "w1"
region = "west"
[[zone]]
name = "w2"
region = "west"
[[zone]]
name = "w3"
region = "west"
[[zone]]
name = "e1"
region = "east"
[[zone]]
name = "e2"
region = "east"
[[zone]]
name = "e3"
region = "east"
[[zone]]
name = "n1"
region = "north"
[[zone]]
name = "n2"
region = "north"
[[class]]
name = "read"
part = 6
effect = "safe"
work = "5ms"
aim = "400ms"
deadline = "1500ms"
[[class]]
name = "save"
part = 3
effect = "keyed"
work = "5ms"
worth = 3
aim = "500ms"
deadline = "2s"
[[class]]
name = "order"
effect = "unsafe"
work = "5ms"
worth = 5
aim = "600ms"
deadline = "2s"
`))
	if err != nil {
		panic(err) // it is written here
	}
	s.Fleet.Nodes, s.Servers.Count = nodes, servers
	return s
}

// entries of a list of servers. Nobody listens there.
func entries(s *scenario.Scenario) []model.Entry {
	out := make([]model.Entry, s.Servers.Count)
	for i := range out {
		w := s.Server(i)
		out[i] = model.Entry{Name: w.Name, Address: fmt.Sprintf("10.%d.%d.%d:5000", i>>16, i>>8&255, i&255), Zone: w.Zone,
			Type: w.MachineType.Name, Group: w.Cell, Status: model.Ready, Weight: float64(w.MachineType.Cores) * w.MachineType.Speed}
	}
	return out
}

// listJSON is a whole list in discovery's form.
func listJSON(index uint64, entries []model.Entry) json.RawMessage {
	raw, _ := json.Marshal(map[string]any{"index": index, "snapshot": true, "endpoints": entries}) // never fails for such
	return raw
}

// idleCase is a node that nobody asks.
type idleCase struct {
	servers, tenants int
	changes          float64 // of the list, a second
	onDemand         bool
}

// idle is what it takes.
type idleUse struct {
	cpu    float64 // % of a core
	bytes  float64 // a second, heads included
	calls  float64 // a second
	memory float64 // MB, the peak
	ready  float64 // ms
	config float64 // MB
}

var runs atomic.Int32

// standing is a node with a discovery.
type runningNode struct {
	*fleet.Process
	registries [2]*emulator.Registry // the second only where it is asked for
	entries    []model.Entry
	file       string
	config     func(discovery string) ([]byte, error)
}

func (n *runningNode) close() {
	if n.Process != nil {
		n.Kill()
	}
	for _, r := range n.registries {
		if r != nil {
			r.Close()
		}
	}
}

// start starts one node of a fleet of servers/10.
func (e *Env) start(ctx context.Context, c idleCase, registries int) (_ *runningNode, err error) {
	s := plannedScenario(max(1, c.servers/10), c.servers)
	s.Traffic.Tenants, s.Discovery.OnDemand = c.tenants, c.onDemand
	n := &runningNode{entries: entries(s)}
	defer func() {
		if err != nil {
			n.close()
		}
	}()
	for i := range registries {
		if n.registries[i], err = emulator.NewRegistry(emulator.RegistryConfig{RegistryConfig: model.RegistryConfig{Nodes: 1, OnDemand: c.onDemand}}); err != nil {
			return nil, err
		}
		if err := n.registries[i].Change(n.entries...); err != nil {
			return nil, err
		}
	}
	address, err := fleet.FreeAddresses(1)
	if err != nil {
		return nil, err
	}
	name := fmt.Sprintf("s%d", runs.Add(1))
	n.file = filepath.Join(e.Dir, name+".json")
	n.config = func(discovery string) ([]byte, error) {
		return s.NodeConfig(0, scenario.NodeStart{Listen: address[0], Discovery: discovery, KnownList: listJSON(1, n.entries)})
	}
	config, err := n.config(n.registries[0].Addr(0))
	if err != nil {
		return nil, err
	}
	began := time.Now()
	if n.Process, err = fleet.Start(ctx, e.Node, e.Dir, name, address[0], config, nodeThreads); err != nil {
		return nil, err
	}
	return n, n.AwaitReady(ctx, began)
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (e *Env) rest() time.Duration {
	if e.Rest > 0 {
		return e.Rest
	}
	return 2 * time.Second
}

func (e *Env) measure() time.Duration {
	if e.Measure > 0 {
		return e.Measure
	}
	return 10 * time.Second
}

// busyFactor is how much longer than meant a node may have been watched: where
// the lab is held up so, nodes are too.
const busyFactor = 1.05

// watch measures an idle node.
func (e *Env) watch(ctx context.Context, c idleCase) (idleUse, error) {
	n, err := e.start(ctx, c, 1)
	if err != nil {
		return idleUse{}, err
	}
	defer n.close()
	if err := sleep(ctx, e.rest()); err != nil {
		return idleUse{}, err
	}
	r := n.registries[0]
	before, lists := fleet.Usage{}, r.Stats()
	if before, err = n.Usage(); err != nil {
		return idleUse{}, err
	}
	began := time.Now()
	for i := 1; c.changes > 0 && float64(i) <= c.changes*e.measure().Seconds(); i++ {
		at := began.Add(time.Duration((float64(i) - 0.5) / c.changes * float64(time.Second)))
		if err := sleep(ctx, time.Until(at)); err != nil {
			return idleUse{}, err
		}
		entry := n.entries[i*7919%len(n.entries)]
		entry.Weight = 1 + 0.01*float64(i%10)
		if err := r.Change(entry); err != nil {
			return idleUse{}, err
		}
	}
	if err := sleep(ctx, time.Until(began.Add(e.measure()))); err != nil {
		return idleUse{}, err
	}
	after, err := n.Usage()
	if err != nil {
		return idleUse{}, err
	}
	seconds, now := time.Since(began).Seconds(), r.Stats()
	config, err := os.Stat(n.file)
	if err != nil {
		return idleUse{}, err
	}
	out := idleUse{cpu: 100 * (after.CPU - before.CPU).Seconds() / seconds, bytes: float64(now.BytesIn+now.BytesOut-lists.BytesIn-lists.BytesOut) / seconds,
		calls: float64(now.Calls-lists.Calls) / seconds, memory: float64(after.Memory) / 1e6, ready: n.Ready.Seconds() * 1e3,
		config: float64(config.Size()) / 1e6}
	e.log("  %+v: %+v", c, out)
	if seconds > busyFactor*e.measure().Seconds() {
		e.violation("%+v: watched for %.1f s in place of %v: the machine was busy, and the node may have stood still", c, seconds, e.measure())
	}
	return out, nil
}

// watchAll measures idle nodes one after the other, as they share caches and
// memory's bandwidth.
func (e *Env) watchAll(ctx context.Context, cases []idleCase) ([]idleUse, error) {
	var out []idleUse
	for _, c := range cases {
		i, err := e.watch(ctx, c)
		if err != nil {
			return nil, err
		}
		out = append(out, i)
	}
	return out, nil
}

// idleFigures are the figures of an idle node over something.
func idleFigures(what, over string, planned float64, xs []float64, got []idleUse) []Figure {
	point := func(f func(idleUse) float64) []Point {
		var out []Point
		for i, x := range xs {
			out = append(out, Point{x, f(got[i])})
		}
		return out
	}
	fig := func(name, unit, mechanism string, budget float64, f func(idleUse) float64) Figure {
		return Figure{Name: what + ": " + name, Unit: unit, Over: over, Planned: planned, Budget: budget, Mechanism: mechanism, Points: point(f)}
	}
	const watcher = "internal/discovery/watcher.go Watcher.Next, PaceOf"
	return []Figure{
		fig("processor", "% of a core", "decide/decide.go Module.tick; "+watcher, budgetCPU, func(i idleUse) float64 { return i.cpu }),
		fig("list traffic", "bytes/s", watcher, budgetBytes, func(i idleUse) float64 { return i.bytes }),
		fig("calls to discovery", "1/s", watcher, 0, func(i idleUse) float64 { return i.calls }),
		fig("memory, peak", "MB", "internal/node/config.go ParseConfig; decide/decide.go Module.follow", budgetMemory, func(i idleUse) float64 { return i.memory }),
		fig("time to ready", "ms", "internal/node/config.go LoadConfig; internal/node/node.go Node.Run", budgetForce, func(i idleUse) float64 { return i.ready }),
	}
}

func idleByServers(ctx context.Context, e *Env) ([]Figure, error) {
	var out []Figure
	for _, asked := range []bool{false, true} {
		var cases []idleCase
		var xs []float64
		for _, n := range e.servers() {
			cases, xs = append(cases, idleCase{servers: n, onDemand: asked}), append(xs, float64(n))
		}
		got, err := e.watchAll(ctx, cases)
		if err != nil {
			return nil, err
		}
		what := "idle, lists pushed"
		if asked {
			what = "idle, lists asked for"
		}
		out = append(out, idleFigures(what, "servers", plannedServers, xs, got)...)
	}
	return out, nil
}

func (e *Env) most() int { return e.servers()[len(e.servers())-1] }

func idleByTenants(ctx context.Context, e *Env) ([]Figure, error) {
	sizes := []int{0, 5000, 20000}
	if e.small {
		sizes = []int{0, 10, 20}
	}
	var cases []idleCase
	var xs []float64
	for _, n := range sizes {
		cases, xs = append(cases, idleCase{servers: e.most(), tenants: n}), append(xs, float64(n))
	}
	got, err := e.watchAll(ctx, cases)
	return idleFigures(fmt.Sprintf("idle, %d servers", e.most()), "tenants", plannedTenants, xs, got), err
}

func idleByChanges(ctx context.Context, e *Env) ([]Figure, error) {
	rates := []float64{0, 1, 2, 5, 20} // 20: so that the slope stands out of the noise
	var cases []idleCase
	for _, r := range rates {
		cases = append(cases, idleCase{servers: e.most(), changes: r})
	}
	got, err := e.watchAll(ctx, cases)
	// A release of all 4,500 servers within two hours: each is told as draining, as gone, and as its successor.
	const planned = 2
	return idleFigures(fmt.Sprintf("idle, %d servers", e.most()), "list changes/s", planned, rates, got), err
}

// sighups is how many are measured at each size.
const sighups = 6

func sighup(ctx context.Context, e *Env) ([]Figure, error) {
	cpu := Figure{Name: "SIGHUP: processor", Unit: "ms", Over: "servers", Planned: plannedServers,
		Mechanism: "internal/node/config.go LoadConfig; internal/node/node.go Node.Reload",
		Note:      "the whole file is read and the whole list fetched, for discovery's address alone; all else wants a restart"}
	bytes := Figure{Name: "SIGHUP: list traffic", Unit: "KB", Over: "servers", Planned: plannedServers,
		Mechanism: "internal/node/node.go Node.Reload; internal/discovery/client.go Client.Run"}
	daily := Figure{Name: "SIGHUP for each change of configuration: list traffic", Unit: "bytes/s", Over: "servers", Planned: plannedServers,
		Budget: budgetBytes, Mechanism: bytes.Mechanism, Note: fmt.Sprintf("%d changes a day, spread evenly", plannedChanges)}
	for _, servers := range e.servers() {
		n, err := e.start(ctx, idleCase{servers: servers}, 2)
		if err != nil {
			return nil, err
		}
		used, sent, err := e.hup(ctx, n)
		n.close()
		if err != nil {
			return nil, err
		}
		cpu.Points = append(cpu.Points, Point{float64(servers), used})
		bytes.Points = append(bytes.Points, Point{float64(servers), sent})
		daily.Points = append(daily.Points, Point{float64(servers), sent * 1e3 * plannedChanges / (24 * time.Hour).Seconds()})
	}
	return []Figure{cpu, bytes, daily}, nil
}

// hup moves discovery to and fro. The idle node's own use is taken off.
func (e *Env) hup(ctx context.Context, n *runningNode) (cpuMS, kb float64, err error) {
	wait := max(e.measure()/20, 50*time.Millisecond)
	use := func() (time.Duration, int64) {
		u, failed := n.Usage()
		err = firstOf(err, failed)
		sum := int64(0)
		for _, r := range n.registries {
			st := r.Stats()
			sum += st.BytesIn + st.BytesOut
		}
		return u.CPU, sum
	}
	if err := sleep(ctx, e.rest()); err != nil {
		return 0, 0, err
	}
	c0, b0 := use()
	if err := sleep(ctx, wait*sighups); err != nil {
		return 0, 0, err
	}
	c1, b1 := use()
	for i := range sighups {
		config, err := n.config(n.registries[(i+1)%2].Addr(0))
		if err != nil {
			return 0, 0, err
		}
		if err := os.WriteFile(n.file, config, 0o600); err != nil {
			return 0, 0, err
		}
		if err := n.Signal(syscall.SIGHUP); err != nil {
			return 0, 0, err
		}
		if err := sleep(ctx, wait); err != nil {
			return 0, 0, err
		}
	}
	c2, b2 := use()
	return ((c2 - c1) - (c1 - c0)).Seconds() * 1e3 / sighups, float64((b2-b1)-(b1-b0)) / 1e3 / sighups, err
}

// addedRates are in requests a second: a third of the plan, the plan, twice
// and three times.
var addedRates = []float64{60, plannedRate, 2 * plannedRate, 3 * plannedRate}

func addedLatency(ctx context.Context, e *Env) ([]Figure, error) {
	fig := func(name string, budget float64) Figure {
		return Figure{Name: "added by a node: " + name, Unit: "ms", Over: "requests/s", Planned: plannedRate, Budget: budget,
			Mechanism: "internal/node/frontend.go frontend.ServeHTTP; internal/node/backend.go pool.attempt",
			Note:      "one real node before 60 servers; from a request's handing out at its client, less its time at the server"}
	}
	p50, p99, p999, cpu := fig("50 %", 0), fig("99 %", budgetAdded), fig("99.9 %", 0), fig("processor", 0)
	cpu.Name, cpu.Unit, cpu.Mechanism = "node under traffic: processor", "% of a core", "internal/node; decide/decide.go Module.Handle"
	rates := addedRates
	if e.small {
		rates = rates[:minPoints]
	}
	for _, rate := range rates {
		s := plannedScenario(1, 60)
		s.Traffic.Rate, s.Traffic.Connections, s.Traffic.Retries = rate, 400, 0
		s.Servers.Handshake = 0
		s.Warmup = scenario.Duration(e.rest())
		s.Length = s.Warmup + scenario.Duration(e.measure())
		r, err := fleet.Run(ctx, s, fleet.Options{Node: e.Node})
		if err != nil {
			return nil, err
		}
		for _, b := range r.Violations {
			e.violation("added, %v/s: %s", rate, b)
		}
		e.log("  %v/s: %+v, %.1f %% of a core", rate, r.Added, 100*r.Cost.NodeCPU)
		p50.Points = append(p50.Points, Point{rate, r.Added.P50 * 1e3})
		p99.Points = append(p99.Points, Point{rate, r.Added.P99 * 1e3})
		p999.Points = append(p999.Points, Point{rate, r.Added.P999 * 1e3})
		cpu.Points = append(cpu.Points, Point{rate, 100 * r.Cost.NodeCPU})
	}
	return []Figure{p50, p99, p999, cpu}, nil
}
