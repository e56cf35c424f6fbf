package node

import (
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

// enough bounds what a test waits for; a passing one takes far less.
const testTimeout = 30 * time.Second

var discardLog = slog.New(slog.DiscardHandler)

func receive[T any](t *testing.T, c <-chan T, what string) (v T) {
	t.Helper()
	select {
	case v = <-c:
	case <-time.After(testTimeout):
		t.Fatal("waited in vain for " + what)
	}
	return v
}

// await waits until something holds that comes with no event of its own.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// held lets time pass, so much that it shows in the time told to a server.
func delayVisibly() { time.Sleep(60 * time.Millisecond) }

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// watchStalls measures the longest time in which this process, node and client alike, was kept from running: what a test
// times is late by that.
func watchStalls(t *testing.T) (longest func() time.Duration) {
	const step = 5 * time.Millisecond
	var most atomic.Int64
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
			most.Store(max(most.Load(), int64(now.Sub(last)-step)))
			last = now
		}
	}()
	return func() time.Duration { return time.Duration(most.Load()) }
}

// listen opens a listener on a free port of the loopback address.
func newListener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}
