package hollow

import (
	"slices"
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/model"
	"bankshift/internal/upstream"
)

// pool does with connections what the pool of internal/node/backend.go does.
type pool struct {
	node     *hollowNode
	open     int // connections, idle, in use or being dialled
	limit    int
	maxIdle  time.Duration
	backends map[balancer.EndpointID]*backend
	inUse    []*backend // that have had connections, in the order of their first
}

// backend is one process of a server, as the node knows it.
type backend struct {
	server      *server
	startedAtMS int64
	closed      bool
	draining    bool
	used        bool
	idle        []*conn // the one used last comes last
	busy        []*conn
}

// conn is a connection that has come up.
type conn struct {
	model          *model.Conn // nil: one over the server's limit, whose first request is turned away
	backend        *backend
	pool           *pool
	connectedAt    time.Duration
	idleSince      time.Duration
	handshakeDelay time.Duration // delay of the next request: that of the handshake, at first
	lastArrival    time.Duration // when the last request reaches the server: no close comes sooner
}

func (p *pool) init(n *hollowNode, most int) {
	*p = pool{node: n, limit: most, backends: map[balancer.EndpointID]*backend{}, maxIdle: time.Minute}
	if idle := n.cfg.Settings.IdleConnectionTimeout; idle > 0 {
		p.maxIdle = time.Duration(upstream.IdlePart * float64(idle))
	}
}

func (p *pool) set(id balancer.EndpointID, sv *server, since int64, leaving bool) {
	if b := p.backends[id]; b != nil {
		if b.startedAtMS == since {
			b.draining = leaving
			return
		}
		b.closed = true
		p.closeIdleConns(b)
	}
	p.backends[id] = &backend{server: sv, startedAtMS: since, draining: leaving}
}

func (p *pool) remove(id balancer.EndpointID) {
	if b := p.backends[id]; b != nil {
		b.closed = true
		p.closeIdleConns(b)
		delete(p.backends, id)
	}
}

func (p *pool) closeIdle(id balancer.EndpointID) {
	if b := p.backends[id]; b != nil {
		p.closeIdleConns(b)
	}
}

func (p *pool) closeIdleConns(b *backend) {
	for _, c := range b.idle {
		c.close()
	}
	b.idle = nil
}

// expireLater closes connections that have been idle too long, now and then.
func (p *pool) expireLater() {
	m := p.node.sim
	p.node.schedule(m.now+max(p.maxIdle/8, 50*time.Millisecond), func() {
		for _, b := range p.inUse {
			old := 0
			for old < len(b.idle) && m.now-b.idle[old].idleSince >= p.maxIdle {
				b.idle[old].close()
				old++
			}
			b.idle = slices.Delete(b.idle, 0, old)
		}
		p.inUse = slices.DeleteFunc(p.inUse, func(b *backend) bool { return b.closed && len(b.busy) == 0 })
		p.expireLater()
	})
}

// take finds a connection of a backend that can carry a request.
func (p *pool) take(b *backend) *conn {
	now := p.node.sim.now
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if now-c.idleSince < upstream.RestTime {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if now-c.idleSince < p.maxIdle && c.looksOpen() {
			b.busy = append(b.busy, c)
			return c
		}
		c.close()
	}
	return nil
}

// silent tells whether the node can see nothing wrong with a connection: one
// to a machine that vanished stays open.
func (c *conn) looksOpen() bool {
	sv, m := c.backend.server, c.pool.node.sim
	return c.model.Open(m.now) || c.connectedAt <= sv.vanishedAt || !m.reachable(c.pool.node.zone, sv.zone)
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() bool {
	var oldest *backend
	for _, b := range p.inUse {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleSince < oldest.idle[0].idleSince) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].close()
	oldest.idle = slices.Delete(oldest.idle, 0, 1)
	return true
}

// close ends a connection that is not in its backend's lists any more.
func (c *conn) close() {
	c.pool.open--
	c.closeAtServer()
}

// hangup tells the server of a connection's end.
func (c *conn) closeAtServer() {
	if c.model == nil {
		return
	}
	m, sv, zone := c.pool.node.sim, c.backend.server, c.pool.node.zone
	m.schedule(max(c.lastArrival, m.now+m.delay(zone, sv.zone)), func() {
		if m.reachable(zone, sv.zone) {
			sv.model.CloseConn(m.now, c.model)
			m.wakeServer(sv)
		}
	})
}

// unbusy takes a connection out of use.
func (c *conn) removeFromBusy() {
	if i := slices.Index(c.backend.busy, c); i >= 0 {
		c.backend.busy = slices.Delete(c.backend.busy, i, i+1)
	}
}

func (c *conn) discard() {
	c.removeFromBusy()
	c.close()
}

func (c *conn) release() {
	c.removeFromBusy()
	if c.backend.closed || c.backend.draining || c.model == nil {
		c.close()
		return
	}
	c.idleSince = c.pool.node.sim.now
	c.backend.idle = append(c.backend.idle, c)
}

// end closes all connections of a node that has died.
func (p *pool) closeAll() {
	for _, b := range p.inUse {
		for _, c := range append(b.idle, b.busy...) {
			c.closeAtServer()
		}
		b.idle, b.busy = nil, nil
	}
}

// The states of an attempt.
const (
	attemptNew = iota
	attemptConnecting
	attemptWaiting // written, its answer is awaited
	attemptOver
)

// attempt is one send of a request.
type attempt struct {
	node     *hollowNode
	request  *request
	number   int
	endpoint balancer.EndpointID
	backend  *backend
	conn     *conn
	dialing  bool // counted among the connections without having one yet
	state    int
	outcome  balancer.Outcome

	sentAt    time.Duration // the module's Send
	timeoutAt time.Duration // its time-out
	startBy   time.Duration // its first byte leaves before; 0: no such limit
	writtenAt time.Duration
	arrivedAt time.Duration // at the server
	repliedAt time.Duration // by the server
}

func (a *attempt) notWritten() bool { return a.state == attemptNew || a.state == attemptConnecting }

// begin finds a connection or dials.
func (a *attempt) start() {
	n, m := a.node, a.node.sim
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
	if n.pool.open >= n.pool.limit && !n.pool.evict() {
		a.finish(balancer.NotSent)
		return
	}
	a.dialing = true
	n.pool.open++
	if !b.used {
		b.used = true
		n.pool.inUse = append(n.pool.inUse, b)
	}
	n.schedule(m.now+n.cfg.Settings.ConnectTimeout, func() {
		if a.notWritten() {
			a.finish(balancer.ConnectFailed)
		}
	})
	sv := b.server
	m.schedule(m.now+m.delay(n.zone, sv.zone), func() { a.connect(sv) })
}

// knock is the attempt's connection at the server.
func (a *attempt) connect(sv *server) {
	n, m := a.node, a.node.sim
	if !a.notWritten() || !m.reachable(n.zone, sv.zone) {
		return
	}
	mc, first, ending := sv.model.Connect(m.now)
	m.checkColdLoad(sv, n)
	m.wakeServer(sv)
	back := m.now + m.delay(n.zone, sv.zone)
	if m.scenario.Network.LateDials > 0 && m.rng.Float64() < m.scenario.Network.LateDials {
		back += time.Duration(m.rng.Float64() * float64(m.scenario.Network.LateBy))
	}
	switch ending {
	case model.Accepted:
		m.currentSecond().handshakes++
	case model.Rejected:
	case model.ConnectionRefused:
		n.schedule(back, func() {
			if a.notWritten() && m.reachable(n.zone, sv.zone) {
				a.finish(balancer.ConnectFailed)
			}
		})
		return
	default:
		return
	}
	c := &conn{model: mc, backend: a.backend, pool: &n.pool, connectedAt: m.now, handshakeDelay: first, lastArrival: m.now}
	m.schedule(back, func() {
		switch {
		case !m.reachable(n.zone, sv.zone):
		case n.dead || !a.notWritten(): // it was given up
			c.closeAtServer()
		default:
			a.backend.busy = append(a.backend.busy, c)
			a.write(c)
		}
	})
}

// write passes the last gate and sends the request.
func (a *attempt) write(c *conn) {
	n, m, b := a.node, a.node.sim, a.backend
	a.conn, a.dialing = c, false
	if a.request.answered || m.now >= a.timeoutAt || a.startBy > 0 && m.now >= a.startBy || b.closed || b.draining {
		a.conn = nil
		c.release()
		a.state = attemptOver
		a.report(balancer.NotSent)
		return
	}
	a.state, a.writtenAt = attemptWaiting, m.now
	sv := b.server
	m.checkFirstByte(a, sv)
	at := m.now + m.delay(n.zone, sv.zone) + c.handshakeDelay
	c.handshakeDelay, c.lastArrival = 0, at
	m.schedule(at, func() { a.arrive(sv, c) })
}

// reach is the request's last byte at the server.
func (a *attempt) arrive(sv *server, c *conn) {
	m := a.node.sim
	if !m.reachable(a.node.zone, sv.zone) {
		m.currentSecond().sendsToAbsent++
		return
	}
	a.arrivedAt = m.now
	m.lastWorkID++
	work := model.Work{ID: m.lastWorkID, Cost: a.request.client.arrival.Work}
	if a.request.class.Idempotency == "keyed" {
		work.Key, work.Scope, work.Window = a.request.client.key, a.request.class.scope, a.request.class.KeyWindow.Std()
	}
	ending := model.Rejected
	if c.model != nil {
		ending = sv.model.Arrive(m.now, c.model, work)
		m.checkColdLoad(sv, a.node)
	}
	switch ending {
	case model.Accepted:
		sv.inFlight[work.ID] = a
	case model.NoResponse:
		m.currentSecond().sendsToAbsent++
	default:
		if ending != model.Rejected {
			m.currentSecond().sendsToAbsent++
		}
		m.deliverReply(a, model.Reply{Outcome: ending, At: m.now})
	}
	m.wakeServer(sv)
}

// reply carries a server's answer back.
func (m *sim) deliverReply(a *attempt, reply model.Reply) {
	if a.state != attemptWaiting {
		return
	}
	sv := a.backend.server
	a.repliedAt = m.now
	a.node.schedule(m.now+m.delay(sv.zone, a.node.zone), func() {
		if a.state != attemptWaiting || !m.reachable(sv.zone, a.node.zone) {
			return
		}
		switch reply.Outcome {
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

// expire ends the attempt at its time-out.
func (a *attempt) timeOut() {
	switch {
	case a.notWritten():
		a.finish(balancer.NotSent)
	case a.state == attemptWaiting:
		a.finish(balancer.TimedOut)
	}
}

// moot ends an attempt that has not been sent.
func (a *attempt) cancelUnsent() {
	if a.notWritten() {
		a.finish(balancer.NotSent)
	}
}

// cancel ends the attempt as the module wants.
func (a *attempt) cancel() {
	switch {
	case a.notWritten():
		a.finish(balancer.NotSent)
	case a.state == attemptWaiting:
		a.finish(balancer.Canceled)
	}
}

// finish ends the attempt, once, and its hold on a connection.
func (a *attempt) finish(code balancer.Outcome) {
	if a.state == attemptOver {
		return
	}
	a.state = attemptOver
	switch {
	case a.conn != nil && (code == balancer.OK || code == balancer.Rejected || code == balancer.ServerError):
		a.conn.release()
	case a.conn != nil:
		a.conn.discard()
	case a.dialing:
		a.node.pool.open--
	}
	a.report(code)
}

// report tells the node.
func (a *attempt) report(code balancer.Outcome) {
	a.outcome = code
	a.node.schedule(a.node.sim.now, func() { a.node.attemptEnded(a) })
}

// abort ends the attempt with its node.
func (a *attempt) abort() { a.state = attemptOver }
