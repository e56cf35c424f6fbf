package node

import (
	"cmp"
	"time"

	"bankshift/internal/sockets"
)

// lastReceivedAt returns the arrival time of the bytes that net/http has read last.
// Whatever net/http has parsed of them was sent at that time or earlier.
func (c *clientConn) lastReceivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedAt
}

// isBackgroundRead reports whether a read into b is the one by which net/http
// monitors a connection while a request is open: that one reads a single byte.
func isBackgroundRead(b []byte) bool { return len(b) == 1 }

// arrivalTime returns when the bytes that have just been read from Conn arrived
// at this machine. They may have waited there, in the listener's queue or while
// the process was paused, and the client's timeout has been running since.
// The caller holds c.mu.
func (c *clientConn) arrivalTime() time.Time {
	// Taken first: if the process is paused after this line, the result is too early,
	// not too late.
	now := time.Now()
	state := sockets.Inspect(c.Conn)
	c.noteWindow(state, now)
	if state.SinceReceived > 0 {
		return now.Add(-state.SinceReceived)
	}
	return cmp.Or(c.queuedSince, now)
}
