package node

import (
	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// backendServer runs a server on a loopback port: script gets each connection and its number.
func backendServer(t *testing.T, script func(number int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.SetDeadline(time.Now().Add(3 * testTimeout)) // a test that waits for the other side fails first
			go func() {
				defer c.Close()
				script(i, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// answering is a server that answers each request and tells of it.
func okServer(t *testing.T) (address string, requests chan *http.Request) {
	requests = make(chan *http.Request, 1000)
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			requests <- req
			io.WriteString(c, okResponse)
		}
	}), requests
}

// silentServer takes requests and says nothing; gone gets a value when a connection ends.
func stallingServer(t *testing.T) (address string, got, gone chan string) {
	got, gone = make(chan string, 100), make(chan string, 100)
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		if req == nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		got <- id
		r.ReadByte()
		gone <- id
	}), got, gone
}

// listening is a server that tells what comes on its connections: a request's id, or "" for an end.
func recordingServer(t *testing.T) (address string, got chan string) {
	got = make(chan string, 10)
	return backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				got <- ""
				return
			}
			got <- req.Header.Get("X-Request-Id")
			io.WriteString(c, okResponse)
		}
	}), got
}

// refusing is an address where nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: inflight=7,queue=2\r\n\r\nhi"

// readRequest reads a request with its body; nil if none comes.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, req.Body)
	return req
}

// told is the time that a request tells its server.
func deadlineOf(t *testing.T, req *http.Request) time.Duration {
	t.Helper()
	wait, err := parseTimeout(req.Header.Get("X-Deadline"))
	if err != nil {
		t.Errorf("X-Deadline: %v", err)
	}
	return wait
}

// dialHook is called ahead of each connect of a node's pool. A test can set it
// while the node runs; an error fails the dial.
type dialHook struct {
	hook atomic.Pointer[func(ctx context.Context, address string) error]
}

func (h *dialHook) set(hook func(ctx context.Context, address string) error) { h.hook.Store(&hook) }

func (h *dialHook) control(ctx context.Context, _, address string, _ syscall.RawConn) error {
	if hook := h.hook.Load(); hook != nil {
		return (*hook)(ctx, address)
	}
	return nil
}

// slowDials makes a pool's connections wait: begun gets a value when one
// begins to come up, and it does not until release has a value or is closed.
func blockDials(h *dialHook) (begun chan bool, release chan struct{}) {
	begun, release = make(chan bool, 10), make(chan struct{}, 1)
	h.set(func(ctx context.Context, _ string) error {
		begun <- true
		select {
		case <-release:
		case <-ctx.Done():
		}
		return nil
	})
	return begun, release
}

// pooled finds out what a node's pool knows of an endpoint, by an attempt: the
// address that is dialled, or "" if it knows no such endpoint, and how the
// attempt ends if the dial ends with dialErr.
func (h *dialHook) pooled(t *testing.T, n *Node, name string, dialErr error) (address string, outcome balancer.Outcome) {
	t.Helper()
	var directory discovery.Directory // gives an endpoint the same number, also when the node's does not list it
	directory.Apply(discovery.List{Endpoints: []json.RawMessage{json.RawMessage(endpointJSON(name, "127.0.0.1:1", "ready"))}}, balancer.FullUpdate)
	id, known := directory.ID(name)
	if nodeID, listed := n.directory.ID(name); !known || listed && nodeID != id {
		t.Fatalf("endpoint %s has number %d, and %d in the node", name, id, nodeID)
	}
	dialled := make(chan string, 10)
	h.set(func(_ context.Context, to string) error {
		dialled <- to
		return dialErr
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	outcome = n.pool.Attempt(ctx, ctx, id, getRequest("/api/x")).Outcome
	select {
	case address = <-dialled:
	default:
	}
	return address, outcome
}

// getRequest is a request as an attempt sends it.
func getRequest(path string) *upstream.Request {
	return &upstream.Request{Method: http.MethodGet, URL: &url.URL{Path: path}, Host: "app.svc", Header: http.Header{"X-Request-Id": {"q"}}}
}
