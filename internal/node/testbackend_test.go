package node

import (
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

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
)

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: inflight=7,queue=2\r\n\r\nhi"

// startBackend runs a backend on a loopback port. script serves each connection and
// receives its number, counted from 0.
func startBackend(t *testing.T, script func(number int, c net.Conn, r *bufio.Reader)) string {
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
			c.SetDeadline(time.Now().Add(3 * testTimeout)) // the test's own wait times out before this
			go func() {
				defer c.Close()
				script(i, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// startOKBackend starts a backend that answers each request and sends it on requests.
func startOKBackend(t *testing.T) (address string, requests chan *http.Request) {
	requests = make(chan *http.Request, 1000)
	return startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
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

// startStallingBackend starts a backend that receives requests and never answers. The
// ID of each request is sent on received, and on disconnected when the request's
// connection has ended.
func startStallingBackend(t *testing.T) (address string, received, disconnected chan string) {
	received, disconnected = make(chan string, 100), make(chan string, 100)
	return startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		if req == nil {
			return
		}
		id := req.Header.Get("X-Request-Id")
		received <- id
		r.ReadByte()
		disconnected <- id
	}), received, disconnected
}

// startRecordingBackend starts a backend that answers each request. It sends the ID of
// each request on received, and "" when a connection has ended.
func startRecordingBackend(t *testing.T) (address string, received chan string) {
	received = make(chan string, 10)
	return startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				received <- ""
				return
			}
			received <- req.Header.Get("X-Request-Id")
			io.WriteString(c, okResponse)
		}
	}), received
}

// startReleasedBackend starts a backend that sends a value on got for each request, and
// answers none before release is closed.
func startReleasedBackend(t *testing.T) (address string, got chan bool, release chan struct{}) {
	got, release = make(chan bool, 1000), make(chan struct{})
	return startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			got <- true
			<-release
			io.WriteString(c, okResponse)
		}
	}), got, release
}

// startHoldingBackend starts a backend that sends the ID of each request on received
// and answers the request when a value is sent on the channel that release returns for
// its ID.
func startHoldingBackend(t *testing.T, ids ...string) (address string, received chan string, release map[string]chan bool) {
	received, release = make(chan string, 100), map[string]chan bool{}
	for _, id := range ids {
		release[id] = make(chan bool, 10)
	}
	return startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			id := req.Header.Get("X-Request-Id")
			received <- id
			<-release[id]
			io.WriteString(c, okResponse)
		}
	}), received, release
}

// refusingAddress returns an address at which nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln.Close()
	return ln.Addr().String()
}

// readRequest reads a request with its body. It returns nil if no request can be read.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, req.Body)
	return req
}

// deadlineOf returns the deadline that a backend has received with a request.
func deadlineOf(t *testing.T, req *http.Request) time.Duration {
	t.Helper()
	deadline, err := parseTimeout(req.Header.Get("X-Deadline"))
	if err != nil {
		t.Errorf("X-Deadline: %v", err)
	}
	return deadline
}

// dialHook holds a function that a node's pool calls before each connect. A test can
// set it while the node runs. If the function returns an error, the dial fails.
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

// holdDials blocks each connect of a pool until release has a value or is closed.
// begun receives a value when a connect begins.
func holdDials(h *dialHook) (begun chan bool, release chan struct{}) {
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

// poolEntry makes an attempt, whose dial ends with dialErr, to find out what a node's
// pool knows of an endpoint. It returns the address that was dialed, "" if the pool
// does not know the endpoint, and the outcome of the attempt.
func (h *dialHook) poolEntry(t *testing.T, n *Node, name string, dialErr error) (address string, outcome balancer.Outcome) {
	t.Helper()
	var directory discovery.Directory // assigns the same IDs as the node's, also to endpoints that are not listed there
	directory.Apply(discovery.List{Endpoints: []json.RawMessage{json.RawMessage(endpointJSON(name, "127.0.0.1:1", "ready"))}}, balancer.FullUpdate)
	id, known := directory.ID(name)
	if nodeID, listed := n.directory.ID(name); !known || listed && nodeID != id {
		t.Fatalf("endpoint %s has ID %d, and %d in the node", name, id, nodeID)
	}
	dialed := make(chan string, 10)
	h.set(func(_ context.Context, to string) error {
		dialed <- to
		return dialErr
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	outcome = n.pool.Attempt(ctx, ctx, id, getRequest("/api/x")).Outcome
	select {
	case address = <-dialed:
	default:
	}
	return address, outcome
}

// getRequest returns a GET request for an attempt.
func getRequest(path string) *upstream.Request {
	return newUpstreamRequest(http.MethodGet, path, "q")
}

// newUpstreamRequest returns a request without a body for an attempt.
func newUpstreamRequest(method, path, id string) *upstream.Request {
	r, err := upstream.NewRequest(method, &url.URL{Path: path}, "app.svc", http.Header{"X-Request-Id": {id}}, nil)
	if err != nil {
		panic(err)
	}
	return r
}
