package node

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/sockets"
)

// disconnectLimit is how long after a client has disconnected an attempt may
// still begin, by the operators' rules.
const disconnectLimit = 100 * time.Millisecond

// TestClientDisconnectsAfterSendingMore guards against missing the disconnect
// of a client that has sent more after its open request. The end of the
// connection comes after all those bytes in the socket.
func TestClientDisconnectsAfterSendingMore(t *testing.T) {
	for name, rest := range map[string]string{"a byte": "G", "as much as a buffer": pipelinedGets(30), "more than a buffer": pipelinedGets(100)} {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				backend, got, _ := startStallingBackend(t)
				n := startNodeWith(t, func(s *balancer.Settings) { s.CancelAllowed = cancel }, backend)
				c := n.dial(t)
				c.sendGet(t, "saldo", "q", "60")
				receive(t, got, "the attempt")
				io.WriteString(c, rest)
				c.Close()
				waitUntil(t, "the end of all requests and connections", func() bool {
					open := make(chan int, 1)
					n.post(func() { open <- n.unansweredRequests() })
					return receive(t, open, "the loop") == 0 && n.frontend.connections.openConnections() == 0
				})
				if len(got) > 0 {
					t.Errorf("request %q was sent after its client had disconnected", <-got)
				}
			})
		}
	}
}

// TestClientCancels guards against continuing an attempt whose client has
// canceled the request. The cancel ends the attempt, and the node removes the
// request.
func TestClientCancels(t *testing.T) {
	backend, got, disconnected := startStallingBackend(t)
	n := startNode(t, backend)
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
	receive(t, disconnected, "the attempt's end")
	waitUntil(t, "the request to be removed", func() bool { return n.openRequests(t) == 0 })
}

// TestClientDisconnectsWhileDialing guards against sending a request whose
// client has disconnected while the connection to the backend was being
// established. Such an attempt is canceled even if the settings do not allow
// canceling work, and even if the event loop is busy.
func TestClientDisconnectsWhileDialing(t *testing.T) {
	for _, busy := range []bool{false, true} {
		t.Run(fmt.Sprintf("busy %v", busy), func(t *testing.T) {
			address, got := startRecordingBackend(t)
			n := startNodeWith(t, func(s *balancer.Settings) { s.CancelAllowed, s.MinEventInterval = false, time.Hour }, address)
			begun, allowDial := holdDials(n.dials)
			c := n.dial(t)
			c.sendGet(t, "saldo", "q", "60")
			receive(t, begun, "the connection to begin")
			if busy {
				release := n.blockLoop(t)
				n.disconnect(t, c)
				close(allowDial)
				waitUntil(t, "the attempt's end", func() bool { return len(n.events) == 2 })
				release()
			} else {
				c.Close()
				waitUntil(t, "the end of the attempt that waits for its connection", func() bool { return n.openRequests(t) == 0 })
				close(allowDial)
			}
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestClientDisconnectsWhileLoopIsBusy guards against sending a request whose
// client has disconnected before the event loop learns of it. The client
// disconnects while its request, or the event that would have it sent, waits in
// the loop's queue.
func TestClientDisconnectsWhileLoopIsBusy(t *testing.T) {
	t.Run("in the event queue", func(t *testing.T) { testClientDisconnectsInEventQueue(t, "") })
	t.Run("in the event queue, with a byte more", func(t *testing.T) { testClientDisconnectsInEventQueue(t, "G") })
	t.Run("in the event queue, with much more", func(t *testing.T) { testClientDisconnectsInEventQueue(t, pipelinedGets(100)) })
	t.Run("in the event queue, closing its sending side", testClientClosesSendingInEventQueue)
	t.Run("with a further attempt due", testClientDisconnectsBeforeFurtherAttempt)
	t.Run("held by a health check", testClientDisconnectsDuringHealthCheck)
}

// disableBalancerTimers changes the settings so that no timer of the balancer
// expires during a test.
func disableBalancerTimers(s *balancer.Settings) { s.MinEventInterval = time.Hour }

// mustHaveNoOpenRequests checks that no request is open, then calls release. It
// must be called while the loop is blocked, as it accesses the loop's data;
// release lets the loop continue.
func (n *testNode) mustHaveNoOpenRequests(t *testing.T, release func()) {
	t.Helper()
	if k := len(n.requests); k != 0 {
		t.Errorf("%d requests are still open", k)
	}
	release()
}

// testClientDisconnectsInEventQueue checks a client that sends more after its
// request and disconnects while the request is in the event queue.
func testClientDisconnectsInEventQueue(t *testing.T, more string) {
	address, got := startRecordingBackend(t)
	n := startNodeWith(t, disableBalancerTimers, address)
	release := n.blockLoop(t)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	startRequest := receive(t, n.events, "the request")
	io.WriteString(c, more)
	n.disconnect(t, c)
	startRequest()
	n.mustHaveNoOpenRequests(t, release)
	n.mustNotSend(t, got, "q")
}

func testClientClosesSendingInEventQueue(t *testing.T) {
	address, got := startRecordingBackend(t)
	n := startNodeWith(t, disableBalancerTimers, address)
	release := n.blockLoop(t)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	startRequest := receive(t, n.events, "the request")
	c.CloseWrite()
	if s := c.status(t); s < 500 {
		t.Errorf("status %d, want a failure", s)
	}
	startRequest()
	n.mustHaveNoOpenRequests(t, release)
	n.mustNotSend(t, got, "q")
}

// testClientDisconnectsBeforeFurtherAttempt checks a client that disconnects
// while the end of the first attempt, which would trigger a further one, is in
// the event queue.
func testClientDisconnectsBeforeFurtherAttempt(t *testing.T) {
	got := make(chan string, 10)
	respond := make(chan bool)
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
			<-respond
			io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		}
	}
	n := startNodeWith(t, disableBalancerTimers, startBackend(t, serve), startBackend(t, serve))
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, got, "the attempt")
	release := n.blockLoop(t)
	close(respond)
	finishAttempt := receive(t, n.events, "the attempt's end")
	n.disconnect(t, c)
	finishAttempt()
	n.mustHaveNoOpenRequests(t, release)
	n.mustNotSend(t, got, "q")
}

func testClientDisconnectsDuringHealthCheck(t *testing.T) {
	address, got := startRecordingBackend(t)
	n := startNodeWith(t, func(s *balancer.Settings) {
		disableBalancerTimers(s) // the health check lasts until the test ends it
		s.HealthChecksAllowed = true
		s.LoadReportSource = balancer.LoadReportsByHealthCheck
	}, address)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	waitUntil(t, "the request", func() bool { return n.openRequests(t) == 1 })
	release := n.blockLoop(t)
	n.disconnect(t, c)
	if k := len(n.requests["q"].cancelAttempts); k != 0 {
		t.Fatalf("%d attempts during the health check", k)
	}
	id, _ := n.directory.ID("s-0")
	n.handle(balancer.HealthCheckEnded{Endpoint: id, Report: &balancer.LoadReport{HasInFlight: true}})
	n.mustHaveNoOpenRequests(t, release)
	if len(got) > 0 {
		t.Errorf("request %q was sent though its client had disconnected", <-got)
	}
}

// TestClientDisconnectedBeforeItWasRead guards against sending a request whose
// client disconnected before net/http began to watch for that. The end of the
// connection follows the request in the socket.
func TestClientDisconnectedBeforeItWasRead(t *testing.T) {
	for name, disconnect := range map[string]func(c *net.TCPConn){
		"closed": func(c *net.TCPConn) { c.Close() },
		"reset":  func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, got := startRecordingBackend(t)
			n := startNode(t, address)
			c, client := connectionPair(t)
			disconnect(client.(*net.TCPConn))
			waitUntil(t, "the end to arrive", func() bool { return !sockets.IsIdle(c.Conn) })
			req := &request{
				arrival:  balancer.RequestArrived{ID: "q", Class: "saldo"},
				upstream: getRequest("/api/x"),
				deadline: time.Now().Add(testTimeout),
				response: make(chan response, 1),
			}
			if resp, ok := n.frontend.awaitResponse(context.WithValue(t.Context(), clientConnKey{}, c), req); ok {
				t.Errorf("response %d to a client that has disconnected", resp.status)
			}
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestClientDisconnectedBeforeAccept guards against sending a request whose
// client has disconnected before the node accepts its connection. The client has
// sent the request, and perhaps more after it.
func TestClientDisconnectedBeforeAccept(t *testing.T) {
	for name, rest := range map[string]string{"with one request": "", "with a byte more": "G", "with much more": pipelinedGets(30), "with more than a buffer": pipelinedGets(100)} {
		t.Run(name, func(t *testing.T) {
			address, got := startRecordingBackend(t)
			n := startNode(t, address)
			ln := newListener(t)
			c := (&testNode{address: ln.Addr().String()}).dial(t)
			c.sendGet(t, "saldo", "q", "60")
			io.WriteString(c, rest)
			c.Close()
			l := newConnectionLimiter(ln, 10, discardLog)
			srv := &http.Server{Handler: n.frontend, ConnState: l.trackState, ConnContext: l.connContext}
			t.Cleanup(func() { srv.Close() })
			ended := make(chan bool, 1)
			srv.ConnState = func(c net.Conn, s http.ConnState) {
				l.trackState(c, s)
				if s == http.StateClosed {
					ended <- true
				}
			}
			go srv.Serve(l)
			receive(t, ended, "the connection's end")
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestClientDisconnectsWithinBody guards against sending a request that has not
// been received to its end.
func TestClientDisconnectsWithinBody(t *testing.T) {
	address, got := startRecordingBackend(t)
	n := startNode(t, address)
	waitUntil(t, "the test's first connection to close", func() bool { return n.frontend.connections.openConnections() == 0 })
	c := n.dial(t)
	io.WriteString(c, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 4\r\n\r\nbod")
	waitUntil(t, "the head to be read", func() bool { return n.connectionsInRequest() == 1 })
	n.disconnect(t, c)
	n.mustNotSend(t, got, "q")
}

// TestDisconnectDetectedBeforeSend guards against sending a request whose
// client disconnects while a connection to the backend is being established, if
// no read has returned the disconnect yet.
func TestDisconnectDetectedBeforeSend(t *testing.T) {
	for name, disconnect := range map[string]func(c testClient){
		"closed": func(c testClient) { c.Close() },
		"reset":  func(c testClient) { c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			address, got := startRecordingBackend(t)
			ln := lateEndListener{newListener(t), make(chan struct{})}
			defer close(ln.release)
			n := startNodeOn(t, ln, func(*Config) {}, address)
			begun, allowDial := holdDials(n.dials)
			c := n.dial(t)
			c.sendGet(t, "saldo", "q", "60")
			receive(t, begun, "the connection to begin")
			disconnect(c)
			delayVisibly()
			close(allowDial)
			n.mustNotSend(t, got, "q")
		})
	}
}

// TestDisconnectBehindUnreadBytes guards against missing a disconnect that
// follows bytes that the node has not read yet.
func TestDisconnectBehindUnreadBytes(t *testing.T) {
	for name, linger := range map[string]int{"closed": -1, "reset": 0} {
		t.Run(name, func(t *testing.T) {
			c, client := connectionPair(t)
			io.WriteString(client, pipelinedGets(30))
			waitUntil(t, "the bytes to arrive", func() bool { return !sockets.IsIdle(c.Conn) })
			if c.clientState() != clientPresent {
				t.Fatal("reported as disconnected, though the connection is open")
			}
			client.(*net.TCPConn).SetLinger(linger)
			client.Close()
			disconnectedAt := time.Now()
			for c.clientState() != clientGone {
				if time.Since(disconnectedAt) > disconnectLimit {
					t.Fatalf("not detected %v after the disconnect", disconnectLimit)
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}

// TestHalfClosedClient guards against answering 200 to a client that closes
// only its sending side. net/http cancels the request's context as for a full
// close, and would send a 200 if the handler returned without writing.
func TestHalfClosedClient(t *testing.T) {
	backend, got, disconnected := startStallingBackend(t)
	n := startNode(t, backend)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, got, "the attempt")
	c.CloseWrite()
	receive(t, disconnected, "the attempt's end")
	if s := c.status(t); s < 500 {
		t.Errorf("status %d, want a failure", s)
	}
}
