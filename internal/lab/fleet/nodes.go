package fleet

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"sync"
	"time"

	"bankshift/internal/lab/load"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// nodeSlot is one node of the scenario, with the processes that have run as this
// node one after the other. run.mu guards the fields below address.
type nodeSlot struct {
	index   int
	zone    string
	address string

	processes        []*Process
	available        bool      // ready, and not being stopped
	draining         bool      // a graceful restart has begun, and the next process is not ready yet
	unavailableSince time.Time // when the node last became unavailable
}

// process returns the node's latest process.
func (n *nodeSlot) process() *Process { return n.processes[len(n.processes)-1] }

// startNodes starts all nodes, spread evenly over the scenario's StartSpread, and
// waits until they are ready.
func (m *run) startNodes() error {
	addresses, err := FreeAddresses(m.scenario.Fleet.Nodes)
	if err != nil {
		return err
	}
	for i, address := range addresses {
		m.nodes = append(m.nodes, &nodeSlot{index: i, zone: m.scenario.Node(i).Zone, address: address})
	}
	errs := make(chan error, len(m.nodes))
	for _, n := range m.nodes {
		go func() {
			err := m.sleep(time.Duration(n.index) * m.scenario.Fleet.StartSpread.Std() / time.Duration(len(m.nodes)))
			if err == nil {
				err = m.startNode(n)
			}
			errs <- err
		}()
	}
	var all error
	for range m.nodes {
		all = errors.Join(all, <-errs)
	}
	return all
}

// startNode starts a new process for a node and waits until it is ready.
func (m *run) startNode(n *nodeSlot) error {
	known := m.knownList()
	m.mu.Lock()
	incarnation := len(n.processes)
	m.mu.Unlock()
	config, err := m.scenario.NodeConfig(n.index, scenario.NodeStartParams{
		Incarnation: incarnation,
		Listen:      n.address,
		Discovery:   m.registry.Addr(n.index),
		KnownList:   known,
	})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	began := time.Now()
	p, err := Start(m.ctx, m.program, m.dir, m.scenario.Node(n.index).Name, n.address, config, m.maxProcs())
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
	n.available = true
	n.draining = false
	return nil
}

// maxProcs returns the GOMAXPROCS of a node: its cores, which may be a fraction,
// rounded up, as on the platform, where a node sees a machine of its own.
func (m *run) maxProcs() int { return max(1, int(math.Ceil(m.scenario.Fleet.Cores))) }

// knownList returns the current list in the form of a node's configuration.
func (m *run) knownList() json.RawMessage {
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []model.Entry
	for _, sv := range m.currentServers {
		if sv.entry.Status != model.Removed {
			entries = append(entries, sv.entry)
		}
	}
	return model.EncodeSnapshot(m.registry.Version(), entries)
}

// describeStart returns the entry of the event log that says how long the nodes
// took to become ready.
func (m *run) describeStart() string {
	const precision = time.Millisecond / 10
	shortest := m.nodes[0].process().Ready
	longest := time.Duration(0)
	for _, n := range m.nodes {
		ready := n.process().Ready
		shortest = min(shortest, ready)
		longest = max(longest, ready)
	}
	return fmt.Sprintf("nodes ready %v to %v after their starts, with GOMAXPROCS=%d and no other limit of the processor",
		shortest.Round(precision), longest.Round(precision), m.maxProcs())
}

// route assigns clients' connections to nodes, as a load balancer in front of
// the nodes does: it avoids a node as soon as a graceful shutdown begins, but
// still sends first tries to a killed node until the failover delay has passed.
// See load.Config.Route.
func (m *run) route(r *load.Request, try int) (node int, address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.nodes[r.Node]
	undetected := !own.draining && try == 0 && time.Since(own.unavailableSince) < m.scenario.Traffic.FailoverDelay.Std()
	if own.available || undetected {
		return own.index, own.address
	}
	available := func(n *nodeSlot) bool { return n.available }
	sameZone := func(n *nodeSlot) bool { return n.zone == own.zone }
	other, ok := setup.AlternativeNode(m.nodes, available, sameZone, int(r.At/time.Microsecond)+try)
	if !ok {
		return own.index, ""
	}
	return other.index, other.address
}

// restartNode ends a node's process with stop and starts the next one after the
// scenario's restart time. It does nothing if the node is unavailable already.
func (m *run) restartNode(n *nodeSlot, draining bool, stop func(p *Process) error) {
	m.mu.Lock()
	if !n.available || m.stepsEnded {
		m.mu.Unlock()
		return
	}
	n.available = false
	n.draining = draining
	n.unavailableSince = time.Now()
	p := n.process()
	m.mu.Unlock()
	if err := stop(p); err != nil {
		m.recordViolation("%v", err)
	}
	if m.sleep(m.scenario.Fleet.RestartTime.Std()) != nil {
		return
	}
	if err := m.startNode(n); err != nil && m.ctx.Err() == nil {
		m.recordViolation("%v", err)
	}
}

// stopNodes shuts all nodes down in parallel, as a planned restart does. It
// records a violation for each node that had exited without being stopped.
func (m *run) stopNodes() {
	var stopping sync.WaitGroup
	for _, n := range m.nodes {
		p := n.process()
		if !p.Alive() && n.available {
			m.recordViolation("%s ended by itself: %v\n%s", p.Name, p.err, p.Log())
			continue
		}
		stopping.Add(1)
		go func() {
			defer stopping.Done()
			if err := p.Stop(m.ctx); err != nil && n.available {
				m.recordViolation("%v", err)
			}
		}()
	}
	stopping.Wait()
}

// killNodes kills all node processes that are still running.
func (m *run) killNodes() {
	for _, n := range m.nodes {
		for _, p := range n.processes {
			p.Kill()
		}
	}
}
