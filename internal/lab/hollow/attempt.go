package hollow

import (
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// attemptState is the stage that an attempt has reached.
type attemptState int

const (
	attemptNew attemptState = iota
	attemptConnecting
	attemptWaiting // the request is written, the response is pending
	attemptOver
)

// attempt is one transmission of a request to a server, ordered by the balancer's Send.
type attempt struct {
	node     *hollowNode
	request  *request
	number   int // index among the request's attempts
	endpoint balancer.EndpointID
	backend  *backend
	conn     *conn
	dialing  bool // a connection is being established; pool.connections already counts it
	state    attemptState
	outcome  balancer.Outcome // set when the attempt ends

	sentAt    time.Duration // when the balancer ordered the Send
	timeoutAt time.Duration
	startBy   time.Duration // the request's first byte must be written before this time; 0: no limit
	writtenAt time.Duration
	arrivedAt time.Duration // when the request reached the server
	repliedAt time.Duration // when the server sent its response
}

func newAttempt(n *hollowNode, r *request, s balancer.Send) *attempt {
	now := n.sim.now
	left := r.deadline - now
	if s.Timeout != 0 {
		left = min(left, s.Timeout)
	}
	a := &attempt{
		node:      n,
		request:   r,
		number:    len(r.attempts),
		endpoint:  s.Endpoint,
		sentAt:    now,
		timeoutAt: now + left,
	}
	if s.StartWithin > 0 {
		a.startBy = now + s.StartWithin
	}
	return a
}

// notWritten reports whether the request's first byte has not been written.
func (a *attempt) notWritten() bool {
	return a.state == attemptNew || a.state == attemptConnecting
}

// start schedules the attempt's time limits, then takes an idle connection or dials a new one. The attempt
// ends as NotSent if its endpoint is not listed or the pool is full.
func (a *attempt) start() {
	n := a.node
	if a.state == attemptOver {
		return
	}
	a.state = attemptConnecting
	n.schedule(a.timeoutAt, a.timeOut)
	if a.startBy > 0 && a.startBy < a.timeoutAt {
		n.schedule(a.startBy, a.cancelUnsent)
	}
	b := n.pool.backends[a.endpoint]
	if b == nil {
		a.finish(balancer.NotSent)
		return
	}
	a.backend = b
	if c := n.pool.takeIdle(b); c != nil {
		a.write(c)
		return
	}
	if !n.pool.reserve() {
		a.finish(balancer.NotSent)
		return
	}
	a.dial()
}

// dial sends a connection request to the server.
func (a *attempt) dial() {
	n := a.node
	m := n.sim
	a.dialing = true
	n.pool.markDialled(a.backend)
	n.schedule(m.now+n.cfg.Settings.ConnectTimeout, a.connectFailed)
	sv := a.backend.server
	m.schedule(m.now+m.delay(n.zone, sv.zone), func() { a.connectAtServer(sv) })
}

// connectFailed ends the attempt with ConnectFailed, unless its request has been written.
func (a *attempt) connectFailed() {
	if a.notWritten() {
		a.finish(balancer.ConnectFailed)
	}
}

// connectAtServer handles the connection request when it arrives at the server. If a partition separates the
// zones by then, the request is lost and the node's connect timeout expires.
func (a *attempt) connectAtServer(sv *server) {
	n := a.node
	m := n.sim
	if !a.notWritten() || !m.reachable(n.zone, sv.zone) {
		return
	}
	modelConn, handshakeDelay, outcome := sv.model.Connect(m.now)
	m.checkWarmupLoad(sv, n)
	m.wakeServer(sv)
	answeredAt := m.now + m.dialDelay(n.zone, sv.zone)
	switch outcome {
	case model.Accepted:
		m.currentSecond().handshakes++
	case model.Rejected:
	case model.ConnectionRefused:
		n.schedule(answeredAt, func() {
			if m.reachable(n.zone, sv.zone) {
				a.connectFailed()
			}
		})
		return
	default:
		return
	}
	c := &conn{
		model:          modelConn,
		backend:        a.backend,
		pool:           &n.pool,
		connectedAt:    m.now,
		handshakeDelay: handshakeDelay,
		lastArrival:    m.now,
	}
	m.schedule(answeredAt, func() { a.connected(c) })
}

// connected handles the established connection when the server's answer arrives at the node.
func (a *attempt) connected(c *conn) {
	n := a.node
	switch {
	case !n.sim.reachable(n.zone, c.backend.server.zone):
	case n.dead || !a.notWritten(): // the attempt no longer needs the connection
		c.closeAtServer()
	default:
		a.backend.busy = append(a.backend.busy, c)
		a.write(c)
	}
}

// write checks once more that the request may be sent, and writes it to the connection.
func (a *attempt) write(c *conn) {
	m := a.node.sim
	a.dialing = false
	if !a.mayWrite() {
		c.release()
		a.state = attemptOver
		a.report(balancer.NotSent)
		return
	}
	a.conn = c
	a.state = attemptWaiting
	a.writtenAt = m.now
	sv := a.backend.server
	m.checkFirstByte(a, sv)
	arrivesAt := m.now + m.delay(a.node.zone, sv.zone) + c.handshakeDelay
	c.handshakeDelay = 0
	c.lastArrival = arrivesAt
	m.schedule(arrivesAt, func() { a.arrive(sv, c) })
}

// mayWrite reports whether the attempt is within its time limits, the request is unanswered and the backend
// takes requests.
func (a *attempt) mayWrite() bool {
	now := a.node.sim.now
	inTime := now < a.timeoutAt && (a.startBy == 0 || now < a.startBy)
	return inTime && !a.request.answered && !a.backend.closed && !a.backend.draining
}

// arrive handles the arrival of the request's last byte at the server.
func (a *attempt) arrive(sv *server, c *conn) {
	m := a.node.sim
	if !m.reachable(a.node.zone, sv.zone) {
		m.currentSecond().sendsToUnavailable++
		return
	}
	a.arrivedAt = m.now
	m.lastModelRequestID++
	modelRequest := a.modelRequest(m.lastModelRequestID)
	outcome := model.Rejected
	if c.model != nil {
		outcome = sv.model.Arrive(m.now, c.model, modelRequest)
		m.checkWarmupLoad(sv, a.node)
	}
	switch outcome {
	case model.Accepted:
		sv.inFlight[modelRequest.ID] = a
	case model.NoResponse:
		m.currentSecond().sendsToUnavailable++
	case model.Rejected:
		m.deliverReply(a, outcome)
	default:
		m.currentSecond().sendsToUnavailable++
		m.deliverReply(a, outcome)
	}
	m.wakeServer(sv)
}

// modelRequest returns the attempt's request in the form that the server's model takes.
func (a *attempt) modelRequest(id uint64) model.Request {
	r := a.request
	modelRequest := model.Request{ID: id, Work: r.client.arrival.Work}
	if r.class.Idempotency == scenario.IdempotentByKey {
		modelRequest.Key = r.client.key
		modelRequest.Scope = r.class.scope
		modelRequest.Window = r.class.KeyWindow.Std()
	}
	return modelRequest
}

// deliverReply sends a server's response to the node, where it arrives after the network delay.
func (m *sim) deliverReply(a *attempt, outcome model.Outcome) {
	if a.state != attemptWaiting {
		return
	}
	sv := a.backend.server
	a.repliedAt = m.now
	a.node.schedule(m.now+m.delay(sv.zone, a.node.zone), func() {
		if a.state != attemptWaiting || !m.reachable(sv.zone, a.node.zone) {
			return
		}
		switch outcome {
		case model.Served:
			a.finish(balancer.OK)
		case model.Rejected:
			a.finish(balancer.Rejected)
		case model.Failed:
			a.finish(balancer.ServerError)
		default:
			a.finish(balancer.Reset)
		}
	})
}

// timeOut ends the attempt at its timeout, with TimedOut if its request has been written.
func (a *attempt) timeOut() { a.end(balancer.TimedOut) }

// cancel ends the attempt before its timeout, with Canceled if its request has been written.
func (a *attempt) cancel() { a.end(balancer.Canceled) }

// cancelUnsent ends the attempt if its request has not been written.
func (a *attempt) cancelUnsent() {
	if a.notWritten() {
		a.finish(balancer.NotSent)
	}
}

// end ends the attempt, with NotSent if its request has not been written, else with the outcome ifWritten.
func (a *attempt) end(ifWritten balancer.Outcome) {
	switch {
	case a.notWritten():
		a.finish(balancer.NotSent)
	case a.state == attemptWaiting:
		a.finish(ifWritten)
	}
}

// finish ends the attempt unless it has ended. It returns the connection to the pool after a complete response
// and closes it otherwise.
func (a *attempt) finish(outcome balancer.Outcome) {
	if a.state == attemptOver {
		return
	}
	a.state = attemptOver
	gotResponse := outcome == balancer.OK || outcome == balancer.Rejected || outcome == balancer.ServerError
	switch {
	case a.conn != nil && gotResponse:
		a.conn.release()
	case a.conn != nil:
		a.conn.discard()
	case a.dialing:
		a.node.pool.connections--
	}
	a.report(outcome)
}

// report records the attempt's outcome and schedules the node's handling of it.
func (a *attempt) report(outcome balancer.Outcome) {
	a.outcome = outcome
	a.node.schedule(a.node.sim.now, func() { a.node.attemptEnded(a) })
}

// abort ends the attempt without a report, because its node has died.
func (a *attempt) abort() { a.state = attemptOver }

// mayHaveRun reports whether the attempt is in flight, or has ended without
// proof that the request was not executed.
func (a *attempt) mayHaveRun() bool {
	if a.state != attemptOver {
		return true
	}
	switch a.outcome {
	case balancer.Rejected, balancer.ConnectFailed, balancer.NotSent:
		return false
	}
	return true
}
