package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestSendsOneAtATime: what comes behind an open request is read only so far.
func TestReadAheadIsLimited(t *testing.T) {
	server, got, gone := stallingServer(t)
	n := startNode(t, server)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, got, "the attempt")
	go func() {
		for more := []byte(pipelinedGets(100)); ; {
			if _, err := c.Write(more); err != nil {
				return
			}
		}
	}()
	receive(t, gone, "the attempt's end")
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
			io.WriteString(c, okResponse)
		}
	}))
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, got, "the attempt")
	io.WriteString(c, pipelinedGets(1)[:9])
	io.WriteString(c, pipelinedGets(20)[9:])
	close(release)
	for i := range 21 {
		if s := c.status(t); s != 200 {
			t.Errorf("request %d is answered %d", i, s)
		}
	}
}

// TestManyAtOnce: a client sends hundreds of requests at once, and waits for all their answers.
func TestManyPipelinedRequests(t *testing.T) {
	const count = 500 // some 45 KiB
	server, _ := okServer(t)
	n := startNode(t, server)
	c := n.dial(t)
	var text strings.Builder
	for i := range count {
		text.WriteString(postText(fmt.Sprint("q", i), "20"))
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
	ahead := &n.frontend.connections.readAheadBytes
	waitUntil(t, "what is read ahead to be given back", func() bool { return ahead.Load() == 0 })
	early := n.dial(t)
	io.WriteString(early, text.String()) // its ids are free again
	early.Close()
	waitUntil(t, "the connection to end", func() bool { return n.frontend.connections.openConnections() == 0 })
	if left := ahead.Load(); left != 0 {
		t.Errorf("%d bytes stay counted as read ahead", left)
	}
}

// TestNextRequestMayBeLong: a client that has its answer may send a long
// request before net/http has ended its watch on the connection. That is no
// breach, and the client has not left.
func TestLongNextRequest(t *testing.T) {
	for _, open := range []bool{false, true} {
		c, client := connectionPair(t)
		gone := make(chan bool, 1)
		c.cancelRequests = func() { gone <- true }
		c.setRequestOpen(open)
		long := bytes.Repeat([]byte("x"), 2*maxReadAhead)
		go client.Write(long)
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		if open {
			receive(t, gone, "the end of a client that does not wait for its answer")
			continue
		}
		paused := func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.readingAhead && len(c.readAhead) > maxReadAhead
		}
		for until := time.Now().Add(testTimeout); !paused() && time.Now().Before(until); {
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
