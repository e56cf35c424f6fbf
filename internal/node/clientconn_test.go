package node

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/sockets"
)

// requests writes so many requests as a client would that does not wait for answers.
func requests(count int) string {
	var b strings.Builder
	for i := range count {
		fmt.Fprintf(&b, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: p%d\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n", i)
	}
	return b.String()
}

// TestClientLeavesBehindMuch: a client sends more than its open request and
// goes. That it has left stands behind all that in its socket.
func TestClientLeavesBehindMuch(t *testing.T) {
	for name, rest := range map[string]string{"a byte": "G", "as one buffer holds": requests(30), "more than that": requests(100)} {
		for _, cancel := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, cancel %v", name, cancel), func(t *testing.T) {
				server, got, _ := silentServer(t)
				n := startNodeWith(t, func(s *balancer.Settings) { s.CancelAllowed = cancel }, server)
				c := n.dial(t)
				c.ask(t, "saldo", "q", "60")
				wait(t, got, "the attempt")
				io.WriteString(c, rest)
				c.Close()
				for until := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
					open := make(chan int, 1)
					n.post(func() {
						k := 0
						for _, r := range n.requests {
							if !r.done {
								k++
							}
						}
						open <- k
					})
					if k := wait(t, open, "the loop"); k == 0 && n.front.connections.openConnections() == 0 {
						break
					} else if time.Now().After(until) {
						t.Fatalf("%d requests are open, on %d connections", k, n.front.connections.openConnections())
					}
				}
				if len(got) > 0 {
					t.Errorf("request %q was sent on behind its client", <-got)
				}
			})
		}
	}
}

// TestSendsOneAtATime: what comes behind an open request is read only so far.
func TestSendsOneAtATime(t *testing.T) {
	server, got, gone := silentServer(t)
	n := startNode(t, server)
	c := n.dial(t)
	c.ask(t, "saldo", "q", "60")
	wait(t, got, "the attempt")
	go func() {
		for more := []byte(requests(100)); ; {
			if _, err := c.Write(more); err != nil {
				return
			}
		}
	}()
	wait(t, gone, "the attempt's end")
	if _, err := io.Copy(io.Discard, c.read); isTimeout(err) {
		t.Error("the connection stays open")
	}
}

// TestEarlyRequestIsServed: a client that sends its next request behind an
// open one is served both, one after the other.
func TestEarlyRequestIsServed(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 30)
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			got <- true
			<-release
			io.WriteString(c, okAnswer)
		}
	}))
	c := n.dial(t)
	c.ask(t, "saldo", "q", "60")
	wait(t, got, "the attempt")
	io.WriteString(c, requests(1)[:9])
	io.WriteString(c, requests(20)[9:])
	close(release)
	for i := range 21 {
		if s := c.status(t); s != 200 {
			t.Errorf("request %d is answered %d", i, s)
		}
	}
}

// TestManyAtOnce: a client sends hundreds of requests at once, and waits for all their answers.
func TestManyAtOnce(t *testing.T) {
	const count = 500 // some 45 KiB
	server, _ := answering(t)
	n := startNode(t, server)
	c := n.dial(t)
	var text strings.Builder
	for i := range count {
		text.WriteString(orderText(fmt.Sprint("q", i), "20"))
	}
	go io.WriteString(c, text.String())
	for i := range count {
		resp, err := http.ReadResponse(c.read, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		if io.Copy(io.Discard, resp.Body); resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d is answered %d", i, resp.StatusCode)
		}
	}
	c.Close()
	ahead := &n.front.connections.readAheadBytes
	await(t, "what is read ahead to be given back", func() bool { return ahead.Load() == 0 })
	early := n.dial(t)
	io.WriteString(early, text.String()) // its ids are free again
	early.Close()
	await(t, "the connection to end", func() bool { return n.front.connections.openConnections() == 0 })
	if left := ahead.Load(); left != 0 {
		t.Errorf("%d bytes stay counted as read ahead", left)
	}
}

// connPair is a node's end and a client's end of one connection.
func connPair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	l := newConnectionLimiter(ln, 10, quiet)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); client.Close() })
	c.SetReadDeadline(time.Now().Add(enough))
	return c.(*clientConn), client
}

// TestRetireSparesARequest: one that has begun to come, or waits unread, or is
// read in the very instant in which its connection is given up.
func TestRetireSparesARequest(t *testing.T) {
	buffer := make([]byte, 100)
	t.Run("unread", func(t *testing.T) {
		c, client := connPair(t)
		io.WriteString(client, "GET")
		for until := time.Now().Add(enough); sockets.Quiet(c.Conn) && time.Now().Before(until); {
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
		c, client := connPair(t)
		io.WriteString(client, "GET")
		if n, err := c.Read(buffer); n != 3 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		if c.drain() {
			t.Error("retired with a request half read")
		}
	})
	t.Run("crossing", func(t *testing.T) {
		c, client := connPair(t)
		c.Conn = crossing{c.Conn.(*net.TCPConn), sync.OnceFunc(func() {
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
		c, client := connPair(t)
		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(buffer)
			ended <- err
		}()
		if !c.drain() {
			t.Error("not retired")
		}
		if err := wait(t, ended, "the reader"); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the reader gets %v", err)
		}
		c.SetReadDeadline(time.Now().Add(enough)) // as net/http does before each request
		io.WriteString(client, "GET")
		if n, err := c.Read(buffer); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("reads %d bytes, %v from a retired connection", n, err)
		}
	})
}

// crossing is a connection on which something happens between a read's call and its bytes.
type crossing struct {
	*net.TCPConn
	happens func()
}

func (c crossing) Read(b []byte) (int, error) {
	c.happens()
	c.TCPConn.SetReadDeadline(time.Now().Add(enough)) // the bytes came before the deadline did
	return c.TCPConn.Read(b)
}

// TestEndSparesHalfARequest: at the node's end a connection between requests
// is closed, and one on which a request has begun to come gets its answer.
func TestEndSparesHalfARequest(t *testing.T) {
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okAnswer)
		}
	}))
	half, idle := n.dial(t), n.dial(t)
	for i, c := range []raw{half, idle} {
		c.ask(t, "saldo", fmt.Sprint("first", i), "60")
		if s := c.status(t); s != 200 {
			t.Fatalf("answer %d", s)
		}
	}
	text := requests(1)
	io.WriteString(half, text[:20])
	heard := func(c net.Conn) bool {
		n.front.connections.mu.Lock()
		defer n.front.connections.mu.Unlock()
		for lc := range n.front.connections.idle {
			if lc.RemoteAddr().String() == c.LocalAddr().String() {
				lc.mu.Lock()
				defer lc.mu.Unlock()
				return lc.receivedSinceIdle
			}
		}
		return false
	}
	for until := time.Now().Add(enough); !heard(half); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the half request is not read")
		}
	}
	n.stop()
	n.linger()
	if _, err := idle.read.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	io.WriteString(half, text[20:])
	resp, err := http.ReadResponse(half.read, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	var body bytes.Buffer
	body.ReadFrom(resp.Body)
	if resp.StatusCode != 200 || body.String() != "hi" || !resp.Close {
		t.Errorf("answer %d %q, close %v", resp.StatusCode, &body, resp.Close)
	}
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// TestNextRequestMayBeLong: a client that has its answer may send a long
// request before net/http has ended its watch on the connection. That is no
// breach, and the client has not left.
func TestNextRequestMayBeLong(t *testing.T) {
	for _, open := range []bool{false, true} {
		c, client := connPair(t)
		gone := make(chan bool, 1)
		c.cancelRequests = func() { gone <- true }
		c.setRequestOpen(open)
		long := bytes.Repeat([]byte("x"), 2*maxReadAhead)
		go client.Write(long)
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		if open {
			wait(t, gone, "the end of a client that does not wait for its answer")
			continue
		}
		paused := func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.readingAhead && len(c.readAhead) > maxReadAhead
		}
		for until := time.Now().Add(enough); !paused() && time.Now().Before(until); {
			time.Sleep(time.Millisecond) // until as much has been read ahead as may be
		}
		if _, err := io.ReadFull(c, make([]byte, len(long)-1)); err != nil {
			t.Errorf("of the rest: %v", err)
		}
		if len(gone) > 0 {
			t.Error("the client is taken for gone")
		}
	}
}
