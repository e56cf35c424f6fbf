package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"bankshift/internal/fairshare"
	"bankshift/internal/memory"
	"bankshift/internal/sockets"
)

// slotPollInterval is the longest time for which an Accept that waits for a
// slot sleeps before it tries again.
const slotPollInterval = 5 * time.Millisecond

// connectionLimiter is a listener that limits the number of open client
// connections, so that enough descriptors remain for the connections to
// endpoints. One connection beyond the limit may have been accepted from the
// listener; it waits inside Accept for a slot.
//
// Lock order: a clientConn's mu may be locked while the limiter's mu is held,
// never the other way round.
type connectionLimiter struct {
	acceptor
	maxConnections int
	slotFreed      chan struct{} // holds a value if a slot may have become free
	stopped        chan struct{} // closed by stopWaiting
	memory         limiterMemory
	processor      *fairshare.Divider
	closing        atomic.Bool  // the node shuts down: each connection ends once all requests read on it are answered
	readAheadBytes atomic.Int64 // memory of the bytes read ahead on all connections together

	mu          sync.Mutex // guards what follows
	slotsInUse  int
	connections map[*clientConn]struct{}
	idle        map[*clientConn]idleState // connections that carry no request
	lingering   map[*clientConn]time.Time // connections that end and carry no request any more, and since when

	overShareEndedAt time.Time // when a connection was last made to end by endOneOverShare
	lingeringEndedAt time.Time // when evictLingering last closed a connection
}

// idleState describes a connection that carries no request.
type idleState struct {
	since        time.Time
	servedBefore bool // the connection has carried a request before
}

// limiterMemory bounds the memory of what is received on client connections.
type limiterMemory struct {
	heads           *memory.HeadBudget
	readAhead       int64 // for the bytes read ahead on all connections together
	readAheadScarce int   // for one connection while all together exceed readAhead

	short func() bool // messages wait for memory
}

// limitMemory sets the limiter's memory. It must be called before the first Accept.
func (l *connectionLimiter) limitMemory(plan memory.Plan, heads *memory.HeadBudget, short func() bool) {
	l.memory = limiterMemory{
		heads:           heads,
		readAhead:       plan.ReadAhead,
		readAheadScarce: min(max(int(plan.ReadAhead)/l.maxConnections, minReadAheadScarce), maxReadAheadScarce),
		short:           short,
	}
}

// newConnectionLimiter returns a limiter on ln. The caller closes ln.
func newConnectionLimiter(ln net.Listener, maxConnections int, log *slog.Logger) *connectionLimiter {
	l := &connectionLimiter{
		acceptor:       acceptor{Listener: ln, log: log},
		maxConnections: maxConnections,
		memory:         limiterMemory{readAhead: defaultReadAhead, readAheadScarce: maxReadAheadScarce, short: func() bool { return false }},
		slotFreed:      make(chan struct{}, 1),
		stopped:        make(chan struct{}),
		connections:    map[*clientConn]struct{}{},
		idle:           map[*clientConn]idleState{},
		lingering:      map[*clientConn]time.Time{},
	}
	l.limitProcessors(float64(runtime.GOMAXPROCS(0)))
	if err := sockets.SetReceiveBuffer(ln, receiveBuffer); err != nil && !errors.Is(err, errors.ErrUnsupported) {
		log.Warn("setting the receive buffers of client connections failed", "err", err)
	}
	return l
}

// limitProcessors sets how many processors the limiter's connections share. It must be
// called before the first Accept.
func (l *connectionLimiter) limitProcessors(processors float64) {
	l.processor = fairshare.NewDivider(processors)
	l.acceptor.allowance = fairshare.NewAllowance(acceptShare*processors, acceptBurst)
	l.acceptor.turnover = fairshare.NewAllowance(turnoverShare*processors, turnoverBurst)
}

// Accept accepts a connection and waits until it has a slot. If no slot is
// free, Accept closes a connection that carries no request, so that clients
// that hold unused connections cannot lock out others. If every connection
// carries a request, the new connection waits for a slot, and those behind it
// wait in the listener's queue. The new connection is not closed, because its
// first request may already have been received and must be answered.
func (l *connectionLimiter) Accept() (net.Conn, error) {
	for {
		c, queuedSince, err := l.acceptOpen()
		if err != nil {
			return nil, err
		}
		hasSlot, err := l.awaitSlot(c)
		if hasSlot {
			conn := newClientConn(c, l, queuedSince)
			l.mu.Lock()
			defer l.mu.Unlock()
			l.connections[conn] = struct{}{}
			return conn, nil
		}
		c.Close()
		if err != nil {
			return nil, err
		}
	}
}

// awaitSlot waits until it has taken a slot for a connection. It returns false if the
// client leaves before, and an error once the limiter has been stopped.
func (l *connectionLimiter) awaitSlot(c net.Conn) (hasSlot bool, err error) {
	accepted := time.Now()
	for !l.acquireSlot() {
		l.work.Stop(time.Now()) // waiting for a slot is no work
		l.noteSlotWait(accepted)
		l.expireOldestStalled(time.Now())
		if sockets.PeerClosed(c) {
			return false, nil
		}
		if !l.waitForSlot() {
			return false, net.ErrClosed
		}
	}
	return true, nil
}

// acquireSlot takes a slot if one is free or can be freed by evicting a
// connection. It reports whether it has taken one.
func (l *connectionLimiter) acquireSlot() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slotsInUse >= l.maxConnections && !l.evict(time.Now()) {
		return false
	}
	l.slotsInUse++
	return true
}

// waitForSlot waits until a slot may have become free: a connection has ended
// or become idle, or the evictionGrace of a silent connection may have passed.
// It returns false once the limiter has been stopped.
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

// trackState records which connections carry requests. It is an
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
		if conn.slotReleased { // evicted while a request was arriving; takes a slot again
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

// clientConnOf returns the connection whose requests have this context, or false if it
// is none of a connectionLimiter.
func clientConnOf(ctx context.Context) (c *clientConn, ok bool) {
	c, ok = ctx.Value(clientConnKey{}).(*clientConn)
	return c, ok
}

// connContext returns the context for the requests of a connection. It is
// canceled when the client is found to have disconnected. It is an
// http.Server.ConnContext hook.
func (l *connectionLimiter) connContext(ctx context.Context, c net.Conn) context.Context {
	conn, ok := c.(*clientConn)
	if !ok {
		return ctx
	}
	ctx = context.WithValue(ctx, clientConnKey{}, conn)
	ctx, conn.cancelRequests = context.WithCancel(ctx)
	return ctx
}

// releaseSlot releases the connection's slot; further calls have no effect.
// The caller holds c.limiter.mu.
func (c *clientConn) releaseSlot() {
	if c.slotReleased {
		return
	}
	c.slotReleased = true
	c.limiter.slotsInUse--
	delete(c.limiter.connections, c)
	delete(c.limiter.idle, c)
	delete(c.limiter.lingering, c)
	c.limiter.notifySlotFreed()
}
