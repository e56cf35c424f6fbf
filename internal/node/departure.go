package node

import (
	"context"
	"errors"
	"syscall"
	"time"
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
		n, err := peek(c.Conn)
		if connectionLost(n, err) {
			return true
		}
		if n < 1 || waited >= departureCheckTime || !sleep(ctx, departurePollInterval) {
			return ctx.Err() != nil // it left while its earlier requests were served, or was aborted
		}
	}
}

// clientLeftNow reports whether the end of the client's connection is what a read
// would return next.
func (c *clientConn) clientLeftNow() bool {
	return connectionLost(peek(c.Conn))
}

// connectionLost reports whether a peek has found the connection's end.
func connectionLost(n int, err error) bool {
	if err == nil {
		return n == 0
	}
	for _, errno := range []syscall.Errno{
		syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPIPE, syscall.ECONNABORTED, syscall.ENOTCONN,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}
