package node

import (
	"context"
	"time"

	"bankshift/internal/sockets"
)

// If a client has sent more after a request, the request waits until those bytes
// have been read ahead, because the end of the connection may follow them.
const (
	disconnectPollInterval = time.Millisecond      // also the delay of a request if more bytes follow it already
	maxDisconnectWait      = 20 * time.Millisecond // reading maxReadAhead takes far less, and some deadlines are short
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
		if !unread || c.readAheadPaused() || waited >= maxDisconnectWait || !sockets.Sleep(ctx, disconnectPollInterval) {
			return ctx.Err() != nil // client disconnected during an earlier request, or the connection was aborted
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
// only if there are unread bytes: without them, Peek itself detects the end.
func (c *clientConn) checkDisconnected() (disconnected, unread bool) {
	n, err := sockets.Peek(c.Conn)
	unread = n > 0
	return sockets.Closed(n, err) || unread && sockets.PeerClosed(c.Conn), unread
}
