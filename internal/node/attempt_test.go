package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestIncompleteResponseIsRetried guards against a response that reaches the client
// although its body is cut off. A further attempt has to serve the request.
func TestIncompleteResponseIsRetried(t *testing.T) {
	var number atomic.Int32
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			return
		}
		if number.Add(1) == 1 {
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhal")
			return
		}
		io.WriteString(c, okResponse)
	}
	n := startNode(t, startBackend(t, serve), startBackend(t, serve))
	if got := sendRequest(t, n.request(t, "GET", "saldo", "q", "20", nil)); got.status != 200 || got.body != "hi" || number.Load() != 2 {
		t.Errorf("response %+v after %d attempts", got, number.Load())
	}
}

// TestNotIdempotentIsNotResent guards against a request that runs twice although it
// is not idempotent: it may have run before its connection broke. The node must not
// send it again, nor reject it, which would tell the client that a repetition is
// safe.
func TestNotIdempotentIsNotResent(t *testing.T) {
	var number atomic.Int32
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			number.Add(1)
		}
	}
	n := startNode(t, startBackend(t, serve), startBackend(t, serve))
	got := sendRequest(t, n.request(t, "POST", "pagar", "q", "20", strings.NewReader("x")))
	if got.status != http.StatusBadGateway || number.Load() != 1 {
		t.Errorf("response %+v after %d attempts, want a failure after one", got, number.Load())
	}
}

// TestDeadlineSentIsTimeLeft guards against sending a deadline that is longer than
// the time left to the client or to the attempt, because the connection took a while
// to be established.
func TestDeadlineSentIsTimeLeft(t *testing.T) {
	const clientTimeout = 2 * testTimeout
	requests := make(chan *http.Request, 10)
	release := make(chan string, 1) // the response to the next request
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			requests <- req
			io.WriteString(c, <-release)
		}
	}
	n := startNodeWith(t, func(s *balancer.Settings) { s.HedgingAllowed, s.ConnectTimeout = true, clientTimeout },
		startBackend(t, serve), startBackend(t, serve), startBackend(t, serve))
	begun, allowDial := holdDials(n.dials)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", strconv.FormatFloat(clientTimeout.Seconds(), 'f', 3, 64))
	receive(t, begun, "the first connection")
	receivedAt := time.Now() // the node may have received the request earlier
	check := func(name string, timeout time.Duration, from time.Time) {
		t.Helper()
		delayVisibly()
		left := timeout - time.Since(from) // at most; less when the first byte is sent
		allowDial <- struct{}{}
		if d := deadlineOf(t, receive(t, requests, "the attempt")); d > left {
			t.Errorf("%s attempt: sent with a deadline of %v, and at most %v was left", name, d, left)
		}
	}
	check("the first", clientTimeout, receivedAt)
	release <- "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	receive(t, begun, "the second connection")
	check("a further", clientTimeout, receivedAt)
	for name, timeout := range map[string]time.Duration{"a short": testTimeout, "a long": 2 * clientTimeout} {
		sent := make(chan time.Time, 1)
		n.post(func() {
			id, _ := n.directory.ID("s-2")
			n.startAttempt(balancer.Send{ID: "q", Endpoint: id, Timeout: timeout})
			sent <- time.Now()
		})
		receive(t, begun, "the connection of "+name+" attempt")
		at := receive(t, sent, "the decision")
		if timeout > clientTimeout {
			timeout, at = clientTimeout, receivedAt
		}
		check(name, timeout, at)
	}
}

// TestClientTimeoutStartsAtArrival guards against a client's timeout that starts too
// late. It runs from the request's arrival, also while the rest of the request is
// received and while the request waits behind another one on the same connection.
func TestClientTimeoutStartsAtArrival(t *testing.T) {
	const post = "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: %v\r\nContent-Length: 4\r\n\r\n"
	requests, release := make(chan *http.Request, 2), make(chan bool)
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			requests <- req
			<-release
			io.WriteString(c, okResponse)
		}
	}))
	check := func(name string, left time.Duration) {
		t.Helper()
		if d := deadlineOf(t, receive(t, requests, name)); d > left {
			t.Errorf("%s: sent with a deadline of %v, and at most %v was left", name, d, left)
		}
	}
	t.Run("slow body", func(t *testing.T) {
		waitUntil(t, "the test's first connection to close", func() bool { return n.frontend.connections.openConnections() == 0 })
		c := n.dial(t)
		fmt.Fprintf(c, post, "slow", testTimeout.Seconds())
		waitUntil(t, "the head to be read", func() bool { return n.connectionsInRequest() == 1 })
		read := time.Now()
		delayVisibly()
		left := testTimeout - time.Since(read)
		io.WriteString(c, "body")
		check("the request", left)
		release <- true
		if s := c.status(t); s != 200 {
			t.Errorf("status %d", s)
		}
	})
	t.Run("behind another", func(t *testing.T) {
		c := n.dial(t)
		fmt.Fprintf(c, post+"body"+post+"body", "first", testTimeout.Seconds(), "second", testTimeout.Seconds())
		check("the first", testTimeout)
		read := time.Now() // both requests arrived together
		delayVisibly()
		left := testTimeout - time.Since(read)
		release <- true
		check("the second", left)
		release <- true
		for range 2 {
			if s := c.status(t); s != 200 {
				t.Errorf("status %d", s)
			}
		}
	})
}

// TestDeduplicationWindowEndsWhileDialing guards against a second execution of a
// request with an idempotency key: backends drop repetitions only for a time, and
// the connection for the repetition may be established after that time.
func TestDeduplicationWindowEndsWhileDialing(t *testing.T) {
	backend, got, _ := startStallingBackend(t)
	n := startNodeWith(t, func(s *balancer.Settings) { s.HedgingAllowed, s.ConnectTimeout = true, 3*testTimeout }, backend)
	begun, release := holdDials(n.dials)
	release <- struct{}{} // for the first connection
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, begun, "the first connection")
	receive(t, got, "the first attempt")
	n.post(func() {
		id, _ := n.directory.ID("s-0")
		n.startAttempt(balancer.Send{ID: "q", Endpoint: id, StartWithin: time.Millisecond})
	})
	receive(t, begun, "the connection to begin")
	waitUntil(t, "the end of the attempt that waits for its connection", func() bool {
		running := make(chan int, 1)
		n.post(func() { running <- n.requests["q"].runningAttempts })
		return receive(t, running, "the loop") == 1
	})
	close(release)
	if len(got) > 0 {
		t.Error("the request was sent again after the window")
	}
}
