package node

import (
	"errors"
	"os"
	"time"

	"bankshift/internal/fairshare"
	"bankshift/internal/memory"
)

// Limits of the bytes read ahead. A client may send many requests at once; all of
// them are answered, one after the other. What exceeds maxReadAhead waits in the kernel.
// While all connections together exceed their share, less is read ahead. No
// attempt begins while the rest does not fit there; see awaitClientState.
const (
	maxReadAhead       = 128 << 10 // for one connection
	maxReadAheadScarce = 16 << 10  // for one connection while all connections together exceed their share, at most
	minReadAheadScarce = 4 << 10   // the same, at least
	defaultReadAhead   = 4 << 20   // share of all connections of a limiter together, unless limitMemory sets another

	readAheadChunkSize = 2 << 10 // most that one read adds

	// receiveBuffer is the size of the kernel's receive buffer of a connection. The client's
	// end is seen behind as much, however little is read ahead.
	receiveBuffer = maxReadAhead
)

// takeReadAhead copies bytes that were read ahead to b and returns their number. They
// belong to one part of a message; see countReceived. The caller holds c.mu.
func (c *clientConn) takeReadAhead(b []byte, background bool) int {
	first := c.readAhead.chunks[0].data
	n := c.countReceived(first[:min(len(b), len(first))])
	memory := c.readAhead.memory
	n, receivedAt := c.readAhead.take(b[:n])
	c.limiter.readAheadBytes.Add(int64(c.readAhead.memory - memory))
	c.noteRead(background, receivedAt)
	return n
}

// addReadAhead adds bytes to those that were read ahead. The caller holds c.mu.
func (c *clientConn) addReadAhead(data []byte, receivedAt time.Time) {
	if len(data) == 0 || c.closed {
		return
	}
	memory := c.readAhead.memory
	c.readAhead.add(data, receivedAt)
	c.limiter.readAheadBytes.Add(int64(c.readAhead.memory - memory))
}

// noteRead records that net/http has read bytes that arrived at the given time.
// The caller holds c.mu.
func (c *clientConn) noteRead(background bool, receivedAt time.Time) {
	if background {
		c.startReadAhead(receivedAt)
	} else {
		c.receivedAt = receivedAt
	}
}

// startReadAhead starts readAheadLoop after net/http has read the byte by which it
// monitors the connection. This byte of the next request was received at the given
// time. The caller holds c.mu.
func (c *clientConn) startReadAhead(receivedAt time.Time) {
	c.nextRequestAt = receivedAt
	if c.readingAhead || c.err != nil || c.readAheadFull() {
		return
	}
	c.readingAhead = true
	c.Conn.SetReadDeadline(time.Time{})
	go c.readAheadLoop()
}

// stopReadAhead interrupts readAheadLoop, waits until it has ended and restores
// the read deadline. The caller holds c.mu.
func (c *clientConn) stopReadAhead() {
	c.Conn.SetReadDeadline(pastDeadline)
	c.endReadAheadPause()
	for c.readingAhead {
		c.readAheadStopped.Wait()
	}
	c.applyDeadline()
}

// readAheadLoop reads ahead until the client disconnects, the limit is reached
// or Read interrupts it to read from Conn itself.
func (c *clientConn) readAheadLoop() {
	var chunk [readAheadChunkSize]byte
	for {
		n, err := c.Conn.Read(chunk[:])
		began := time.Now()
		if !c.storeReadAhead(chunk[:n], err) {
			return
		}
		now := time.Now()
		c.pauseReadAhead(c.limiter.processor.ChargeSurplus(now, now.Sub(began)+readCost))
	}
}

// pauseReadAhead pauses reading ahead, until stopReadAhead at most. While a request is
// open, all pauses together last maxDisconnectWait at most: the client's end may follow
// what is read ahead.
func (c *clientConn) pauseReadAhead(d time.Duration) {
	if d <= 0 {
		return
	}
	limit := c.pauseLimit()
	began := time.Now()
	fairshare.Wait(min(d, limit), limit, c.endPause)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedWhileOpen += time.Since(began)
}

// pauseLimit returns the longest time for which reading ahead may pause now.
func (c *clientConn) pauseLimit() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestOpen {
		return fairshare.MaxWait
	}
	return max(maxDisconnectWait-c.pausedWhileOpen, 0)
}

// endReadAheadPause ends a pause of readAheadLoop, if there is one.
func (c *clientConn) endReadAheadPause() {
	select {
	case c.endPause <- struct{}{}:
	default:
	}
}

// storeReadAhead adds the result of a read to the bytes read ahead. It reports
// whether readAheadLoop continues.
func (c *clientConn) storeReadAhead(data []byte, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(data) > 0 {
		c.addReadAhead(data, c.arrivalTime())
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.abort(err)
	}
	if err == nil && c.err == nil && !c.readAheadFull() {
		return true
	}
	c.readingAhead = false
	c.readAheadStopped.Broadcast()
	return false
}

// readAheadFull reports whether no more may be read ahead on the connection. The caller
// holds c.mu.
func (c *clientConn) readAheadFull() bool {
	limits := c.limiter.memory
	scarce := c.limiter.readAheadBytes.Load() > limits.readAhead
	return c.readAhead.size > maxReadAhead || scarce && c.readAhead.memory > limits.readAheadScarce
}

// resumeReadAhead continues to read ahead if that has stopped because memory was scarce. It
// reports false if what the client has sent stays unread until its request is answered.
func (c *clientConn) resumeReadAhead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.readingAhead && c.readAheadFull() {
		return false
	}
	if c.requestOpen && !c.nextRequestAt.IsZero() {
		c.startReadAhead(c.nextRequestAt)
	}
	return true
}

// hasReadHead reports whether the whole head of a further request has been read ahead.
func (c *clientConn) hasReadHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	var head memory.HeadMeter
	for _, chunk := range c.readAhead.chunks {
		head.Add(chunk.data)
	}
	return head.Ended()
}

// abort cancels the connection's requests and makes reads return err once the
// bytes read ahead are used up. Only the first call has an effect. The caller
// holds c.mu.
func (c *clientConn) abort(err error) {
	if c.err != nil {
		return
	}
	c.err = err
	c.cancelRequests()
}

// releaseShares drops the bytes read ahead, and releases the memory of the head that
// was read last and the share of the processor, when the connection is closed.
func (c *clientConn) releaseShares() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	c.share.Close()
	c.limiter.readAheadBytes.Add(int64(-c.readAhead.memory))
	c.readAhead = readAheadBuffer{}
	c.headMemory.Release()
}
