// Package upstream sends requests to endpoints over pooled HTTP/1.1
// connections. An attempt sends a request at most once and never repeats it;
// how it ended says whether the request may have run.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"bankshift/balancer"
	"bankshift/internal/sockets"
)

const (
	// IdlePart is the part of the settings' idle timeout after which a
	// connection is closed: the endpoint must never be the first to close it.
	IdlePart = 0.75

	// RestTime is how long a connection carries no request after a response.
	// Whatever an endpoint does right behind a response, be it stray bytes, a
	// second copy of it or a close, shows within this time, and can neither
	// answer the next request nor break it.
	RestTime = 25 * time.Millisecond

	defaultMaxIdle = time.Minute // without an idle timeout in the settings

	// Idle connections are checked for their age in this part of MaxIdle.
	expiryChecksPerMaxIdle = 8
	minExpiryInterval      = 50 * time.Millisecond
)

// Config states how a pool makes and keeps connections.
type Config struct {
	Dialer         net.Dialer    // makes the connections; ConnectTimeout stands in for its Timeout
	ConnectTimeout time.Duration // how long an attempt waits for a connection; 0: until its own deadline
	MaxIdle        time.Duration // a connection that has been idle for so long is closed
	RestTime       time.Duration // a connection carries no request for so long after a response
	MaxConnections int           // idle, in use or being dialled
}

// ConfigFor returns the configuration that the settings ask for, with at most
// maxConnections connections.
func ConfigFor(s balancer.Settings, maxConnections int) Config {
	c := Config{
		Dialer:         net.Dialer{KeepAlive: -1},
		ConnectTimeout: s.ConnectTimeout,
		MaxIdle:        time.Duration(IdlePart * float64(s.IdleConnectionTimeout)),
		RestTime:       RestTime,
		MaxConnections: maxConnections,
	}
	if s.IdleConnectionTimeout <= 0 {
		c.MaxIdle = defaultMaxIdle
	}
	return c
}

// Pool keeps connections to endpoints and sends requests on them. Its methods
// may be called from any goroutine.
//
// The pool owns a connection while it is idle or being dialled, and closes it
// when it expires, gives way to another one, or belongs to an endpoint that was
// restarted, moved or removed. An attempt owns the connection that it was
// handed until it has put it back or closed it, which it does before it
// returns. The pool holds no lock during an exchange.
type Pool struct {
	config Config // does not change

	mu              sync.Mutex
	connections     int                              // idle, in use or being dialled; at most config.MaxConnections. Guarded by mu.
	lastConnectedAt time.Time                        // when a connection to any endpoint last came up. Guarded by mu.
	backends        map[balancer.EndpointID]*backend // Guarded by mu, as are the backends' fields.
}

// backend is one incarnation of an endpoint. A restart or a new address makes a
// new backend, to which the connections of the old one never return. Its fields
// are guarded by Pool.mu, but for endpoint, address and startedAt, which do not
// change.
type backend struct {
	endpoint  balancer.EndpointID
	address   string
	startedAt int64 // Unix time in ms

	closed   bool      // the endpoint was removed, or has a new incarnation
	draining bool      // the endpoint takes no new requests
	idle     []*conn   // the most recently used last
	waiters  []*waiter // attempts that wait for a connection, oldest first
	dials    int       // connections that are being dialled
}

// acceptsRequests reports whether new requests may go to b.
func (b *backend) acceptsRequests() bool { return !b.closed && !b.draining }

// NewPool returns an empty pool. Run closes its idle connections as they expire.
func NewPool(c Config) *Pool {
	return &Pool{config: c, backends: map[balancer.EndpointID]*backend{}}
}

// Run closes connections that have been idle for too long, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	interval := max(p.config.MaxIdle/expiryChecksPerMaxIdle, minExpiryInterval)
	for sockets.Sleep(ctx, interval) {
		p.closeExpired(time.Now())
	}
}

// Set adds an endpoint or changes what is known of it; startedAt is its start
// as Unix time in ms. If its address or its start is another than before, the
// idle connections are closed, and those in use are as soon as their attempts
// end.
func (p *Pool) Set(id balancer.EndpointID, address string, startedAt int64, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.startedAt == startedAt {
			b.draining = draining
			return
		}
		p.close(b)
	}
	p.backends[id] = &backend{endpoint: id, address: address, startedAt: startedAt, draining: draining}
}

// Remove forgets an endpoint. Its idle connections are closed, and those in use
// are as soon as their attempts end.
func (p *Pool) Remove(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.close(b)
		delete(p.backends, id)
	}
}

// Len returns the number of endpoints that are set, draining ones included.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.backends)
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.closeIdle(b)
	}
}

// close sees to it that b gets no further requests. The caller holds p.mu.
func (p *Pool) close(b *backend) {
	b.closed = true
	p.closeIdle(b)
}

// closeIdle closes the idle connections of b. The caller holds p.mu.
func (p *Pool) closeIdle(b *backend) {
	for _, c := range b.idle {
		p.closeConn(c)
	}
	b.idle = nil
}

// closeConn closes a connection, which then no longer counts. The caller holds
// p.mu, and takes c off the idle ones.
func (p *Pool) closeConn(c *conn) {
	c.Conn.Close()
	p.connections--
}

// closeExpired closes the connections that have been idle for too long.
func (p *Pool) closeExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		expired := 0
		for expired < len(b.idle) && b.idle[expired].idleFor(now) >= p.config.MaxIdle {
			p.closeConn(b.idle[expired])
			expired++
		}
		b.idle = slices.Delete(b.idle, 0, expired)
	}
}

// get returns an idle connection to an endpoint, or one that it waits for until
// ctx ends. If it fails, nothing has been sent.
func (p *Pool) get(ctx context.Context, id balancer.EndpointID) (*conn, error) {
	c, b, err := p.takeOrReserve(id)
	if err != nil {
		return nil, err
	}
	if c != nil {
		return c, nil
	}
	return p.connect(ctx, b)
}

// takeOrReserve returns an idle connection to an endpoint. If there is none, it
// counts a new one, and returns the backend that the caller is to dial.
func (p *Pool) takeOrReserve(id balancer.EndpointID) (*conn, *backend, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return nil, nil, ErrNotListed
	}
	if c := p.takeIdle(b); c != nil {
		return c, nil, nil
	}
	if p.connections >= p.config.MaxConnections && !p.evict() {
		return nil, nil, ErrTooManyConnections
	}
	p.connections++
	return nil, b, nil
}

// takeIdle takes the most recently used connection of b that has rested, and
// closes those that cannot be used any more; nil: there is none. The caller
// holds p.mu.
func (p *Pool) takeIdle(b *backend) *conn {
	now := time.Now()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.idleFor(now) < p.config.RestTime {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		// A request on a connection that the endpoint has closed, or on which it
		// sent something unasked, would end as a reset and might have run.
		if c.idleFor(now) < p.config.MaxIdle && sockets.Quiet(c.Conn) {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

// putIdle makes c an idle connection, or closes it if its endpoint takes no
// further requests. The caller holds p.mu, and owns c until then.
func (p *Pool) putIdle(c *conn) {
	if !c.backend.acceptsRequests() {
		p.closeConn(c)
		return
	}
	c.idleSince = time.Now()
	c.backend.idle = append(c.backend.idle, c)
}

// evict closes the connection that has been idle longest, and reports whether
// there was one. The caller holds p.mu.
func (p *Pool) evict() bool {
	var oldest *backend
	for _, b := range p.backends {
		if len(b.idle) == 0 {
			continue
		}
		if oldest == nil || b.idle[0].idleSince.Before(oldest.idle[0].idleSince) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(oldest.idle[0])
	oldest.idle = oldest.idle[1:]
	return true
}
