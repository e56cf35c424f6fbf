package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/sockets"
)

// TestMinReuseDelay guards against reusing a connection before it has been idle for
// MinReuseDelay. Whatever an endpoint sends right after a response could otherwise
// affect the next request.
func TestMinReuseDelay(t *testing.T) {
	p := newTestPool(startNumberingEndpoint(t, nil))
	p.config.MinReuseDelay = time.Hour
	for _, want := range []string{"0", "1"} {
		if got := attempt(t, p, testTimeout); string(got.Body) != want {
			t.Errorf("connection %s answers, want %s", got.Body, want)
		}
	}
	p.config.MinReuseDelay = 0
	if got := attempt(t, p, testTimeout); string(got.Body) != "1" {
		t.Errorf("connection %s answers, want 1, the most recently used of those idle for MinReuseDelay", got.Body)
	}
}

// startNumberingEndpoint runs an endpoint that answers each request with the number of
// its connection. It also sends that number to received, unless received is nil.
func startNumberingEndpoint(t *testing.T, received chan<- int) string {
	return startEndpoint(t, func(number int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			if received != nil {
				received <- number
			}
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n%d", number)
		}
	})
}

// TestDuplicateResponse guards against taking a duplicate of a response for the response
// to the next request. The duplicate arrives after the connection has gone back to the
// pool.
func TestDuplicateResponse(t *testing.T) {
	received := make(chan int, 10)
	p := newTestPool(startNumberingEndpoint(t, received))
	p.config.MinReuseDelay = ConfigFor(balancer.Settings{}, 1).MinReuseDelay // as in production
	const latestDuplicate = 5 * time.Millisecond
	if p.config.MinReuseDelay < 4*latestDuplicate {
		t.Errorf("MinReuseDelay is %v, want at least 4 times %v, by which duplicates may be late", p.config.MinReuseDelay, latestDuplicate)
	}
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.Outcome)
	}
	p.mu.Lock()
	first := p.backends[endpoint].idle[0]
	first.idleSince = time.Now().Add(testTimeout) // it counts as just released, however slow this machine is
	p.mu.Unlock()
	if got := attempt(t, p, testTimeout); string(got.Body) != "1" {
		t.Errorf("connection %s answers the next request, want a new one", got.Body)
	}
	for want := range 2 {
		if number := receive(t, received, "a request"); number != want {
			t.Errorf("a request was received on connection %d, want %d", number, want)
		}
	}
}

// TestClosedConnectionIsNotUsed guards against sending a request on an idle connection
// that the endpoint has closed.
func TestClosedConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	p := newTestPool(startEndpoint(t, func(number int, c net.Conn, r *bufio.Reader) {
		readRequest(r)
		io.WriteString(c, okResponse)
		if number == 0 {
			c.Close()
			close(closed)
			return
		}
		readRequest(r)
	}))
	attempt(t, p, testTimeout)
	<-closed
	// The endpoint has closed the connection; wait until the close shows on this side.
	backend := p.backends[endpoint]
	for until := time.Now().Add(testTimeout); len(backend.idle) > 0 && sockets.IsIdle(backend.idle[0].Conn); {
		if time.Now().After(until) {
			t.Fatal("timed out waiting for the close of the idle connection to show")
		}
		time.Sleep(time.Millisecond)
	}
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
		t.Errorf("outcome %d, want OK on a new connection", got.Outcome)
	}
}

// TestUnusableConnectionIsNotPooled guards against reusing a connection on which more
// than the response was received, which would be taken for the next response, or whose
// endpoint asked to close it.
func TestUnusableConnectionIsNotPooled(t *testing.T) {
	for name, response := range map[string]string{
		"more than the response": okResponse + okResponse,
		"asks to close":          "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi",
	} {
		p := newTestPool(startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, response)
			readRequest(r)
		}))
		if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
			t.Errorf("%s: outcome %d, want OK", name, got.Outcome)
		}
		if p.connections != 0 || len(p.backends[endpoint].idle) != 0 {
			t.Errorf("%s: %d connections open, want 0", name, p.connections)
		}
	}
}

// TestNewIncarnationClosesConnections guards against reusing connections to the previous
// incarnation of an endpoint after a restart or a change of its address.
func TestNewIncarnationClosesConnections(t *testing.T) {
	startNamed := func(name string) string {
		return startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			for readRequest(r) != nil {
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(name), name)
			}
		})
	}
	addressA, addressB := startNamed("a"), startNamed("b")
	p := newTestPool(addressA)
	attempt(t, p, testTimeout)
	p.Set(endpoint, addressA, 0, false)
	if len(p.backends[endpoint].idle) != 1 {
		t.Error("setting an unchanged endpoint again closed its idle connection")
	}
	p.Set(endpoint, addressA, 5, false)
	if p.connections != 0 {
		t.Errorf("%d connections open after a restart, want 0", p.connections)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	c, err := p.get(ctx, endpoint) // in use while the address changes
	if err != nil {
		t.Fatal(err)
	}
	p.Set(endpoint, addressB, 5, false)
	c.release()
	if p.connections != 0 {
		t.Errorf("%d connections open after a change of address, want 0", p.connections)
	}
	if got := attempt(t, p, testTimeout); string(got.Body) != "b" {
		t.Errorf("response from endpoint %q, want b", got.Body)
	}
}

// TestIdleConnections guards against a wrong order of reuse of idle connections, too many
// connections, a wrong choice for eviction, and expiry that is too early or too late.
func TestIdleConnections(t *testing.T) {
	address := startOKEndpoint(t)
	p := newTestPool(address)
	p.config.MaxConnections = 2
	p.Set(otherEndpoint, address, 0, false)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	var conns []*conn
	for range 2 {
		c, err := p.get(ctx, endpoint)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	if _, err := p.get(ctx, otherEndpoint); err == nil {
		t.Error("a third connection was opened, over the limit of 2")
	}

	conns[1].release()
	conns[0].release()
	if c, _ := p.get(ctx, endpoint); c != conns[0] {
		t.Error("the most recently used connection was not taken first")
	} else {
		c.release()
	}
	c, err := p.get(ctx, otherEndpoint) // evicts the connection that has been idle longest
	idle := p.backends[endpoint].idle
	if err != nil || p.connections != 2 || len(idle) != 1 || idle[0] != conns[0] {
		t.Fatalf("at the limit the connection idle for longest was not evicted: %v", err)
	}
	c.release()

	p.closeExpired(time.Now().Add(p.config.MaxIdle - time.Minute))
	if p.connections != 2 {
		t.Errorf("%d connections open before they expire, want 2", p.connections)
	}
	p.CloseIdle(otherEndpoint)
	if p.connections != 1 {
		t.Errorf("%d connections open after CloseIdle, want 1", p.connections)
	}
	p.closeExpired(time.Now().Add(p.config.MaxIdle))
	if p.connections != 0 {
		t.Errorf("%d connections open after they expired, want 0", p.connections)
	}
	if p.config.MaxIdle >= time.Hour {
		t.Errorf("MaxIdle is %v, want less than the 1h idle timeout of the settings", p.config.MaxIdle)
	}
}
