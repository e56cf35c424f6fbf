package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// faultyListener fails an Accept, or holds it up, as its hook says.
type faultyListener struct {
	net.Listener
	before func() error // called ahead of each Accept; an error is Accept's result
}

func (l faultyListener) Accept() (net.Conn, error) {
	if err := l.before(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// answering is a server that answers each request and tells of it.
func okServer(t *testing.T) (address string, requests chan *http.Request) {
	requests = make(chan *http.Request, 1000)
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			requests <- req
			io.WriteString(c, okResponse)
		}
	}), requests
}

// order asks for what must not run twice: its attempt is not given up for another one, however slow the machine is.
func (c testClient) sendPost(t *testing.T, id, deadline string) {
	t.Helper()
	if _, err := io.WriteString(c, postText(id, deadline)); err != nil {
		t.Fatal(err)
	}
}

func postText(id, deadline string) string {
	return fmt.Sprintf("POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: %s\r\nContent-Length: 0\r\n\r\n",
		id, deadline)
}

// passingAcceptErrors are those of accept(2) that say nothing of the listener itself.
var transientAcceptErrors = []syscall.Errno{
	syscall.EAGAIN, syscall.EINTR, syscall.ECONNABORTED, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM,
	syscall.EPERM, syscall.EPROTO, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET,
	syscall.EHOSTUNREACH, syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.EADDRNOTAVAIL,
}

// TestAcceptFailsForAMoment: Accept fails nine times in a row. The node goes on, and the client behind the failures is
// answered within its time.
func TestAcceptFailsForAMoment(t *testing.T) {
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
func TestTimeAheadOfAcceptCounts(t *testing.T) {
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

// TestHeldUpAtTheEnd: new connections come for up to 0.4 s after the order to stop, and the node is held up for 0.15 s
// just then. They are answered, or refused, and none is cut.
func TestHeldUpAtTheEnd(t *testing.T) {
	for _, longest := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			server, _ := okServer(t)
			inner := newListener(t)
			var stopped atomic.Pointer[time.Time]
			ln := faultyListener{inner, func() error {
				if at := stopped.Load(); at != nil {
					if since := time.Since(*at); since > 380*time.Millisecond && since < 540*time.Millisecond {
						time.Sleep(540*time.Millisecond - since)
					}
				}
				return nil
			}}
			cfg := testConfig(refusingAddress(t))
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].Deadline = longest
			}
			n := startNodeWithPhases(t, cfg, ln, server)
			at := time.Now()
			stopped.Store(&at)
			n.stop()
			time.Sleep(385 * time.Millisecond)
			n.dial(t) // taken by the Accept that is under way; the next one is held up
			time.Sleep(5 * time.Millisecond)
			var clients []testClient
			for i := range 3 {
				c := n.dial(t)
				c.sendPost(t, fmt.Sprint("q", i), strconv.FormatFloat(longest.Seconds(), 'f', 3, 64))
				clients = append(clients, c)
			}
			for i, c := range clients {
				if s := c.status(t); s != http.StatusOK && s != http.StatusServiceUnavailable {
					t.Errorf("client %d is answered %d", i, s)
				}
			}
			if err := receive(t, n.ended, "the node's end"); err != nil {
				t.Errorf("the node ends with %v", err)
			}
			if took, kill := time.Since(at), min(longest, 3*time.Second)+700*time.Millisecond; took >= kill {
				t.Errorf("the node ends after %v, and may be killed after %v", took, kill)
			}
		})
	}
}

// startOrdered starts a node that ends in the stages of its own settings; its list names one server.
func startNodeWithPhases(t *testing.T, cfg Config, ln net.Listener, server string) *testNode {
	t.Helper()
	cfg.Known.Endpoints = []json.RawMessage{json.RawMessage(endpointJSON("s-0", server, "ready"))}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{Node: New(cfg, discardLog), address: ln.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- n.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		<-n.Node.loopEnded
	})
	waitUntil(t, "the node to be ready", n.frontend.ready.Load)
	return n
}
