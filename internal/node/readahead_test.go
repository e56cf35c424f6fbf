package node

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestReadAheadIsLimited guards against storing without limit what a client sends after an
// open request, and against losing the requests of a client that sends more than the limit
// and stays (review case 10): each of them is answered.
func TestReadAheadIsLimited(t *testing.T) {
	backend, got, release := startReleasedBackend(t)
	n := startNode(t, backend)
	c := n.dial(t)
	c.sendPost(t, "q", "60")
	receive(t, got, "the attempt")
	const size = 16 << 20 // far more than the node and the kernel may hold
	text := pipelinedPosts("p", 1000)
	sent := make(chan int, 1)
	go func() {
		total := 0
		for total < size {
			written, err := io.WriteString(c, text)
			total += written
			if err != nil {
				break
			}
		}
		sent <- total
	}()
	conn := n.onlyConnection(t)
	waitUntil(t, "as much to be read ahead as allowed", func() bool { return conn.readAheadSize() > maxReadAhead })
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		if held := conn.readAheadSize(); held > maxReadAhead+readAheadChunkSize {
			t.Fatalf("%d bytes are read ahead, want %d at most", held, maxReadAhead+readAheadChunkSize)
		}
	}
	if len(sent) > 0 {
		t.Errorf("the client has sent %d bytes behind an open request", <-sent)
	}
	close(release)
	if status := c.status(t); status != http.StatusOK {
		t.Errorf("the open request is answered %d, want 200", status)
	}
	for i := range 500 {
		if status := c.status(t); status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Fatalf("request %d behind it is answered %d, want 200 or 503", i, status)
		}
	}
	c.Close()
	waitUntil(t, "the connection's end", func() bool { return n.frontend.connections.openConnections() == 0 })
}

// onlyConnection returns the node's side of the only open connection.
func (n *testNode) onlyConnection(t *testing.T) (only *clientConn) {
	t.Helper()
	waitUntil(t, "other connections to close", func() bool { return n.frontend.connections.openConnections() == 1 })
	n.frontend.connections.mu.Lock()
	defer n.frontend.connections.mu.Unlock()
	for c := range n.frontend.connections.connections {
		only = c
	}
	return only
}

// readAheadSize returns how many bytes are read ahead.
func (c *clientConn) readAheadSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.readAhead.size
}

// TestPipelinedRequestsAreServed guards against losing requests that a client
// sends while an earlier one is open. All are served, one after the other.
func TestPipelinedRequestsAreServed(t *testing.T) {
	backend, got, release := startReleasedBackend(t)
	n := startNode(t, backend)
	c := n.dial(t)
	c.sendGet(t, "saldo", "q", "60")
	receive(t, got, "the attempt")
	io.WriteString(c, pipelinedGets(1)[:9])
	io.WriteString(c, pipelinedGets(20)[9:])
	close(release)
	for i := range 21 {
		if s := c.status(t); s != 200 {
			t.Errorf("request %d is answered %d, want 200", i, s)
		}
	}
}

// TestManyPipelinedRequests guards against aborting a client that sends
// hundreds of requests at once and waits for all responses, and against bytes
// that stay counted as read ahead after their connection has ended.
func TestManyPipelinedRequests(t *testing.T) {
	const count = 500 // about 45 KiB
	backend, _ := startOKBackend(t)
	n := startNode(t, backend)
	c := n.dial(t)
	go io.WriteString(c, pipelinedPosts("q", count))
	for i := range count {
		resp, err := http.ReadResponse(c.read, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK {
			t.Fatalf("request %d is answered %d, want 200", i, resp.StatusCode)
		}
	}
	c.Close()
	readAheadBytes := &n.frontend.connections.readAheadBytes
	waitUntil(t, "the end of what is read ahead", func() bool { return readAheadBytes.Load() == 0 })
	early := n.dial(t)
	io.WriteString(early, pipelinedPosts("r", count))
	early.Close()
	waitUntil(t, "the connection to end", func() bool { return n.frontend.connections.openConnections() == 0 })
	if left := readAheadBytes.Load(); left != 0 {
		t.Errorf("%d bytes are still counted as read ahead", left)
	}
}

// TestLongNextRequest guards against losing what a client sends while net/http monitors the
// connection, in its open request or after it, if that is more than may be read ahead. The
// client is not aborted, and all can be read.
func TestLongNextRequest(t *testing.T) {
	for _, open := range []bool{false, true} {
		c, client := connectionPair(t)
		canceled := make(chan bool, 1)
		c.cancelRequests = func() { canceled <- true }
		c.setRequestOpen(open)
		long := bytes.Repeat([]byte("x"), 2*maxReadAhead)
		go client.Write(long)
		if n, err := c.Read(make([]byte, 1)); n != 1 || err != nil {
			t.Fatalf("reads %d bytes, %v", n, err)
		}
		waitUntil(t, "as much to be read ahead as allowed", func() bool {
			c.mu.Lock()
			defer c.mu.Unlock()
			return !c.readingAhead && c.readAhead.size > maxReadAhead
		})
		if held := c.readAheadSize(); held > maxReadAhead+readAheadChunkSize {
			t.Errorf("%d bytes are read ahead, want %d at most", held, maxReadAhead+readAheadChunkSize)
		}
		if _, err := io.ReadFull(c, make([]byte, len(long)-1)); err != nil {
			t.Errorf("reading the rest of the long request: %v", err)
		}
		if len(canceled) > 0 {
			t.Errorf("the requests are canceled; one is open: %v", open)
		}
	}
}

// TestReadAheadTimestamps guards against wrong receive times. Bytes that arrive
// one by one share a timestamp only for chunkMergeTime, and each read returns
// bytes of one timestamp.
func TestReadAheadTimestamps(t *testing.T) {
	var buffer readAheadBuffer
	var start time.Time
	for _, part := range []struct {
		data string
		at   time.Duration
	}{{"ab", 0}, {"c", chunkMergeTime}, {"d", chunkMergeTime + 1}} {
		buffer.add([]byte(part.data), start.Add(part.at))
	}
	var got strings.Builder
	for b := make([]byte, 2); !buffer.empty(); {
		n, at := buffer.take(b)
		fmt.Fprintf(&got, "%s %v, ", b[:n], at.Sub(start))
	}
	if want := "ab 0s, c 0s, d 5.000001ms, "; got.String() != want {
		t.Errorf("reads %q, want %q", got.String(), want)
	}
}
