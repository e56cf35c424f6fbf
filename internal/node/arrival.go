package node

import (
	"cmp"
	"time"

	"bankshift/internal/sockets"
)

// lastReceivedAt returns when the bytes arrived that net/http has read last. What
// it has parsed of them was sent then or earlier.
func (c *clientConn) lastReceivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedAt
}

// isBackgroundRead reports whether a read into b is how net/http watches a connection
// while a request is open: it reads a single byte.
func isBackgroundRead(b []byte) bool { return len(b) == 1 }

// arrivalTime returns when the bytes arrived at this machine that have just been
// read from Conn. They may have lain there for a while, in the listener's queue or
// as the process was not running, and their client's timeout has been running
// since. The caller holds c.mu.
func (c *clientConn) arrivalTime() time.Time {
	// Taken first: what holds the process up from here on makes the result earlier.
	now := time.Now()
	if age := sockets.SinceLastReceived(c.Conn); age > 0 {
		return now.Add(-age)
	}
	return cmp.Or(c.queuedSince, now)
}
