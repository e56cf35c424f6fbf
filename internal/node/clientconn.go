package node

import (
	"context"
	"net"
	"sync"
	"time"

	"bankshift/internal/sockets"
)

// pastDeadline ends a read that is under way when it is set as a deadline.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client's connection as net/http reads it. In addition to
// net.Conn it
//   - notices that a client has left that had sent more than its open request,
//     by reading ahead (readahead.go, departure.go);
//   - limits the time for a request from its first byte on;
//   - can be drained, that is closed without cutting off a request that has
//     begun to arrive.
//
// It is made by connectionLimiter.Accept; net/http closes it.
type clientConn struct {
	net.Conn
	limiter      *connectionLimiter
	slotReleased bool      // guarded by limiter.mu
	acceptedAt   time.Time // set once

	// cancelRequests ends the contexts of the connection's requests. It is set
	// once, before the first read.
	cancelRequests context.CancelFunc

	mu sync.Mutex // guards what follows

	// httpDeadline is the deadline for reads as net/http sets it.
	httpDeadline time.Time

	// requestDeadline applies in place of httpDeadline while a request is being
	// received: it is when that request has to be complete. Zero: none is.
	requestDeadline time.Time

	// requestStartedAt is when the first byte of the request that is being
	// received was read. Zero: none is, or it has been given up.
	requestStartedAt time.Time

	// expiredForSlot: the request being received was given up because others need
	// the connection's slot.
	expiredForSlot bool

	// servedBefore: the connection has carried a request.
	servedBefore bool

	// receivedAt is when the bytes arrived that net/http has read last, but for
	// the single byte by which it watches the connection of an open request: that
	// begins a later request.
	receivedAt time.Time

	// queuedSince is since when the bytes of the first request may have waited
	// in the listener's queue, for arrivalTime. Zero: there were none yet at the
	// accept, or the first request has been read.
	queuedSince time.Time

	// receivedSinceIdle: bytes have been received since the connection last
	// became idle.
	receivedSinceIdle bool

	// nextRequestStarted: a byte of the next request has been received while
	// one was open.
	nextRequestStarted bool

	// draining: nothing may be read any more, so that the connection ends.
	draining bool

	// requestOpen: a request has been read to its end and is not answered yet.
	requestOpen bool

	// readingAhead: readAheadLoop runs, and is the only reader of Conn.
	readingAhead bool

	// readAheadStopped is signaled when readingAhead becomes false.
	readAheadStopped sync.Cond

	// readAhead is what has been read ahead, counted in limiter.readAheadBytes.
	readAhead readAheadBuffer

	// closed: Close has been called.
	closed bool

	// err is why the connection has been aborted, nil if it has not been.
	err error
}

// newClientConn wraps a connection that may have waited in the listener's queue
// since queuedSince.
func newClientConn(c net.Conn, limiter *connectionLimiter, queuedSince time.Time) *clientConn {
	conn := &clientConn{
		Conn:           c,
		limiter:        limiter,
		acceptedAt:     time.Now(),
		cancelRequests: func() {},
	}
	conn.readAheadStopped.L = &conn.mu
	if !sockets.Quiet(c) {
		conn.queuedSince = queuedSince
	}
	return conn
}

// Read returns what was read ahead first. While a request is open, net/http
// waits for a single byte or the connection's end. After that byte it no longer
// reads, so what follows is read ahead from here.
func (c *clientConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.readingAhead && c.readAhead.empty() {
		c.stopReadAhead()
	}
	if !c.readAhead.empty() && len(b) > 0 {
		defer c.mu.Unlock()
		return c.takeReadAhead(b), nil
	}
	if c.err != nil {
		defer c.mu.Unlock()
		return 0, c.err
	}
	c.mu.Unlock()

	n, err := c.Conn.Read(b)

	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return n, err
	}
	if !isBackgroundRead(b) {
		c.receivedAt = c.arrivalTime()
	}
	c.noteReceived()
	c.stopDraining() // what arrived as the connection was being drained has to be answered
	c.startReadAhead(b)
	return n, err
}

// setRequestOpen records whether a request that has been read to its end waits
// for its response.
func (c *clientConn) setRequestOpen(open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen = open
	c.clearRequestTimes()
	c.applyDeadline()
	c.abortIfFlooded()
}

// setActive records that the connection carries a request, to which all bytes
// read so far belong. They may have been read after the previous request, and
// the connection drained since: the request has to be answered.
func (c *clientConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextRequestStarted = false
	c.stopDraining()
}

// setIdle records that the connection carries no request.
func (c *clientConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receivedSinceIdle = false
	c.servedBefore = true
	c.clearRequestTimes()
	if c.nextRequestStarted || !c.readAhead.empty() {
		c.noteReceived()
	}
}

// drain ends the connection if no part of a request has been received on it, and
// reports whether it does. The reader ends it, which then cannot have read one. A
// request that arrives later has not been read by the node, and its client sends
// it again.
func (c *clientConn) drain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedSinceIdle || c.readingAhead || !sockets.Quiet(c.Conn) {
		return c.draining
	}
	c.draining = true
	c.applyDeadline()
	return true
}

// stopDraining lets the connection be read again. The caller holds c.mu.
func (c *clientConn) stopDraining() {
	if !c.draining {
		return
	}
	c.draining = false
	c.applyDeadline()
}

// Close closes the connection and gives its slot back.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	c.discardReadAhead()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.releaseSlot()
	return err
}

// CloseWrite closes the sending side alone. net/http uses it to let a client read
// the response to a request of which it has not sent everything.
func (c *clientConn) CloseWrite() error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.CloseWrite()
}
