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
	node           *hollowNode
	connections    int // connections that are idle, in use or being dialled
	maxConnections int // maximum of connections
	maxIdle        time.Duration
	backends       map[balancer.EndpointID]*backend
	dialled        []*backend // backends that have been dialled, in the order of their first dial
}

// backend is one process of a server as the node knows it. A listed restart makes a new backend.
type backend struct {
	server      *server
	startedAtMS int64   // start in the list, Unix time in ms
	closed      bool    // the server was removed from the list, or its next process is listed
	draining    bool    // the backend is listed as draining
	dialled     bool    // the backend has been added to pool.dialled
	idle        []*conn // most recently used last
	busy        []*conn
}

// conn is an established connection.
type conn struct {
	model          *model.Conn // nil: over the server's limit of connections, so its first request is rejected
	backend        *backend
	pool           *pool
	connectedAt    time.Duration
	idleSince      time.Duration
	handshakeDelay time.Duration // added to the first request's delay; 0 for later requests
	lastArrival    time.Duration // of a request at the server; a close arrives no earlier
}

// defaultMaxIdle is maxIdle where the settings contain no idle timeout.
const defaultMaxIdle = time.Minute

func newPool(n *hollowNode, limit int) pool {
	p := pool{node: n, maxConnections: limit, backends: map[balancer.EndpointID]*backend{}, maxIdle: defaultMaxIdle}
	if timeout := n.cfg.Settings.IdleConnectionTimeout; timeout > 0 {
		p.maxIdle = time.Duration(upstream.IdleTimeoutFraction * float64(timeout))
	}
	return p
}

// set adds a backend or updates it. A changed start means a new process; connections to the old one are closed
// once they are idle.
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

// scheduleExpiry closes connections that have been idle for maxIdle, and repeats this at intervals.
func (p *pool) scheduleExpiry() {
	const (
		expiryChecksPerMaxIdle = 8
		minExpiryInterval      = 50 * time.Millisecond
	)
	interval := max(p.maxIdle/expiryChecksPerMaxIdle, minExpiryInterval)
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

// takeIdle returns the most recently used idle connection to a backend that can carry a request, nil if there is
// none. It skips those that have been idle for less than MinReuseDelay, and closes the unusable ones that it finds.
func (p *pool) takeIdle(b *backend) *conn {
	now := p.node.sim.now
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if now-c.idleSince < upstream.MinReuseDelay {
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

// reserve counts one more open connection. At the limit it first evicts an idle connection, and returns false if
// there is none.
func (p *pool) reserve() bool {
	if p.connections >= p.maxConnections && !p.evict() {
		return false
	}
	p.connections++
	return true
}

// evict closes the connection that has been idle longest, and reports whether there was one.
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

// markDialled adds a backend that is about to be dialled to the pool's list.
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

// looksOpen reports whether an idle connection looks open to the node. The node cannot see that a machine has been
// disconnected or is behind a partition, so connections to such a machine look open.
func (c *conn) looksOpen() bool {
	m := c.pool.node.sim
	sv := c.backend.server
	return c.model.Open(m.now) || c.connectedAt <= sv.disconnectedAt || !m.reachable(c.pool.node.zone, sv.zone)
}

// close closes a connection. The caller removes it from its backend's lists.
func (c *conn) close() {
	c.pool.connections--
	c.closeAtServer()
}

// closeAtServer closes the server's side of the connection when the close arrives there; a partition at that time
// drops it.
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

// release makes a connection in use idle, or closes it if its backend takes no more requests or the server has
// rejected the connection.
func (c *conn) release() {
	c.removeFromBusy()
	if c.backend.closed || c.backend.draining || c.model == nil {
		c.close()
		return
	}
	c.idleSince = c.pool.node.sim.now
	c.backend.idle = append(c.backend.idle, c)
}
