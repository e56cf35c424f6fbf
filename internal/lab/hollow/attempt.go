package hollow

import (
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// attemptState is how far an attempt has come.
type attemptState int

const (
	attemptNew attemptState = iota
	attemptConnecting
	attemptWaiting // written, its response is awaited
	attemptOver
)

// attempt is one send of a request to a server.
type attempt struct {
	node     *hollowNode
	request  *request
	number   int // among the request's attempts
	endpoint balancer.EndpointID
	backend  *backend
	conn     *conn
	dialing  bool // counted in pool.open without a connection
	state    attemptState
	outcome  balancer.Outcome // with attemptOver

	sentAt    time.Duration // of the balancer's Send
	timeoutAt time.Duration
	startBy   time.Duration // the first byte is written before it; 0: no such limit
	writtenAt time.Duration
	arrivedAt time.Duration // at the server
	repliedAt time.Duration // by the server
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

// start takes a connection from the pool, or dials.
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
	if c := n.pool.take(b); c != nil {
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

// connectFailed ends an attempt that has no connection.
func (a *attempt) connectFailed() {
	if a.notWritten() {
		a.finish(balancer.ConnectFailed)
	}
}

// connectAtServer is the connection request at the server.
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

// connected is the established connection at the node.
func (a *attempt) connected(c *conn) {
	n := a.node
	switch {
	case !n.sim.reachable(n.zone, c.backend.server.zone):
	case n.dead || !a.notWritten(): // it is no longer wanted
		c.closeAtServer()
	default:
		a.backend.busy = append(a.backend.busy, c)
		a.write(c)
	}
}

// write checks for the last time that the request may be sent, and sends it.
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

func (a *attempt) mayWrite() bool {
	now := a.node.sim.now
	inTime := now < a.timeoutAt && (a.startBy == 0 || now < a.startBy)
	return inTime && !a.request.answered && !a.backend.closed && !a.backend.draining
}

// arrive is the request's last byte at the server.
func (a *attempt) arrive(sv *server, c *conn) {
	m := a.node.sim
	if !m.reachable(a.node.zone, sv.zone) {
		m.currentSecond().sendsToUnavailable++
		return
	}
	a.arrivedAt = m.now
	m.lastWorkID++
	work := a.work(m.lastWorkID)
	outcome := model.Rejected
	if c.model != nil {
		outcome = sv.model.Arrive(m.now, c.model, work)
		m.checkWarmupLoad(sv, a.node)
	}
	switch outcome {
	case model.Accepted:
		sv.inFlight[work.ID] = a
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

// work is the attempt's request as the server's model takes it.
func (a *attempt) work(id uint64) model.Work {
	r := a.request
	work := model.Work{ID: id, Cost: r.client.arrival.Work}
	if r.class.Idempotency == scenario.IdempotentByKey {
		work.Key = r.client.key
		work.Scope = r.class.scope
		work.Window = r.class.KeyWindow.Std()
	}
	return work
}

// deliverReply brings a server's response to the node.
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

// timeOut ends the attempt at its timeout.
func (a *attempt) timeOut() { a.end(balancer.TimedOut) }

// cancel ends the attempt as the balancer requests.
func (a *attempt) cancel() { a.end(balancer.Canceled) }

// cancelUnsent ends an attempt that has not been written.
func (a *attempt) cancelUnsent() {
	if a.notWritten() {
		a.finish(balancer.NotSent)
	}
}

// end ends the attempt with NotSent if it has not been written, else with the
// given outcome.
func (a *attempt) end(ifWritten balancer.Outcome) {
	switch {
	case a.notWritten():
		a.finish(balancer.NotSent)
	case a.state == attemptWaiting:
		a.finish(ifWritten)
	}
}

// finish ends the attempt, once, and returns or closes its connection.
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
		a.node.pool.open--
	}
	a.report(outcome)
}

// report tells the node how the attempt ended.
func (a *attempt) report(outcome balancer.Outcome) {
	a.outcome = outcome
	a.node.schedule(a.node.sim.now, func() { a.node.attemptEnded(a) })
}

// abort ends the attempt together with its node.
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
