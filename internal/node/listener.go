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

// A client's request comes with its connection or right behind it.
const (
	speakTime = 250 * time.Millisecond // a connection silent for longer is the first to give way
	spareTime = 20 * time.Millisecond  // one that has just come is spared
	placeStep = 5 * time.Millisecond   // between looks for a place at most
)

// limited holds accepted connections to a number, so that clients leave
// descriptors for the servers. One more waits in Accept for its place.
type limited struct {
	acceptor
	most    int
	changed chan struct{} // has a value when a place may have become free
	stopped chan struct{} // closed by stop
	ahead   atomic.Int64  // bytes that are read ahead of all connections

	mu     sync.Mutex
	conns  int
	all    map[*limitedConn]struct{}
	unused map[*limitedConn]unused // that carry no request
}

// unused tells of a connection without a request.
type unused struct {
	since  time.Time
	spoken bool // it has carried one before
}

func limitListener(ln net.Listener, most int) *limited {
	return &limited{acceptor: acceptor{Listener: ln, log: slog.New(slog.DiscardHandler)}, most: most,
		changed: make(chan struct{}, 1), stopped: make(chan struct{}), all: map[*limitedConn]struct{}{}, unused: map[*limitedConn]unused{}}
}

// Accept makes room by closing a connection that carries no request: clients
// that hold connections without using them must not shut out others. With none
// of those the new one waits until a place is free, and those behind it in the
// listener's queue: its request may be on it already, and is owed an answer.
func (l *limited) Accept() (net.Conn, error) {
	c, since, err := l.next()
	if err != nil {
		return nil, err
	}
	for came := time.Now(); !l.take(); {
		l.waitedForPlace(came)
		l.hurryStalled(time.Now())
		if !l.awaitPlace() {
			c.Close()
			return nil, net.ErrClosed
		}
	}
	lc := newLimitedConn(c, l, since)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[lc] = struct{}{}
	return lc, nil
}

// hurryStalled ends the oldest of the requests that should have come whole by
// now: clients that stop in the middle of one must not hold up others.
func (l *limited) hurryStalled(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var oldest *limitedConn
	var since time.Time
	for c := range l.all {
		began := c.readingSince()
		if !began.IsZero() && now.Sub(began) >= speakTime && (oldest == nil || began.Before(since)) {
			oldest, since = c, began
		}
	}
	if oldest != nil {
		oldest.hurry()
	}
}

// take takes a place.
func (l *limited) take() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conns >= l.most && !l.evict(time.Now()) {
		return false
	}
	l.conns++
	return true
}

// awaitPlace waits until a place may have become free: a connection has ended
// or come to rest, or one without a request has been spared for long enough.
func (l *limited) awaitPlace() bool {
	spared := time.NewTimer(placeStep)
	defer spared.Stop()
	select {
	case <-l.changed:
	case <-spared.C:
	case <-l.stopped:
		return false
	}
	return true
}

// notify wakes an Accept that waits for a place.
func (l *limited) notify() {
	select {
	case l.changed <- struct{}{}:
	default:
	}
}

// stop ends an Accept that waits for a place. It is called once.
func (l *limited) stop() { close(l.stopped) }

// open counts the connections.
func (l *limited) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conns
}

// note follows which connections carry requests, for http.Server's ConnState.
func (l *limited) note(c net.Conn, s http.ConnState) {
	lc, ok := c.(*limitedConn)
	if !ok {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case s == http.StateNew || s == http.StateIdle:
		if s == http.StateIdle {
			lc.rest()
		}
		if !lc.closed {
			l.unused[lc] = unused{since: time.Now(), spoken: s == http.StateIdle}
			l.notify()
		}
	case s == http.StateActive:
		if lc.use(); lc.closed { // given up while a request was on its way
			lc.closed = false
			l.conns++
			l.all[lc] = struct{}{}
		}
		fallthrough
	default:
		delete(l.unused, lc)
	}
}

// connKey is where a request's context has its connection.
type connKey struct{}

// context gives the requests of a connection one that ends as their client is
// seen to leave, for http.Server's ConnContext.
func (l *limited) context(ctx context.Context, c net.Conn) context.Context {
	if lc, ok := c.(*limitedConn); ok {
		ctx, lc.leave = context.WithCancel(context.WithValue(ctx, connKey{}, lc))
	}
	return ctx
}

// retire closes all connections that carry no request, but not those that have
// just come: their first request is on its way, and its client would not send
// it again. To be repeated, as these and those in use come to rest later.
func (l *limited) retire(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c, u := range l.unused {
		if u.spoken || now.Sub(u.since) >= speakTime {
			c.retire()
		}
	}
}

// evict closes the connection that is least likely to be missed. One on which
// a request has just come is no longer unused, though net/http has not said so.
func (l *limited) evict(now time.Time) bool {
	for {
		worst := l.worst(now)
		if worst == nil {
			return false
		}
		if worst.retire() {
			worst.end()
			return true
		}
		delete(l.unused, worst)
	}
}

// worst finds it: of those that have been silent for long, else of those
// between requests, else of those that have not spoken yet, the one that has
// been so longest.
func (l *limited) worst(now time.Time) *limitedConn {
	var worst *limitedConn
	var worstRank int
	for c, u := range l.unused {
		age, rank := now.Sub(u.since), 1
		switch {
		case u.spoken:
		case age >= speakTime:
			rank = 0
		case age >= spareTime:
			rank = 2
		default:
			continue
		}
		if worst == nil || rank < worstRank || rank == worstRank && u.since.Before(l.unused[worst].since) {
			worst, worstRank = c, rank
		}
	}
	return worst
}

// end gives the slot back, once. The caller holds of.mu.
func (c *limitedConn) end() {
	if !c.closed {
		c.closed = true
		c.of.conns--
		delete(c.of.all, c)
		delete(c.of.unused, c)
		c.of.notify()
	}
}

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	if !c.shut {
		c.shut = true
		c.of.ahead.Add(int64(-len(c.ahead)))
		c.ahead = nil
	}
	c.mu.Unlock()
	c.of.mu.Lock()
	defer c.of.mu.Unlock()
	c.end()
	return err
}

// CloseWrite ends the sending alone. net/http needs it to let a client read an
// answer to a request of which it has not sent all.
func (c *limitedConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}
