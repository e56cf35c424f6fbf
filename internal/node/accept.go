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
	minAcceptBackoff = time.Millisecond      // pause after the first failed Accept; doubles with each further failure
	maxAcceptBackoff = 20 * time.Millisecond // longest pause; short, as the timeouts of queued requests keep running
	emptyQueueWait   = time.Millisecond      // an Accept that blocks for at least this long found its queue empty
	queueDrainTime   = time.Second           // after the last failure; what was queued meanwhile is accepted by then
)

// acceptor accepts connections from a listener and retries transient failures.
// It also estimates, without help from the kernel, since when each connection
// may have waited in the listener's queue. The estimate is used where
// sockets.SinceLastReceived returns 0. An acceptor is not safe for concurrent
// use.
type acceptor struct {
	net.Listener
	log *slog.Logger

	failingSince  time.Time // start of the current series of failures; zero: none, or the queue has been empty since
	lastFailure   time.Time // the last failure of that series
	slotWaitSince time.Time // start of the wait for a slot since the last accept; zero: none, or queue empty since
}

// acceptNext accepts a connection. Everything received on the connection so far
// was sent at queuedSince or later. There is one exception: if the queue is
// never empty while connections wait for slots one after another, queuedSince
// covers only the last of these waits.
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
			a.log.Warn("accepting a client connection failed, retrying", "err", err)
		}
		a.failingSince = cmp.Or(a.failingSince, a.slotWaitSince, called)
		a.lastFailure = now
		time.Sleep(backoff)
		backoff = min(2*backoff, maxAcceptBackoff)
	}
}

// noteSlotWait records that no connection has been taken from the listener's
// queue since the given time.
func (a *acceptor) noteSlotWait(since time.Time) { a.slotWaitSince = since }

// isTransientAcceptError reports whether Accept may be called again after err.
// On Linux, Accept also returns network errors of the connection that it was
// about to return (see accept(2)), and shortages of memory or descriptors pass.
// The only permanent errors are those of a listener that is closed or invalid,
// and errors that carry no errno.
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
