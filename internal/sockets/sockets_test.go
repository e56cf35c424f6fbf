package sockets

import (
	"errors"
	"syscall"
	"testing"
)

// TestClosed guards against an ended or broken connection that counts as open, for
// each way in which recv(2) reports it, and against a temporary error that counts as
// the end.
func TestClosed(t *testing.T) {
	for _, c := range []struct {
		n    int
		err  error
		want bool
	}{
		{0, nil, true},
		{-1, syscall.ECONNRESET, true},
		{-1, syscall.ETIMEDOUT, true},
		{-1, syscall.EHOSTUNREACH, true},
		{-1, syscall.ENETUNREACH, true},
		{-1, syscall.EPIPE, true},
		{-1, syscall.ECONNABORTED, true},
		{-1, syscall.ENOTCONN, true},
		{1, nil, false},
		{-1, syscall.EAGAIN, false},
		{-1, syscall.EINTR, false},
		{-1, syscall.ENOMEM, false},
		{0, errors.ErrUnsupported, false},
	} {
		if got := Closed(c.n, c.err); got != c.want {
			t.Errorf("%d bytes, %v: closed %v, want %v", c.n, c.err, got, c.want)
		}
	}
}
