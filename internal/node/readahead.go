package node

import (
	"errors"
	"os"
	"time"
)

// Limits for what is read ahead, in bytes. Many requests that a client sends at
// once are all served, one after the other. A client that goes on sending after a
// request that is still open is aborted.
const (
	maxReadAhead       = 128 << 10 // for one connection
	maxReadAheadScarce = 16 << 10  // the same, when all connections together exceed sharedReadAhead
	sharedReadAhead    = 4 << 20   // for all connections of a limiter
)

var errFlooded = errors.New("client sent too much after an open request")

// takeReadAhead copies to b from what was read ahead and returns the number of
// bytes. The caller holds c.mu.
func (c *clientConn) takeReadAhead(b []byte) int {
	n, receivedAt := c.readAhead.take(b)
	c.limiter.readAheadBytes.Add(int64(-n))
	if !isBackgroundRead(b) {
		c.receivedAt = receivedAt
	}
	c.startReadAhead(b)
	return n
}

// startReadAhead starts reading ahead after a read into b by which net/http
// watches the connection. The caller holds c.mu.
func (c *clientConn) startReadAhead(b []byte) {
	if !isBackgroundRead(b) {
		return
	}
	c.nextRequestStarted = true
	if c.readingAhead || c.err != nil || c.readAheadFull() {
		return
	}
	c.readingAhead = true
	c.Conn.SetReadDeadline(time.Time{})
	go c.readAheadLoop()
}

// stopReadAhead interrupts readAheadLoop, waits for its end and restores the
// deadline. The caller holds c.mu.
func (c *clientConn) stopReadAhead() {
	c.Conn.SetReadDeadline(pastDeadline)
	for c.readingAhead {
		c.readAheadStopped.Wait()
	}
	c.applyDeadline()
}

// readAheadLoop reads ahead until the client leaves, the limit is reached or Read
// takes the connection back.
func (c *clientConn) readAheadLoop() {
	var chunk [2048]byte
	for {
		n, err := c.Conn.Read(chunk[:])
		if !c.storeReadAhead(chunk[:n], err) {
			return
		}
	}
}

// storeReadAhead adds the result of a read to what was read ahead. It reports
// whether to go on.
func (c *clientConn) storeReadAhead(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) > 0 && !c.closed {
		c.readAhead.add(data, c.arrivalTime())
		c.limiter.readAheadBytes.Add(int64(len(data)))
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.abort(err)
	}
	c.abortIfFlooded()
	if err == nil && c.err == nil && !c.readAheadFull() {
		return true
	}
	c.readingAhead = false
	c.readAheadStopped.Broadcast()
	return false
}

// readAheadFull reports whether no more may be read ahead. The caller holds c.mu.
func (c *clientConn) readAheadFull() bool {
	limit := maxReadAhead
	if c.limiter.readAheadBytes.Load() > sharedReadAhead {
		limit = maxReadAheadScarce
	}
	return c.readAhead.size > limit
}

// abortIfFlooded aborts the connection of a client that has sent too much after a
// request that is not answered. A client whose request has been answered may
// have sent its next one already, however long that is. The caller holds c.mu.
func (c *clientConn) abortIfFlooded() {
	if c.requestOpen && c.readAheadFull() {
		c.abort(errFlooded)
	}
}

// abort ends the connection's requests. The caller holds c.mu.
func (c *clientConn) abort(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	c.cancelRequests()
}

// discardReadAhead drops what was read ahead, when the connection is closed.
func (c *clientConn) discardReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.limiter.readAheadBytes.Add(int64(-c.readAhead.size))
	c.readAhead = readAheadBuffer{}
}
