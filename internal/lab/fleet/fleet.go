// Package fleet plays a scenario with real processes: the node's own program,
// started as the platform starts it, before stand-in servers and a stand-in
// discovery in this process, all on loopback, with clients' requests from
// package load.
//
// It does not play the network: times of its ways, late dials and cut zones
// are for hollow runs; the event "cut" is refused. What counts as an attempt
// is a copy that reached a server, so connections that did not come up are
// missing in it, and when a node knew of a change is not seen.
package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"
	"sync"
	"time"

	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/load"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// What one machine is asked to bear: a few dozen nodes of some 25 MB, and a
// generator and servers that are well under its processors' work.
const (
	MaxNodes   = 64
	MaxServers = 600
	MaxRate    = 5000 // requests a second

	settle               = time.Second            // from the last node's being ready to the traffic
	answerSlack          = 70 * time.Millisecond  // past the deadline: 20 ms of the settings, 50 ms on sockets
	restartCheckInterval = 100 * time.Millisecond // between looks for servers that started by themselves
	maxViolations        = 20                     // broken rules that are told one by one
	maxSendDelayFraction = 0.02                   // of the tightest aim, that the generator may be late: its clients would not notice
)

// Options say how to run.
type Options struct {
	Node string // the node's program; "": it is built first
}

// ErrTooLarge says that a scenario is for hollow nodes alone.
var ErrTooLarge = errors.New("too large for real processes")

// run is a scenario under way.
type run struct {
	scenario     *scenario.Scenario
	ctx          context.Context
	path, dir    string
	epoch        time.Time
	trafficStart time.Time // of the traffic
	meanCost     time.Duration
	registry     *emulator.Registry
	steps        sync.WaitGroup

	mu            sync.Mutex
	timers        []*time.Timer
	ended         bool
	nodes         []*nodeSlot
	servers       []*server // all there ever were
	current       []*server // who is there now
	keyStores     map[string]*model.KeyStore
	executionLogs map[string]*emulator.ExecutionLog // by zone
	versions      int
	successors    int
	events        []string
	violations    []string
}

// slot is a node's place: its processes, one after the other.
type nodeSlot struct {
	index     int
	zone      string
	address   string
	processes []*Process
	available bool // ready, and not about to end
	draining  bool
	diedAt    time.Time
}

func (n *nodeSlot) process() *Process { return n.processes[len(n.processes)-1] }

// Check says whether a scenario can be played with real processes.
func Check(s *scenario.Scenario) error {
	switch {
	case s.Fleet.Nodes > MaxNodes:
		return fmt.Errorf("fleet: %w: %d nodes, at most %d", ErrTooLarge, s.Fleet.Nodes, MaxNodes)
	case s.Servers.Count > MaxServers:
		return fmt.Errorf("fleet: %w: %d servers, at most %d", ErrTooLarge, s.Servers.Count, MaxServers)
	case s.Traffic.Rate > MaxRate:
		return fmt.Errorf("fleet: %w: %v requests a second, at most %d", ErrTooLarge, s.Traffic.Rate, MaxRate)
	}
	for _, e := range s.Events {
		if e.Action == "cut" {
			return errors.New("fleet: the event cut is played with hollow nodes only")
		}
	}
	return nil
}

// Run plays a scenario and ends all that it started, however it ends. Its
// error says that the run could not be made; what did not hold is in the
// result's Broken.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (_ *result.Run, err error) {
	began := time.Now()
	if err := Check(s); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bankshift-lab-")
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	m := &run{scenario: s, ctx: ctx, path: o.Node, dir: dir, epoch: time.Now(), keyStores: map[string]*model.KeyStore{},
		executionLogs: map[string]*emulator.ExecutionLog{}}
	if m.path == "" {
		if m.path, err = Build(ctx, dir); err != nil {
			cancel()
			return nil, err
		}
	}
	// Events are over before what they act on is taken down, nodes end before
	// what they talk to.
	defer func() {
		m.endSteps()
		cancel()
		m.killNodes()
		m.closeServers()
	}()
	if err := m.setUp(); err != nil {
		return nil, err
	}
	soonest, last := m.nodes[0].process().Ready, time.Duration(0)
	for _, n := range m.nodes {
		soonest, last = min(soonest, n.process().Ready), max(last, n.process().Ready)
	}
	m.events = append(m.events, fmt.Sprintf("nodes ready %v to %v after their starts, with GOMAXPROCS=%d and no other limit of the processor",
		soonest.Round(time.Millisecond/10), last.Round(time.Millisecond/10), m.threads()))
	x := newMeasure(m)
	stream := m.drawRequests(x)
	m.trafficStart = time.Now()
	for i := range s.Events {
		m.scheduleEvent(i)
	}
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		x.sample(ctx)
	}()
	aim := s.Classes[0].LatencyObjective
	for _, c := range s.Classes {
		aim = min(aim, c.LatencyObjective)
	}
	report, err := load.Play(ctx, load.Config{Route: m.route, Connections: s.Traffic.Connections, Retries: s.Traffic.Retries,
		Backoff: s.Traffic.Backoff.Std(), MarkRetries: true, Slack: answerSlack, MaxSendDelay: time.Duration(maxSendDelayFraction * float64(aim)),
		ServiceTimeHeader: emulator.ServiceTimeHeader, Done: x.recordResult}, stream)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	<-sampled
	m.endSteps()
	m.stopNodes()
	r := x.finish(report, stream)
	r.Cost.Seconds = time.Since(began).Seconds()
	return r, nil
}

// setUp starts servers, discovery and nodes, and waits until the nodes are ready.
func (m *run) setUp() error {
	s := m.scenario
	cost, parts := 0.0, 0.0
	for _, c := range s.Classes {
		cost, parts = cost+c.Share*c.Work.Seconds(), parts+c.Share
	}
	m.meanCost = time.Duration(cost / parts * float64(time.Second))
	var err error
	if m.registry, err = emulator.NewRegistry(emulator.RegistryConfig{Epoch: m.epoch, Rand: m.rand(3 << 32),
		RegistryConfig: model.RegistryConfig{Nodes: s.Fleet.Nodes, OnDemand: s.Discovery.OnDemand, Delay: s.Discovery.Delay.Std(),
			DelaySpread: s.Discovery.DelaySpread.Std(), ResponseTime: s.Discovery.ResponseTime.Std()}}); err != nil {
		return err
	}
	var entries []model.Entry
	for i := range s.Servers.Count {
		sv, err := m.newServer(i)
		if err != nil {
			return err
		}
		m.current = append(m.current, sv)
		sv.entry.Status = model.Ready
		entries = append(entries, sv.entry)
	}
	if err := m.registry.Change(entries...); err != nil {
		return err
	}
	if err := m.sleep(s.Discovery.Delay.Std() + s.Discovery.DelaySpread.Std()); err != nil { // the agents have been told
		return err
	}
	addresses, err := FreeAddresses(s.Fleet.Nodes)
	if err != nil {
		return err
	}
	for i, a := range addresses {
		m.nodes = append(m.nodes, &nodeSlot{index: i, zone: s.Node(i).Zone, address: a})
	}
	errs := make(chan error, len(m.nodes))
	for _, n := range m.nodes {
		go func() {
			err := m.sleep(time.Duration(n.index) * s.Fleet.StartSpread.Std() / time.Duration(len(m.nodes)))
			if err == nil {
				err = m.startNode(n)
			}
			errs <- err
		}()
	}
	for range m.nodes {
		err = errors.Join(err, <-errs)
	}
	if err != nil {
		return err
	}
	return m.sleep(settle)
}

func (m *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

// startNode starts a node's next process and waits until it is ready.
func (m *run) startNode(n *nodeSlot) error {
	known, err := m.knownList()
	if err != nil {
		return err
	}
	m.mu.Lock()
	start := len(n.processes)
	m.mu.Unlock()
	config, err := m.scenario.NodeConfig(n.index, scenario.NodeStart{Incarnation: start, Listen: n.address, Discovery: m.registry.Addr(n.index), KnownList: known})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	began := time.Now()
	p, err := Start(m.ctx, m.path, m.dir, m.scenario.Node(n.index).Name, n.address, config, m.threads())
	if err != nil {
		return err
	}
	m.mu.Lock()
	n.processes = append(n.processes, p)
	m.mu.Unlock()
	if err := p.AwaitReady(m.ctx, began); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	n.available, n.draining = true, false
	return nil
}

// threads is what a node's runtime gets: the whole cores that hold its part of
// one, as on the platform, where it sees a machine of its own.
func (m *run) threads() int { return max(1, int(math.Ceil(m.scenario.Fleet.Cores))) }

// known is the list now, as a configuration has it.
func (m *run) knownList() (json.RawMessage, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := struct {
		Index    uint64        `json:"index"`
		Snapshot bool          `json:"snapshot"`
		Entries  []model.Entry `json:"endpoints"`
	}{Index: m.registry.Version(), Snapshot: true, Entries: []model.Entry{}}
	for _, sv := range m.current {
		if sv.entry.Status != model.Removed {
			list.Entries = append(list.Entries, sv.entry)
		}
	}
	return json.Marshal(list)
}

// route deals out clients' connections as a front does: away from a node that
// is about to end at once, from one that died only after some time. Another is
// of the same zone while there is one.
func (m *run) route(r *load.Request, try int) (int, string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := m.nodes[r.Node]
	if n.available || !n.draining && try == 0 && time.Since(n.diedAt) < m.scenario.Traffic.FailoverDelay.Std() {
		return n.index, n.address
	}
	var near, far []*nodeSlot
	for _, o := range m.nodes {
		switch {
		case !o.available:
		case o.zone == n.zone:
			near = append(near, o)
		default:
			far = append(far, o)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return n.index, ""
	}
	o := near[(int(r.At/time.Microsecond)+try)%len(near)]
	return o.index, o.address
}

// away ends a node with end and starts it again after the scenario's time.
func (m *run) restartNode(n *nodeSlot, planned bool, end func(p *Process) error) {
	m.mu.Lock()
	if !n.available || m.ended { // it is away already
		m.mu.Unlock()
		return
	}
	n.available, n.draining, n.diedAt = false, planned, time.Now()
	p := n.process()
	m.mu.Unlock()
	if err := end(p); err != nil {
		m.violation("%v", err)
	}
	if m.sleep(m.scenario.Fleet.RestartTime.Std()) != nil {
		return
	}
	if err := m.startNode(n); err != nil && m.ctx.Err() == nil {
		m.violation("%v", err)
	}
}

// stopNodes ends the nodes as a planned restart would, side by side. One that
// had ended before was not told to.
func (m *run) stopNodes() {
	var all sync.WaitGroup
	for _, n := range m.nodes {
		p := n.process()
		if !p.Alive() && n.available {
			m.violation("%s ended by itself: %v\n%s", p.Name, p.err, p.Log())
			continue
		}
		all.Add(1)
		go func() {
			defer all.Done()
			if err := p.Stop(m.ctx); err != nil && n.available {
				m.violation("%v", err)
			}
		}()
	}
	all.Wait()
}

// killNodes ends what is left of the nodes.
func (m *run) killNodes() {
	for _, n := range m.nodes {
		for _, p := range n.processes {
			p.Kill()
		}
	}
}

func (m *run) closeServers() {
	for _, sv := range m.servers {
		sv.process.Close() // a port lost at the end harms nobody
	}
	if m.registry != nil {
		m.registry.Close()
	}
}

// broke notes a rule that was broken.
func (m *run) violation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch line := fmt.Sprintf(format, args...); {
	case len(m.violations) < maxViolations:
		m.violations = append(m.violations, line)
	case len(m.violations) == maxViolations:
		m.violations = append(m.violations, "and more")
	}
}

// at has do run at a time of the traffic.
func (m *run) schedule(t time.Duration, do func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ended {
		return
	}
	m.steps.Add(1)
	m.timers = append(m.timers, time.AfterFunc(time.Until(m.trafficStart.Add(t)), func() {
		defer m.steps.Done()
		do()
	}))
}

// endSteps calls off the steps to come and waits for those under way.
func (m *run) endSteps() {
	m.mu.Lock()
	m.ended = true
	timers := m.timers
	m.timers = nil
	m.mu.Unlock()
	for _, t := range timers {
		if t.Stop() {
			m.steps.Done()
		}
	}
	m.steps.Wait()
}

// ledger is that of a zone's servers.
func (m *run) executionLog(zone string) *emulator.ExecutionLog {
	if m.executionLogs[zone] == nil {
		m.executionLogs[zone] = &emulator.ExecutionLog{}
	}
	return m.executionLogs[zone]
}

// zones in the scenario's order.
func (m *run) zones() []string {
	var out []string
	for _, z := range m.scenario.Zones {
		if m.executionLogs[z.Name] != nil {
			out = append(out, z.Name)
		}
	}
	return slices.Clip(out)
}
