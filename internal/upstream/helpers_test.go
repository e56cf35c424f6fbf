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

// testTimeout bounds what a test waits for. A test that passes takes far less.
const testTimeout = 30 * time.Second

// The endpoints of the tests' pools.
const (
	endpoint      balancer.EndpointID = 1
	otherEndpoint balancer.EndpointID = 2
)

const (
	testRequestID = "q" // of the requests that newRequest makes
	okResponse    = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: inflight=7,queue=2\r\n\r\nhi"
)

// listen opens a listener on a free port of the loopback address.
func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// startEndpoint runs an endpoint and returns its address. handle gets each
// connection with its number, and the connection is closed when it returns.
func startEndpoint(t *testing.T, handle func(number int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	ln := listen(t)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for number := 0; ; number++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			c.SetDeadline(time.Now().Add(3 * testTimeout)) // a test that waits for the other side fails first
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

// startRecordingEndpoint runs an endpoint that answers each request with
// okResponse. received gets the id of each request, and "" for the end of each
// connection.
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

// refusingAddress returns an address where nothing listens.
func refusingAddress(t *testing.T) string {
	t.Helper()
	ln := listen(t)
	ln.Close()
	return ln.Addr().String()
}

// readRequest reads a request with its body; nil if none comes.
func readRequest(r *bufio.Reader) *http.Request {
	req, err := http.ReadRequest(r)
	if err != nil {
		return nil
	}
	io.Copy(io.Discard, req.Body)
	return req
}

// newTestPool returns a pool with an endpoint at an address. Its connections
// need no rest.
func newTestPool(address string) *Pool {
	c := ConfigFor(balancer.Settings{ConnectTimeout: testTimeout, IdleConnectionTimeout: time.Hour}, 100)
	c.RestTime = 0
	p := NewPool(c)
	p.Set(endpoint, address, 0, false)
	return p
}

func newRequest() *Request {
	return &Request{
		Method: http.MethodGet,
		URL:    &url.URL{Path: "/api/x"},
		Host:   "app.svc",
		Header: http.Header{"X-Request-Id": {testRequestID}},
	}
}

// attempt sends a request to the endpoint with a deadline after timeout.
func attempt(t *testing.T, p *Pool, timeout time.Duration) Result {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	return p.Attempt(ctx, ctx, endpoint, newRequest())
}

// receive waits for a value; what names it if none comes.
func receive[T any](t *testing.T, values <-chan T, what string) (value T) {
	t.Helper()
	select {
	case value = <-values:
	case <-time.After(testTimeout):
		t.Fatal("waited in vain for " + what)
	}
	return value
}

// closeIdleConn takes an idle connection to the endpoint out of the pool and closes
// it, or fails the test if there is none.
func closeIdleConn(t *testing.T, p *Pool) {
	t.Helper()
	c, _, err := p.takeOrReserve(endpoint)
	if err != nil || c == nil {
		t.Errorf("the connection is not kept: %v", err)
		return
	}
	c.Close()
}

// setDialHook has hook called ahead of each connect of the pool's dials. An
// error fails the dial. No dial may be under way.
func setDialHook(p *Pool, hook func(ctx context.Context, address string) error) {
	p.config.Dialer.ControlContext = func(ctx context.Context, _, address string, _ syscall.RawConn) error {
		return hook(ctx, address)
	}
}

// holdDials makes the pool's dials wait: started gets a value when one begins,
// and it goes on once release has a value or is closed.
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
