package balancer

import (
	"slices"
	"time"
)

const (
	healthCheckToken     = 1                    // of the timer that ends a look; the round of checks has 0
	maxHealthCheckCost   = 0.005                // of the result, that looking before each send may cost
	healthCheckTimeout   = 5 * time.Millisecond // s; for answers to probes: some round trips, far under any aim
	maxHealthCheckRounds = 3                    // looks at two more servers before all count as full
)

// look asks two more servers for their load and holds the request until they answer or probeWait is up. Acts
// where reports come by probes alone and are cheap: with many nodes own counts, of 0 or 1, tell nothing.
func (m *Balancer) startHealthChecks(r *request) bool {
	a, b, mode := m.candidates(r, r.class.placement.endpoints)
	if !m.checksLoad || r.healthCheckRounds >= maxHealthCheckRounds || mode == Blocked {
		return false
	}
	r.awaitingChecks, r.healthCheckRounds, r.checkedAt, r.checked = true, r.healthCheckRounds+1, m.now, slices.Compact([]*endpoint{a, b})
	m.awaitingChecks = append(m.awaitingChecks, r)
	for _, s := range r.checked {
		m.emit(HealthCheck{Endpoint: s.ID})
	}
	m.emit(SetTimer{After: max(healthCheckTimeout, m.settings.MinEventInterval), Token: healthCheckToken})
	return true
}

// looked takes the answer to a probe. A server that fails to answer one has failed like a request.
func (m *Balancer) healthCheckEnded(e HealthCheckEnded) {
	if s := m.endpointsByID[e.Endpoint]; s != nil {
		if m.applyLoadReport(s, e.Report); e.Outcome != OK {
			m.recordFailure(s, e.Outcome)
		}
	}
	m.resumeChecked()
}

// settle ends the looks that have all their answers, or have waited long enough.
func (m *Balancer) resumeChecked() {
	waiting := m.awaitingChecks
	m.awaitingChecks = nil
	for _, r := range waiting {
		late := func(s *endpoint) bool { return s.reportAt < r.checkedAt }
		if m.now < r.checkedAt+healthCheckTimeout && slices.ContainsFunc(r.checked, late) {
			m.awaitingChecks = append(m.awaitingChecks, r)
		} else if r.awaitingChecks, r.checked = false, slices.DeleteFunc(r.checked, late); !r.done {
			m.dispatch(r)
		}
	}
}
