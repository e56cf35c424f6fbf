package sockets

import (
	"errors"
	"syscall"
	"testing"
)

// TestLostConnectionsShow: a client's connection that has broken shows in all the ways of recv(2).
func TestLostConnectionsShow(t *testing.T) {
	for _, c := range []struct {
		n    int
		err  error
		left bool
	}{
		{0, nil, true}, {-1, syscall.ECONNRESET, true}, {-1, syscall.ETIMEDOUT, true}, {-1, syscall.EHOSTUNREACH, true},
		{-1, syscall.ENETUNREACH, true}, {-1, syscall.EPIPE, true}, {-1, syscall.ECONNABORTED, true}, {-1, syscall.ENOTCONN, true},
		{1, nil, false}, {-1, syscall.EAGAIN, false}, {-1, syscall.EINTR, false}, {-1, syscall.ENOMEM, false}, {0, errors.ErrUnsupported, false},
	} {
		if Closed(c.n, c.err) != c.left {
			t.Errorf("%d bytes, %v: left %v, want %v", c.n, c.err, !c.left, c.left)
		}
	}
}
