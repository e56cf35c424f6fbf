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
	zone     int
	model    *model.Server
	wakeAt   time.Duration // when it is looked at next
	inFlight map[uint64]*attempt

	entry        model.Entry
	startedAt    time.Duration // its start as it is listed
	leftVersion  uint64        // the version that told it as draining or gone; 0: it is ready
	startVersion uint64        // the version that told its last start
	vanishedAt   time.Duration // when its machine vanished last; below 0: never
	crashes      int
	coldSends    []coldSend // to it, cold, in the last FallTime
}

// push is a message that reached a cold server.
type coldSend struct {
	at       time.Duration
	notified bool // its node had been told of the start
}

func (m *sim) buildServers() {
	s := m.scenario
	mean, parts := 0.0, 0.0
	for _, c := range s.Classes {
		mean, parts = mean+c.Share*c.Work.Seconds(), parts+c.Share
	}
	m.meanCost = time.Duration(mean / parts * float64(time.Second))
	m.keyStores = map[string]*model.KeyStore{}
	var entries []model.Entry
	for i := range s.Servers.Count {
		sv := m.newServer(i)
		m.current = append(m.current, sv)
		sv.entry.Status = model.Ready
		entries = append(entries, sv.entry)
	}
	m.publish(entries...)
}

// newServer makes a server that is not listed yet, warm.
func (m *sim) newServer(i int) *server {
	c := m.scenario.Servers
	who := m.scenario.Server(i)
	sv := &server{Server: who, zone: m.zoneOf[who.Zone], wakeAt: discovery.Never, inFlight: map[uint64]*attempt{}, vanishedAt: -1}
	cfg := model.ServerConfig{Cores: who.MachineType.Cores, Speed: who.MachineType.Speed, QueueLimit: c.QueueLimit, MaxConnections: c.MaxConnections,
		Handshake: c.Handshake.Std(), IdleTimeout: c.IdleTimeout.Std(), ColdCapacity: c.ColdCapacity, WarmupTime: c.WarmupTime.Std(),
		CrashFactor: c.CrashFactor, CrashWindow: c.CrashWindow.Std(), CrashDowntime: c.CrashDowntime.Std(), MeanCost: m.meanCost, FailureRate: c.FailureRate}
	if c.Deduplicate {
		cfg.KeyStores = [...]*model.KeyStore{model.ScopeAll: m.keyStore("all"), model.ScopeZone: m.keyStore(who.Zone),
			model.ScopeCell: m.keyStore(fmt.Sprint(who.Cell))}
	}
	sv.model = model.NewServer(cfg, rand.New(rand.NewPCG(m.scenario.Seed, 4<<32+uint64(i))))
	// Discovery wants an address; nothing is ever dialled there.
	sv.entry = model.Entry{Name: who.Name, Address: fmt.Sprintf("10.%d.%d.%d:5000", i>>16&255, i>>8&255, i&255), Zone: who.Zone,
		Type: who.MachineType.Name, Group: who.Cell, Weight: float64(who.MachineType.Cores) * who.MachineType.Speed}
	m.servers = append(m.servers, sv)
	m.byName[who.Name] = sv
	return sv
}

func (m *sim) keyStore(scope string) *model.KeyStore {
	if m.keyStores[scope] == nil {
		m.keyStores[scope] = &model.KeyStore{}
	}
	return m.keyStores[scope]
}

// publish tells discovery of entries, as one version.
func (m *sim) publish(entries ...model.Entry) {
	if err := m.registry.Change(m.now, entries...); err != nil {
		panic(err) // the lab's own entries
	}
	m.versionTimes = append(m.versionTimes, m.now)
	m.wakeRegistry()
}

// status lists a server anew.
func (m *sim) setStatus(sv *server, status string) {
	sv.entry.Status = status
	m.publish(sv.entry)
	if sv.leftVersion = 0; status != model.Ready {
		sv.leftVersion = m.registry.Version()
	}
}

// start starts a server's process, cold, and lists it so.
func (m *sim) startServer(sv *server) {
	if sv.entry.Status == model.Removed {
		return // it was replaced meanwhile
	}
	sv.model.Start(m.now)
	m.wakeServer(sv)
	m.publishStart(sv)
}

// startSeen lists a start that has been.
func (m *sim) publishStart(sv *server) {
	at, ok := sv.model.Started()
	if !ok || at == sv.startedAt && sv.startVersion > 0 {
		return
	}
	sv.startedAt, sv.coldSends = at, nil
	sv.entry.SinceMS = (epoch + at).Milliseconds()
	m.setStatus(sv, cmp.Or(sv.entry.Status, model.Ready))
	sv.startVersion = m.registry.Version()
}

// wakeServer has a server looked at when its model next does something.
func (m *sim) wakeServer(sv *server) {
	t, ok := sv.model.Next()
	if !ok || t >= sv.wakeAt {
		return
	}
	sv.wakeAt = t
	m.schedule(t, func() {
		if sv.wakeAt != t {
			return // it was woken earlier
		}
		sv.wakeAt = discovery.Never
		for _, reply := range sv.model.Advance(m.now) {
			if a := sv.inFlight[reply.ID]; a != nil {
				delete(sv.inFlight, reply.ID)
				m.deliverReply(a, reply)
			}
		}
		m.publishStart(sv)
		m.wakeServer(sv)
	})
}

// reach tells whether messages pass between two zones.
func (m *sim) reachable(a, b int) bool {
	for _, inside := range m.partitions {
		if inside != nil && inside[a] != inside[b] {
			return false
		}
	}
	return true
}

// delay draws the one way between two zones.
func (m *sim) delay(a, b int) time.Duration {
	return m.delays[a][b] + time.Duration(m.rng.ExpFloat64()*float64(m.scenario.Network.Jitter))
}

// wakeRegistry has discovery looked at when it next does something.
func (m *sim) wakeRegistry() {
	t, ok := m.registry.Next()
	if !ok || t >= m.registryWake {
		return
	}
	m.registryWake = t
	m.schedule(t, func() {
		if m.registryWake != t {
			return
		}
		m.registryWake = discovery.Never
		for _, a := range m.registry.Advance(m.now) {
			m.nodes[a.Node].pollEnded(a)
		}
		m.wakeRegistry()
	})
}

// decode reads a list, once for all nodes that get the same one after another.
func (m *sim) decode(body []byte) (discovery.List, error) {
	if len(m.decodedBody) > 0 && len(body) > 0 && &m.decodedBody[0] == &body[0] {
		return m.decodedList, nil
	}
	m.decodedList = discovery.List{}
	if err := json.Unmarshal(body, &m.decodedList); err != nil {
		return m.decodedList, err
	}
	m.decodedBody = body
	return m.decodedList, nil
}

// stop is a time in which nodes learn nothing.
type outage struct {
	from, to time.Duration
	inside   []bool // zones whose nodes; nil: all
}

// toldAt is when a version counts as told to a node: when its agent has it
// or, where lists are asked for, when the node does.
func (m *sim) notifiedAt(n *hollowNode, version uint64) time.Duration {
	if m.scenario.Discovery.OnDemand {
		if n.version >= version {
			return n.observedAt(version)
		}
		return m.versionTimes[version] + 4*m.scenario.Discovery.PollInterval.Std() // after failed calls, with no watch
	}
	t := m.versionTimes[version] + m.registry.Delay(n.index)
	for again := true; again; {
		again = false
		for _, st := range m.outages {
			if t >= st.from && t < st.to && (st.inside == nil || st.inside[n.zone]) {
				t, again = st.to, true
			}
		}
	}
	return max(t, n.startedAt)
}

// plan has an event's steps happen.
func (m *sim) scheduleEvent(i int) {
	e := m.scenario.Events[i]
	strikes := m.scenario.Steps(i)
	for _, k := range strikes {
		at, until := m.trafficStart+k.At, m.trafficStart+k.Until
		on := func(do func()) { m.schedule(at, do) }
		off := func(do func()) { m.schedule(until, do) }
		// A server that was there as the step began is meant, not its successor.
		each := func(do func(*server), end func(*server)) {
			on(func() {
				sv := m.current[k.Index]
				do(sv)
				m.wakeServer(sv)
				if end != nil {
					m.schedule(until, func() { end(sv); m.wakeServer(sv) })
				}
			})
		}
		switch e.Action {
		case "restart-servers":
			each(func(sv *server) { sv.model.Kill(m.now) }, m.startServer)
		case "replace-servers":
			each(func(sv *server) { m.replaceServer(sv, k.Index) }, nil)
		case "drain-servers":
			each(func(sv *server) { m.setStatus(sv, model.Draining) }, func(sv *server) {
				if sv.entry.Status == model.Draining {
					m.setStatus(sv, model.Ready)
				}
			})
		case "hang-servers":
			each(func(sv *server) { sv.model.SetHung(m.now, true) }, func(sv *server) { sv.model.SetHung(m.now, false) })
		case "slow-servers":
			each(func(sv *server) { sv.model.SetSlowdown(m.now, e.Factor) }, func(sv *server) { sv.model.SetSlowdown(m.now, 1) })
		case "fail-servers":
			each(func(sv *server) { sv.model.SetFailureRate(m.now, 1) }, func(sv *server) { sv.model.SetFailureRate(m.now, -1) })
		case "lose-servers":
			each(func(sv *server) { sv.vanishedAt = m.now; sv.model.Disconnect(m.now) }, m.startServer)
		case "cut":
			m.schedulePartition(e, at, until)
		case "kill-nodes":
			on(func() { m.nodes[k.Index].kill() })
		case "restart-nodes":
			on(func() { m.nodes[k.Index].shutDown() })
		case "change-lists":
			on(func() {
				if sv := m.current[k.Index]; sv.entry.Status != model.Removed {
					sv.entry.Weight = 1 + 0.01*float64(len(m.versionTimes)%10)
					m.publish(sv.entry)
				}
			})
		case "discovery-down":
			m.outages = append(m.outages, outage{from: at, to: until})
			on(func() { m.registry.SetRefusing(m.now, true); m.wakeRegistry() })
			off(func() { m.registry.SetRefusing(m.now, false); m.wakeRegistry() })
		case "discovery-silent":
			m.outages = append(m.outages, outage{from: at, to: until})
			on(func() { m.registry.SetSilent(m.now, true); m.wakeRegistry() })
			off(func() { m.registry.SetSilent(m.now, false); m.wakeRegistry() })
		case "watches-break":
			on(func() { m.registry.ResetWatches(m.now); m.wakeRegistry() })
		case "burst": // the arrivals have it
		}
	}
	line := fmt.Sprintf("%v %s", e.At, e.Action)
	if strikes[0].Index >= 0 {
		line += fmt.Sprintf(": %d", len(strikes))
	}
	if last := strikes[len(strikes)-1]; e.Spread > 0 {
		line += fmt.Sprintf(", the last at %v", last.At)
	}
	if e.Duration > 0 {
		line += fmt.Sprintf(", for %v", e.Duration)
	}
	m.eventLog = append(m.eventLog, line)
}

// replace drains a server, ends it after twice the grace, and starts its
// successor, under a new name, in its place.
func (m *sim) replaceServer(sv *server, place int) {
	m.setStatus(sv, model.Draining)
	m.schedule(m.now+2*m.scenario.Discovery.DrainGrace.Std(), func() {
		sv.model.Kill(m.now)
		m.wakeServer(sv)
		m.setStatus(sv, model.Removed)
		m.successors++
		next := m.newServer(place + m.successors*m.scenario.Servers.Count)
		m.current[place] = next
		m.startServer(next)
	})
}

func (m *sim) schedulePartition(e scenario.Event, at, until time.Duration) {
	inside := make([]bool, len(m.scenario.Zones))
	for i, z := range m.scenario.Zones {
		inside[i] = z.Name == e.Zone || e.Region != "" && z.Region == e.Region
	}
	m.outages = append(m.outages, outage{at, until, inside})
	cut := func(on bool) {
		for _, n := range m.nodes {
			if inside[n.zone] {
				m.registry.SetIsolated(m.now, n.index, on)
			}
		}
		m.wakeRegistry()
	}
	place := len(m.partitions)
	m.partitions = append(m.partitions, nil)
	m.schedule(at, func() { m.partitions[place] = inside; cut(true) })
	m.schedule(until, func() { m.partitions[place] = nil; cut(false) })
}
