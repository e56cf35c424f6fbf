package node

import (
	"context"
	"time"

	"bankshift/internal/sockets"
)

// If a client has sent more after a request, the request waits until those bytes
// have been read ahead, because the end of the connection may follow them.
const (
	disconnectPollInterval = time.Millisecond      // delay for a client that has sent its next request early
	maxDisconnectWait      = 20 * time.Millisecond // maxReadAhead is read far sooner, and some deadlines are short
)

// clientDisconnected reports whether the client has disconnected by the time
// its request has been read. The end of the connection may have reached the
// socket long before, while net/http has only just begun to watch for it. It
// may also follow further bytes from the client, which are being read ahead.
func (c *clientConn) clientDisconnected(ctx context.Context) bool {
	for waited := time.Duration(0); ; waited += disconnectPollInterval {
		disconnected, unread := c.checkDisconnected()
		if disconnected {
			return true
		}
		if !unread || waited >= maxDisconnectWait || !sockets.Sleep(ctx, disconnectPollInterval) {
			return ctx.Err() != nil // disconnected while its earlier requests were served, or was aborted
		}
	}
}

// clientDisconnectedNow reports whether the client has ended its connection:
// the next read would return the end, or the kernel reports the end behind
// unread bytes.
func (c *clientConn) clientDisconnectedNow() bool {
	disconnected, _ := c.checkDisconnected()
	return disconnected
}

// checkDisconnected reports whether the client has ended its connection, and
// whether there are unread bytes. It asks the kernel for the connection's state
// only if there are: otherwise a read would find the end just as well.
func (c *clientConn) checkDisconnected() (disconnected, unread bool) {
	n, err := sockets.Peek(c.Conn)
	unread = n > 0
	return sockets.Closed(n, err) || unread && sockets.PeerClosed(c.Conn), unread
}
