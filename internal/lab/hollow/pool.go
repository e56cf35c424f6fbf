package hollow

import (
	"slices"
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/model"
	"bankshift/internal/upstream"
)

// pool models the connection pool of package upstream.
type pool struct {
	node     *hollowNode
	open     int // connections that are idle, in use or being dialled
	limit    int // of open
	maxIdle  time.Duration
	backends map[balancer.EndpointID]*backend
	dialled  []*backend // that have had connections, in the order of their first
}

// backend is one process of a server, as the node knows it.
type backend struct {
	server      *server
	startedAtMS int64 // as listed
	closed      bool  // it left the list, or was replaced by its next process
	draining    bool
	dialled     bool    // it is in pool.dialled
	idle        []*conn // the one used last comes last
	busy        []*conn
}

// conn is an established connection.
type conn struct {
	model          *model.Conn // nil: over the server's limit, so that its first request is rejected
	backend        *backend
	pool           *pool
	connectedAt    time.Duration
	idleSince      time.Duration
	handshakeDelay time.Duration // of the first request; 0 after it
	lastArrival    time.Duration // of a request at the server: a close does not overtake it
}

// defaultMaxIdle is the idle timeout where the settings have none.
const defaultMaxIdle = time.Minute

func newPool(n *hollowNode, limit int) pool {
	p := pool{node: n, limit: limit, backends: map[balancer.EndpointID]*backend{}, maxIdle: defaultMaxIdle}
	if timeout := n.cfg.Settings.IdleConnectionTimeout; timeout > 0 {
		p.maxIdle = time.Duration(upstream.IdlePart * float64(timeout))
	}
	return p
}

// set adds a backend or updates it. A changed start means a new process, to
// which no connection is kept.
func (p *pool) set(id balancer.EndpointID, sv *server, startedAtMS int64, draining bool) {
	if b := p.backends[id]; b != nil {
		if b.startedAtMS == startedAtMS {
			b.draining = draining
			return
		}
		b.close()
	}
	p.backends[id] = &backend{server: sv, startedAtMS: startedAtMS, draining: draining}
}

func (p *pool) remove(id balancer.EndpointID) {
	if b := p.backends[id]; b != nil {
		b.close()
		delete(p.backends, id)
	}
}

// closeIdle closes the idle connections to a backend.
func (p *pool) closeIdle(id balancer.EndpointID) {
	if b := p.backends[id]; b != nil {
		b.closeIdle()
	}
}

func (b *backend) close() {
	b.closed = true
	b.closeIdle()
}

func (b *backend) closeIdle() {
	for _, c := range b.idle {
		c.close()
	}
	b.idle = nil
}

// scheduleExpiry closes connections that have been idle for too long, at
// intervals.
func (p *pool) scheduleExpiry() {
	const (
		checksPerTimeout = 8
		minInterval      = 50 * time.Millisecond
	)
	interval := max(p.maxIdle/checksPerTimeout, minInterval)
	p.node.schedule(p.node.sim.now+interval, func() {
		for _, b := range p.dialled {
			b.closeExpired(p.node.sim.now, p.maxIdle)
		}
		p.dialled = slices.DeleteFunc(p.dialled, func(b *backend) bool { return b.closed && len(b.busy) == 0 })
		p.scheduleExpiry()
	})
}

func (b *backend) closeExpired(now, maxIdle time.Duration) {
	expired := 0
	for expired < len(b.idle) && now-b.idle[expired].idleSince >= maxIdle {
		b.idle[expired].close()
		expired++
	}
	b.idle = slices.Delete(b.idle, 0, expired)
}

// take returns an idle connection to a backend that can carry a request, nil
// if there is none. It closes those that it finds unusable.
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

// reserve makes room for one more connection. It returns false at the limit
// with no idle connection to evict.
func (p *pool) reserve() bool {
	if p.open >= p.limit && !p.evict() {
		return false
	}
	p.open++
	return true
}

// evict closes the connection that has been idle longest, if there is one.
func (p *pool) evict() bool {
	var oldest *backend
	for _, b := range p.dialled {
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

// markDialled records that a backend has, or will have, connections.
func (p *pool) markDialled(b *backend) {
	if !b.dialled {
		b.dialled = true
		p.dialled = append(p.dialled, b)
	}
}

// closeAll closes all connections of a node that has died.
func (p *pool) closeAll() {
	for _, b := range p.dialled {
		for _, c := range append(b.idle, b.busy...) {
			c.closeAtServer()
		}
		b.idle = nil
		b.busy = nil
	}
}

// looksOpen reports whether the node can see nothing wrong with an idle
// connection: one to a vanished machine stays open.
func (c *conn) looksOpen() bool {
	m := c.pool.node.sim
	sv := c.backend.server
	return c.model.Open(m.now) || c.connectedAt <= sv.disconnectedAt || !m.reachable(c.pool.node.zone, sv.zone)
}

// close ends a connection that is in none of its backend's lists.
func (c *conn) close() {
	c.pool.open--
	c.closeAtServer()
}

// closeAtServer closes the server's side of the connection, when the close
// arrives there.
func (c *conn) closeAtServer() {
	if c.model == nil {
		return
	}
	m := c.pool.node.sim
	sv := c.backend.server
	zone := c.pool.node.zone
	m.schedule(max(c.lastArrival, m.now+m.delay(zone, sv.zone)), func() {
		if m.reachable(zone, sv.zone) {
			sv.model.CloseConn(m.now, c.model)
			m.wakeServer(sv)
		}
	})
}

func (c *conn) removeFromBusy() {
	if i := slices.Index(c.backend.busy, c); i >= 0 {
		c.backend.busy = slices.Delete(c.backend.busy, i, i+1)
	}
}

// discard closes a connection in use.
func (c *conn) discard() {
	c.removeFromBusy()
	c.close()
}

// release returns a connection in use to the idle ones, or closes it where its
// backend takes no more requests.
func (c *conn) release() {
	c.removeFromBusy()
	if c.backend.closed || c.backend.draining || c.model == nil {
		c.close()
		return
	}
	c.idleSince = c.pool.node.sim.now
	c.backend.idle = append(c.backend.idle, c)
}
