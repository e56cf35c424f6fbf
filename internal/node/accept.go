package node

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"
)

const (
	minAcceptBackoff = time.Millisecond      // pause after a failed Accept; doubles with each further failure
	maxAcceptBackoff = 20 * time.Millisecond // the longest such pause: the deadlines of queued requests are running
	emptyQueueWait   = time.Millisecond      // an Accept that blocks for at least this long found its queue empty
	queueDrainTime   = time.Second           // after a failure; what was queued meanwhile has been accepted by then
)

// acceptor accepts connections from a listener. It retries transient failures
// and reports since when each connection may have waited in the listener's
// queue, as far as that can be told from outside the kernel: it stands in where
// sockets.SinceLastReceived knows nothing. It is used by one goroutine at a time.
type acceptor struct {
	net.Listener
	log *slog.Logger

	failingSince  time.Time // first of a series of failures; zero: the queue has been empty since
	lastFailure   time.Time // last failure of that series
	slotWaitSince time.Time // start of the last wait for a slot; zero: the queue has been empty, or a connection taken, since
}

// acceptNext accepts a connection. Everything received on it so far was sent at
// queuedSince or later. The exception is a queue that is never empty while
// clients wait for slots one after the other: only the last wait counts then.
func (a *acceptor) acceptNext() (c net.Conn, queuedSince time.Time, err error) {
	backoff := minAcceptBackoff
	for failures := 0; ; failures++ {
		called := time.Now()
		c, err = a.Listener.Accept()
		now := time.Now()
		if now.Sub(called) >= emptyQueueWait {
			called = now
			a.failingSince = time.Time{}
			a.slotWaitSince = time.Time{}
		}
		if now.Sub(a.lastFailure) >= queueDrainTime {
			a.failingSince = time.Time{}
		}
		if err == nil {
			queuedSince = cmp.Or(a.failingSince, a.slotWaitSince, called)
			a.slotWaitSince = time.Time{}
			return c, queuedSince, nil
		}
		if !isTransientAcceptError(err) {
			return nil, time.Time{}, err
		}
		if failures == 0 {
			a.log.Warn("accepting a client failed, retrying", "err", err)
		}
		a.failingSince = cmp.Or(a.failingSince, a.slotWaitSince, called)
		a.lastFailure = now
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// noteSlotWait records that no connection has been taken from the queue since then.
func (a *acceptor) noteSlotWait(since time.Time) { a.slotWaitSince = since }

// isTransientAcceptError reports whether Accept may be called again after err.
// Linux reports network errors of the connection that it was about to return
// (accept(2)), and shortages of memory or descriptors pass. Only the errors of a
// listener that is closed or invalid are permanent.
func isTransientAcceptError(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EBADF, syscall.EFAULT, syscall.EINVAL, syscall.ENOTSOCK:
		return false
	}
	return true
}
