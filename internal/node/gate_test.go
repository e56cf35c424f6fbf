package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/sockets"
)

// held lets time pass, so much that it shows in the time told to a server.
func delayVisibly() { time.Sleep(60 * time.Millisecond) }

// await waits until something holds that comes with no event of its own.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(testTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// told is the time that a request tells its server.
func deadlineOf(t *testing.T, req *http.Request) time.Duration {
	t.Helper()
	wait, err := parseTimeout(req.Header.Get("X-Deadline"))
	if err != nil {
		t.Errorf("X-Deadline: %v", err)
	}
	return wait
}

// TestTimeToldIsLeft: a connection that comes up late takes from the time that
// its request tells, which is never more than is left to the client and to the
// attempt.
func TestTimeToldIsLeft(t *testing.T) {
	const patience = 2 * testTimeout
	requests := make(chan *http.Request, 10)
	release := make(chan string, 1) // takes the answer to a request
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
	n := startNodeWith(t, func(s *balancer.Settings) { s.HedgingAllowed, s.ConnectTimeout = true, patience },
		backendServer(t, serve), backendServer(t, serve), backendServer(t, serve))
	begun, up := blockDials(n.dials)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", strconv.FormatFloat(patience.Seconds(), 'f', 3, 64))
	receive(t, begun, "the first connection")
	read := time.Now() // or earlier
	check := func(name string, most time.Duration, from time.Time) {
		t.Helper()
		delayVisibly()
		left := most - time.Since(from) // when the first byte leaves there is less
		up <- struct{}{}
		if d := deadlineOf(t, receive(t, requests, "the attempt")); d > left {
			t.Errorf("%s attempt: told %v, and at most %v was left", name, d, left)
		}
	}
	check("the first", patience, read)
	release <- "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	receive(t, begun, "the second connection")
	check("a further", patience, read)
	for name, timeout := range map[string]time.Duration{"a short": testTimeout, "a long": 2 * patience} {
		sent := make(chan time.Time, 1)
		n.post(func() {
			id, _ := n.directory.ID("s-2")
			n.startAttempt(balancer.Send{ID: "q", Endpoint: id, Timeout: timeout})
			sent <- time.Now()
		})
		receive(t, begun, "the connection of "+name+" attempt")
		at := receive(t, sent, "the decision")
		if timeout > patience {
			timeout, at = patience, read
		}
		check(name, timeout, at)
	}
}

// TestClockOfTheClientRuns while the rest of its request comes, and while the
// request waits behind another one of the same connection.
func TestClockOfTheClientRuns(t *testing.T) {
	const post = "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pagar\r\nX-Deadline: %v\r\nContent-Length: 4\r\n\r\n"
	requests, release := make(chan *http.Request, 2), make(chan bool)
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
			t.Errorf("%s: told %v, and at most %v was left", name, d, left)
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
			t.Errorf("answer %d", s)
		}
	})
	t.Run("behind another", func(t *testing.T) {
		c := n.dial(t)
		fmt.Fprintf(c, post+"body"+post+"body", "first", testTimeout.Seconds(), "second", testTimeout.Seconds())
		check("the first", testTimeout)
		read := time.Now() // both came at once
		delayVisibly()
		left := testTimeout - time.Since(read)
		release <- true
		check("the second", left)
		release <- true
		for range 2 {
			if s := c.status(t); s != 200 {
				t.Errorf("answer %d", s)
			}
		}
	})
}

// reading counts the connections on which a request's head has been read.
func (n *testNode) connectionsInRequest() int {
	n.frontend.connections.mu.Lock()
	defer n.frontend.connections.mu.Unlock()
	return n.frontend.connections.slotsInUse - len(n.frontend.connections.idle)
}

// TestClientGoneWhileDialling: what has not begun is called off though the
// settings do not let work be cancelled, and though the loop is busy.
func TestClientGoneWhileDialling(t *testing.T) {
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprintf("busy %v", busy), func(t *testing.T) {
			address, got := recordingServer(t)
			n := startNodeWith(t, func(s *balancer.Settings) { s.CancelAllowed, s.MinEventInterval = false, time.Hour }, address)
			begun, release := blockDials(n.dials)
			c := n.dial(t)
			c.sendGet(t, "saldo", "q", "60")
			receive(t, begun, "the connection to begin")
			if busy {
				free := n.blockLoop(t)
				n.disconnect(t, c)
				close(release)
				waitUntil(t, "the attempt's end", func() bool { return len(n.events) == 2 })
				free()
			} else {
				c.Close()
				waitUntil(t, "the attempt, which waits on for its connection", func() bool { return n.openRequests(t) == 0 })
				close(release)
			}
			n.mustNotSend(t, got, "q")
		})
	}
}

// seize stops the loop, so that the test can run what comes in its place, until free is called.
func (n *testNode) blockLoop(t *testing.T) (free func()) {
	t.Helper()
	seized, freed := make(chan bool), make(chan bool)
	n.post(func() {
		close(seized)
		<-freed
	})
	free = sync.OnceFunc(func() { close(freed) })
	t.Cleanup(free) // before the node's end waits for the loop
	receive(t, seized, "the loop")
	return free
}

// leave closes a client's connection and waits until the node has seen it.
func (n *testNode) disconnect(t *testing.T, c testClient) {
	t.Helper()
	c.Close()
	waitUntil(t, "the connection's end", func() bool { return n.frontend.connections.openConnections() == 0 })
}

// held counts the requests that the node holds.
func (n *testNode) openRequests(t *testing.T) int {
	t.Helper()
	held := make(chan int, 1)
	n.post(func() { held <- len(n.requests) })
	return receive(t, held, "the loop")
}

// mustNotSend has another request sent, behind anything that was sent before it.
func (n *testNode) mustNotSend(t *testing.T, got <-chan string, id string) {
	t.Helper()
	c := n.dial(t)
	c.sendGet(t, "saldo", "next", "60")
	if s := c.status(t); s != 200 {
		t.Errorf("the next request is answered %d", s)
	}
	for next := ""; next != "next"; {
		if next = receive(t, got, "the next request"); next == id {
			t.Fatal("the request is sent though its client has left")
		}
	}
}

// TestClientGoneBehindTheLoop: a client leaves while its request, or what
// would have it sent, waits for the loop, which learns of it too late.
func TestClientGoneBehindTheLoop(t *testing.T) {
	mustForget := func(t *testing.T, n *testNode, free func()) {
		t.Helper()
		if k := len(n.requests); k != 0 {
			t.Errorf("%d requests go on", k)
		}
		free()
	}
	for name, rest := range map[string]string{"": "", ", behind a byte": "G", ", behind much": pipelinedGets(100)} {
		t.Run("in the inbox"+name, func(t *testing.T) {
			address, got := recordingServer(t)
			n := startNodeWith(t, func(s *balancer.Settings) { s.MinEventInterval = time.Hour }, address)
			free := n.blockLoop(t)
			c := n.dial(t)
			c.sendGet(t, "saldo", "q", "60")
			open := receive(t, n.events, "the request")
			io.WriteString(c, rest)
			n.disconnect(t, c)
			open()
			mustForget(t, n, free)
			n.mustNotSend(t, got, "q")
		})
	}
	t.Run("in the inbox, at the end of its sending", func(t *testing.T) {
		address, got := recordingServer(t)
		n := startNodeWith(t, func(s *balancer.Settings) { s.MinEventInterval = time.Hour }, address)
		free := n.blockLoop(t)
		c := n.dial(t)
		c.sendGet(t, "saldo", "q", "60")
		open := receive(t, n.events, "the request")
		c.CloseWrite()
		if s := c.status(t); s < 500 {
			t.Errorf("answer %d, want a failure", s)
		}
		open()
		mustForget(t, n, free)
		n.mustNotSend(t, got, "q")
	})
	t.Run("with a further attempt due", func(t *testing.T) {
		got, release := make(chan string, 10), make(chan bool)
		serve := func(_ int, c net.Conn, r *bufio.Reader) {
			for {
				req := readRequest(r)
				if req == nil {
					return
				}
				id := req.Header.Get("X-Request-Id")
				got <- id
				if id != "q" {
					io.WriteString(c, okResponse)
					continue
				}
				<-release
				io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			}
		}
		n := startNodeWith(t, func(s *balancer.Settings) { s.MinEventInterval = time.Hour }, backendServer(t, serve), backendServer(t, serve))
		c := n.dial(t)
		c.sendGet(t, "saldo", "q", "60")
		receive(t, got, "the attempt")
		free := n.blockLoop(t)
		close(release)
		ended := receive(t, n.events, "the attempt's end")
		n.disconnect(t, c)
		ended()
		mustForget(t, n, free)
		n.mustNotSend(t, got, "q")
	})
	t.Run("held by a look", func(t *testing.T) {
		address, got := recordingServer(t)
		n := startNodeWith(t, func(s *balancer.Settings) {
			s.HealthChecksAllowed, s.LoadReportSource, s.MinEventInterval = true, balancer.LoadReportsByHealthCheck, time.Hour // the look lasts until it is answered
		}, address)
		c := n.dial(t)
		c.sendGet(t, "saldo", "q", "60")
		waitUntil(t, "the request", func() bool { return n.openRequests(t) == 1 })
		free := n.blockLoop(t)
		n.disconnect(t, c)
		if k := len(n.requests["q"].cancelAttempts); k != 0 {
			t.Fatalf("%d attempts during the look", k)
		}
		id, _ := n.directory.ID("s-0")
		n.handle(balancer.HealthCheckEnded{Endpoint: id, Report: &balancer.LoadReport{HasInFlight: true}})
		mustForget(t, n, free)
		if len(got) > 0 {
			t.Errorf("request %q is sent though its client has left", <-got)
		}
	})
}

// TestClientLeftBeforeItWasRead: the end of a client's connection stands in
// its socket behind the request, and net/http has not begun to look for it.
func TestClientLeftBeforeItWasRead(t *testing.T) {
	for name, leave := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, got := recordingServer(t)
			n := startNode(t, address)
			c, client := connectionPair(t)
			leave(client.(*net.TCPConn))
			waitUntil(t, "the end to come", func() bool { return !sockets.Quiet(c.Conn) })
			req := &request{
				arrival:  balancer.RequestArrived{ID: "q", Class: "saldo"},
				upstream: getRequest("/api/x"),
				deadline: time.Now().Add(testTimeout),
				response: make(chan response, 1),
			}
			if resp, ok := n.frontend.awaitResponse(context.WithValue(t.Context(), clientConnKey{}, c), req); ok {
				t.Errorf("response %d to a client that has left", resp.status)
			}
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestClientLeftBeforeItWasTaken: a client has sent its request, and perhaps
// more behind it, and left before the node has its connection.
func TestClientLeftBeforeItWasTaken(t *testing.T) {
	for name, rest := range map[string]string{"with one request": "", "with a byte more": "G", "with much": pipelinedGets(30), "with more": pipelinedGets(100)} {
		t.Run(name, func(t *testing.T) {
			address, got := recordingServer(t)
			n := startNode(t, address)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c := (&testNode{address: ln.Addr().String()}).dial(t)
			c.sendGet(t, "saldo", "q", "60")
			io.WriteString(c, rest)
			c.Close()
			l := newConnectionLimiter(ln, 10, discardLog)
			srv := &http.Server{Handler: n.frontend, ConnState: l.trackState, ConnContext: l.connContext}
			t.Cleanup(func() { srv.Close() })
			ended := make(chan bool, 1)
			srv.ConnState = func(c net.Conn, s http.ConnState) {
				if l.trackState(c, s); s == http.StateClosed {
					ended <- true
				}
			}
			go srv.Serve(l)
			receive(t, ended, "the connection's end")
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestClientLeavesInItsBody: what has not come whole is not sent.
func TestClientLeavesInItsBody(t *testing.T) {
	address, got := recordingServer(t)
	n := startNode(t, address)
	waitUntil(t, "the test's first connection to close", func() bool { return n.frontend.connections.openConnections() == 0 })
	c := n.dial(t)
	io.WriteString(c, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nbod")
	waitUntil(t, "the head to be read", func() bool { return n.connectionsInRequest() == 1 })
	n.disconnect(t, c)
	n.mustNotSend(t, got, "q")
}

// TestWindowEndsWhileDialling: a keyed request may go out again for as long as
// its servers drop repeats, and no longer, however late its connection comes up.
func TestWindowEndsWhileDialling(t *testing.T) {
	silent, got, _ := stallingServer(t)
	n := startNodeWith(t, func(s *balancer.Settings) { s.HedgingAllowed, s.ConnectTimeout = true, 3*testTimeout }, silent)
	begun, release := blockDials(n.dials)
	release <- struct{}{} // for the first one
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, begun, "the first connection")
	receive(t, got, "the first attempt")
	n.post(func() {
		id, _ := n.directory.ID("s-0")
		n.startAttempt(balancer.Send{ID: "q", Endpoint: id, StartWithin: time.Millisecond})
	})
	receive(t, begun, "the connection to begin")
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		running := make(chan int, 1)
		n.post(func() { running <- n.requests["q"].runningAttempts })
		if k := receive(t, running, "the loop"); k == 1 {
			break
		} else if time.Now().After(until) {
			t.Fatal("the attempt waits on for its connection")
		}
	}
	close(release)
	if len(got) > 0 {
		t.Error("the request was sent again after its window")
	}
}

// lateEnds accepts connections of which a reader learns the end only when it is released, as in a process that is held up
// between the end and its next step.
type lateEndListener struct {
	net.Listener
	release chan struct{}
}

type lateEndConn struct {
	*net.TCPConn
	release chan struct{}
}

func (l lateEndListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateEndConn{c.(*net.TCPConn), l.release}, nil
}

func (c lateEndConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		<-c.release
	}
	return n, err
}

// TestLeftIsSeenAtTheLastGate: a client leaves while a connection for its request comes up, and nobody has read so yet.
// The attempt must not begin.
func TestLeftIsSeenAtTheLastGate(t *testing.T) {
	for name, leave := range map[string]func(c testClient){
		"closed": func(c testClient) { c.Close() },
		"reset":  func(c testClient) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, got := recordingServer(t)
			ln := lateEndListener{newListener(t), make(chan struct{})}
			defer close(ln.release)
			n := startNodeOn(t, ln, func(*Config) {}, address)
			begun, up := blockDials(n.dials)
			c := n.dial(t)
			c.sendGet(t, "saldo", "q", "60")
			receive(t, begun, "the connection to begin")
			leave(c)
			delayVisibly()
			close(up)
			n.mustNotSend(t, got, "q")
		})
	}
}
