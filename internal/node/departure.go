package node

import (
	"context"
	"time"

	"bankshift/internal/sockets"
)

// A request after which more has been sent waits until that has been read ahead,
// as the client's departure may stand behind it.
const (
	disconnectPollInterval = time.Millisecond      // a client that has sent its next request early loses this much
	maxDisconnectWait      = 20 * time.Millisecond // limit: maxReadAhead is read far sooner, and some deadlines are short
)

// clientDisconnected reports whether the client has left by the time its request has been
// read. Its departure may have reached the socket long before, while net/http has
// only begun to watch for it; it may stand behind more that the client has sent,
// which is being read ahead.
func (c *clientConn) clientDisconnected(ctx context.Context) bool {
	for waited := time.Duration(0); ; waited += disconnectPollInterval {
		left, unread := c.checkDisconnected()
		if left {
			return true
		}
		if !unread || waited >= maxDisconnectWait || !sockets.Sleep(ctx, disconnectPollInterval) {
			return ctx.Err() != nil // it left while its earlier requests were served, or was aborted
		}
	}
}

// clientDisconnectedNow reports whether the client has ended its connection: a read would
// return the end next, or the kernel knows of one behind what is not read yet.
func (c *clientConn) clientDisconnectedNow() bool {
	left, _ := c.checkDisconnected()
	return left
}

// checkDisconnected reports whether the client has ended its connection, and whether
// bytes wait to be read. Only behind such bytes does the kernel know more of its
// end than a read would find.
func (c *clientConn) checkDisconnected() (left, unread bool) {
	n, err := sockets.Peek(c.Conn)
	unread = n > 0
	return sockets.Closed(n, err) || unread && sockets.PeerClosed(c.Conn), unread
}
