package fleet

import (
	"time"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// schedule arranges that do is called at a time after the start of the traffic.
// After endSteps it does nothing.
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

// endSteps cancels the scheduled steps and waits for those in progress.
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

// scheduleEvent schedules the steps of event i and adds the event to the event
// log.
func (m *run) scheduleEvent(i int) {
	e := m.scenario.Events[i]
	steps := m.scenario.Steps(i)
	for _, step := range steps {
		m.scheduleStep(e, step)
	}
	m.eventLog = append(m.eventLog, e.Describe(steps, false))
}

// scheduleStep schedules one step of an event, and its end if it has one.
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
	case scenario.ResetWatches:
		m.schedule(step.At, m.registry.ResetWatches)
	case scenario.Burst: // package arrivals generates the additional requests
	}
}

// kill is a stop function for restartNode that kills the process.
func kill(p *Process) error {
	p.Kill()
	return nil
}

// serverAction returns what an event does to the server in a slot when the event
// begins and when it ends. begin is nil if the event does not act on servers;
// end is nil if nothing is to be undone.
func (m *run) serverAction(e scenario.Event, slot int) (begin, end func(*server)) {
	switch e.Action {
	case scenario.RestartServers:
		return func(sv *server) { sv.process.Kill() }, m.startServer
	case scenario.DisconnectServers:
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

// scheduleServerAction schedules begin for the server that is in the step's slot
// at that time, and end for the same server, even if a successor has replaced
// it.
func (m *run) scheduleServerAction(step scenario.Step, begin, end func(*server)) {
	m.schedule(step.At, func() {
		m.mu.Lock()
		sv := m.currentServers[step.Index]
		m.mu.Unlock()
		begin(sv)
		if end != nil {
			m.schedule(step.Until, func() { end(sv) })
		}
	})
}

// changeWeight publishes a small change of a server's weight, as a list change
// without other effects.
func (m *run) changeWeight(sv *server) {
	m.publish(sv, func(e *model.Entry) { e.Weight = setup.ChangedWeight(m.listVersions) })
}

// scheduleOutage schedules the start and the end of an outage of discovery.
func (m *run) scheduleOutage(step scenario.Step, set func(on bool)) {
	m.schedule(step.At, func() { set(true) })
	m.schedule(step.Until, func() { set(false) })
}
