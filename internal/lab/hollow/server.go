package hollow

import (
	"cmp"
	"math/rand/v2"
	"time"

	"bankshift/internal/discovery"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// server is one backend and its entry in the list.
type server struct {
	scenario.Server
	zone     int
	model    *model.Server
	wakeAt   time.Duration       // when the model is advanced next; discovery.Never: not scheduled
	inFlight map[uint64]*attempt // attempts whose request the model has accepted, by model.Request.ID

	entry           model.Entry
	startedAt       time.Duration // process start that the list contains
	notReadyVersion uint64        // version of the list that made it draining or removed; 0: it is ready
	startVersion    uint64        // version of the list with its last start; 0: none
	disconnectedAt  time.Duration // when its machine was disconnected last; negative: never
	crashes         int           // crashes that checkWarmupLoad has counted
	warmupSends     []warmupSend  // messages within the last CrashWindow while it warms up
}

// warmupSend is a message that reached a server during its warm-up.
type warmupSend struct {
	at       time.Duration
	notified bool // the sending node had been notified of the server's start
}

// buildServers creates the scenario's servers and publishes them as one version of the list.
func (m *sim) buildServers() {
	var entries []model.Entry
	for i := range m.scenario.Servers.Count {
		sv := m.newServer(i)
		m.currentServers = append(m.currentServers, sv)
		sv.entry.Status = model.Ready
		entries = append(entries, sv.entry)
	}
	m.publish(entries...)
}

// newServer creates a server that is warm and not listed yet.
func (m *sim) newServer(i int) *server {
	description := m.scenario.Server(i)
	config := setup.ServerConfig(m.scenario, description, &m.keyStores)
	rng := rand.New(rand.NewPCG(m.scenario.Seed, setup.StreamServers+uint64(i)))
	sv := &server{
		Server:         description,
		zone:           m.zoneOf[description.Zone],
		model:          model.NewServer(config, rng),
		wakeAt:         discovery.Never,
		inFlight:       map[uint64]*attempt{},
		entry:          setup.Entry(description, setup.UnusedAddress(i)),
		disconnectedAt: -1,
	}
	m.servers = append(m.servers, sv)
	m.byName[sv.Name] = sv
	return sv
}

// publish publishes changed entries as a new version of the list.
func (m *sim) publish(entries ...model.Entry) {
	if err := m.registry.Change(m.now, entries...); err != nil {
		panic(err) // Change fails only for invalid entries, and the lab makes these itself
	}
	m.versionTimes = append(m.versionTimes, m.now)
	m.wakeRegistry()
}

// setStatus publishes a new status of a server.
func (m *sim) setStatus(sv *server, status string) {
	sv.entry.Status = status
	m.publish(sv.entry)
	sv.notReadyVersion = 0
	if status != model.Ready {
		sv.notReadyVersion = m.registry.Version()
	}
}

// startServer starts a server's process, which warms up, and publishes the start. It does not start a server that
// has been replaced in the meantime.
func (m *sim) startServer(sv *server) {
	if sv.entry.Status == model.Removed {
		return
	}
	sv.model.Start(m.now)
	m.wakeServer(sv)
	m.publishStart(sv)
}

// publishStart publishes the last start of the server's process, unless the list contains it already.
func (m *sim) publishStart(sv *server) {
	at, ok := sv.model.Started()
	if !ok || at == sv.startedAt && sv.startVersion > 0 {
		return
	}
	sv.startedAt = at
	sv.warmupSends = nil
	sv.entry.StartedAtMS = (epoch + at).Milliseconds()
	m.setStatus(sv, cmp.Or(sv.entry.Status, model.Ready))
	sv.startVersion = m.registry.Version()
}

// wakeServer schedules the server's model to be advanced at the time of its next event.
func (m *sim) wakeServer(sv *server) {
	at, ok := sv.model.Next()
	if !ok || at >= sv.wakeAt {
		return
	}
	sv.wakeAt = at
	m.schedule(at, func() {
		if sv.wakeAt != at {
			return // an earlier event took its place
		}
		sv.wakeAt = discovery.Never
		for _, reply := range sv.model.Advance(m.now) {
			if a := sv.inFlight[reply.ID]; a != nil {
				delete(sv.inFlight, reply.ID)
				m.deliverReply(a, reply.Outcome)
			}
		}
		m.publishStart(sv)
		m.wakeServer(sv)
	})
}

// wakeRegistry schedules discovery's model to be advanced at the time of its next event.
func (m *sim) wakeRegistry() {
	at, ok := m.registry.Next()
	if !ok || at >= m.registryWake {
		return
	}
	m.registryWake = at
	m.schedule(at, func() {
		if m.registryWake != at {
			return // an earlier event took its place
		}
		m.registryWake = discovery.Never
		for _, response := range m.registry.Advance(m.now) {
			m.nodes[response.Node].pollEnded(response)
		}
		m.wakeRegistry()
	})
}

// knownList returns the present list in the form in which a node's configuration contains it.
func (m *sim) knownList() []byte {
	var entries []model.Entry
	for _, sv := range m.servers {
		if sv.entry.Status != model.Removed && sv.entry.Status != "" {
			entries = append(entries, sv.entry)
		}
	}
	return model.EncodeSnapshot(m.registry.Version(), entries)
}

// replaceServer drains a server, kills it after twice the drain grace, and starts its successor in the same slot
// under a new name.
func (m *sim) replaceServer(sv *server, slot int) {
	m.setStatus(sv, model.Draining)
	m.schedule(m.now+2*m.scenario.Discovery.DrainGrace.Std(), func() {
		sv.model.Kill(m.now)
		m.wakeServer(sv)
		m.setStatus(sv, model.Removed)
		m.replacements++
		next := m.newServer(slot + m.replacements*m.scenario.Servers.Count)
		m.currentServers[slot] = next
		m.startServer(next)
	})
}
