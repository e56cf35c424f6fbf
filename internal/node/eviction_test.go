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

// TestSilentClientsGiveWay: clients that connect by hundreds and say nothing
// must neither shut out one that asks nor wait unheard.
func TestSilentClientsAreEvicted(t *testing.T) {
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	}))
	most := n.frontend.maxConnections
	var silent []testClient
	for range 2 * most {
		silent = append(silent, n.dial(t))
	}
	// A client that is turned away in the rush comes again and gets its turn.
	for i, until := 0, time.Now().Add(testTimeout); ; i++ {
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
			t.Fatalf("silent client %d gets %v, want the end of its connection", i, err)
		}
	}
}

// TestIdleClientsGiveWay: clients that hold connections and send nothing must not shut out others.
func TestIdleClientsAreEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
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
		t.Errorf("the oldest is not closed: %v", err)
	}
}

// TestRetireSparesNewConnections: the first request of one that has just come
// is on its way. Those that have been silent for long, or are between
// requests, are closed.
func TestDrainSparesNewConnections(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		unused  idleState
		retired bool
	}{
		{"just come", idleState{since: now.Add(-silenceAllowance / 2)}, false},
		{"silent", idleState{since: now.Add(-silenceAllowance)}, true},
		{"between requests", idleState{since: now, servedBefore: true}, true},
	} {
		lc, _ := connectionPair(t)
		lc.limiter.idle[lc] = c.unused
		lc.limiter.drain(now)
		lc.mu.Lock()
		if lc.draining != c.retired {
			t.Errorf("%s: retired %v, want %v", c.name, lc.draining, c.retired)
		}
		lc.mu.Unlock()
	}
}

// TestStalledRequestsGiveWay: bad clients stop in the middle of their requests on all connections that a node has places
// for. Trouble with other clients frees no request of its answer: one that comes then is answered in its time.
func TestStalledRequestsAreTightened(t *testing.T) {
	const patience = time.Second
	server, _ := okServer(t)
	for name, part := range map[string]string{
		"heads":  "GET /api/x HTTP/1.1\r\nHost: app",
		"bodies": strings.Replace(postText("stalled", "20"), "Content-Length: 0", "Content-Length: 9", 1) + "part",
		"a byte": "G",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startNodeOn(t, newListener(t), func(c *Config) { c.Sockets = 128 }, server)
			for range 2 * n.frontend.maxConnections {
				io.WriteString(n.dial(t), part)
			}
			c := n.dial(t)
			asked := time.Now()
			c.sendPost(t, "q", strconv.FormatFloat(patience.Seconds(), 'f', 3, 64))
			if s := c.status(t); s != http.StatusOK || time.Since(asked) > patience {
				t.Errorf("answer %d after %v, want 200 within %v", s, time.Since(asked), patience)
			}
		})
	}
}
