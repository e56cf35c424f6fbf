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
	n        *hnode
	open     int // connections, idle, in use or being dialled
	most     int
	maxIdle  time.Duration
	backends map[balancer.EndpointID]*backend
	used     []*backend // that have had connections, in the order of their first
}

// backend is one process of a server, as the node knows it.
type backend struct {
	server  *server
	since   int64
	closed  bool
	leaving bool
	used    bool
	idle    []*conn // the one used last comes last
	busy    []*conn
}

// conn is a connection that has come up.
type conn struct {
	model  *model.Conn // nil: one over the server's limit, whose first request is turned away
	of     *backend
	pool   *pool
	made   time.Duration
	idleAt time.Duration
	first  time.Duration // delay of the next request: that of the handshake, at first
	last   time.Duration // when the last request reaches the server: no close comes sooner
}

func (p *pool) init(n *hnode, most int) {
	*p = pool{n: n, most: most, backends: map[balancer.EndpointID]*backend{}, maxIdle: time.Minute}
	if idle := n.cfg.Settings.IdleConnectionTimeout; idle > 0 {
		p.maxIdle = time.Duration(upstream.IdlePart * float64(idle))
	}
}

func (p *pool) set(id balancer.EndpointID, sv *server, since int64, leaving bool) {
	if b := p.backends[id]; b != nil {
		if b.since == since {
			b.leaving = leaving
			return
		}
		b.closed = true
		p.drop(b)
	}
	p.backends[id] = &backend{server: sv, since: since, leaving: leaving}
}

func (p *pool) remove(id balancer.EndpointID) {
	if b := p.backends[id]; b != nil {
		b.closed = true
		p.drop(b)
		delete(p.backends, id)
	}
}

func (p *pool) closeIdle(id balancer.EndpointID) {
	if b := p.backends[id]; b != nil {
		p.drop(b)
	}
}

func (p *pool) drop(b *backend) {
	for _, c := range b.idle {
		c.close()
	}
	b.idle = nil
}

// expireLater closes connections that have been idle too long, now and then.
func (p *pool) expireLater() {
	m := p.n.m
	p.n.later(m.now+max(p.maxIdle/8, 50*time.Millisecond), func() {
		for _, b := range p.used {
			old := 0
			for old < len(b.idle) && m.now-b.idle[old].idleAt >= p.maxIdle {
				b.idle[old].close()
				old++
			}
			b.idle = slices.Delete(b.idle, 0, old)
		}
		p.used = slices.DeleteFunc(p.used, func(b *backend) bool { return b.closed && len(b.busy) == 0 })
		p.expireLater()
	})
}

// take finds a connection of a backend that can carry a request.
func (p *pool) take(b *backend) *conn {
	now := p.n.m.now
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if now-c.idleAt < upstream.RestTime {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		if now-c.idleAt < p.maxIdle && c.silent() {
			b.busy = append(b.busy, c)
			return c
		}
		c.close()
	}
	return nil
}

// silent tells whether the node can see nothing wrong with a connection: one
// to a machine that vanished stays open.
func (c *conn) silent() bool {
	sv, m := c.of.server, c.pool.n.m
	return c.model.Open(m.now) || c.made <= sv.lostAt || !m.reach(c.pool.n.zone, sv.zone)
}

// evict closes the connection that has been idle longest.
func (p *pool) evict() bool {
	var oldest *backend
	for _, b := range p.used {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleAt < oldest.idle[0].idleAt) {
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
	c.hangup()
}

// hangup tells the server of a connection's end.
func (c *conn) hangup() {
	if c.model == nil {
		return
	}
	m, sv, zone := c.pool.n.m, c.of.server, c.pool.n.zone
	m.at(max(c.last, m.now+m.delay(zone, sv.zone)), func() {
		if m.reach(zone, sv.zone) {
			sv.model.CloseConn(m.now, c.model)
			m.wakeServer(sv)
		}
	})
}

// unbusy takes a connection out of use.
func (c *conn) unbusy() {
	if i := slices.Index(c.of.busy, c); i >= 0 {
		c.of.busy = slices.Delete(c.of.busy, i, i+1)
	}
}

func (c *conn) discard() {
	c.unbusy()
	c.close()
}

func (c *conn) release() {
	c.unbusy()
	if c.of.closed || c.of.leaving || c.model == nil {
		c.close()
		return
	}
	c.idleAt = c.pool.n.m.now
	c.of.idle = append(c.of.idle, c)
}

// end closes all connections of a node that has died.
func (p *pool) end() {
	for _, b := range p.used {
		for _, c := range append(b.idle, b.busy...) {
			c.hangup()
		}
		b.idle, b.busy = nil, nil
	}
}

// The states of an attempt.
const (
	fresh = iota
	connecting
	waiting // written, its answer is awaited
	over
)

// attempt is one send of a request.
type attempt struct {
	n       *hnode
	r       *request
	number  int
	id      balancer.EndpointID
	backend *backend
	conn    *conn
	dials   bool // counted among the connections without having one yet
	state   int
	code    balancer.Outcome

	sent    time.Duration // the module's Send
	end     time.Duration // its time-out
	openEnd time.Duration // its first byte leaves before; 0: no such limit
	wrote   time.Duration
	arrived time.Duration // at the server
	replied time.Duration // by the server
}

func (a *attempt) dialling() bool { return a.state == fresh || a.state == connecting }

// begin finds a connection or dials.
func (a *attempt) begin() {
	n, m := a.n, a.n.m
	if a.state == over {
		return
	}
	a.state = connecting
	n.later(a.end, a.expire)
	if a.openEnd > 0 && a.openEnd < a.end {
		n.later(a.openEnd, a.moot)
	}
	b := n.pool.backends[a.id]
	if b == nil {
		a.finish(balancer.NotSent)
		return
	}
	a.backend = b
	if c := n.pool.take(b); c != nil {
		a.write(c)
		return
	}
	if n.pool.open >= n.pool.most && !n.pool.evict() {
		a.finish(balancer.NotSent)
		return
	}
	a.dials = true
	n.pool.open++
	if !b.used {
		b.used = true
		n.pool.used = append(n.pool.used, b)
	}
	n.later(m.now+n.cfg.Settings.ConnectTimeout, func() {
		if a.dialling() {
			a.finish(balancer.ConnectFailed)
		}
	})
	sv := b.server
	m.at(m.now+m.delay(n.zone, sv.zone), func() { a.knock(sv) })
}

// knock is the attempt's connection at the server.
func (a *attempt) knock(sv *server) {
	n, m := a.n, a.n.m
	if !a.dialling() || !m.reach(n.zone, sv.zone) {
		return
	}
	mc, first, ending := sv.model.Connect(m.now)
	m.pushed(sv, n)
	m.wakeServer(sv)
	back := m.now + m.delay(n.zone, sv.zone)
	if m.s.Net.LateDials > 0 && m.rng.Float64() < m.s.Net.LateDials {
		back += time.Duration(m.rng.Float64() * float64(m.s.Net.LateBy))
	}
	switch ending {
	case model.Accepted:
		m.second().handshakes++
	case model.Rejected:
	case model.ConnectionRefused:
		n.later(back, func() {
			if a.dialling() && m.reach(n.zone, sv.zone) {
				a.finish(balancer.ConnectFailed)
			}
		})
		return
	default:
		return
	}
	c := &conn{model: mc, of: a.backend, pool: &n.pool, made: m.now, first: first, last: m.now}
	m.at(back, func() {
		switch {
		case !m.reach(n.zone, sv.zone):
		case n.dead || !a.dialling(): // it was given up
			c.hangup()
		default:
			a.backend.busy = append(a.backend.busy, c)
			a.write(c)
		}
	})
}

// write passes the last gate and sends the request.
func (a *attempt) write(c *conn) {
	n, m, b := a.n, a.n.m, a.backend
	a.conn, a.dials = c, false
	if a.r.done || m.now >= a.end || a.openEnd > 0 && m.now >= a.openEnd || b.closed || b.leaving {
		a.conn = nil
		c.release()
		a.state = over
		a.report(balancer.NotSent)
		return
	}
	a.state, a.wrote = waiting, m.now
	sv := b.server
	m.judgeWrite(a, sv)
	at := m.now + m.delay(n.zone, sv.zone) + c.first
	c.first, c.last = 0, at
	m.at(at, func() { a.reach(sv, c) })
}

// reach is the request's last byte at the server.
func (a *attempt) reach(sv *server, c *conn) {
	m := a.n.m
	if !m.reach(a.n.zone, sv.zone) {
		m.second().absent++
		return
	}
	a.arrived = m.now
	m.works++
	work := model.Work{ID: m.works, Cost: a.r.client.arrival.Work}
	if a.r.class.Effect == "keyed" {
		work.Key, work.Scope, work.Window = a.r.client.key, a.r.class.scope, a.r.class.Window.Std()
	}
	ending := model.Rejected
	if c.model != nil {
		ending = sv.model.Arrive(m.now, c.model, work)
		m.pushed(sv, a.n)
	}
	switch ending {
	case model.Accepted:
		sv.out[work.ID] = a
	case model.NoResponse:
		m.second().absent++
	default:
		if ending != model.Rejected {
			m.second().absent++
		}
		m.reply(a, model.Reply{Outcome: ending, At: m.now})
	}
	m.wakeServer(sv)
}

// reply carries a server's answer back.
func (m *sim) reply(a *attempt, reply model.Reply) {
	if a.state != waiting {
		return
	}
	sv := a.backend.server
	a.replied = m.now
	a.n.later(m.now+m.delay(sv.zone, a.n.zone), func() {
		if a.state != waiting || !m.reach(sv.zone, a.n.zone) {
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
func (a *attempt) expire() {
	switch {
	case a.dialling():
		a.finish(balancer.NotSent)
	case a.state == waiting:
		a.finish(balancer.TimedOut)
	}
}

// moot ends an attempt that has not been sent.
func (a *attempt) moot() {
	if a.dialling() {
		a.finish(balancer.NotSent)
	}
}

// cancel ends the attempt as the module wants.
func (a *attempt) cancel() {
	switch {
	case a.dialling():
		a.finish(balancer.NotSent)
	case a.state == waiting:
		a.finish(balancer.Canceled)
	}
}

// finish ends the attempt, once, and its hold on a connection.
func (a *attempt) finish(code balancer.Outcome) {
	if a.state == over {
		return
	}
	a.state = over
	switch {
	case a.conn != nil && (code == balancer.OK || code == balancer.Rejected || code == balancer.ServerError):
		a.conn.release()
	case a.conn != nil:
		a.conn.discard()
	case a.dials:
		a.n.pool.open--
	}
	a.report(code)
}

// report tells the node.
func (a *attempt) report(code balancer.Outcome) {
	a.code = code
	a.n.later(a.n.m.now, func() { a.n.ended(a) })
}

// abort ends the attempt with its node.
func (a *attempt) abort() { a.state = over }
