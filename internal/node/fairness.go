package node

import (
	"time"

	"bankshift/internal/fairshare"
	"bankshift/internal/sockets"
)

// readCost is what a read from a connection costs, with the memory for its bytes. One that
// takes longer has waited for them.
const readCost = 20 * time.Microsecond

// awaitShare charges what the connection's goroutine had done before the read that began
// at readBegan and has just ended, and waits if the connection has used more of the
// processor than its share. It reports false if the connection would have to wait and its
// client has left. The first request of a connection does not wait. The wait ends early if
// the connection ends after its next response.
func (c *clientConn) awaitShare(readBegan time.Time) bool {
	now := time.Now()
	wait := c.share.Charge(now, c.work.Take()+min(now.Sub(readBegan), readCost))
	if wait > 0 && c.limiter.memory.short() {
		c.endWanted.Store(true) // it would hold memory while it waits
	}
	if wait > 0 && c.hasServedBefore() && !c.hasToEnd() {
		if !c.wait(wait) {
			return false
		}
		now = time.Now()
	}
	c.work.Start(now)
	return true
}

// hasServedBefore reports whether the connection has carried a request before the one
// that is being received or served.
func (c *clientConn) hasServedBefore() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.servedBefore
}

// wait waits for the connection's share of the processor. It returns false as soon as it
// finds that the client has left.
func (c *clientConn) wait(d time.Duration) bool {
	began := time.Now()
	for left := d; left > 0; left = d - time.Since(began) {
		if sockets.PeerClosed(c.Conn) {
			return false
		}
		fairshare.Wait(min(left, maxDisconnectWait), fairshare.MaxWait, c.endWait)
		if c.hasToEnd() {
			break
		}
	}
	c.postponeRequestDeadline(time.Since(began))
	return true
}

// hasToEnd reports whether the connection has to end: others wait for its slot or for
// memory, or the node shuts down.
func (c *clientConn) hasToEnd() bool {
	return c.endWanted.Load() || c.limiter.closing.Load()
}

// endOneOverShare makes one connection that uses more of the processor than its share
// end after the response to the request that it has begun, because other connections wait
// for a slot. Such a connection is seldom idle, so it cannot be evicted. Its client may
// connect again at once, so only one such connection ends every slotPollInterval.
// endOneOverShare reports whether one has been made to end within that time. The caller
// holds l.mu.
func (l *connectionLimiter) endOneOverShare(now time.Time) bool {
	if now.Sub(l.overShareEndedAt) < slotPollInterval {
		return true
	}
	for c := range l.connections {
		if c.share.Overdrawn() && c.inRequest() && c.endWanted.CompareAndSwap(false, true) {
			c.endWait <- struct{}{} // it has room for the one value
			l.overShareEndedAt = now
			return true
		}
	}
	return false
}

// inRequest reports whether a part of a request has been received that is not answered.
func (c *clientConn) inRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedSinceIdle || c.serving
}
