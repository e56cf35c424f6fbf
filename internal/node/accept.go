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
)

// acceptor takes connections from a listener. It outlasts failures that pass,
// and tells since when each connection may have waited in the listener's queue.
type acceptor struct {
	net.Listener
	log *slog.Logger

	// Connections in the queue may have waited since then. Zero: it was empty
	// when last looked at.
	waiting time.Time
}

// next takes a connection. What has been sent on it so far was sent at since,
// or later.
func (a *acceptor) next() (c net.Conn, since time.Time, err error) {
	for wait, failures := acceptRetryFirst, 0; ; failures++ {
		came := time.Now()
		c, err = a.Listener.Accept()
		if now := time.Now(); now.Sub(came) >= acceptWaited {
			came, a.waiting = now, time.Time{}
		}
		switch {
		case err == nil:
			return c, cmp.Or(a.waiting, came), nil
		case !passing(err):
			return nil, time.Time{}, err
		case failures == 0:
			a.log.Warn("accepting a client fails, and is tried again", "err", err)
		}
		a.delayed(came)
		time.Sleep(wait)
		wait = min(2*wait, acceptRetryLast)
	}
}

// delayed notes that connections have not been taken from the queue since then.
func (a *acceptor) delayed(since time.Time) { a.waiting = cmp.Or(a.waiting, since) }

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
