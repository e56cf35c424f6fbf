package node

import (
	"bufio"
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

	"bankshift/internal/sockets"
)

// rejectionLimit is the time within which a client that stops in the middle of
// a request must get an error or a close.
const rejectionLimit = 3 * time.Second

// TestDrainKeepsArrivingRequest guards against a drain that cuts off a request:
// one that waits unread, one that has begun to arrive, or one that is read at
// the moment of the drain. A connection that stays idle is drained.
func TestDrainKeepsArrivingRequest(t *testing.T) {
	buffer := make([]byte, 100)
	t.Run("unread", func(t *testing.T) {
		c, client := connectionPair(t)
		io.WriteString(client, "GET")
		waitUntil(t, "the bytes to arrive", func() bool { return !sockets.IsIdle(c.Conn) })
		if c.drain() {
			t.Error("drained with a request unread")
		}
		if n, err := c.Read(buffer); n != 3 || err != nil {
			t.Errorf("reads %d bytes, %v; want 3 bytes", n, err)
		}
	})
	t.Run("begun to arrive", func(t *testing.T) {
		c, client := connectionPair(t)
		io.WriteString(client, "GET")
		if n, err := c.Read(buffer); n != 3 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		if c.drain() {
			t.Error("drained with a request half read")
		}
	})
	t.Run("arriving just then", func(t *testing.T) {
		c, client := connectionPair(t)
		c.Conn = interruptedConn{c.Conn.(*net.TCPConn), sync.OnceFunc(func() {
			if !c.drain() {
				t.Error("not drained though nothing has arrived")
			}
			io.WriteString(client, "GET")
		})}
		if n, err := c.Read(buffer); n != 3 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		io.WriteString(client, " /")
		if n, err := c.Read(buffer); n != 2 || err != nil {
			t.Errorf("after the drain it reads %d bytes, %v; want 2 bytes", n, err)
		}
	})
	t.Run("idle", func(t *testing.T) {
		c, client := connectionPair(t)
		ended := make(chan error, 1)
		go func() {
			_, err := c.Read(buffer)
			ended <- err
		}()
		if !c.drain() {
			t.Error("not drained")
		}
		if err := receive(t, ended, "the reader"); !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("the reader gets %v, want an expired deadline", err)
		}
		c.SetReadDeadline(time.Now().Add(testTimeout)) // as net/http does before each request
		io.WriteString(client, "GET")
		if n, err := c.Read(buffer); n != 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("reads %d bytes, %v from a drained connection; want an expired deadline", n, err)
		}
	})
}

// TestDrainKeepsPipelinedRequest guards against losing a request that was read
// together with the one before it. The connection is drained at the moment when
// it becomes idle between the two, by the shutdown or by an eviction. The
// second request is served, and the connection keeps its slot meanwhile.
func TestDrainKeepsPipelinedRequest(t *testing.T) {
	for name, closeIdle := range map[string]func(l *connectionLimiter){
		"at the shutdown": func(l *connectionLimiter) { l.drain(time.Now()) },
		"at the maximum of connections": func(l *connectionLimiter) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if l.evict(time.Now()) {
				t.Error("the connection is evicted")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, release := make(chan bool, 2), make(chan bool, 2)
			n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for readRequest(r) != nil {
					got <- true
					<-release
					io.WriteString(c, okResponse)
				}
			}))
			l := newConnectionLimiter(newListener(t), 1, discardLog)
			closeIdleOnce := sync.OnceFunc(func() { closeIdle(l) })
			trackState := func(c net.Conn, state http.ConnState) {
				l.trackState(c, state)
				if state == http.StateIdle {
					closeIdleOnce()
				}
			}
			srv := &http.Server{Handler: n.frontend, ConnContext: l.connContext, IdleTimeout: idleTimeout, ConnState: trackState}
			go srv.Serve(l)
			defer srv.Close()
			c := (&testNode{address: l.Addr().String()}).dial(t)
			io.WriteString(c, pipelinedGets(2))
			for i := range 2 {
				receive(t, got, "a request")
				if open := l.openConnections(); open != 1 {
					t.Errorf("%d connections hold a slot, want 1", open)
				}
				release <- true
				if s := c.status(t); s != 200 {
					t.Errorf("request %d is answered %d", i, s)
				}
			}
		})
	}
}

// TestStalledRequest guards against clients that hold a connection by sending a
// part of a request, and perhaps some more of it later. Such a client gets an
// error or a close within 3 s of the request's first byte, and on a new
// connection within 3 s of connecting.
func TestStalledRequest(t *testing.T) {
	backend, _ := startOKBackend(t)
	n := startNode(t, backend)
	text := pipelinedGets(1)
	for _, served := range []bool{false, true} {
		for _, first := range []int{1, 2, 3, 4, 20} {
			for _, pause := range []time.Duration{0, 1900 * time.Millisecond} { // before the first bytes
				for _, more := range []int{0, 10} { // bytes that are sent 1.5 s later
					t.Run(fmt.Sprintf("served %v, pause %v, %d and %d bytes", served, pause, first, more), func(t *testing.T) {
						t.Parallel()
						longestPause := watchPauses(t)
						c, from := n.connectAt(t, served)
						time.Sleep(pause)
						if served {
							from = time.Now()
						}
						io.WriteString(c, text[:first])
						if more > 0 && (served || pause == 0) {
							time.Sleep(1500 * time.Millisecond)
							io.WriteString(c, text[first:first+more])
						}
						resp, err := http.ReadResponse(c.read, nil)
						if took := time.Since(from); took > rejectionLimit+longestPause() || err == nil && resp.StatusCode < 400 || isTimeout(err) {
							t.Errorf("%v, %v after %v, want an error or a close within %v", resp, err, took, rejectionLimit)
						}
					})
				}
			}
		}
	}
}

// TestStalledSecondRequest guards against clients that hold a connection by sending a
// request and a part of a second one, in one write or while the first one is open. The
// part may lie in net/http's buffer, or be read ahead, when the first request has been
// answered. Such a client gets an error or a close within 3 s of the second request's
// first byte.
func TestStalledSecondRequest(t *testing.T) {
	t.Parallel()
	second := strings.Replace(postText("second", "20"), "Content-Length: 0", "Content-Length: 9", 1) + "part"
	head := strings.Index(second, "\r\n\r\n") + len("\r\n\r\n")
	for _, firstTakes := range []time.Duration{0, 600 * time.Millisecond} { // until the first request is answered
		for _, sameWrite := range []bool{true, false} {
			for name, part := range map[string]string{"half a head": second[:head/2], "a head": second[:head], "half a body": second} {
				t.Run(fmt.Sprintf("%s, first request takes %v, same write %v", name, firstTakes, sameWrite), func(t *testing.T) {
					t.Parallel()
					backend, received, release := startHoldingBackend(t, "first")
					n := startNode(t, backend)
					longestPause := watchPauses(t)
					c := n.dial(t)
					first, later := postText("first", "60"), part
					if sameWrite {
						first, later = first+part, ""
					}
					io.WriteString(c, first)
					from := time.Now()
					receive(t, received, "the first request")
					if !sameWrite {
						from = time.Now()
						io.WriteString(c, later)
					}
					time.Sleep(firstTakes)
					release["first"] <- true
					if s := c.status(t); s != http.StatusOK {
						t.Errorf("the first request is answered %d, want 200", s)
					}
					c.SetReadDeadline(from.Add(2 * rejectionLimit))
					resp, err := http.ReadResponse(c.read, nil)
					if took := time.Since(from); took > rejectionLimit+longestPause() || err == nil && resp.StatusCode < 400 || isTimeout(err) {
						t.Errorf("%v, %v after %v, want an error or a close within %v", resp, err, took, rejectionLimit)
					}
				})
			}
		}
	}
}

// TestLongSecondRequestIsServed guards against rejecting a request that was sent whole,
// right behind another one, but is read only after the time for which a node waits for
// an incomplete request: the request before it takes longer than that.
func TestLongSecondRequestIsServed(t *testing.T) {
	t.Parallel()
	for _, bodySize := range []int{4, maxBodyBytes} {
		t.Run(fmt.Sprint(bodySize, " bytes"), func(t *testing.T) {
			t.Parallel()
			backend, received, release := startHoldingBackend(t, "first", "second")
			n := startNode(t, backend)
			c := n.dial(t)
			second := strings.Replace(postText("second", "60"), "Content-Length: 0", fmt.Sprint("Content-Length: ", bodySize), 1)
			io.WriteString(c, postText("first", "60")+second+strings.Repeat("x", bodySize))
			receive(t, received, "the first request")
			time.Sleep(requestReadTimeout + 200*time.Millisecond)
			release["first"] <- true
			release["second"] <- true
			for _, id := range []string{"first", "second"} {
				if s := c.status(t); s != http.StatusOK {
					t.Errorf("the %s request is answered %d, want 200", id, s)
				}
			}
		})
	}
}

// TestSlowRequestIsServed guards against closing a connection on which a
// request has begun. The request begins just before its connection would be
// closed for being silent, and arrives in two parts. The connection is no
// longer idle, and the request is served.
func TestSlowRequestIsServed(t *testing.T) {
	backend, _ := startOKBackend(t)
	n := startNode(t, backend)
	for _, served := range []bool{false, true} {
		for _, first := range []int{1, 3, 20} {
			text := postText(fmt.Sprintf("%v-%d", served, first), "20")
			t.Run(fmt.Sprintf("served %v, %d bytes first", served, first), func(t *testing.T) {
				t.Parallel()
				const tries = 5
				const maxPause = 100 * time.Millisecond
				for range tries {
					longestPause := watchPauses(t)
					c, _ := n.connectAt(t, served)
					limit := firstByteTimeout
					if served {
						limit = idleTimeout
					}
					time.Sleep(limit - 200*time.Millisecond)
					io.WriteString(c, text[:first])
					time.Sleep(500 * time.Millisecond)
					io.WriteString(c, text[first:])
					resp, err := http.ReadResponse(c.read, nil)
					if err == nil && resp.StatusCode == http.StatusOK {
						return
					}
					if longestPause() < maxPause { // after a longer pause the test itself sent the parts late
						t.Fatalf("%v, %v; want 200", resp, err)
					}
				}
				t.Errorf("not served in %d tries, in each of which this process was paused for over %v", tries, maxPause)
			})
		}
	}
}

// TestIncompleteRequestsTimeOut guards against a head or a body that never ends
// and keeps its connection open: the node must end it within 3 s.
func TestIncompleteRequestsTimeOut(t *testing.T) {
	backend, got, _ := startStallingBackend(t)
	n := startNode(t, backend)
	if firstByteTimeout >= rejectionLimit || requestReadTimeout >= rejectionLimit || firstRequestTimeout >= rejectionLimit || idleTimeout >= rejectionLimit {
		t.Errorf("firstByteTimeout %v, requestReadTimeout %v, firstRequestTimeout %v, idleTimeout %v: want each below rejectionLimit", firstByteTimeout, requestReadTimeout, firstRequestTimeout, idleTimeout)
	}
	for name, text := range map[string]string{
		"incomplete head": "GET /api/x HTTP/1.1\r\nHost: app",
		"incomplete body": "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal",
	} {
		c := n.dial(t)
		io.WriteString(c, text)
		resp, err := http.ReadResponse(c.read, nil)
		if err == nil && resp.StatusCode < 400 || err != nil && isTimeout(err) {
			t.Errorf("%s: %v, %v, want an error or a close", name, resp, err)
		}
	}
	// The response to a body that is too long must reach a client that is still sending it.
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
		t.Errorf("body of 60 MB: %v, %v, want 413", resp, err)
	}
	if len(got) > 0 {
		t.Error("a request reached a backend")
	}
}
