package node

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestListenRetries guards against a program that fails to start because socket
// or bind fails a few times.
func TestListenRetries(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EINTR, syscall.EADDRINUSE} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			failures := 3
			lc := net.ListenConfig{Control: func(string, string, syscall.RawConn) error {
				failures--
				if failures >= 0 {
					return os.NewSyscallError("socket", errno)
				}
				return nil
			}}
			ln, err := listenWith(t.Context(), lc, "127.0.0.1:0", discardLog)
			if err != nil {
				t.Fatal(err)
			}
			ln.Close()
		})
	}
}

// TestListenWaitsForAddress guards against a program that fails to start
// because the previous process still holds the address for a while.
func TestListenWaitsForAddress(t *testing.T) {
	previous := newListener(t)
	time.AfterFunc(300*time.Millisecond, func() { previous.Close() })
	ln, err := Listen(t.Context(), previous.Addr().String(), discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
}

// TestListenGivesUp guards against retrying after a permanent error, which must
// be returned at once.
func TestListenGivesUp(t *testing.T) {
	began := time.Now()
	if _, err := Listen(t.Context(), "127.0.0.1:nowhere", discardLog); err == nil || time.Since(began) > maxListenAttempts*listenRetryInterval/2 {
		t.Errorf("%v after %v, want an error at once", err, time.Since(began))
	}
}
