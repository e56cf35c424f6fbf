package hollow

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"bankshift/internal/discovery"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// server is one backend and its place in the list.
type server struct {
	scenario.Server
	zone  int
	model *model.Server
	wake  time.Duration // when it is looked at next
	out   map[uint64]*attempt

	entry   model.Entry
	since   time.Duration // its start as it is listed
	left    uint64        // the version that told it as draining or gone; 0: it is ready
	started uint64        // the version that told its last start
	lostAt  time.Duration // when its machine vanished last; below 0: never
	falls   int
	pushes  []push // to it, cold, in the last FallTime
}

// push is a message that reached a cold server.
type push struct {
	at   time.Duration
	told bool // its node had been told of the start
}

func (m *sim) buildServers() {
	s := m.s
	mean, parts := 0.0, 0.0
	for _, c := range s.Classes {
		mean, parts = mean+c.Part*c.Work.Seconds(), parts+c.Part
	}
	m.meanCost = time.Duration(mean / parts * float64(time.Second))
	m.keys = map[string]*model.KeyStore{}
	var entries []model.Entry
	for i := range s.Servers.Count {
		sv := m.newServer(i)
		m.places = append(m.places, sv)
		sv.entry.Status = model.Ready
		entries = append(entries, sv.entry)
	}
	m.publish(entries...)
}

// newServer makes a server that is not listed yet, warm.
func (m *sim) newServer(i int) *server {
	c := m.s.Servers
	who := m.s.Server(i)
	sv := &server{Server: who, zone: m.zoneOf[who.Zone], wake: discovery.Never, out: map[uint64]*attempt{}, lostAt: -1}
	cfg := model.ServerConfig{Cores: who.Kind.Cores, Speed: who.Kind.Speed, QueueLimit: c.Queue, MaxConnections: c.Connections,
		Handshake: c.Handshake.Std(), IdleTimeout: c.IdleClose.Std(), ColdCapacity: c.ColdFrom, WarmupTime: c.ColdTime.Std(),
		CrashFactor: c.FallFactor, CrashWindow: c.FallTime.Std(), CrashDowntime: c.FallRest.Std(), MeanCost: m.meanCost, FailureRate: c.FailingPart}
	if c.Dedup {
		cfg.KeyStores = [...]*model.KeyStore{model.ScopeAll: m.keysOf("all"), model.ScopeZone: m.keysOf(who.Zone),
			model.ScopeCell: m.keysOf(fmt.Sprint(who.Cell))}
	}
	sv.model = model.NewServer(cfg, rand.New(rand.NewPCG(m.s.Seed, 4<<32+uint64(i))))
	// Discovery wants an address; nothing is ever dialled there.
	sv.entry = model.Entry{Name: who.Name, Address: fmt.Sprintf("10.%d.%d.%d:5000", i>>16&255, i>>8&255, i&255), Zone: who.Zone,
		Type: who.Kind.Name, Group: who.Cell, Weight: float64(who.Kind.Cores) * who.Kind.Speed}
	m.servers = append(m.servers, sv)
	m.byName[who.Name] = sv
	return sv
}

func (m *sim) keysOf(scope string) *model.KeyStore {
	if m.keys[scope] == nil {
		m.keys[scope] = &model.KeyStore{}
	}
	return m.keys[scope]
}

// publish tells discovery of entries, as one version.
func (m *sim) publish(entries ...model.Entry) {
	if err := m.registry.Change(m.now, entries...); err != nil {
		panic(err) // the lab's own entries
	}
	m.versions = append(m.versions, m.now)
	m.wakeRegistry()
}

// status lists a server anew.
func (m *sim) status(sv *server, status string) {
	sv.entry.Status = status
	m.publish(sv.entry)
	if sv.left = 0; status != model.Ready {
		sv.left = m.registry.Version()
	}
}

// start starts a server's process, cold, and lists it so.
func (m *sim) start(sv *server) {
	if sv.entry.Status == model.Removed {
		return // it was replaced meanwhile
	}
	sv.model.Start(m.now)
	m.wakeServer(sv)
	m.startSeen(sv)
}

// startSeen lists a start that has been.
func (m *sim) startSeen(sv *server) {
	at, ok := sv.model.Started()
	if !ok || at == sv.since && sv.started > 0 {
		return
	}
	sv.since, sv.pushes = at, nil
	sv.entry.SinceMS = (epoch + at).Milliseconds()
	m.status(sv, cmp.Or(sv.entry.Status, model.Ready))
	sv.started = m.registry.Version()
}

// wakeServer has a server looked at when its model next does something.
func (m *sim) wakeServer(sv *server) {
	t, ok := sv.model.Next()
	if !ok || t >= sv.wake {
		return
	}
	sv.wake = t
	m.at(t, func() {
		if sv.wake != t {
			return // it was woken earlier
		}
		sv.wake = discovery.Never
		for _, reply := range sv.model.Advance(m.now) {
			if a := sv.out[reply.ID]; a != nil {
				delete(sv.out, reply.ID)
				m.reply(a, reply)
			}
		}
		m.startSeen(sv)
		m.wakeServer(sv)
	})
}

// reach tells whether messages pass between two zones.
func (m *sim) reach(a, b int) bool {
	for _, inside := range m.cuts {
		if inside != nil && inside[a] != inside[b] {
			return false
		}
	}
	return true
}

// delay draws the one way between two zones.
func (m *sim) delay(a, b int) time.Duration {
	return m.delays[a][b] + time.Duration(m.rng.ExpFloat64()*float64(m.s.Net.Jitter))
}

// wakeRegistry has discovery looked at when it next does something.
func (m *sim) wakeRegistry() {
	t, ok := m.registry.Next()
	if !ok || t >= m.regWake {
		return
	}
	m.regWake = t
	m.at(t, func() {
		if m.regWake != t {
			return
		}
		m.regWake = discovery.Never
		for _, a := range m.registry.Advance(m.now) {
			m.nodes[a.Node].told(a)
		}
		m.wakeRegistry()
	})
}

// decode reads a list, once for all nodes that get the same one after another.
func (m *sim) decode(body []byte) (discovery.List, error) {
	if len(m.body) > 0 && len(body) > 0 && &m.body[0] == &body[0] {
		return m.list, nil
	}
	m.list = discovery.List{}
	if err := json.Unmarshal(body, &m.list); err != nil {
		return m.list, err
	}
	m.body = body
	return m.list, nil
}

// stop is a time in which nodes learn nothing.
type stop struct {
	from, to time.Duration
	inside   []bool // zones whose nodes; nil: all
}

// toldAt is when a version counts as told to a node: when its agent has it
// or, where lists are asked for, when the node does.
func (m *sim) toldAt(n *hnode, version uint64) time.Duration {
	if m.s.Disco.Asked {
		if n.version >= version {
			return n.learned(version)
		}
		return m.versions[version] + 4*m.s.Disco.AskWithin.Std() // after failed calls, with no watch
	}
	t := m.versions[version] + m.registry.Delay(n.index)
	for again := true; again; {
		again = false
		for _, st := range m.stops {
			if t >= st.from && t < st.to && (st.inside == nil || st.inside[n.zone]) {
				t, again = st.to, true
			}
		}
	}
	return max(t, n.born)
}

// plan has an event's steps happen.
func (m *sim) plan(i int) {
	e := m.s.Events[i]
	strikes := m.s.Strikes(i)
	for _, k := range strikes {
		at, until := m.t0+k.At, m.t0+k.Until
		on := func(do func()) { m.at(at, do) }
		off := func(do func()) { m.at(until, do) }
		// A server that was there as the step began is meant, not its successor.
		each := func(do func(*server), end func(*server)) {
			on(func() {
				sv := m.places[k.Index]
				do(sv)
				m.wakeServer(sv)
				if end != nil {
					m.at(until, func() { end(sv); m.wakeServer(sv) })
				}
			})
		}
		switch e.Do {
		case "restart-servers":
			each(func(sv *server) { sv.model.Kill(m.now) }, m.start)
		case "replace-servers":
			each(func(sv *server) { m.replace(sv, k.Index) }, nil)
		case "drain-servers":
			each(func(sv *server) { m.status(sv, model.Draining) }, func(sv *server) {
				if sv.entry.Status == model.Draining {
					m.status(sv, model.Ready)
				}
			})
		case "hang-servers":
			each(func(sv *server) { sv.model.SetHung(m.now, true) }, func(sv *server) { sv.model.SetHung(m.now, false) })
		case "slow-servers":
			each(func(sv *server) { sv.model.SetSlowdown(m.now, e.By) }, func(sv *server) { sv.model.SetSlowdown(m.now, 1) })
		case "fail-servers":
			each(func(sv *server) { sv.model.SetFailureRate(m.now, 1) }, func(sv *server) { sv.model.SetFailureRate(m.now, -1) })
		case "lose-servers":
			each(func(sv *server) { sv.lostAt = m.now; sv.model.Disconnect(m.now) }, m.start)
		case "cut":
			m.planCut(e, at, until)
		case "kill-nodes":
			on(func() { m.nodes[k.Index].kill() })
		case "restart-nodes":
			on(func() { m.nodes[k.Index].leave() })
		case "change-lists":
			on(func() {
				if sv := m.places[k.Index]; sv.entry.Status != model.Removed {
					sv.entry.Weight = 1 + 0.01*float64(len(m.versions)%10)
					m.publish(sv.entry)
				}
			})
		case "discovery-down":
			m.stops = append(m.stops, stop{from: at, to: until})
			on(func() { m.registry.SetRefusing(m.now, true); m.wakeRegistry() })
			off(func() { m.registry.SetRefusing(m.now, false); m.wakeRegistry() })
		case "discovery-silent":
			m.stops = append(m.stops, stop{from: at, to: until})
			on(func() { m.registry.SetSilent(m.now, true); m.wakeRegistry() })
			off(func() { m.registry.SetSilent(m.now, false); m.wakeRegistry() })
		case "watches-break":
			on(func() { m.registry.ResetWatches(m.now); m.wakeRegistry() })
		case "burst": // the arrivals have it
		}
	}
	line := fmt.Sprintf("%v %s", e.At, e.Do)
	if strikes[0].Index >= 0 {
		line += fmt.Sprintf(": %d", len(strikes))
	}
	if last := strikes[len(strikes)-1]; e.Over > 0 {
		line += fmt.Sprintf(", the last at %v", last.At)
	}
	if e.For > 0 {
		line += fmt.Sprintf(", for %v", e.For)
	}
	m.struck = append(m.struck, line)
}

// replace drains a server, ends it after twice the grace, and starts its
// successor, under a new name, in its place.
func (m *sim) replace(sv *server, place int) {
	m.status(sv, model.Draining)
	m.at(m.now+2*m.s.Disco.DrainGrace.Std(), func() {
		sv.model.Kill(m.now)
		m.wakeServer(sv)
		m.status(sv, model.Removed)
		m.generations++
		next := m.newServer(place + m.generations*m.s.Servers.Count)
		m.places[place] = next
		m.start(next)
	})
}

func (m *sim) planCut(e scenario.Event, at, until time.Duration) {
	inside := make([]bool, len(m.s.Zones))
	for i, z := range m.s.Zones {
		inside[i] = z.Name == e.Zone || e.Region != "" && z.Region == e.Region
	}
	m.stops = append(m.stops, stop{at, until, inside})
	cut := func(on bool) {
		for _, n := range m.nodes {
			if inside[n.zone] {
				m.registry.SetIsolated(m.now, n.index, on)
			}
		}
		m.wakeRegistry()
	}
	place := len(m.cuts)
	m.cuts = append(m.cuts, nil)
	m.at(at, func() { m.cuts[place] = inside; cut(true) })
	m.at(until, func() { m.cuts[place] = nil; cut(false) })
}
