package hollow

import (
	"time"

	"bankshift/balancer"
	"bankshift/internal/node"
)

// request is a client's try as its node handles it, until it is answered and its attempts have ended.
type request struct {
	id              balancer.RequestID
	client          *client
	class           *class
	deadline        time.Duration // by which the node responds
	clientDeadline  time.Duration // by which the client needs a response
	arrivedAt       time.Duration
	attempts        []*attempt
	runningAttempts int // attempts that have not ended
	answered        bool
}

// startRequest passes a client's try to the balancer, or rejects it if too many requests are open.
func (n *hollowNode) startRequest(r *request, e balancer.RequestArrived) {
	m := n.sim
	r.arrivedAt = m.now
	if limit := n.cfg.Settings.MaxOpenRequests; limit > 0 && len(n.requests) >= limit {
		r.answered = true
		r.client.tryEnded(tryRejected, 0)
		return
	}
	if n.draining && n.responsesDueBy < r.deadline {
		r.deadline = n.responsesDueBy
	}
	e.Timeout = r.deadline - m.now
	n.requests[r.id] = r
	n.schedule(r.deadline+node.WatchdogDelay, func() { n.endOverdue(r) })
	n.handle(e)
}

// endOverdue has the balancer end a request whose deadline has passed, and fails the request if the balancer does
// not end it.
func (n *hollowNode) endOverdue(r *request) {
	if !r.answered {
		n.handle(balancer.DeadlineExceeded{ID: r.id})
	}
	n.endUnanswered(r)
}

// endUnanswered fails a request that is not answered, without a decision of the balancer.
func (n *hollowNode) endUnanswered(r *request) {
	if r.answered {
		return
	}
	m := n.sim
	m.currentSecond().deadlineResponses++
	n.respond(r.id, tryFailed, 0)
	for _, a := range r.attempts {
		n.schedule(m.now, a.cancel)
	}
	n.handle(balancer.RequestAbandoned{ID: r.id})
}

// respond sends a try's final response; later ones are ignored. Attempts that have not been written are canceled.
func (n *hollowNode) respond(id balancer.RequestID, outcome tryOutcome, retryAfter time.Duration) {
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	n.sim.checkResponseTime(r)
	for _, a := range r.attempts {
		if a.notWritten() {
			n.schedule(n.sim.now, a.cancelUnsent)
		}
	}
	r.client.tryEnded(outcome, retryAfter)
	n.removeIfDone(r)
}

// removeIfDone removes a request that is answered and has no attempt in flight.
func (n *hollowNode) removeIfDone(r *request) {
	if r.answered && r.runningAttempts == 0 {
		delete(n.requests, r.id)
	}
}

// startAttempt carries out the balancer's Send. It makes no attempt if the request is answered, or if another attempt
// is in flight and hedging is not allowed.
func (n *hollowNode) startAttempt(s balancer.Send) {
	m := n.sim
	r := n.requests[s.ID]
	if r == nil {
		m.recordViolation("node %d sends a request that is not open", n.index)
		return
	}
	a := newAttempt(n, r, s)
	if r.answered || r.runningAttempts > 0 && !n.cfg.Settings.HedgingAllowed {
		n.reportNotSent(a)
		return
	}
	m.checkSend(a, r.attempts)
	r.attempts = append(r.attempts, a)
	r.runningAttempts++
	m.recordAttempt(a)
	n.schedule(m.now, a.start)
}

// reportNotSent reports to the balancer, with NotSent, that an attempt is not made.
func (n *hollowNode) reportNotSent(a *attempt) {
	r := a.request
	a.state = attemptOver
	a.outcome = balancer.NotSent
	n.sim.checkSend(a, r.attempts)
	r.attempts = append(r.attempts, a)
	n.pendingEvents = append(n.pendingEvents, balancer.AttemptEnded{
		ID:          r.id,
		Attempt:     a.number,
		Endpoint:    a.endpoint,
		RequestDone: r.answered,
		Outcome:     balancer.NotSent,
	})
}

// attemptEnded handles the end of an attempt. A response of the outcome OK goes to the client before the balancer
// gets the event.
func (n *hollowNode) attemptEnded(a *attempt) {
	r := a.request
	r.runningAttempts--
	if a.outcome == balancer.OK {
		if !r.answered {
			n.sim.recordAddedLatency(a)
		}
		n.respond(r.id, tryServed, 0)
	}
	n.handle(balancer.AttemptEnded{
		ID:          r.id,
		Attempt:     a.number,
		Endpoint:    a.endpoint,
		RequestDone: r.answered,
		Elapsed:     n.sim.now - a.sentAt,
		Outcome:     a.outcome,
	})
	n.removeIfDone(r)
}
