package node

import (
	"bankshift/balancer"
	"bankshift/internal/sockets"
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestClientLeavesBehindMuch: a client sends more than its open request and
// goes. That it has left stands behind all that in its socket.
func TestClientLeavesAfterSendingMore(t *testing.T) {
	for name, rest := range map[string]string{"a byte": "G", "as one buffer holds": pipelinedGets(30), "more than that": pipelinedGets(100)} {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				server, got, _ := stallingServer(t)
				n := startNodeWith(t, func(s *balancer.Settings) { s.CancelAllowed = cancel }, server)
				c := n.dial(t)
				c.sendGet(t, "saldo", "q", "60")
				receive(t, got, "the attempt")
				io.WriteString(c, rest)
				c.Close()
				for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
					open := make(chan int, 1)
					n.post(func() {
						k := 0
						for _, r := range n.requests {
							if !r.answered {
								k++
							}
						}
						open <- k
					})
					if k := receive(t, open, "the loop"); k == 0 && n.frontend.connections.openConnections() == 0 {
						break
					} else if time.Now().After(until) {
						t.Fatalf("%d requests are open, on %d connections", k, n.frontend.connections.openConnections())
					}
				}
				if len(got) > 0 {
					t.Errorf("request %q was sent on behind its client", <-got)
				}
			})
		}
	}
}

func TestClientCancels(t *testing.T) {
	server, got, gone := stallingServer(t)
	n := startNode(t, server)
	ctx, cancel := context.WithCancel(context.Background())
	failed := make(chan error, 1)
	go func() {
		_, err := http.DefaultClient.Do(n.request(t, "GET", "saldo", "q", "60", nil).WithContext(ctx))
		failed <- err
	}()
	receive(t, got, "the attempt")
	cancel()
	if err := receive(t, failed, "the client"); !errors.Is(err, context.Canceled) {
		t.Errorf("the client got %v", err)
	}
	receive(t, gone, "the attempt's end")
	left := make(chan int, 1)
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		n.post(func() { left <- len(n.requests) })
		if k := <-left; k == 0 {
			break
		} else if time.Now().After(until) {
			t.Fatalf("%d requests are left behind", k)
		}
	}
}

// TestClientGoneWhileDialling: what has not begun is called off though the
// settings do not let work be cancelled, and though the loop is busy.
func TestClientLeavesWhileDialing(t *testing.T) {
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

// TestClientGoneBehindTheLoop: a client leaves while its request, or what
// would have it sent, waits for the loop, which learns of it too late.
func TestClientLeavesWhileLoopIsBusy(t *testing.T) {
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
func TestClientLeftBeforeAccept(t *testing.T) {
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
func TestClientLeavesWithinBody(t *testing.T) {
	address, got := recordingServer(t)
	n := startNode(t, address)
	waitUntil(t, "the test's first connection to close", func() bool { return n.frontend.connections.openConnections() == 0 })
	c := n.dial(t)
	io.WriteString(c, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nbod")
	waitUntil(t, "the head to be read", func() bool { return n.connectionsInRequest() == 1 })
	n.disconnect(t, c)
	n.mustNotSend(t, got, "q")
}

// TestLeftIsSeenAtTheLastGate: a client leaves while a connection for its request comes up, and nobody has read so yet.
// The attempt must not begin.
func TestDepartureIsSeenBeforeSend(t *testing.T) {
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

// TestHalfClosedClient: an end of sending cancels the request's context as a
// close does. A handler that returns without a word would answer it 200.
func TestHalfClosedClient(t *testing.T) {
	server, got, gone := stallingServer(t)
	n := startNode(t, server)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, got, "the attempt")
	c.CloseWrite()
	receive(t, gone, "the attempt's end")
	if s := c.status(t); s < 500 {
		t.Errorf("answer %d, want a failure", s)
	}
}
