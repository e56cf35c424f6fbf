package node

import (
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout limits each wait of a test; a passing test waits far less.
const testTimeout = 30 * time.Second

var discardLog = slog.New(slog.DiscardHandler)

// receive returns the next value of a channel. what names the value in the failure
// if none comes within testTimeout.
func receive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + what)
	}
	return v
}

// waitUntil polls until holds returns true. what names the condition in the failure.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("timed out waiting for " + what)
		}
	}
}

// delayVisibly waits long enough for the delay to show in the deadline sent to a backend.
func delayVisibly() { time.Sleep(60 * time.Millisecond) }

func isTimeout(err error) bool {
	netErr, ok := err.(net.Error)
	return ok && netErr.Timeout()
}

// watchPauses measures the longest time for which this process was paused. The node and
// the client run in it, so a test's measurements can be late by that time.
func watchPauses(t *testing.T) (longest func() time.Duration) {
	const step = 5 * time.Millisecond
	var longestPause atomic.Int64
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for last := time.Now(); ; {
			select {
			case <-time.After(step):
			case <-done:
				return
			}
			now := time.Now()
			longestPause.Store(max(longestPause.Load(), int64(now.Sub(last)-step)))
			last = now
		}
	}()
	return func() time.Duration { return time.Duration(longestPause.Load()) }
}

// newListener opens a listener on a free port of the loopback address.
func newListener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}
