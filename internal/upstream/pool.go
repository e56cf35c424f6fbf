// Package upstream sends requests to endpoints over pooled HTTP/1.1 connections.
// An attempt sends a request at most once and never retries it. The attempt's
// outcome states whether the request may have run.
package upstream

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"bankshift/balancer"
	"bankshift/internal/memory"
	"bankshift/internal/sockets"
)

const (
	// IdleTimeoutFraction is the fraction of the idle timeout in the settings after
	// which the pool closes an idle connection, so that the endpoint never closes it
	// first.
	IdleTimeoutFraction = 0.75

	// MinReuseDelay is how long a connection must stay idle after a response before
	// it carries the next request. If an endpoint sends stray bytes or a duplicate of
	// the response, or closes the connection, right after a response, that shows
	// within this time and can neither answer the next request nor break it.
	MinReuseDelay = 25 * time.Millisecond

	defaultMaxIdle = time.Minute // if the settings have no idle timeout

	// Run closes expired connections expiryChecksPerMaxIdle times per MaxIdle, but
	// waits at least minExpiryInterval in between.
	expiryChecksPerMaxIdle = 8
	minExpiryInterval      = 50 * time.Millisecond
)

// Config states how a pool dials and keeps connections.
type Config struct {
	Dialer         net.Dialer    // dials connections; ConnectTimeout takes the place of its Timeout
	ConnectTimeout time.Duration // how long an attempt waits for a connection; 0: until its own deadline
	MaxIdle        time.Duration // how long a connection may be idle before it is closed
	MinReuseDelay  time.Duration // how long a connection must be idle after a response before its next request
	MaxConnections int           // limit of connections that are idle, in use or being dialled

	Responses *memory.Budget     // for the bodies of responses
	Heads     *memory.HeadBudget // for the heads of responses
}

// ConfigFor derives a pool's configuration from the settings, with a limit of
// maxConnections.
func ConfigFor(s balancer.Settings, maxConnections int) Config {
	c := Config{
		Dialer:         net.Dialer{KeepAlive: -1},
		ConnectTimeout: s.ConnectTimeout,
		MaxIdle:        time.Duration(IdleTimeoutFraction * float64(s.IdleConnectionTimeout)),
		MinReuseDelay:  MinReuseDelay,
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
// The pool owns a connection while it is idle or being dialled. It closes an idle
// connection that expires, is evicted for another one, or belongs to an endpoint
// that was restarted, moved or removed. An attempt owns the connection that it was
// handed, and returns it to the pool or closes it before it ends. The pool holds no
// lock during an exchange.
type Pool struct {
	config Config // does not change

	mu              sync.Mutex // guards the fields below and those of the backends
	connections     int        // idle, in use or being dialled; at most config.MaxConnections
	lastConnectedAt time.Time  // when a connection to any endpoint was last established
	backends        map[balancer.EndpointID]*backend
}

// backend is one incarnation of an endpoint. After a restart or a change of address
// the endpoint gets a new backend, and connections of the old one are never reused.
// Its fields are guarded by Pool.mu, except for endpoint, address and startedAtMS,
// which do not change.
type backend struct {
	endpoint    balancer.EndpointID
	address     string
	startedAtMS int64 // Unix time in ms

	closed   bool      // the endpoint was removed, or has a new incarnation
	draining bool      // the endpoint takes no new requests
	idle     []*conn   // idle connections, the most recently used last
	waiters  []*waiter // attempts that wait for a connection, oldest first
	dials    int       // number of dials in progress
}

// acceptsRequests reports whether new requests may be sent to b.
func (b *backend) acceptsRequests() bool { return !b.closed && !b.draining }

// NewPool returns an empty pool. Run closes its idle connections when they expire.
func NewPool(c Config) *Pool {
	return &Pool{config: c, backends: map[balancer.EndpointID]*backend{}}
}

// Run closes connections that have been idle for MaxIdle, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	interval := max(p.config.MaxIdle/expiryChecksPerMaxIdle, minExpiryInterval)
	for sockets.Sleep(ctx, interval) {
		p.closeExpired(time.Now())
	}
}

// Set adds or updates an endpoint. startedAtMS is the time of its start as Unix
// time in ms. If address or startedAtMS has changed, Set closes the endpoint's idle
// connections, and those in use are closed as soon as their attempts end.
func (p *Pool) Set(id balancer.EndpointID, address string, startedAtMS int64, draining bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.startedAtMS == startedAtMS {
			b.draining = draining
			return
		}
		p.close(b)
	}
	p.backends[id] = &backend{endpoint: id, address: address, startedAtMS: startedAtMS, draining: draining}
}

// Remove removes an endpoint and closes its idle connections. Those in use are
// closed as soon as their attempts end.
func (p *Pool) Remove(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.close(b)
		delete(p.backends, id)
	}
}

// Len returns the number of endpoints in the pool, including draining ones.
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

// close marks b as closed, so that it gets no further requests, and closes its idle
// connections. The caller holds p.mu.
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

// closeConn closes c and subtracts it from p.connections. The caller holds p.mu,
// and removes c from the idle connections if it is one of them.
func (p *Pool) closeConn(c *conn) {
	c.Conn.Close()
	p.connections--
}

// closeExpired closes the connections that have been idle for MaxIdle at the time now.
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

// get returns an idle connection to an endpoint. If there is none, it dials one and
// waits for it until ctx ends. If get fails, nothing has been sent.
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

// takeOrReserve returns an idle connection to an endpoint. If there is none, it adds
// one to p.connections and returns the backend that the caller must dial.
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

// takeIdle takes the most recently used connection of b that has been idle for
// MinReuseDelay, or returns nil if there is none. It closes the connections that it
// finds unusable on the way. The caller holds p.mu.
func (p *Pool) takeIdle(b *backend) *conn {
	now := time.Now()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if c.idleFor(now) < p.config.MinReuseDelay {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		// On a connection that the endpoint has closed, or on which it sent
		// unsolicited data, a request would fail as Reset and might have run.
		if c.idleFor(now) < p.config.MaxIdle && sockets.IsIdle(c.Conn) {
			return c
		}
		p.closeConn(c)
	}
	return nil
}

// putIdle adds c to the idle connections, or closes it if its endpoint accepts no
// further requests. The caller holds p.mu, and passes ownership of c to the pool.
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
