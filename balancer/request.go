package balancer

import (
	"math"
	"time"
)

const (
	overdueFactor = 10.0 // the same for one attempt, which is no load beyond it: tails are long
)

type class struct {
	Class
	placement                  *placement
	meanWorkHint, workHints    float64 // s, smoothed work hint; how many
	responses, meanLatency     float64 // answers; s, smoothed over all servers
	fleetLatency, relativeWork float64 // s, m.mean at the times of its answers;
	// and its cost as a multiple of the mean request's
}

type attempt struct {
	endpoint       *endpoint
	sentAt         Time
	inFlightBefore float64 // requests that its server was known to hold
	ended, mayRun  bool    // mayRun: out, or ended without proof that it never ran
	released       bool    // no longer in its server's count
}

type request struct {
	id                               RequestID
	class                            *class
	arrivedAt, deadline              Time
	spentBefore                      time.Duration // how long its client has waited before this try, at least
	attempts                         []attempt
	relativeWork                     float64     // its work by its hint, over its class's mean
	inFlight, healthCheckRounds      int         // rounds: looks at servers for the next attempt
	checked                          []*endpoint // in these looks, the last two in the last
	checkedAt                        Time
	awaitingChecks                   bool
	priority, done, streaming, trial bool // done: it has its final answer; started: a stream has begun
}

// classOf knows every class: one that the settings lack is unsafe and of no worth.
func (m *Balancer) class(name string) *class {
	if m.classes[name] == nil {
		m.classes[name] = &class{relativeWork: 1, placement: m.placement(nil, nil)}
		m.classOrder = append(m.classOrder, m.classes[name])
	}
	return m.classes[name]
}

func (m *Balancer) requestArrived(e RequestArrived) {
	c := m.class(e.Class)
	r := &request{id: e.ID, class: c, arrivedAt: m.now, deadline: m.now + e.Timeout}
	if e.IsRetry { // its client has waited for so long at most
		r.spentBefore = max(0, c.Deadline-e.Timeout)
	}
	if r.relativeWork = 1; e.HasWorkHint && e.WorkHint > 0 {
		c.workHints++
		c.meanWorkHint += max(meanGain, 1/c.workHints) * (e.WorkHint.Seconds() - c.meanWorkHint)
		r.relativeWork = e.WorkHint.Seconds() / c.meanWorkHint
	}
	m.requests[e.ID], m.open = r, append(m.open, r)
	r.priority = m.random() < priorityShare(c.PriorityWeight, c.placement.topWeight) && !m.pastObjective(r, 0)
	t := m.tenants[e.Tenant] // over its share a request is worth little
	r.priority = (t == nil || t.within(m.now-m.startedAt)) && r.priority
	if c.placement.otherArrivals++; r.priority {
		c.placement.priorityArrivals, c.placement.otherArrivals = c.placement.priorityArrivals+1, c.placement.otherArrivals-1
	}
	m.retryBudget, m.trialBudget = math.Min(retryBudgetBurst, m.retryBudget+retryBudgetPerRequest), math.Min(1, m.trialBudget+retryBudgetPerRequest/2)
	if m.trialBudget < 1 || !m.sendTrial(r) {
		m.dispatch(r)
	}
}

// place is the one path in: a server for a first attempt or a further one, or the end. With no server
// normal a first one is shed by q2 and q1, or refused if too late to earn; others cost retry budget.
func (m *Balancer) dispatch(r *request) {
	s, mode := m.pick(r)
	if r.awaitingChecks || mode != Normal && m.startHealthChecks(r) {
		return
	}
	r.healthCheckRounds, r.checked = 0, nil
	g, n := r.class.placement, len(r.attempts)
	costly := n > 0 && r.attempts[n-1].mayRun
	if mode != Normal {
		g.noneNormalAt = m.now
	}
	switch {
	case n > 0 && (m.pastObjective(r, 0) || costly && m.retryBudget < 1 || mode != Normal && (!r.priority)),
		n == 0 && m.now < g.noneNormalAt+shedPeriod && m.pastObjective(r, m.meanLatency*r.class.relativeWork),
		n == 0 && mode == Overloaded && (r.priority && m.random() < g.shedPriority || !r.priority && m.random() < g.shedOther):
		s = nil
	}
	if sent := m.send(r, s, m.attemptTimeout(r, s)); sent && costly {
		m.retryBudget--
	} else if !sent && r.inFlight == 0 {
		m.giveUp(r)
	}
}

// send is the only way to a server.
func (m *Balancer) send(r *request, s *endpoint, timeout time.Duration) bool {
	if s == nil || !m.maySend(r, s) {
		return false
	}
	within := m.deduplicationTimeLeft(r)
	r.attempts = append(r.attempts, attempt{endpoint: s, sentAt: m.now, mayRun: true, inFlightBefore: s.inFlight})
	r.inFlight++
	s.inFlight++
	s.tokens--
	if s.unansweredSends++; s.unansweredSends == 1 {
		s.silentSince = m.now
	}
	m.emit(Send{ID: r.id, Endpoint: s.ID, Timeout: min(timeout, r.deadline-m.now), StartWithin: within})
	return true
}

func (m *Balancer) attemptEnded(e AttemptEnded) {
	r := m.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended, a.mayRun = true, e.Outcome.mayHaveRun()
	r.inFlight--
	m.releaseInFlight(a)
	if a.endpoint.State != Ready {
		m.emit(CloseIdleConnections{Endpoint: a.endpoint.ID}) // its connection carries nothing now
	}
	m.applyLoadReport(a.endpoint, e.Report)
	if e.Outcome == OK {
		m.failureShare -= failureGain * m.failureShare
	} else if e.Outcome == ServerError || e.Outcome == TimedOut || e.Outcome == Reset {
		m.failureShare += failureGain * (1 - m.failureShare)
	}
	m.recordOutcome(a.endpoint, r, e)
	switch {
	case r.done && r.inFlight == 0:
		delete(m.requests, r.id)
	case e.RequestDone:
		m.closeRequest(r)
	case e.Outcome == BadRequest && !r.done: // by any other server as well
		m.emit(Fail{ID: r.id})
		m.closeRequest(r)
	case r.inFlight == 0:
		m.dispatch(r)
	}
}

// uncount takes an attempt out of its server's count, once.
func (m *Balancer) releaseInFlight(a *attempt) {
	if !a.released {
		a.released, a.endpoint.inFlight = true, max(0, a.endpoint.inFlight-1)
	}
}

// overdue takes attempts that have long been due out of the counts. An answer that never comes is no load:
// a few silent ones, each held to its deadline, would make every server look full.
func (m *Balancer) discountOverdue(r *request) {
	if r.inFlight == 0 || r.streaming || m.meanLatency == 0 {
		return
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		due := overdueFactor * m.expectedLatency(a.endpoint, r.class)
		if !a.ended && (m.now-a.sentAt).Seconds() > due {
			m.releaseInFlight(a)
		}
	}
}

// finish gives the final answer where no server did, a refusal if it may, with a jittered hold-off.
func (m *Balancer) giveUp(r *request) {
	wait := m.retryAfter(r.class)
	if m.mayReject(r) {
		m.emit(Reject{ID: r.id, RetryAfter: wait})
	} else {
		m.emit(Fail{ID: r.id})
	}
	m.closeRequest(r)
}

func (m *Balancer) closeRequest(r *request) {
	if r == nil || r.done {
		return
	}
	r.done = true
	for i, a := range r.attempts {
		if m.settings.CancelAllowed && !a.ended && !r.streaming {
			m.emit(CancelAttempt{ID: r.id, Attempt: i})
		}
	}
	if r.inFlight == 0 {
		delete(m.requests, r.id)
	}
}
