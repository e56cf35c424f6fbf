// Package sockets inspects connections and classifies the errors of sockets, for the
// connections to clients and to endpoints.
package sockets

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Peek reports what a read of c would return now, without consuming data: n is 1 if
// a byte can be read, and 0 with a nil error at the end of the connection. The error
// is EAGAIN if there is nothing to read, and errors.ErrUnsupported if c is not a
// syscall.Conn.
func Peek(c net.Conn) (n int, err error) {
	var b [1]byte
	controlErr := control(c, func(fd int) {
		n, err = peek(fd, b[:])
	})
	if controlErr != nil {
		return 0, controlErr
	}
	return n, err
}

func peek(fd int, b []byte) (n int, err error) {
	for {
		n, _, err = syscall.Recvfrom(fd, b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// IsIdle reports whether c is open with nothing to read. Another goroutine may
// be blocked in a read of c meanwhile.
func IsIdle(c net.Conn) bool {
	_, err := Peek(c)
	return errors.Is(err, syscall.EAGAIN)
}

// Closed reports whether the results of Peek show that the peer has ended the
// connection or that the connection is broken.
func Closed(n int, err error) bool {
	if err == nil {
		return n == 0
	}
	return isAny(err, syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH,
		syscall.EPIPE, syscall.ECONNABORTED, syscall.ENOTCONN)
}

// LocalFailure reports whether err comes from this machine and so says nothing about
// the peer: a shortage (such as of descriptors, memory or ports), an interrupted call,
// or a call that this machine does not permit.
func LocalFailure(err error) bool {
	return isAny(err, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EAGAIN, syscall.EINTR, syscall.EPERM)
}

// Unreachable reports whether err says that the peer cannot be reached: there is no
// route to it, the network is down, or the connection timed out in the kernel. That
// may be due to this machine, to the network or to the peer.
func Unreachable(err error) bool {
	return isAny(err, syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ETIMEDOUT)
}

func isAny(err error, errnos ...syscall.Errno) bool {
	for _, errno := range errnos {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

// Sleep waits for d, such as between two tries of an operation on a socket. It
// returns false early if ctx ends before that.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
