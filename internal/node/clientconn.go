package node

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bankshift/internal/fairshare"
	"bankshift/internal/memory"
	"bankshift/internal/sockets"
)

// pastDeadline, set as a read deadline, interrupts a read that is in progress.
var pastDeadline = time.Unix(1, 0)

// clientConn is a client's connection as net/http reads it. In addition to
// net.Conn it
//   - detects that a client has disconnected even if it had sent more after
//     its open request, by reading ahead (readahead.go, disconnect.go);
//   - limits the time for receiving a request, from its first byte on;
//   - can be drained, that is closed without cutting off a request that has
//     begun to arrive.
//
// connectionLimiter.Accept creates it; net/http closes it.
type clientConn struct {
	net.Conn
	limiter      *connectionLimiter
	slotReleased bool      // guarded by limiter.mu
	acceptedAt   time.Time // when Accept had a slot for the connection; set once

	share     *fairshare.Account // of the processor
	work      fairshare.Meter    // of the goroutine that reads requests and serves them
	endWanted atomic.Bool        // the connection ends after its next response, because others wait for its slot or for memory
	endWait   chan struct{}      // receives a value when a wait for the share has to end
	endPause  chan struct{}      // receives a value when a pause of readAheadLoop has to end

	// cancelRequests cancels the contexts of the connection's requests. It is
	// set once, before the first read.
	cancelRequests context.CancelFunc

	mu sync.Mutex // guards what follows

	// httpDeadline is the read deadline that net/http has set.
	httpDeadline time.Time

	// requestDeadline is when the request that is being received must be
	// complete. It then applies in place of httpDeadline. Zero: no request is
	// being received.
	requestDeadline time.Time

	// requestStartedAt is since when the node waits for the rest of the request
	// that is being received: since its first byte was read, or since the
	// request before it was answered, if that was later. Zero: no request is
	// being received, or it has been rejected or expired.
	requestStartedAt time.Time

	// expiredForSlot: the deadline of a request being received was moved to the
	// present because other connections wait for a slot.
	expiredForSlot bool

	// windowFullAt is when the kernel's receive window was last found to be full.
	windowFullAt time.Time

	// servedBefore: the connection has carried a request.
	servedBefore bool

	// receivedAt is the arrival time of the bytes that net/http has read last.
	// The single byte by which net/http monitors the connection during an open
	// request does not count, because it begins a later request.
	receivedAt time.Time

	// queuedSince is since when the bytes of the first request may have waited
	// in the listener's queue; arrivalTime uses it. Zero: no bytes had arrived
	// by the accept, or the first request has been read.
	queuedSince time.Time

	// receivedSinceIdle: bytes have been received since the connection last
	// became idle.
	receivedSinceIdle bool

	// nextRequestAt is when a byte of the next request was received while a
	// request was open. Zero: none has been.
	nextRequestAt time.Time

	// draining: nothing more may be read; reads fail, so that net/http closes
	// the connection.
	draining bool

	// requestOpen: a request has been read to its end and is not answered yet.
	requestOpen bool

	// readingAhead: readAheadLoop is running and is the only reader of Conn.
	readingAhead bool

	// pausedWhileOpen is for how long readAheadLoop has paused since the last request
	// was opened.
	pausedWhileOpen time.Duration

	// readAheadStopped is signaled when readingAhead becomes false.
	readAheadStopped sync.Cond

	// readAhead holds the bytes read ahead. limiter.readAheadBytes counts them
	// too.
	readAhead readAheadBuffer

	// serving: net/http has read the head of a request and has not finished its response.
	serving bool

	// bodyUnread is how many bytes of the body of that request net/http has not read yet.
	bodyUnread int

	// head measures the head of the request that is being received or served.
	head       memory.HeadMeter
	headMemory memory.Reservation // of that head

	// closed: Close has been called.
	closed bool

	// err is why the connection has been aborted; nil if it has not been.
	err error
}

// newClientConn wraps a connection that may have waited in the listener's queue
// since queuedSince.
func newClientConn(c net.Conn, limiter *connectionLimiter, queuedSince time.Time) *clientConn {
	conn := &clientConn{
		Conn:           c,
		limiter:        limiter,
		acceptedAt:     time.Now(),
		share:          limiter.processor.Open(time.Now()),
		endWait:        make(chan struct{}, 1),
		endPause:       make(chan struct{}, 1),
		cancelRequests: func() {},
	}
	conn.readAheadStopped.L = &conn.mu
	if !sockets.IsIdle(c) {
		conn.queuedSince = queuedSince
	}
	return conn
}

// Read returns bytes that were read ahead before it reads from Conn. While a
// request is open, net/http reads a single byte to detect the connection's end.
// After that byte it stops reading, so readAheadLoop reads what follows.
//
// A read returns bytes of one part of a message, a head or a body. Bytes that follow a
// head in the same segment count as read ahead, so that net/http's buffer never holds a
// part of a message whose memory is not counted.
func (c *clientConn) Read(b []byte) (int, error) {
	background := isBackgroundRead(b)
	if background {
		return c.readPart(b, background)
	}
	began := time.Now()
	c.work.Stop(began)
	n, err := c.readPart(b, background)
	if n > 0 && !c.reserveHead() {
		c.rejectHead()
		return 0, io.EOF // net/http then closes the connection without a response of its own
	}
	if n > 0 && !c.awaitShare(began) {
		return 0, io.EOF
	}
	return n, err
}

// readPart is Read without a limit of memory.
func (c *clientConn) readPart(b []byte, background bool) (int, error) {
	c.mu.Lock()
	if c.readingAhead && c.readAhead.empty() {
		c.stopReadAhead()
	}
	b = c.limitToPart(b)
	if !c.readAhead.empty() && len(b) > 0 {
		defer c.mu.Unlock()
		return c.takeReadAhead(b, background), nil
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
	receivedAt := c.arrivalTime()
	c.noteReceived(time.Now())
	c.stopDraining() // bytes that arrived while the connection was being drained must be answered
	counted := c.countReceived(b[:n])
	c.addReadAhead(b[counted:n], receivedAt)
	c.noteRead(background, receivedAt)
	return counted, err
}

// setRequestOpen records whether a request that has been read to its end is
// waiting for its response.
func (c *clientConn) setRequestOpen(open bool) {
	if open {
		c.work.Stop(time.Now()) // waiting for the response is no work
	} else {
		c.work.Start(time.Now())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestOpen = open
	c.pausedWhileOpen = 0
	c.endReadAheadPause() // it may be longer than it may be now
	c.clearRequestTimes()
	c.applyDeadline()
}

// setActive records that the connection carries a request whose head has been read,
// and to which all bytes read so far belong. These bytes may have been read together
// with the previous request, so that no read has started the request's deadline, and
// the connection may have been drained since. Draining stops, because the request must
// be answered.
func (c *clientConn) setActive() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = true
	c.nextRequestAt = time.Time{}
	c.noteReceived(c.receivedAt)
	c.stopDraining()
}

// setIdle records that the connection carries no request.
func (c *clientConn) setIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = false
	c.bodyUnread = 0
	c.head = memory.HeadMeter{}
	c.headMemory.Release()
	c.receivedSinceIdle = false
	c.servedBefore = true
	c.clearRequestTimes()
	switch {
	case !c.nextRequestAt.IsZero():
		c.noteReceived(c.nextRequestAt)
	case !c.readAhead.empty():
		c.noteReceived(c.readAhead.oldest())
	}
}

// drain ends the connection if no part of a request has been received on it,
// and reports whether the connection is ending. It only makes reads fail, and
// the goroutine that reads then closes the connection, so it cannot have read
// part of a request. The node has not read a request that arrives later, and
// its client sends it again.
func (c *clientConn) drain() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedSinceIdle || c.readingAhead || !sockets.IsIdle(c.Conn) {
		return c.draining
	}
	c.draining = true
	c.applyDeadline()
	return true
}

// stopDraining allows reads from the connection again. The caller holds c.mu.
func (c *clientConn) stopDraining() {
	if !c.draining {
		return
	}
	c.draining = false
	c.applyDeadline()
}

// Close closes the connection and releases its slot. What the connection's goroutine has
// done since its last read is charged to the share for new connections: nobody else pays
// for clients that connect again and again.
func (c *clientConn) Close() error {
	err := c.Conn.Close()
	now := time.Now()
	c.work.Stop(now)
	c.limiter.turnover.Charge(now, c.work.Take())
	c.releaseShares()
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.releaseSlot()
	return err
}

// CloseWrite closes only the sending side. net/http uses it so that a client
// can read the response to a request that it has not sent completely.
func (c *clientConn) CloseWrite() error {
	c.work.Stop(time.Now()) // net/http then waits before it closes the connection
	c.limiter.noteLingering(c)
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	return tcp.CloseWrite()
}
