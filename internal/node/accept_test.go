package node

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// passingAcceptErrors are those of accept(2) that say nothing of the listener itself.
var transientAcceptErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EADDRNOTAVAIL,
}

// TestAcceptFailsForAMoment: Accept fails nine times in a row. The node goes on, and the client behind the failures is
// answered within its time.
func TestAcceptRetries(t *testing.T) {
	server, _ := okServer(t)
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			var failures atomic.Int32
			n := startNodeOn(t, faultyListener{newListener(t), func() error {
				if failures.Add(-1) >= 0 {
					return errno
				}
				return nil
			}}, func(*Config) {}, server)
			first := n.dial(t)
			first.sendPost(t, "first", "20")
			if s := first.status(t); s != http.StatusOK {
				t.Fatalf("answer %d ahead of the failures", s)
			}
			failures.Store(10) // an Accept is under way: it takes the next connection
			n.dial(t)
			c := n.dial(t)
			asked := time.Now()
			c.sendPost(t, "q", "0.8")
			if s := c.status(t); s != http.StatusOK || time.Since(asked) > 800*time.Millisecond {
				t.Errorf("answer %d after %v, want 200 within 0.8 s", s, time.Since(asked))
			}
			select {
			case err := <-n.ended:
				t.Fatalf("the node ends: %v", err)
			default:
			}
		})
	}
}

// TestTimeAheadOfAcceptCounts: a request waits in the listener's queue while Accept fails. What is told to its server is
// no more than what its client has left, and with nothing left it is answered at once and not sent.
func TestTimeInListenerQueueCounts(t *testing.T) {
	const slack = 150 * time.Millisecond // that the pages allow
	for _, patience := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		t.Run(patience.String(), func(t *testing.T) {
			t.Parallel()
			server, requests := okServer(t)
			var failing atomic.Bool
			n := startNodeOn(t, faultyListener{newListener(t), func() error {
				if failing.Load() {
					return syscall.ENFILE
				}
				return nil
			}}, func(*Config) {}, server)
			failing.Store(true)
			n.dial(t) // taken by the Accept that is under way
			delayVisibly()
			c := n.dial(t)
			asked := time.Now()
			c.sendPost(t, "q", strconv.FormatFloat(patience.Seconds(), 'f', 3, 64))
			time.Sleep(600 * time.Millisecond)
			left := patience - time.Since(asked)
			failing.Store(false)
			status, answered := c.status(t), time.Now()
			if left <= 0 {
				if status != http.StatusServiceUnavailable || answered.Sub(asked) > time.Second || len(requests) > 0 {
					t.Errorf("answer %d after %v, sent %d times; want 503 at once and nothing sent", status, answered.Sub(asked), len(requests))
				}
				return
			}
			if d := deadlineOf(t, receive(t, requests, "the request")); d > left+slack {
				t.Errorf("told %v, and at most %v was left", d, left)
			}
			if status != http.StatusOK {
				t.Errorf("answer %d", status)
			}
		})
	}
}
