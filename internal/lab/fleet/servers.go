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
	who    scenario.Server
	at     *emulator.Server
	entry  model.Entry // of run.mu
	starts int         // that are listed; of run.mu
}

func (m *run) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(m.s.Seed, stream)) }

// newServer starts server i, warm. It is not listed yet.
func (m *run) newServer(i int) (*server, error) {
	c, who := m.s.Servers, m.s.Server(i)
	m.mu.Lock()
	cfg := emulator.ServerConfig{Epoch: m.epoch, Rand: m.rand(4<<32 + uint64(i)), ExecutionLog: m.ledger(who.Zone),
		ServerConfig: model.ServerConfig{Cores: who.Kind.Cores, Speed: who.Kind.Speed, QueueLimit: c.Queue, MaxConnections: c.Connections,
			Handshake: c.Handshake.Std(), IdleTimeout: c.IdleClose.Std(), ColdCapacity: c.ColdFrom, WarmupTime: c.ColdTime.Std(),
			CrashFactor: c.FallFactor, CrashWindow: c.FallTime.Std(), CrashDowntime: c.FallRest.Std(), MeanCost: m.meanCost,
			FailureRate: c.FailingPart}}
	if c.Dedup {
		cfg.KeyStores = [...]*model.KeyStore{model.ScopeAll: m.keysOf("all"), model.ScopeZone: m.keysOf("zone " + who.Zone),
			model.ScopeCell: m.keysOf(fmt.Sprint("cell ", who.Cell))}
	}
	m.mu.Unlock()
	at, err := emulator.NewServer(cfg)
	if err != nil {
		return nil, err
	}
	sv := &server{who: who, at: at, entry: model.Entry{Name: who.Name, Address: at.Addr(), Zone: who.Zone, Type: who.Kind.Name,
		Group: who.Cell, Weight: float64(who.Kind.Cores) * who.Kind.Speed}}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers = append(m.servers, sv)
	return sv, nil
}

func (m *run) keysOf(scope string) *model.KeyStore {
	if m.keys[scope] == nil {
		m.keys[scope] = &model.KeyStore{}
	}
	return m.keys[scope]
}

// list changes a server's entry and tells discovery, as one version.
func (m *run) list(sv *server, change func(*model.Entry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sv.entry.Status == model.Removed {
		return
	}
	change(&sv.entry)
	m.versions++
	if err := m.registry.Change(sv.entry); err != nil {
		m.broken = append(m.broken, err.Error()) // the lab's own entries
	}
}

// start starts a server's process, cold, and lists it so.
func (m *run) start(sv *server) {
	m.mu.Lock()
	gone := sv.entry.Status == model.Removed
	m.mu.Unlock()
	if gone { // it was replaced meanwhile
		return
	}
	sv.at.Start()
	m.listStart(sv)
}

// listStart lists a start that has been, if there is one.
func (m *run) listStart(sv *server) {
	starts := sv.at.Stats().Starts
	m.mu.Lock()
	listed := sv.starts == starts
	sv.starts = starts
	m.mu.Unlock()
	if !listed {
		m.list(sv, func(e *model.Entry) {
			e.SinceMS = time.Now().UnixMilli()
			if e.Status == "" {
				e.Status = model.Ready
			}
		})
	}
}

// watch lists servers that start by themselves, after they had fallen over.
func (m *run) watch(until time.Duration) {
	m.mu.Lock()
	servers := append([]*server(nil), m.servers...)
	m.mu.Unlock()
	for _, sv := range servers {
		m.listStart(sv)
	}
	if now := time.Since(m.t0); now < until {
		m.at(now+watchStep, func() { m.watch(until) })
	}
}

// plan has an event's steps happen.
func (m *run) plan(i int) {
	e, strikes := m.s.Events[i], m.s.Strikes(i)
	status := func(s string) func(*model.Entry) { return func(e *model.Entry) { e.Status = s } }
	for _, k := range strikes {
		both := func(do func(on bool)) {
			m.at(k.At, func() { do(true) })
			m.at(k.Until, func() { do(false) })
		}
		// The server that is there as the step begins is meant, not its successor.
		each := func(do, end func(*server)) {
			m.at(k.At, func() {
				m.mu.Lock()
				sv := m.places[k.Index]
				m.mu.Unlock()
				do(sv)
				if end != nil {
					m.at(k.Until, func() { end(sv) })
				}
			})
		}
		switch e.Do {
		case "restart-servers":
			each(func(sv *server) { sv.at.Kill() }, m.start)
		case "lose-servers":
			each(func(sv *server) { sv.at.Disconnect() }, m.start)
		case "replace-servers":
			each(func(sv *server) { m.replace(sv, k.Index) }, nil)
		case "drain-servers":
			each(func(sv *server) { m.list(sv, status(model.Draining)) }, func(sv *server) { m.list(sv, status(model.Ready)) })
		case "hang-servers":
			each(func(sv *server) { sv.at.SetHung(true) }, func(sv *server) { sv.at.SetHung(false) })
		case "slow-servers":
			each(func(sv *server) { sv.at.SetSlowdown(e.By) }, func(sv *server) { sv.at.SetSlowdown(1) })
		case "fail-servers":
			each(func(sv *server) { sv.at.SetFailureRate(1) }, func(sv *server) { sv.at.SetFailureRate(-1) })
		case "kill-nodes":
			m.at(k.At, func() { m.away(m.nodes[k.Index], false, func(p *Process) error { p.Kill(); return nil }) })
		case "restart-nodes":
			m.at(k.At, func() { m.away(m.nodes[k.Index], true, func(p *Process) error { return p.Stop(m.ctx) }) })
		case "change-lists":
			each(func(sv *server) {
				m.list(sv, func(e *model.Entry) { e.Weight = 1 + 0.01*float64(m.versions%10) })
			}, nil)
		case "discovery-down":
			both(m.registry.SetRefusing)
		case "discovery-silent":
			both(m.registry.SetSilent)
		case "watches-break":
			m.at(k.At, m.registry.ResetWatches)
		case "burst": // the arrivals have it
		}
	}
	line := fmt.Sprintf("%v %s", e.At, e.Do)
	if strikes[0].Index >= 0 {
		line += fmt.Sprintf(": %d", len(strikes))
	}
	if e.For > 0 {
		line += fmt.Sprintf(", for %v", e.For)
	}
	m.events = append(m.events, line)
}

// replace drains a server, ends it after twice the grace, and starts its
// successor, under a new name, in its place.
func (m *run) replace(sv *server, place int) {
	m.list(sv, func(e *model.Entry) { e.Status = model.Draining })
	m.at(time.Since(m.t0)+2*m.s.Disco.DrainGrace.Std(), func() {
		sv.at.Kill()
		m.list(sv, func(e *model.Entry) { e.Status = model.Removed })
		m.mu.Lock()
		m.successor++
		number := place + m.successor*m.s.Servers.Count
		m.mu.Unlock()
		next, err := m.newServer(number)
		if err != nil {
			m.broke("%v", err)
			return
		}
		m.mu.Lock()
		m.places[place] = next
		m.mu.Unlock()
		m.start(next)
	})
}
