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
	wakeAt   time.Duration       // when the model is advanced next
	inFlight map[uint64]*attempt // accepted by the model, by model.Work.ID

	entry           model.Entry
	startedAt       time.Duration // the start that is listed
	notReadyVersion uint64        // the version that lists it as draining or removed; 0: it is ready
	startVersion    uint64        // the version that lists its last start; 0: none
	disconnectedAt  time.Duration // when its machine vanished last; below 0: never
	crashes         int
	warmupSends     []warmupSend // within the last CrashWindow while it warms up
}

// warmupSend is a message that reached a server that warms up.
type warmupSend struct {
	at       time.Duration
	notified bool // its node had been notified of the start
}

// buildServers makes the scenario's servers and publishes them as one version.
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

// newServer makes a server that is warm and not listed yet.
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

// publish makes a new version of the list from changed entries.
func (m *sim) publish(entries ...model.Entry) {
	if err := m.registry.Change(m.now, entries...); err != nil {
		panic(err) // the entries are the lab's own
	}
	m.versionTimes = append(m.versionTimes, m.now)
	m.wakeRegistry()
}

// setStatus publishes a server with a status.
func (m *sim) setStatus(sv *server, status string) {
	sv.entry.Status = status
	m.publish(sv.entry)
	sv.notReadyVersion = 0
	if status != model.Ready {
		sv.notReadyVersion = m.registry.Version()
	}
}

// startServer starts a server's process, which warms up, and publishes the start. A
// server that has been replaced meanwhile stays away.
func (m *sim) startServer(sv *server) {
	if sv.entry.Status == model.Removed {
		return
	}
	sv.model.Start(m.now)
	m.wakeServer(sv)
	m.publishStart(sv)
}

// publishStart publishes the model's last start, if it is not listed yet.
func (m *sim) publishStart(sv *server) {
	at, ok := sv.model.Started()
	if !ok || at == sv.startedAt && sv.startVersion > 0 {
		return
	}
	sv.startedAt = at
	sv.warmupSends = nil
	sv.entry.SinceMS = (epoch + at).Milliseconds()
	m.setStatus(sv, cmp.Or(sv.entry.Status, model.Ready))
	sv.startVersion = m.registry.Version()
}

// wakeServer schedules the server's model to be advanced when it has an event.
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

// wakeRegistry schedules discovery's model to be advanced when it has an event.
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

// knownList is the present list, as a node's configuration contains it.
func (m *sim) knownList() []byte {
	var entries []model.Entry
	for _, sv := range m.servers {
		if sv.entry.Status != model.Removed && sv.entry.Status != "" {
			entries = append(entries, sv.entry)
		}
	}
	return model.EncodeSnapshot(m.registry.Version(), entries)
}

// replaceServer drains a server, ends it after twice the drain grace, and
// starts its successor, under a new name, in its place.
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
