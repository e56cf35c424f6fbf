package fleet

import (
	"time"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// schedule calls do at a time of the traffic, unless the steps have ended.
func (m *run) schedule(at time.Duration, do func()) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stepsEnded {
		return
	}
	m.steps.Add(1)
	m.timers = append(m.timers, time.AfterFunc(time.Until(m.trafficStart.Add(at)), func() {
		defer m.steps.Done()
		do()
	}))
}

// endSteps cancels the scheduled steps and waits for those under way.
func (m *run) endSteps() {
	m.mu.Lock()
	m.stepsEnded = true
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

// scheduleEvent schedules the steps of event i.
func (m *run) scheduleEvent(i int) {
	e := m.scenario.Events[i]
	steps := m.scenario.Steps(i)
	for _, step := range steps {
		m.scheduleStep(e, step)
	}
	m.eventLog = append(m.eventLog, e.Describe(steps, false))
}

func (m *run) scheduleStep(e scenario.Event, step scenario.Step) {
	if begin, end := m.serverAction(e, step.Index); begin != nil {
		m.scheduleServerAction(step, begin, end)
		return
	}
	switch e.Action {
	case scenario.KillNodes:
		m.schedule(step.At, func() { m.restartNode(m.nodes[step.Index], false, kill) })
	case scenario.RestartNodes:
		stop := func(p *Process) error { return p.Stop(m.ctx) }
		m.schedule(step.At, func() { m.restartNode(m.nodes[step.Index], true, stop) })
	case scenario.DiscoveryDown:
		m.scheduleOutage(step, m.registry.SetRefusing)
	case scenario.DiscoverySilent:
		m.scheduleOutage(step, m.registry.SetSilent)
	case scenario.WatchesBreak:
		m.schedule(step.At, m.registry.ResetWatches)
	case scenario.Burst: // package arrivals plays it
	}
}

// kill ends a process at once.
func kill(p *Process) error {
	p.Kill()
	return nil
}

// serverAction returns what an event does to a server at its beginning and at
// its end. begin is nil for other events, end for those that have none.
func (m *run) serverAction(e scenario.Event, slot int) (begin, end func(*server)) {
	switch e.Action {
	case scenario.RestartServers:
		return func(sv *server) { sv.process.Kill() }, m.startServer
	case scenario.LoseServers:
		return func(sv *server) { sv.process.Disconnect() }, m.startServer
	case scenario.ReplaceServers:
		return func(sv *server) { m.replaceServer(sv, slot) }, nil
	case scenario.DrainServers:
		return func(sv *server) { m.setStatus(sv, model.Draining) },
			func(sv *server) { m.setStatus(sv, model.Ready) }
	case scenario.HangServers:
		return func(sv *server) { sv.process.SetHung(true) },
			func(sv *server) { sv.process.SetHung(false) }
	case scenario.SlowServers:
		return func(sv *server) { sv.process.SetSlowdown(e.Factor) },
			func(sv *server) { sv.process.SetSlowdown(1) }
	case scenario.FailServers:
		return func(sv *server) { sv.process.SetFailureRate(1) },
			func(sv *server) { sv.process.SetFailureRate(-1) }
	case scenario.ChangeLists:
		return m.changeWeight, nil
	}
	return nil, nil
}

// scheduleServerAction applies a fault to the server that is in a place when it
// begins, and ends it for that server, not for a successor.
func (m *run) scheduleServerAction(step scenario.Step, begin, end func(*server)) {
	m.schedule(step.At, func() {
		m.mu.Lock()
		sv := m.current[step.Index]
		m.mu.Unlock()
		begin(sv)
		if end != nil {
			m.schedule(step.Until, func() { end(sv) })
		}
	})
}

// changeWeight makes a harmless change of the list.
func (m *run) changeWeight(sv *server) {
	m.publish(sv, func(e *model.Entry) { e.Weight = setup.ChangedWeight(m.listVersions) })
}

// scheduleOutage schedules an outage of discovery.
func (m *run) scheduleOutage(step scenario.Step, set func(on bool)) {
	m.schedule(step.At, func() { set(true) })
	m.schedule(step.Until, func() { set(false) })
}
