package node

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// slotPollInterval is the longest pause before an Accept that waits for a slot
// tries again.
const slotPollInterval = 5 * time.Millisecond

// connectionLimiter is a listener that holds the number of accepted connections
// to a maximum, so that clients leave descriptors for the connections to
// endpoints. One more connection is accepted from the listener and waits in
// Accept for its slot.
//
// A connection's own lock may be taken while mu is held, never the other way
// round.
type connectionLimiter struct {
	acceptor
	maxConnections int
	slotFreed      chan struct{} // has a value when a slot may have become free
	stopped        chan struct{} // closed by stopWaiting
	readAheadBytes atomic.Int64  // bytes read ahead, of all connections

	mu          sync.Mutex // guards what follows
	slotsInUse  int
	connections map[*clientConn]struct{}
	idle        map[*clientConn]idleState // connections that carry no request
}

// idleState describes a connection that carries no request.
type idleState struct {
	since        time.Time
	servedBefore bool // it has carried a request before
}

// newConnectionLimiter returns a limiter on ln. The caller closes ln.
func newConnectionLimiter(ln net.Listener, maxConnections int, log *slog.Logger) *connectionLimiter {
	return &connectionLimiter{
		acceptor:       acceptor{Listener: ln, log: log},
		maxConnections: maxConnections,
		slotFreed:      make(chan struct{}, 1),
		stopped:        make(chan struct{}),
		connections:    map[*clientConn]struct{}{},
		idle:           map[*clientConn]idleState{},
	}
}

// Accept frees a slot by closing a connection that carries no request: clients
// that hold connections without using them must not shut out others. Where all
// connections carry requests, the new one waits until a slot is free, and those
// behind it wait in the listener's queue. It is not closed instead, as its first
// request may have been received already and has to be answered.
func (l *connectionLimiter) Accept() (net.Conn, error) {
	c, queuedSince, err := l.acceptNext()
	if err != nil {
		return nil, err
	}
	accepted := time.Now()
	for !l.acquireSlot() {
		l.noteSlotWait(accepted)
		l.expireOldestStalled(time.Now())
		if !l.waitForSlot() {
			c.Close()
			return nil, net.ErrClosed
		}
	}
	conn := newClientConn(c, l, queuedSince)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections[conn] = struct{}{}
	return conn, nil
}

// acquireSlot takes a slot, if there is one or a connection can be evicted.
func (l *connectionLimiter) acquireSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slotsInUse >= l.maxConnections && !l.evict(time.Now()) {
		return false
	}
	l.slotsInUse++
	return true
}

// waitForSlot waits until a slot may have become free: a connection has ended or
// become idle, or the grace period of a silent one may be over. It returns false
// once the limiter has been stopped.
func (l *connectionLimiter) waitForSlot() bool {
	poll := time.NewTimer(slotPollInterval)
	defer poll.Stop()
	select {
	case <-l.slotFreed:
	case <-poll.C:
	case <-l.stopped:
		return false
	}
	return true
}

// notifySlotFreed wakes an Accept that waits for a slot.
func (l *connectionLimiter) notifySlotFreed() {
	select {
	case l.slotFreed <- struct{}{}:
	default:
	}
}

// stopWaiting ends an Accept that waits for a slot. It must be called only once.
func (l *connectionLimiter) stopWaiting() { close(l.stopped) }

// openConnections returns the number of connections that hold a slot.
func (l *connectionLimiter) openConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.slotsInUse
}

// trackState follows which connections carry requests. It is an
// http.Server.ConnState hook.
func (l *connectionLimiter) trackState(c net.Conn, state http.ConnState) {
	conn, ok := c.(*clientConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateNew:
		l.addIdle(conn, false)
	case http.StateIdle:
		conn.setIdle()
		l.addIdle(conn, true)
	case http.StateActive:
		conn.setActive()
		if conn.slotReleased { // evicted while a request was on its way
			conn.slotReleased = false
			l.slotsInUse++
			l.connections[conn] = struct{}{}
		}
		delete(l.idle, conn)
	default:
		delete(l.idle, conn)
	}
}

// addIdle records that a connection carries no request. The caller holds l.mu.
func (l *connectionLimiter) addIdle(c *clientConn, servedBefore bool) {
	if c.slotReleased {
		return
	}
	l.idle[c] = idleState{since: time.Now(), servedBefore: servedBefore}
	l.notifySlotFreed()
}

// clientConnKey is the context key of a request's *clientConn.
type clientConnKey struct{}

// connContext returns the context for the requests of a connection, which ends
// when their client is seen to have left. It is an http.Server.ConnContext hook.
func (l *connectionLimiter) connContext(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*clientConn)
	if !ok {
		return ctx
	}
	ctx = context.WithValue(ctx, clientConnKey{}, conn)
	ctx, conn.cancelRequests = context.WithCancel(ctx)
	return ctx
}

// releaseSlot gives the connection's slot back, once. The caller holds
// c.limiter.mu.
func (c *clientConn) releaseSlot() {
	if c.slotReleased {
		return
	}
	c.slotReleased = true
	c.limiter.slotsInUse--
	delete(c.limiter.connections, c)
	delete(c.limiter.idle, c)
	c.limiter.notifySlotFreed()
}
