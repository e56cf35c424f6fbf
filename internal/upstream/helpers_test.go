package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"syscall"
	"testing"
	"time"

	"bankshift/balancer"
)

// testTimeout limits each wait of a test. A test that passes takes far less.
const testTimeout = 30 * time.Second

// IDs of the endpoints in the tests' pools.
const (
	endpoint      balancer.EndpointID = 1
	otherEndpoint balancer.EndpointID = 2
)

const (
	testRequestID = "q" // X-Request-Id of the requests that newRequest returns
	okResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: inflight=7,queue=2\r\n\r\nhi"
)

// newListener opens a listener on a free port of the loopback address.
func newListener(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startEndpoint runs an endpoint and returns its address. It calls handle for each
// connection, with the connection's number from 0, and closes it when handle returns.
func startEndpoint(t *testing.T, handle func(number int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln := newListener(t)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for number := 0; ; number++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.SetDeadline(time.Now().Add(3 * testTimeout)) // a test that waits for the node fails before that
			go func() {
				defer c.Close()
				handle(number, c, bufio.NewReader(c))
			}()
		}
	}()
	return ln.Addr().String()
}

// startOKEndpoint runs an endpoint that answers each request with okResponse.
func startOKEndpoint(t *testing.T) string {
	t.Helper()
	return startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	})
}

// startRecordingEndpoint runs an endpoint that answers each request with okResponse.
// It sends the ID of each request to received, and "" at the end of each connection.
func startRecordingEndpoint(t *testing.T) (address string, received chan string) {
	t.Helper()
	received = make(chan string, 10)
	address = startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				received <- ""
				return
			}
			received <- req.Header.Get("X-Request-Id")
			io.WriteString(c, okResponse)
		}
	})
	return address, received
}

// refusingAddress returns an address that refuses connections, as nothing listens on it.
func refusingAddress(t *testing.T) string {
	t.Helper()
	ln := newListener(t)
	ln.Close()
	return ln.Addr().String()
}

// readRequest reads a request with its body. It returns nil if that fails.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, req.Body)
	return req
}

// newTestPool returns a pool with an endpoint at an address. Its MinReuseDelay is 0,
// so that a connection can be reused at once.
func newTestPool(address string) *Pool {
	c := ConfigFor(balancer.Settings{ConnectTimeout: testTimeout, IdleConnectionTimeout: time.Hour}, 100)
	c.MinReuseDelay = 0
	p := NewPool(c)
	p.Set(endpoint, address, 0, false)
	return p
}

func newRequest() *Request {
	r, err := NewRequest(http.MethodGet, &url.URL{Path: "/api/x"}, "app.svc", http.Header{"X-Request-Id": {testRequestID}}, nil)
	if err != nil {
		panic(err)
	}
	return r
}

// attempt sends a request to the endpoint, with a deadline that is timeout from now.
func attempt(t *testing.T, p *Pool, timeout time.Duration) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Attempt(ctx, ctx, endpoint, newRequest())
}

// receive waits for a value. If none arrives within testTimeout, it fails the test and
// names what it waited for.
func receive[T any](t *testing.T, values <-chan T, what string) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + what)
	}
	return value
}

// closeIdleConn takes an idle connection to the endpoint from the pool and closes it.
// It fails the test if there is none.
func closeIdleConn(t *testing.T, p *Pool) {
	t.Helper()
	c, _, err := p.takeOrReserve(endpoint)
	if err != nil || c == nil {
		t.Errorf("the pool has no idle connection: %v", err)
		return
	}
	c.Close()
}

// setDialHook makes each dial of the pool call hook before it connects, and fail if
// hook returns an error. It must not be called while a dial is in progress.
func setDialHook(p *Pool, hook func(ctx context.Context, address string) error) {
	p.config.Dialer.ControlContext = func(ctx context.Context, _, address string, _ syscall.RawConn) error {
		return hook(ctx, address)
	}
}

// holdDials makes the pool's dials wait. Each dial sends a value to started when it
// begins, and goes on once it receives from release or release is closed.
func holdDials(p *Pool) (started chan bool, release chan struct{}) {
	started = make(chan bool, 10)
	release = make(chan struct{}, 1)
	setDialHook(p, func(ctx context.Context, _ string) error {
		started <- true
		select {
		case <-release:
		case <-ctx.Done():
		}
		return nil
	})
	return started, release
}
