package node

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// transientAcceptErrors are the errors of accept(2) that do not concern the
// listener itself.
var transientAcceptErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EADDRNOTAVAIL,
}

// TestAcceptRetries guards against a node that ends, or keeps clients waiting
// for too long, because of transient failures. Accept fails ten times in a row.
// The client whose connection waits behind the failures is answered within its
// timeout, and the node keeps running.
func TestAcceptRetries(t *testing.T) {
	backend, _ := startOKBackend(t)
	for _, errno := range transientAcceptErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			var failures atomic.Int32
			n := startNodeOn(t, faultyListener{newListener(t), func() error {
				if failures.Add(-1) >= 0 {
					return errno
				}
				return nil
			}}, func(*Config) {}, backend)
			first := n.dial(t)
			first.sendPost(t, "first", "20")
			if s := first.status(t); s != http.StatusOK {
				t.Fatalf("status %d before the failures", s)
			}
			failures.Store(10) // an Accept already in progress takes the next connection
			n.dial(t)
			c := n.dial(t)
			sentAt := time.Now()
			c.sendPost(t, "q", "0.8")
			if s := c.status(t); s != http.StatusOK || time.Since(sentAt) > 800*time.Millisecond {
				t.Errorf("status %d after %v, want 200 within 0.8 s", s, time.Since(sentAt))
			}
			select {
			case err := <-n.ended:
				t.Fatalf("the node has ended: %v", err)
			default:
			}
		})
	}
}

// TestListenerQueueTimeReducesDeadline guards against ignoring the time that a
// request spends in the listener's queue, here while Accept fails. The deadline
// sent to the backend must not exceed what is left of the client's timeout. If
// nothing is left, the request must be rejected at once and not sent.
func TestListenerQueueTimeReducesDeadline(t *testing.T) {
	const slack = 150 * time.Millisecond // allowed by the operators' rules
	for _, clientTimeout := range []time.Duration{300 * time.Millisecond, 3 * time.Second} {
		t.Run(clientTimeout.String(), func(t *testing.T) {
			t.Parallel()
			backend, requests := startOKBackend(t)
			var failing atomic.Bool
			n := startNodeOn(t, faultyListener{newListener(t), func() error {
				if failing.Load() {
					return syscall.ENFILE
				}
				return nil
			}}, func(*Config) {}, backend)
			failing.Store(true)
			n.dial(t) // accepted by the Accept already in progress
			delayVisibly()
			c := n.dial(t)
			sentAt := time.Now()
			c.sendPost(t, "q", strconv.FormatFloat(clientTimeout.Seconds(), 'f', 3, 64))
			time.Sleep(600 * time.Millisecond)
			left := clientTimeout - time.Since(sentAt)
			failing.Store(false)
			status := c.status(t)
			took := time.Since(sentAt)
			if left <= 0 {
				if status != http.StatusServiceUnavailable || took > time.Second || len(requests) > 0 {
					t.Errorf("status %d after %v, sent %d times; want 503 at once and nothing sent", status, took, len(requests))
				}
				return
			}
			if d := deadlineOf(t, receive(t, requests, "the request")); d > left+slack {
				t.Errorf("sent with a deadline of %v, but at most %v was left", d, left)
			}
			if status != http.StatusOK {
				t.Errorf("status %d, want 200", status)
			}
		})
	}
}
