package node

import (
	"net"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestListenFailsForAMoment: socket and bind fail as the program starts.
func TestListenFailsForAMoment(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL,
		syscall.EINTR, syscall.EADDRINUSE} {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			failures := 3
			lc := net.ListenConfig{Control: func(string, string, syscall.RawConn) error {
				if failures--; failures >= 0 {
					return os.NewSyscallError("socket", errno)
				}
				return nil
			}}
			ln, err := listenWith(t.Context(), lc, "127.0.0.1:0", quiet)
			if err != nil {
				t.Fatal(err)
			}
			ln.Close()
		})
	}
}

// TestListenAwaitsItsAddress: the process before holds the address for a while yet.
func TestListenAwaitsItsAddress(t *testing.T) {
	before := listen(t)
	time.AfterFunc(300*time.Millisecond, func() { before.Close() })
	ln, err := Listen(t.Context(), before.Addr().String(), quiet)
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
}

// TestListenGivesUp: what does not pass is told at once.
func TestListenGivesUp(t *testing.T) {
	began := time.Now()
	if _, err := Listen(t.Context(), "127.0.0.1:nowhere", quiet); err == nil || time.Since(began) > maxListenAttempts*listenRetryInterval/2 {
		t.Errorf("%v after %v, want an error at once", err, time.Since(began))
	}
}
