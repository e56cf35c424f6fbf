package node

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"bankshift/internal/sockets"
)

// TestRetireSparesARequest: one that has begun to come, or waits unread, or is
// read in the very instant in which its connection is given up.
func TestDrainSparesRequest(t *testing.T) {
	buffer := make([]byte, 100)
	t.Run("unread", func(t *testing.T) {
		c, client := connectionPair(t)
		io.WriteString(client, "GET")
		for until := time.Now().Add(testTimeout); sockets.Quiet(c.Conn) && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		if c.drain() {
			t.Error("retired with a request unread")
		}
		if n, err := c.Read(buffer); n != 3 || err != nil {
			t.Errorf("reads %d bytes, %v", n, err)
		}
	})
	t.Run("begun", func(t *testing.T) {
		c, client := connectionPair(t)
		io.WriteString(client, "GET")
		if n, err := c.Read(buffer); n != 3 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		if c.drain() {
			t.Error("retired with a request half read")
		}
	})
	t.Run("crossing", func(t *testing.T) {
		c, client := connectionPair(t)
		c.Conn = interruptedConn{c.Conn.(*net.TCPConn), sync.OnceFunc(func() {
			if !c.drain() {
				t.Error("not retired though nothing has come")
			}
			io.WriteString(client, "GET")
		})}
		if n, err := c.Read(buffer); n != 3 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		io.WriteString(client, " /")
		if n, err := c.Read(buffer); n != 2 || err != nil {
			t.Errorf("of the rest it reads %d bytes, %v", n, err)
		}
	})
	t.Run("at rest", func(t *testing.T) {
		c, client := connectionPair(t)
		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(buffer)
			ended <- err
		}()
		if !c.drain() {
			t.Error("not retired")
		}
		if err := receive(t, ended, "the reader"); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the reader gets %v", err)
		}
		c.SetReadDeadline(time.Now().Add(testTimeout)) // as net/http does before each request
		io.WriteString(client, "GET")
		if n, err := c.Read(buffer); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("reads %d bytes, %v from a retired connection", n, err)
		}
	})
}

// TestRetireSparesAReadRequest: a connection comes to rest and is given up in
// the same instant, at the node's end or at the limit of connections, while
// its next request has been read already behind the one before. That one is
// served, and its connection counts for as long.
func TestDrainSparesReadRequest(t *testing.T) {
	for name, give := range map[string]func(l *connectionLimiter){
		"at the end": func(l *connectionLimiter) { l.drain(time.Now()) },
		"at the limit": func(l *connectionLimiter) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if !l.evict(time.Now()) {
				t.Error("no connection is given up")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, release := make(chan bool, 2), make(chan bool, 2)
			n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for readRequest(r) != nil {
					got <- true
					<-release
					io.WriteString(c, okResponse)
				}
			}))
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := newConnectionLimiter(ln, 1, discardLog)
			given := sync.OnceFunc(func() { give(l) })
			srv := &http.Server{Handler: n.frontend, ConnContext: l.connContext, IdleTimeout: idleTimeout, ConnState: func(c net.Conn, s http.ConnState) {
				if l.trackState(c, s); s == http.StateIdle {
					given()
				}
			}}
			go srv.Serve(l)
			defer srv.Close()
			c := (&testNode{address: ln.Addr().String()}).dial(t)
			io.WriteString(c, pipelinedGets(2))
			for i := range 2 {
				receive(t, got, "a request")
				if open := l.openConnections(); open != 1 {
					t.Errorf("%d connections count, want 1", open)
				}
				release <- true
				if s := c.status(t); s != 200 {
					t.Errorf("request %d is answered %d", i, s)
				}
			}
		})
	}
}

// TestStalledRequest: a client sends a part of a request, some of it later, and stays. It is owed an end within 3 s: of
// the first byte, and on a new connection of its making.
func TestStalledRequest(t *testing.T) {
	server, _ := okServer(t)
	n := startNode(t, server)
	text := pipelinedGets(1)
	for _, spoken := range []bool{false, true} {
		for _, first := range []int{1, 2, 3, 4, 20} {
			for _, rest := range []time.Duration{0, 1900 * time.Millisecond} { // before it begins
				for _, more := range []int{0, 10} { // bytes that come 1.5 s later
					t.Run(fmt.Sprintf("spoken %v, rest %v, %d and %d bytes", spoken, rest, first, more), func(t *testing.T) {
						t.Parallel()
						stalled := watchStalls(t)
						c, from := n.connectAt(t, spoken)
						time.Sleep(rest)
						if spoken {
							from = time.Now()
						}
						io.WriteString(c, text[:first])
						if more > 0 && (spoken || rest == 0) {
							time.Sleep(1500 * time.Millisecond)
							io.WriteString(c, text[first:first+more])
						}
						resp, err := http.ReadResponse(c.read, nil)
						if took := time.Since(from); took > rejectionLimit+stalled() || err == nil && resp.StatusCode < 400 || isTimeout(err) {
							t.Errorf("%v, %v after %v, want an error or the end within %v", resp, err, took, rejectionLimit)
						}
					})
				}
			}
		}
	}
}

// TestSlowRequestIsAwaited: a request begins just before its connection would be closed for being silent, and comes in
// two parts. It is no connection between requests any more, and is served.
func TestSlowRequestIsServed(t *testing.T) {
	server, _ := okServer(t)
	n := startNode(t, server)
	for _, spoken := range []bool{false, true} {
		for _, first := range []int{1, 3, 20} {
			text := postText(fmt.Sprintf("%v-%d", spoken, first), "20")
			t.Run(fmt.Sprintf("spoken %v, %d bytes first", spoken, first), func(t *testing.T) {
				t.Parallel()
				const tries, busy = 5, 100 * time.Millisecond
				for range tries {
					stalled := watchStalls(t)
					c, _ := n.connectAt(t, spoken)
					rest := firstByteTimeout
					if spoken {
						rest = idleTimeout
					}
					time.Sleep(rest - 200*time.Millisecond)
					io.WriteString(c, text[:first])
					time.Sleep(500 * time.Millisecond)
					io.WriteString(c, text[first:])
					resp, err := http.ReadResponse(c.read, nil)
					if err == nil && resp.StatusCode == http.StatusOK {
						return
					}
					if stalled() < busy { // else its parts came later than meant
						t.Fatalf("%v, %v; want 200", resp, err)
					}
				}
				t.Errorf("not served in %d tries, each kept from running for over %v", tries, busy)
			})
		}
	}
}

// TestHalfRequests: a head or a body that never ends is given up within the 3 s that bad clients are owed an end.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	server, got, _ := stallingServer(t)
	n := startNode(t, server)
	if firstByteTimeout >= rejectionLimit || requestReadTimeout >= rejectionLimit || firstRequestTimeout >= rejectionLimit || idleTimeout >= rejectionLimit {
		t.Errorf("a connection may be silent %v, a request take %v, the first one %v, a connection be idle %v", firstByteTimeout, requestReadTimeout, firstRequestTimeout, idleTimeout)
	}
	for name, text := range map[string]string{
		"half a head": "GET /api/x HTTP/1.1\r\nHost: app",
		"half a body": "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal",
	} {
		c := n.dial(t)
		io.WriteString(c, text)
		resp, err := http.ReadResponse(c.read, nil)
		if err == nil && resp.StatusCode < 400 || err != nil && isTimeout(err) {
			t.Errorf("%s: %v, %v, want an error or the end of the connection", name, resp, err)
		}
	}
	// An answer to a body that is too long must reach the client though it still sends.
	c := n.dial(t)
	fmt.Fprintf(c, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: %d\r\n\r\n", 60<<20)
	go func() {
		for chunk := make([]byte, 64<<10); ; {
			if _, err := c.Write(chunk); err != nil {
				return
			}
		}
	}()
	if resp, err := http.ReadResponse(c.read, nil); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("60 MB: %v, %v, want 413", resp, err)
	}
	if len(got) > 0 {
		t.Error("a request reached a server")
	}
}

// owedWithin is the time in which a client that stops in the middle of a request gets an error or the end of its connection.
const rejectionLimit = 3 * time.Second
