package node

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"bankshift/internal/fairshare"
	"bankshift/internal/sockets"
)

const (
	minAcceptBackoff = time.Millisecond      // pause after the first failed Accept; doubles with each further failure
	maxAcceptBackoff = 20 * time.Millisecond // longest pause; short, as the timeouts of queued requests keep running
	emptyQueueWait   = time.Millisecond      // an Accept that blocks for at least this long found its queue empty
	queueDrainTime   = time.Second           // after the last failure; what was queued meanwhile is accepted by then

	acceptShare   = 0.5                    // of the processor, for accepting connections
	acceptBurst   = 5 * time.Millisecond   // of that work, at once
	turnoverBurst = 50 * time.Millisecond  // as many clients may leave at once
	busyTime      = 100 * time.Millisecond // since the last wait for the share
	turnoverShare = 0.25                   // of the processor, for the last request of each connection, which its account does not pay
)

// acceptor accepts connections from a listener and retries transient failures.
// It also estimates, without help from the kernel, since when each connection
// may have waited in the listener's queue. The estimate is used where
// sockets.State.SinceReceived is 0. An acceptor is not safe for concurrent
// use.
type acceptor struct {
	net.Listener
	log       *slog.Logger
	allowance fairshare.Allowance // of the processor, for accepting
	turnover  fairshare.Allowance // of the processor, for what closed connections have not paid
	work      fairshare.Meter     // of the goroutine that accepts
	waitedAt  time.Time           // when awaitAllowance has last waited

	failingSince  time.Time // start of the current series of failures; zero: none, or the queue has been empty since
	lastFailure   time.Time // the last failure of that series
	slotWaitSince time.Time // start of the wait for a slot since the last accept; zero: none, or queue empty since
}

// acceptOpen accepts a connection that its client has not closed yet. It closes those
// that their client has closed without sending anything: nothing is owed for them. While
// connections come faster than they may be accepted, it also closes those whose client
// has sent something and left. See acceptNext for queuedSince.
func (a *acceptor) acceptOpen() (c net.Conn, queuedSince time.Time, err error) {
	for {
		a.awaitAllowance()
		c, queuedSince, err = a.acceptNext()
		a.work.Start(time.Now())
		if err != nil {
			return nil, time.Time{}, err
		}
		closed := sockets.Closed(sockets.Peek(c)) || a.isBusy() && sockets.PeerClosed(c)
		if !closed {
			return c, queuedSince, nil
		}
		c.Close()
	}
}

// awaitAllowance charges what the goroutine has done since its last accept, and waits if
// accepting takes more of the processor than its share.
func (a *acceptor) awaitAllowance() {
	now := time.Now()
	a.work.Stop(now)
	wait := max(a.allowance.Charge(now, a.work.Take()), a.turnover.Charge(now, 0))
	if wait <= 0 {
		return
	}
	a.noteSlotWait(now)
	time.Sleep(wait)
	a.waitedAt = time.Now()
}

// isBusy reports whether connections come faster than they may be accepted.
func (a *acceptor) isBusy() bool { return time.Since(a.waitedAt) < busyTime }

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
func (a *acceptor) noteSlotWait(since time.Time) {
	a.slotWaitSince = cmp.Or(a.slotWaitSince, since)
}

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
