package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// server is one stand-in backend and its place in the list.
type server struct {
	identity scenario.Server
	process  *emulator.Server
	entry    model.Entry // of run.mu
	starts   int         // that are listed; of run.mu
}

func (m *run) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(m.scenario.Seed, stream)) }

// newServer starts server i, warm. It is not listed yet.
func (m *run) newServer(i int) (*server, error) {
	c, who := m.scenario.Servers, m.scenario.Server(i)
	m.mu.Lock()
	cfg := emulator.ServerConfig{Epoch: m.epoch, Rand: m.rand(4<<32 + uint64(i)), ExecutionLog: m.executionLog(who.Zone),
		ServerConfig: model.ServerConfig{Cores: who.MachineType.Cores, Speed: who.MachineType.Speed, QueueLimit: c.QueueLimit, MaxConnections: c.MaxConnections,
			Handshake: c.Handshake.Std(), IdleTimeout: c.IdleTimeout.Std(), ColdCapacity: c.ColdCapacity, WarmupTime: c.WarmupTime.Std(),
			CrashFactor: c.CrashFactor, CrashWindow: c.CrashWindow.Std(), CrashDowntime: c.CrashDowntime.Std(), MeanCost: m.meanCost,
			FailureRate: c.FailureRate}}
	if c.Deduplicate {
		cfg.KeyStores = [...]*model.KeyStore{model.ScopeAll: m.keyStore("all"), model.ScopeZone: m.keyStore("zone " + who.Zone),
			model.ScopeCell: m.keyStore(fmt.Sprint("cell ", who.Cell))}
	}
	m.mu.Unlock()
	at, err := emulator.NewServer(cfg)
	if err != nil {
		return nil, err
	}
	sv := &server{identity: who, process: at, entry: model.Entry{Name: who.Name, Address: at.Addr(), Zone: who.Zone, Type: who.MachineType.Name,
		Group: who.Cell, Weight: float64(who.MachineType.Cores) * who.MachineType.Speed}}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers = append(m.servers, sv)
	return sv, nil
}

func (m *run) keyStore(scope string) *model.KeyStore {
	if m.keyStores[scope] == nil {
		m.keyStores[scope] = &model.KeyStore{}
	}
	return m.keyStores[scope]
}

// list changes a server's entry and tells discovery, as one version.
func (m *run) publish(sv *server, change func(*model.Entry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sv.entry.Status == model.Removed {
		return
	}
	change(&sv.entry)
	m.versions++
	if err := m.registry.Change(sv.entry); err != nil {
		m.violations = append(m.violations, err.Error()) // the lab's own entries
	}
}

// start starts a server's process, cold, and lists it so.
func (m *run) startServer(sv *server) {
	m.mu.Lock()
	gone := sv.entry.Status == model.Removed
	m.mu.Unlock()
	if gone { // it was replaced meanwhile
		return
	}
	sv.process.Start()
	m.publishStart(sv)
}

// listStart lists a start that has been, if there is one.
func (m *run) publishStart(sv *server) {
	starts := sv.process.Stats().Starts
	m.mu.Lock()
	listed := sv.starts == starts
	sv.starts = starts
	m.mu.Unlock()
	if !listed {
		m.publish(sv, func(e *model.Entry) {
			e.SinceMS = time.Now().UnixMilli()
			if e.Status == "" {
				e.Status = model.Ready
			}
		})
	}
}

// watch lists servers that start by themselves, after they had fallen over.
func (m *run) publishRestarts(until time.Duration) {
	m.mu.Lock()
	servers := append([]*server(nil), m.servers...)
	m.mu.Unlock()
	for _, sv := range servers {
		m.publishStart(sv)
	}
	if now := time.Since(m.trafficStart); now < until {
		m.schedule(now+restartCheckInterval, func() { m.publishRestarts(until) })
	}
}

// plan has an event's steps happen.
func (m *run) scheduleEvent(i int) {
	e, strikes := m.scenario.Events[i], m.scenario.Steps(i)
	status := func(s string) func(*model.Entry) { return func(e *model.Entry) { e.Status = s } }
	for _, k := range strikes {
		both := func(do func(on bool)) {
			m.schedule(k.At, func() { do(true) })
			m.schedule(k.Until, func() { do(false) })
		}
		// The server that is there as the step begins is meant, not its successor.
		each := func(do, end func(*server)) {
			m.schedule(k.At, func() {
				m.mu.Lock()
				sv := m.current[k.Index]
				m.mu.Unlock()
				do(sv)
				if end != nil {
					m.schedule(k.Until, func() { end(sv) })
				}
			})
		}
		switch e.Action {
		case "restart-servers":
			each(func(sv *server) { sv.process.Kill() }, m.startServer)
		case "lose-servers":
			each(func(sv *server) { sv.process.Disconnect() }, m.startServer)
		case "replace-servers":
			each(func(sv *server) { m.replaceServer(sv, k.Index) }, nil)
		case "drain-servers":
			each(func(sv *server) { m.publish(sv, status(model.Draining)) }, func(sv *server) { m.publish(sv, status(model.Ready)) })
		case "hang-servers":
			each(func(sv *server) { sv.process.SetHung(true) }, func(sv *server) { sv.process.SetHung(false) })
		case "slow-servers":
			each(func(sv *server) { sv.process.SetSlowdown(e.Factor) }, func(sv *server) { sv.process.SetSlowdown(1) })
		case "fail-servers":
			each(func(sv *server) { sv.process.SetFailureRate(1) }, func(sv *server) { sv.process.SetFailureRate(-1) })
		case "kill-nodes":
			m.schedule(k.At, func() { m.restartNode(m.nodes[k.Index], false, func(p *Process) error { p.Kill(); return nil }) })
		case "restart-nodes":
			m.schedule(k.At, func() { m.restartNode(m.nodes[k.Index], true, func(p *Process) error { return p.Stop(m.ctx) }) })
		case "change-lists":
			each(func(sv *server) {
				m.publish(sv, func(e *model.Entry) { e.Weight = 1 + 0.01*float64(m.versions%10) })
			}, nil)
		case "discovery-down":
			both(m.registry.SetRefusing)
		case "discovery-silent":
			both(m.registry.SetSilent)
		case "watches-break":
			m.schedule(k.At, m.registry.ResetWatches)
		case "burst": // the arrivals have it
		}
	}
	line := fmt.Sprintf("%v %s", e.At, e.Action)
	if strikes[0].Index >= 0 {
		line += fmt.Sprintf(": %d", len(strikes))
	}
	if e.Duration > 0 {
		line += fmt.Sprintf(", for %v", e.Duration)
	}
	m.events = append(m.events, line)
}

// replace drains a server, ends it after twice the grace, and starts its
// successor, under a new name, in its place.
func (m *run) replaceServer(sv *server, place int) {
	m.publish(sv, func(e *model.Entry) { e.Status = model.Draining })
	m.schedule(time.Since(m.trafficStart)+2*m.scenario.Discovery.DrainGrace.Std(), func() {
		sv.process.Kill()
		m.publish(sv, func(e *model.Entry) { e.Status = model.Removed })
		m.mu.Lock()
		m.successors++
		number := place + m.successors*m.scenario.Servers.Count
		m.mu.Unlock()
		next, err := m.newServer(number)
		if err != nil {
			m.violation("%v", err)
			return
		}
		m.mu.Lock()
		m.current[place] = next
		m.mu.Unlock()
		m.startServer(next)
	})
}
