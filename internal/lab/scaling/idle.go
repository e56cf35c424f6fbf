package scaling

import (
	"context"
	"fmt"
	"os"
	"time"

	"bankshift/internal/lab/emulator"
)

// idleCase describes a measurement of a node without requests. Its field names
// are printed into stored violations.
type idleCase struct {
	servers  int
	tenants  int
	changes  float64 // list changes/s
	onDemand bool    // nodes request lists from one service, instead of having changes pushed
}

// idleUse is the measured resource use of an idle node.
type idleUse struct {
	cpuPercent     float64 // of a core
	bytesPerSecond float64 // list traffic, sent and received, headers included
	callsPerSecond float64 // to discovery
	memoryMB       float64 // peak resident size
	readyMS        float64 // from the start of the process until it is ready
	configMB       float64 // size of the configuration file
}

// maxOverrun is the accepted ratio of the actual to the intended measuring time.
// A higher ratio means that the lab was paused, and then the nodes were paused too.
const maxOverrun = 1.05

// measureIdle starts a node, waits for the settle time, and measures the node
// while its list changes as c says.
func (e *Env) measureIdle(ctx context.Context, c idleCase) (idleUse, error) {
	n, err := e.startNode(ctx, c, 1)
	if err != nil {
		return idleUse{}, err
	}
	defer n.close()
	if err := sleep(ctx, e.settleTime()); err != nil {
		return idleUse{}, err
	}
	registry := n.registries[0]
	listsBefore := registry.Stats()
	before, err := n.Usage()
	if err != nil {
		return idleUse{}, err
	}
	began := time.Now()
	if err := e.changeList(ctx, n, c.changes, began); err != nil {
		return idleUse{}, err
	}
	if err := sleep(ctx, time.Until(began.Add(e.measure()))); err != nil {
		return idleUse{}, err
	}
	after, err := n.Usage()
	if err != nil {
		return idleUse{}, err
	}
	seconds := time.Since(began).Seconds()
	use := idleUse{
		cpuPercent: 100 * (after.CPU - before.CPU).Seconds() / seconds,
		memoryMB:   float64(after.Memory) / 1e6,
		readyMS:    n.Ready.Seconds() * 1e3,
	}
	use.addLists(listsBefore, registry.Stats(), seconds)
	config, err := os.Stat(n.configPath)
	if err != nil {
		return idleUse{}, err
	}
	use.configMB = float64(config.Size()) / 1e6
	e.log("  %+v: %+v", c, use)
	if seconds > maxOverrun*e.measure().Seconds() {
		e.recordViolation("%+v: watched for %.1f s in place of %v: the machine was busy, and the node may have stood still", c, seconds, e.measure())
	}
	return use, nil
}

func (u *idleUse) addLists(before, after emulator.RegistryStats, seconds float64) {
	u.bytesPerSecond = float64(after.BytesIn+after.BytesOut-before.BytesIn-before.BytesOut) / seconds
	u.callsPerSecond = float64(after.Calls-before.Calls) / seconds
}

// changeList publishes list changes at a constant rate, for the measuring time
// from began on.
func (e *Env) changeList(ctx context.Context, n *runningNode, perSecond float64, began time.Time) error {
	for i := 1; perSecond > 0 && float64(i) <= perSecond*e.measure().Seconds(); i++ {
		at := began.Add(time.Duration((float64(i) - 0.5) / perSecond * float64(time.Second)))
		if err := sleep(ctx, time.Until(at)); err != nil {
			return err
		}
		if err := n.registries[0].Change(changedEntry(n.entries, i)); err != nil {
			return err
		}
	}
	return nil
}

// idleSeries is a series of idle nodes that differ in one quantity, whose value
// is xs[i] for cases[i].
type idleSeries struct {
	name    string
	over    string
	planned float64
	xs      []float64
	cases   []idleCase
}

func (s *idleSeries) add(x float64, c idleCase) {
	s.xs = append(s.xs, x)
	s.cases = append(s.cases, c)
}

// measureSeries measures the nodes of a series one after the other, because
// concurrent nodes would share caches and memory bandwidth.
func (e *Env) measureSeries(ctx context.Context, s idleSeries) ([]Figure, error) {
	figure := func(name, unit, mechanism string, budget float64) Figure {
		return Figure{Name: s.name + ": " + name, Unit: unit, Over: s.over, Planned: s.planned, Budget: budget, Mechanism: mechanism}
	}
	cpu := figure("processor", "% of a core", mechanismTick+"; "+mechanismWatcher, budgetCPU)
	traffic := figure("list traffic", "bytes/s", mechanismWatcher, budgetListRate)
	calls := figure("calls to discovery", "1/s", mechanismWatcher, 0)
	memory := figure("memory, peak", "MB", mechanismParse+"; "+mechanismApply, budgetMemory)
	ready := figure("time to ready", "ms", mechanismStart, budgetPropagation)
	for i, c := range s.cases {
		use, err := e.measureIdle(ctx, c)
		if err != nil {
			return nil, err
		}
		x := s.xs[i]
		cpu.add(x, use.cpuPercent)
		traffic.add(x, use.bytesPerSecond)
		calls.add(x, use.callsPerSecond)
		memory.add(x, use.memoryMB)
		ready.add(x, use.readyMS)
	}
	return []Figure{cpu, traffic, calls, memory, ready}, nil
}

func idleByServers(ctx context.Context, e *Env) ([]Figure, error) {
	var figures []Figure
	for _, onDemand := range []bool{false, true} {
		series := idleSeries{name: "idle, lists pushed", over: "servers", planned: plannedServers}
		if onDemand {
			series.name = "idle, lists asked for"
		}
		for _, n := range e.servers() {
			series.add(float64(n), idleCase{servers: n, onDemand: onDemand})
		}
		measured, err := e.measureSeries(ctx, series)
		if err != nil {
			return nil, err
		}
		figures = append(figures, measured...)
	}
	return figures, nil
}

func idleByTenants(ctx context.Context, e *Env) ([]Figure, error) {
	series := idleSeries{name: fmt.Sprintf("idle, %d servers", e.maxServers()), over: "tenants", planned: plannedTenants}
	for _, n := range e.tenants() {
		series.add(float64(n), idleCase{servers: e.maxServers(), tenants: n})
	}
	return e.measureSeries(ctx, series)
}

func idleByChanges(ctx context.Context, e *Env) ([]Figure, error) {
	// Planned list changes/s: a release of all 4,500 servers within two hours.
	// Each server causes three changes: it is listed as draining, then as
	// removed, and its successor is listed.
	const plannedChanges = 2
	series := idleSeries{name: fmt.Sprintf("idle, %d servers", e.maxServers()), over: "list changes/s", planned: plannedChanges}
	for _, rate := range []float64{0, 1, 2, 5, 20} { // 20 is above the plan; it makes the slope large against the noise
		series.add(rate, idleCase{servers: e.maxServers(), changes: rate})
	}
	return e.measureSeries(ctx, series)
}
