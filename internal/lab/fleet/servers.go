package fleet

import (
	"time"

	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/setup"
)

// restartCheckInterval is the time between two checks for servers that have
// restarted by themselves after a crash.
const restartCheckInterval = 100 * time.Millisecond

// server is one emulated backend and its entry in the list.
type server struct {
	process      *emulator.Server
	entry        model.Entry // guarded by run.mu
	listedStarts int         // how many starts of the process discovery has been told of; guarded by run.mu
}

// startServers starts the scenario's servers and publishes them as one version
// of the list.
func (m *run) startServers() error {
	var entries []model.Entry
	for i := range m.scenario.Servers.Count {
		sv, err := m.newServer(i)
		if err != nil {
			return err
		}
		m.currentServers = append(m.currentServers, sv)
		sv.entry.Status = model.Ready
		entries = append(entries, sv.entry)
	}
	return m.registry.Change(entries...)
}

// newServer starts server i, already warmed up, but does not publish it.
func (m *run) newServer(i int) (*server, error) {
	description := m.scenario.Server(i)
	m.mu.Lock()
	config := emulator.ServerConfig{
		ServerConfig: setup.ServerConfig(m.scenario, description, &m.keyStores),
		Epoch:        m.epoch,
		Rand:         m.rand(setup.StreamServers + uint64(i)),
		ExecutionLog: m.executionLog(description.Zone),
	}
	m.mu.Unlock()
	process, err := emulator.NewServer(config)
	if err != nil {
		return nil, err
	}
	sv := &server{process: process, entry: setup.Entry(description, process.Addr())}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.servers = append(m.servers, sv)
	return sv, nil
}

// executionLog returns the log that the servers of a zone share. The caller
// holds m.mu.
func (m *run) executionLog(zone string) *emulator.ExecutionLog {
	if m.executionLogs[zone] == nil {
		m.executionLogs[zone] = &emulator.ExecutionLog{}
	}
	return m.executionLogs[zone]
}

// publish changes a server's entry and publishes a new version of the list. It
// does nothing for a server that has been removed.
func (m *run) publish(sv *server, change func(*model.Entry)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if sv.entry.Status == model.Removed {
		return
	}
	change(&sv.entry)
	m.listVersions++
	if err := m.registry.Change(sv.entry); err != nil {
		m.recordViolationLocked("%v", err)
	}
}

// setStatus publishes a new status of a server.
func (m *run) setStatus(sv *server, status string) {
	m.publish(sv, func(e *model.Entry) { e.Status = status })
}

// startServer starts a server's process, which has to warm up, and publishes the
// start. It does nothing for a server that has been replaced in the meantime.
func (m *run) startServer(sv *server) {
	m.mu.Lock()
	removed := sv.entry.Status == model.Removed
	m.mu.Unlock()
	if removed {
		return
	}
	sv.process.Start()
	m.publishStart(sv)
}

// publishStart publishes the latest start of a server, unless it has been
// published already.
func (m *run) publishStart(sv *server) {
	starts := sv.process.Stats().Starts
	m.mu.Lock()
	listed := sv.listedStarts == starts
	sv.listedStarts = starts
	m.mu.Unlock()
	if listed {
		return
	}
	m.publish(sv, func(e *model.Entry) {
		e.StartedAtMS = time.Now().UnixMilli()
		if e.Status == "" {
			e.Status = model.Ready
		}
	})
}

// publishRestarts publishes the servers that have restarted by themselves, and
// repeats this every restartCheckInterval up to the time until, which counts from
// the start of the traffic.
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

// replaceServer drains a server, kills and removes it after twice the drain
// grace, and starts a successor with a new name in its slot.
func (m *run) replaceServer(sv *server, slot int) {
	m.setStatus(sv, model.Draining)
	m.schedule(time.Since(m.trafficStart)+2*m.scenario.Discovery.DrainGrace.Std(), func() {
		sv.process.Kill()
		m.setStatus(sv, model.Removed)
		m.mu.Lock()
		m.replacements++
		number := slot + m.replacements*m.scenario.Servers.Count
		m.mu.Unlock()
		next, err := m.newServer(number)
		if err != nil {
			m.recordViolation("%v", err)
			return
		}
		m.mu.Lock()
		m.currentServers[slot] = next
		m.mu.Unlock()
		m.startServer(next)
	})
}

// closeServers closes the servers and discovery. It ignores errors: a port that
// stays occupied at the end of a run does no harm.
func (m *run) closeServers() {
	for _, sv := range m.servers {
		sv.process.Close()
	}
	if m.registry != nil {
		m.registry.Close()
	}
}
