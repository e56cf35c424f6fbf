package hollow

import (
	"time"

	"bankshift/balancer"
	"bankshift/internal/node"
)

// request is a client's try at a node, until it is answered and its attempts
// have ended.
type request struct {
	id             balancer.RequestID
	client         *client
	class          *class
	deadline       time.Duration // of the node
	clientDeadline time.Duration
	arrivedAt      time.Duration
	attempts       []*attempt
	inFlight       int // attempts that have not ended
	answered       bool
}

// accept takes a client's try.
func (n *hollowNode) accept(r *request, e balancer.RequestArrived) {
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

// endOverdue has the balancer end a request whose deadline has passed without a
// decision.
func (n *hollowNode) endOverdue(r *request) {
	if !r.answered {
		n.handle(balancer.DeadlineExceeded{ID: r.id})
	}
	n.endUnanswered(r)
}

// endUnanswered fails a request, if it is not answered, without the balancer.
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

// respond gives a try its final respond, once; later ones are ignored. Attempts
// that have not been written are cancelled.
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

// removeIfDone drops a request that is answered and has no attempt in flight.
func (n *hollowNode) removeIfDone(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(n.requests, r.id)
	}
}

// send carries out the balancer's Send.
func (n *hollowNode) send(s balancer.Send) {
	m := n.sim
	r := n.requests[s.ID]
	if r == nil {
		m.recordViolation("node %d sends a request that is not open", n.index)
		return
	}
	a := newAttempt(n, r, s)
	if r.answered || r.inFlight > 0 && !n.cfg.Settings.HedgingAllowed {
		n.rejectAttempt(a)
		return
	}
	m.checkSend(a, r.attempts)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	m.recordAttempt(a)
	n.schedule(m.now, a.start)
}

// rejectAttempt ends an attempt that must not be made.
func (n *hollowNode) rejectAttempt(a *attempt) {
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

// attemptEnded reports the end of an attempt to the balancer.
func (n *hollowNode) attemptEnded(a *attempt) {
	r := a.request
	r.inFlight--
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
