package hollow

import (
	"time"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// scheduleEvent schedules the steps of event i and describes the event for the result.
func (m *sim) scheduleEvent(i int) {
	e := m.scenario.Events[i]
	steps := m.scenario.Steps(i)
	for _, step := range steps {
		m.scheduleStep(e, step)
	}
	m.eventLog = append(m.eventLog, e.Describe(steps, true))
}

func (m *sim) scheduleStep(e scenario.Event, step scenario.Step) {
	beginAt := m.trafficStart + step.At
	endAt := m.trafficStart + step.Until
	if begin, end := m.serverAction(e, step.Index); begin != nil {
		m.scheduleServerAction(step.Index, beginAt, endAt, begin, end)
		return
	}
	switch e.Action {
	case scenario.PartitionNetwork:
		m.schedulePartition(e, beginAt, endAt)
	case scenario.KillNodes:
		m.schedule(beginAt, func() { m.nodes[step.Index].kill() })
	case scenario.RestartNodes:
		m.schedule(beginAt, func() { m.nodes[step.Index].shutDown() })
	case scenario.ChangeLists:
		m.schedule(beginAt, func() { m.changeWeight(m.currentServers[step.Index]) })
	case scenario.DiscoveryDown:
		m.scheduleOutage(beginAt, endAt, m.registry.SetRefusing)
	case scenario.DiscoverySilent:
		m.scheduleOutage(beginAt, endAt, m.registry.SetSilent)
	case scenario.ResetWatches:
		m.schedule(beginAt, func() {
			m.registry.ResetWatches(m.now)
			m.wakeRegistry()
		})
	case scenario.Burst: // package arrivals draws the additional requests
	}
}

// serverAction returns what an event does to the server in a slot when the event begins and when it ends. begin is
// nil for the events that scheduleStep handles itself; end is nil if nothing is to be undone.
func (m *sim) serverAction(e scenario.Event, slot int) (begin, end func(*server)) {
	switch e.Action {
	case scenario.RestartServers:
		return func(sv *server) { sv.model.Kill(m.now) }, m.startServer
	case scenario.ReplaceServers:
		return func(sv *server) { m.replaceServer(sv, slot) }, nil
	case scenario.DrainServers:
		return func(sv *server) { m.setStatus(sv, model.Draining) }, m.endDraining
	case scenario.HangServers:
		return func(sv *server) { sv.model.SetHung(m.now, true) },
			func(sv *server) { sv.model.SetHung(m.now, false) }
	case scenario.SlowServers:
		return func(sv *server) { sv.model.SetSlowdown(m.now, e.Factor) },
			func(sv *server) { sv.model.SetSlowdown(m.now, 1) }
	case scenario.FailServers:
		return func(sv *server) { sv.model.SetFailureRate(m.now, 1) },
			func(sv *server) { sv.model.SetFailureRate(m.now, -1) }
	case scenario.DisconnectServers:
		return m.disconnectServer, m.startServer
	}
	return nil, nil
}

// scheduleServerAction schedules begin for the server that occupies the slot at that time, and end for the same
// server, even if a successor occupies the slot by then.
func (m *sim) scheduleServerAction(slot int, beginAt, endAt time.Duration, begin, end func(*server)) {
	m.schedule(beginAt, func() {
		sv := m.currentServers[slot]
		begin(sv)
		m.wakeServer(sv)
		if end == nil {
			return
		}
		m.schedule(endAt, func() {
			end(sv)
			m.wakeServer(sv)
		})
	})
}

// disconnectServer disconnects a server's machine from the network.
func (m *sim) disconnectServer(sv *server) {
	sv.disconnectedAt = m.now
	sv.model.Disconnect(m.now)
}

// endDraining lists a server as ready again, unless it has been replaced in the meantime.
func (m *sim) endDraining(sv *server) {
	if sv.entry.Status == model.Draining {
		m.setStatus(sv, model.Ready)
	}
}

// changeWeight publishes a new weight of a server, as a harmless change of the list.
func (m *sim) changeWeight(sv *server) {
	if sv.entry.Status == model.Removed {
		return
	}
	sv.entry.Weight = setup.ChangedWeight(len(m.versionTimes))
	m.publish(sv.entry)
}

// scheduleOutage schedules an outage of discovery for all nodes; set switches it on and off in the model.
func (m *sim) scheduleOutage(begin, end time.Duration, set func(now time.Duration, on bool)) {
	m.outages = append(m.outages, outage{from: begin, to: end})
	m.schedule(begin, func() {
		set(m.now, true)
		m.wakeRegistry()
	})
	m.schedule(end, func() {
		set(m.now, false)
		m.wakeRegistry()
	})
}

// schedulePartition schedules the network partition of a PartitionNetwork event: the zones that it includes reach
// only each other.
func (m *sim) schedulePartition(e scenario.Event, begin, end time.Duration) {
	inside := make([]bool, len(m.scenario.Zones))
	for i, z := range m.scenario.Zones {
		inside[i] = e.Includes(z)
	}
	m.outages = append(m.outages, outage{begin, end, inside})
	index := len(m.partitions)
	m.partitions = append(m.partitions, nil)
	m.schedule(begin, func() {
		m.partitions[index] = inside
		m.isolateNodes(inside, true)
	})
	m.schedule(end, func() {
		m.partitions[index] = nil
		m.isolateNodes(inside, false)
	})
}

// isolateNodes cuts off the nodes of the zones in inside from discovery, or connects them again.
func (m *sim) isolateNodes(inside []bool, on bool) {
	for _, n := range m.nodes {
		if inside[n.zone] {
			m.registry.SetIsolated(m.now, n.index, on)
		}
	}
	m.wakeRegistry()
}
