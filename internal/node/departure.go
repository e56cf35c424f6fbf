package node

import (
	"context"
	"time"

	"bankshift/internal/sockets"
)

// A request after which more has been sent waits until that has been read ahead,
// as the client's departure may stand behind it.
const (
	departurePollInterval = time.Millisecond      // a client that has sent its next request early loses this much
	departureCheckTime    = 20 * time.Millisecond // limit: maxReadAhead is read far sooner, and some deadlines are short
)

// clientLeft reports whether the client has left by the time its request has been
// read. Its departure may have reached the socket long before, while net/http has
// only begun to watch for it; it may stand behind more that the client has sent,
// which is being read ahead.
func (c *clientConn) clientLeft(ctx context.Context) bool {
	for waited := time.Duration(0); ; waited += departurePollInterval {
		left, unread := c.lookForDeparture()
		if left {
			return true
		}
		if !unread || waited >= departureCheckTime || !sockets.Sleep(ctx, departurePollInterval) {
			return ctx.Err() != nil // it left while its earlier requests were served, or was aborted
		}
	}
}

// clientLeftNow reports whether the client has ended its connection: a read would
// return the end next, or the kernel knows of one behind what is not read yet.
func (c *clientConn) clientLeftNow() bool {
	left, _ := c.lookForDeparture()
	return left
}

// lookForDeparture reports whether the client has ended its connection, and whether
// bytes wait to be read. Only behind such bytes does the kernel know more of its
// end than a read would find.
func (c *clientConn) lookForDeparture() (left, unread bool) {
	n, err := sockets.Peek(c.Conn)
	unread = n > 0
	return sockets.Closed(n, err) || unread && sockets.PeerClosed(c.Conn), unread
}
