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
func held() { time.Sleep(60 * time.Millisecond) }

// await waits until something holds that comes with no event of its own.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for until := time.Now().Add(enough); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("waited in vain for " + what)
		}
	}
}

// told is the time that a request tells its server.
func told(t *testing.T, req *http.Request) time.Duration {
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
	const patience = 2 * enough
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
	begun, up := slowDials(n.dials)
	c := n.dial(t)
	c.ask(t, "saldo", "q", strconv.FormatFloat(patience.Seconds(), 'f', 3, 64))
	wait(t, begun, "the first connection")
	read := time.Now() // or earlier
	check := func(name string, most time.Duration, from time.Time) {
		t.Helper()
		held()
		left := most - time.Since(from) // when the first byte leaves there is less
		up <- struct{}{}
		if d := told(t, wait(t, requests, "the attempt")); d > left {
			t.Errorf("%s attempt: told %v, and at most %v was left", name, d, left)
		}
	}
	check("the first", patience, read)
	release <- "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	wait(t, begun, "the second connection")
	check("a further", patience, read)
	for name, timeout := range map[string]time.Duration{"a short": enough, "a long": 2 * patience} {
		sent := make(chan time.Time, 1)
		n.post(func() {
			id, _ := n.servers.ID("s-2")
			n.send(balancer.Send{ID: "q", Endpoint: id, Timeout: timeout})
			sent <- time.Now()
		})
		wait(t, begun, "the connection of "+name+" attempt")
		at := wait(t, sent, "the decision")
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
			io.WriteString(c, okAnswer)
		}
	}))
	check := func(name string, left time.Duration) {
		t.Helper()
		if d := told(t, wait(t, requests, name)); d > left {
			t.Errorf("%s: told %v, and at most %v was left", name, d, left)
		}
	}
	t.Run("slow body", func(t *testing.T) {
		await(t, "the test's first connection to close", func() bool { return n.front.connections.openConnections() == 0 })
		c := n.dial(t)
		fmt.Fprintf(c, post, "slow", enough.Seconds())
		await(t, "the head to be read", func() bool { return n.reading() == 1 })
		read := time.Now()
		held()
		left := enough - time.Since(read)
		io.WriteString(c, "body")
		check("the request", left)
		release <- true
		if s := c.status(t); s != 200 {
			t.Errorf("answer %d", s)
		}
	})
	t.Run("behind another", func(t *testing.T) {
		c := n.dial(t)
		fmt.Fprintf(c, post+"body"+post+"body", "first", enough.Seconds(), "second", enough.Seconds())
		check("the first", enough)
		read := time.Now() // both came at once
		held()
		left := enough - time.Since(read)
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
func (n *running) reading() int {
	n.front.connections.mu.Lock()
	defer n.front.connections.mu.Unlock()
	return n.front.connections.slotsInUse - len(n.front.connections.idle)
}

// TestClientGoneWhileDialling: what has not begun is called off though the
// settings do not let work be cancelled, and though the loop is busy.
func TestClientGoneWhileDialling(t *testing.T) {
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprintf("busy %v", busy), func(t *testing.T) {
			address, got := listening(t)
			n := startNodeWith(t, func(s *balancer.Settings) { s.CancelAllowed, s.MinEventInterval = false, time.Hour }, address)
			begun, release := slowDials(n.dials)
			c := n.dial(t)
			c.ask(t, "saldo", "q", "60")
			wait(t, begun, "the connection to begin")
			if busy {
				free := n.seize(t)
				n.leave(t, c)
				close(release)
				await(t, "the attempt's end", func() bool { return len(n.inbox) == 2 })
				free()
			} else {
				c.Close()
				await(t, "the attempt, which waits on for its connection", func() bool { return n.held(t) == 0 })
				close(release)
			}
			n.mustNotSend(t, got, "q")
		})
	}
}

// seize stops the loop, so that the test can run what comes in its place, until free is called.
func (n *running) seize(t *testing.T) (free func()) {
	t.Helper()
	seized, freed := make(chan bool), make(chan bool)
	n.post(func() {
		close(seized)
		<-freed
	})
	free = sync.OnceFunc(func() { close(freed) })
	t.Cleanup(free) // before the node's end waits for the loop
	wait(t, seized, "the loop")
	return free
}

// leave closes a client's connection and waits until the node has seen it.
func (n *running) leave(t *testing.T, c raw) {
	t.Helper()
	c.Close()
	await(t, "the connection's end", func() bool { return n.front.connections.openConnections() == 0 })
}

// held counts the requests that the node holds.
func (n *running) held(t *testing.T) int {
	t.Helper()
	held := make(chan int, 1)
	n.post(func() { held <- len(n.requests) })
	return wait(t, held, "the loop")
}

// mustNotSend has another request sent, behind anything that was sent before it.
func (n *running) mustNotSend(t *testing.T, got <-chan string, id string) {
	t.Helper()
	c := n.dial(t)
	c.ask(t, "saldo", "next", "60")
	if s := c.status(t); s != 200 {
		t.Errorf("the next request is answered %d", s)
	}
	for next := ""; next != "next"; {
		if next = wait(t, got, "the next request"); next == id {
			t.Fatal("the request is sent though its client has left")
		}
	}
}

// TestClientGoneBehindTheLoop: a client leaves while its request, or what
// would have it sent, waits for the loop, which learns of it too late.
func TestClientGoneBehindTheLoop(t *testing.T) {
	mustForget := func(t *testing.T, n *running, free func()) {
		t.Helper()
		if k := len(n.requests); k != 0 {
			t.Errorf("%d requests go on", k)
		}
		free()
	}
	for name, rest := range map[string]string{"": "", ", behind a byte": "G", ", behind much": requests(100)} {
		t.Run("in the inbox"+name, func(t *testing.T) {
			address, got := listening(t)
			n := startNodeWith(t, func(s *balancer.Settings) { s.MinEventInterval = time.Hour }, address)
			free := n.seize(t)
			c := n.dial(t)
			c.ask(t, "saldo", "q", "60")
			open := wait(t, n.inbox, "the request")
			io.WriteString(c, rest)
			n.leave(t, c)
			open()
			mustForget(t, n, free)
			n.mustNotSend(t, got, "q")
		})
	}
	t.Run("in the inbox, at the end of its sending", func(t *testing.T) {
		address, got := listening(t)
		n := startNodeWith(t, func(s *balancer.Settings) { s.MinEventInterval = time.Hour }, address)
		free := n.seize(t)
		c := n.dial(t)
		c.ask(t, "saldo", "q", "60")
		open := wait(t, n.inbox, "the request")
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
					io.WriteString(c, okAnswer)
					continue
				}
				<-release
				io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			}
		}
		n := startNodeWith(t, func(s *balancer.Settings) { s.MinEventInterval = time.Hour }, backendServer(t, serve), backendServer(t, serve))
		c := n.dial(t)
		c.ask(t, "saldo", "q", "60")
		wait(t, got, "the attempt")
		free := n.seize(t)
		close(release)
		ended := wait(t, n.inbox, "the attempt's end")
		n.leave(t, c)
		ended()
		mustForget(t, n, free)
		n.mustNotSend(t, got, "q")
	})
	t.Run("held by a look", func(t *testing.T) {
		address, got := listening(t)
		n := startNodeWith(t, func(s *balancer.Settings) {
			s.HealthChecksAllowed, s.LoadReportSource, s.MinEventInterval = true, balancer.LoadReportsByHealthCheck, time.Hour // the look lasts until it is answered
		}, address)
		c := n.dial(t)
		c.ask(t, "saldo", "q", "60")
		await(t, "the request", func() bool { return n.held(t) == 1 })
		free := n.seize(t)
		n.leave(t, c)
		if k := len(n.requests["q"].attempts); k != 0 {
			t.Fatalf("%d attempts during the look", k)
		}
		id, _ := n.servers.ID("s-0")
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
			address, got := listening(t)
			n := startNode(t, address)
			c, client := connPair(t)
			leave(client.(*net.TCPConn))
			await(t, "the end to come", func() bool { return !sockets.Quiet(c.Conn) })
			req := &request{id: "q", out: getRequest("/api/x"), deadline: time.Now().Add(enough), answer: make(chan response, 1)}
			event := balancer.RequestArrived{ID: "q", Class: "saldo"}
			if a, ok := n.front.awaitResponse(context.WithValue(t.Context(), clientConnKey{}, c), req, event); ok {
				t.Errorf("answer %d to a client that has left", a.status)
			}
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestClientLeftBeforeItWasTaken: a client has sent its request, and perhaps
// more behind it, and left before the node has its connection.
func TestClientLeftBeforeItWasTaken(t *testing.T) {
	for name, rest := range map[string]string{"with one request": "", "with a byte more": "G", "with much": requests(30), "with more": requests(100)} {
		t.Run(name, func(t *testing.T) {
			address, got := listening(t)
			n := startNode(t, address)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			c := (&running{address: ln.Addr().String()}).dial(t)
			c.ask(t, "saldo", "q", "60")
			io.WriteString(c, rest)
			c.Close()
			l := newConnectionLimiter(ln, 10, quiet)
			srv := &http.Server{Handler: n.front, ConnState: l.trackState, ConnContext: l.connContext}
			t.Cleanup(func() { srv.Close() })
			ended := make(chan bool, 1)
			srv.ConnState = func(c net.Conn, s http.ConnState) {
				if l.trackState(c, s); s == http.StateClosed {
					ended <- true
				}
			}
			go srv.Serve(l)
			wait(t, ended, "the connection's end")
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestClientLeavesInItsBody: what has not come whole is not sent.
func TestClientLeavesInItsBody(t *testing.T) {
	address, got := listening(t)
	n := startNode(t, address)
	await(t, "the test's first connection to close", func() bool { return n.front.connections.openConnections() == 0 })
	c := n.dial(t)
	io.WriteString(c, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nbod")
	await(t, "the head to be read", func() bool { return n.reading() == 1 })
	n.leave(t, c)
	n.mustNotSend(t, got, "q")
}

// TestWindowEndsWhileDialling: a keyed request may go out again for as long as
// its servers drop repeats, and no longer, however late its connection comes up.
func TestWindowEndsWhileDialling(t *testing.T) {
	silent, got, _ := silentServer(t)
	n := startNodeWith(t, func(s *balancer.Settings) { s.HedgingAllowed, s.ConnectTimeout = true, 3*enough }, silent)
	begun, release := slowDials(n.dials)
	release <- struct{}{} // for the first one
	c := n.dial(t)
	c.ask(t, "saldo", "q", "60")
	wait(t, begun, "the first connection")
	wait(t, got, "the first attempt")
	n.post(func() {
		id, _ := n.servers.ID("s-0")
		n.send(balancer.Send{ID: "q", Endpoint: id, StartWithin: time.Millisecond})
	})
	wait(t, begun, "the connection to begin")
	for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		running := make(chan int, 1)
		n.post(func() { running <- n.requests["q"].running })
		if k := wait(t, running, "the loop"); k == 1 {
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
type lateEnds struct {
	net.Listener
	release chan struct{}
}

type lateEnd struct {
	*net.TCPConn
	release chan struct{}
}

func (l lateEnds) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateEnd{c.(*net.TCPConn), l.release}, nil
}

func (c lateEnd) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		<-c.release
	}
	return n, err
}

// TestLeftIsSeenAtTheLastGate: a client leaves while a connection for its request comes up, and nobody has read so yet.
// The attempt must not begin.
func TestLeftIsSeenAtTheLastGate(t *testing.T) {
	for name, leave := range map[string]func(c raw){
		"closed": func(c raw) { c.Close() },
		"reset":  func(c raw) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, got := listening(t)
			ln := lateEnds{listen(t), make(chan struct{})}
			defer close(ln.release)
			n := startNodeOn(t, ln, func(*Config) {}, address)
			begun, up := slowDials(n.dials)
			c := n.dial(t)
			c.ask(t, "saldo", "q", "60")
			wait(t, begun, "the connection to begin")
			leave(c)
			held()
			close(up)
			n.mustNotSend(t, got, "q")
		})
	}
}
