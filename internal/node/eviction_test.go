package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestSilentClientsAreEvicted guards against a client with a request being
// locked out by hundreds of clients that connect and send nothing. The silent
// connections must be closed.
func TestSilentClientsAreEvicted(t *testing.T) {
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	}))
	var silent []testClient
	for range 2 * n.frontend.maxConnections {
		silent = append(silent, n.dial(t))
	}
	// A client that is rejected among the silent ones tries again until it is served.
	until := time.Now().Add(testTimeout)
	for i := 0; ; i++ {
		c := n.dial(t)
		fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q%d\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n", i)
		if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode == 200 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("no client is served")
		}
	}
	for i, c := range silent {
		if _, err := c.read.ReadByte(); err == nil || isTimeout(err) {
			t.Fatalf("silent client %d gets %v, want a close", i, err)
		}
	}
}

// TestIdleClientsAreEvicted guards against clients being locked out by others
// that keep their connections after a response and send nothing. The connection
// that has been idle longest must be closed.
func TestIdleClientsAreEvicted(t *testing.T) {
	ln := newListener(t)
	l := newConnectionLimiter(ln, 2, discardLog)
	idle := make(chan struct{}, 10)
	srv := &http.Server{Handler: http.NotFoundHandler(), ConnState: func(c net.Conn, s http.ConnState) {
		l.trackState(c, s)
		if s == http.StateIdle {
			idle <- struct{}{}
		}
	}}
	go srv.Serve(l)
	defer srv.Close()
	var conns []net.Conn
	for i := range 5 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(testTimeout))
		io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err != nil {
			t.Fatalf("connection %d: %v", i, err)
		} else {
			resp.Body.Close()
		}
		receive(t, idle, "the connection to be idle")
		conns = append(conns, c)
	}
	if _, err := io.ReadAll(conns[0]); err != nil {
		t.Errorf("the connection idle for longest is not closed: %v", err)
	}
}

// TestDrainKeepsNewConnections guards against a drain that closes a new
// connection whose first request is on its way. Connections that have been
// silent for stallThreshold, or have served a request, are closed.
func TestDrainKeepsNewConnections(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		state   idleState
		drained bool
	}{
		{"new", idleState{since: now.Add(-stallThreshold / 2)}, false},
		{"silent", idleState{since: now.Add(-stallThreshold)}, true},
		{"between requests", idleState{since: now, servedBefore: true}, true},
	} {
		conn, _ := connectionPair(t)
		conn.limiter.idle[conn] = c.state
		conn.limiter.drain(now)
		conn.mu.Lock()
		if conn.draining != c.drained {
			t.Errorf("%s: drained %v, want %v", c.name, conn.draining, c.drained)
		}
		conn.mu.Unlock()
	}
}

// TestStalledRequestsExpire guards against clients being locked out by others
// that stop in the middle of their requests on all connections for which a node
// has slots. A request that arrives then is still answered within its timeout.
func TestStalledRequestsExpire(t *testing.T) {
	const clientTimeout = time.Second
	backend, _ := startOKBackend(t)
	body := strings.Replace(postText("stalled", "20"), "Content-Length: 0", "Content-Length: 9", 1) + "part"
	for name, part := range map[string]string{
		"heads":  "GET /api/x HTTP/1.1\r\nHost: app",
		"bodies": body,
		"a byte": "G",
		// net/http reads both requests at once and has the head of the second one when it has served the first.
		"second bodies": "GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n" + body,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startNodeOn(t, newListener(t), func(c *Config) { c.Sockets = 128 }, backend)
			for range 2 * n.frontend.maxConnections {
				io.WriteString(n.dial(t), part)
			}
			c := n.dial(t)
			sentAt := time.Now()
			c.sendPost(t, "q", strconv.FormatFloat(clientTimeout.Seconds(), 'f', 3, 64))
			if s := c.status(t); s != http.StatusOK || time.Since(sentAt) > clientTimeout {
				t.Errorf("status %d after %v, want 200 within %v", s, time.Since(sentAt), clientTimeout)
			}
		})
	}
}
