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
	acceptRetryFirst = time.Millisecond      // wait behind a failed Accept; doubles
	acceptRetryLast  = 20 * time.Millisecond // the longest such wait: a request's time runs in the queue
	acceptWaited     = time.Millisecond      // an Accept that takes longer has found its queue empty
	queueDrained     = time.Second           // behind a failure: what waited meanwhile has been taken
)

// acceptor takes connections from a listener. It outlasts failures that pass,
// and tells since when each connection may have waited in the listener's queue.
type acceptor struct {
	net.Listener
	log *slog.Logger

	failing time.Time // the first of a row of failures; zero: the queue has been empty since
	failed  time.Time // the last of them
	full    time.Time // when the last wait for a place began; zero: the queue has been empty since, or one has been taken
}

// next takes a connection. What has been sent on it so far was sent at since,
// or later, but for a queue that is never empty while clients wait for places
// one after the other: there only the last wait is counted.
func (a *acceptor) next() (c net.Conn, since time.Time, err error) {
	for wait, failures := acceptRetryFirst, 0; ; failures++ {
		came := time.Now()
		c, err = a.Listener.Accept()
		now := time.Now()
		if now.Sub(came) >= acceptWaited {
			came, a.failing, a.full = now, time.Time{}, time.Time{}
		}
		if now.Sub(a.failed) >= queueDrained {
			a.failing = time.Time{}
		}
		switch {
		case err == nil:
			since = cmp.Or(a.failing, a.full, came)
			a.full = time.Time{}
			return c, since, nil
		case !passing(err):
			return nil, time.Time{}, err
		case failures == 0:
			a.log.Warn("accepting a client fails, and is tried again", "err", err)
		}
		a.failing, a.failed = cmp.Or(a.failing, a.full, came), now
		time.Sleep(wait)
		wait = min(2*wait, acceptRetryLast)
	}
}

// waitedForPlace notes that connections have not been taken from the queue since then.
func (a *acceptor) waitedForPlace(since time.Time) { a.full = since }

// passing tells whether Accept may be called again after an error. Linux passes
// on what has befallen the connection that it was about to return (accept(2)),
// and wants of memory or descriptors pass as well. Only a listener that is
// closed, or none, stays so.
func passing(err error) bool {
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
