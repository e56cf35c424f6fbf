package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"bankshift/balancer"
)

func TestOutcomeWithoutConnection(t *testing.T) {
	if got := attempt(t, newTestPool(refusingAddress(t)), testTimeout); got.Outcome != balancer.ConnectFailed {
		t.Errorf("outcome %d, want ConnectFailed", got.Outcome)
	}
	p := NewPool(ConfigFor(balancer.Settings{}, 100))
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.NotSent {
		t.Errorf("outcome %d of an endpoint that is not listed, want NotSent", got.Outcome)
	}
}

// shortWriteConn breaks before the last byte is written.
type shortWriteConn struct{ *net.TCPConn }

func (c shortWriteConn) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:len(b)-1])
	return n, errors.New("broken")
}

func TestWriteFailsBeforeLastByte(t *testing.T) {
	p := newTestPool(startOKEndpoint(t))
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.Outcome)
	}
	idle := p.backends[endpoint].idle
	idle[0].Conn = shortWriteConn{idle[0].Conn.(*net.TCPConn)}
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.ConnectFailed {
		t.Errorf("outcome %d, want ConnectFailed", got.Outcome)
	}
}

// TestBrokenConnectionIsNotRetried: a connection that breaks under a request is
// an outcome; the pool must not send the request again on another one.
func TestBrokenConnectionIsNotRetried(t *testing.T) {
	received := make(chan int, 10)
	p := newTestPool(startEndpoint(t, func(number int, c net.Conn, r *bufio.Reader) {
		for i := 0; readRequest(r) != nil; i++ {
			received <- number
			if i == 1 {
				return
			}
			io.WriteString(c, okResponse)
		}
	}))
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.Outcome)
	}
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.Reset {
		t.Errorf("outcome %d, want Reset", got.Outcome)
	}
	if n := len(received); n != 2 {
		t.Errorf("%d requests came, want 2", n)
	}
	for range 2 {
		if number := <-received; number != 0 {
			t.Errorf("a request came on connection %d, want 0: the pool keeps connections", number)
		}
	}
}

// TestEndedAttemptClosesConnection: the endpoint must see the end of an attempt no later
// than the balancer does, or a further attempt could overlap it.
func TestEndedAttemptClosesConnection(t *testing.T) {
	for name, want := range map[string]balancer.Outcome{"timed out": balancer.TimedOut, "canceled": balancer.Canceled} {
		received, closed := make(chan struct{}), make(chan struct{})
		p := newTestPool(startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			readRequest(r)
			close(received)
			r.ReadByte() // until the node closes
			close(closed)
		}))
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		if want == balancer.TimedOut {
			ctx, cancel = context.WithTimeout(context.Background(), 1500*time.Millisecond)
		} else {
			go func() { <-received; cancel() }()
		}
		got := p.Attempt(ctx, ctx, endpoint, newRequest())
		cancel()
		if got.Outcome != want {
			t.Errorf("%s: outcome %d, want %d", name, got.Outcome, want)
		}
		if p.connections != 0 {
			t.Errorf("%s: the connection is still open", name)
		}
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Errorf("%s: the endpoint sees no end", name)
		}
	}
}

// unendingContext has a deadline at which it does not end.
type unendingContext struct {
	context.Context
	deadline time.Time
}

func (c unendingContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestNoTimeLeftNothingSent: a request is not sent with less time left than a
// deadline header can state.
func TestNoTimeLeftNothingSent(t *testing.T) {
	address, received := startRecordingEndpoint(t)
	p := newTestPool(address)
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.Outcome)
	}
	receive(t, received, "the first request")
	// The clock of a context may be behind: its deadline has passed, and it has not ended.
	ctx := unendingContext{context.Background(), time.Now().Add(minDeadline - 1)}
	if got := p.Attempt(ctx, ctx, endpoint, newRequest()); got.Outcome != balancer.NotSent {
		t.Errorf("outcome %d, want NotSent", got.Outcome)
	}
	closeIdleConn(t, p)
	if id := receive(t, received, "the connection's end"); id != "" {
		t.Errorf("request %q was sent", id)
	}
}

// TestEndpointChangesDuringDial: an endpoint is drained, restarted or removed
// while a connection to it comes up. Nothing new may go there.
func TestEndpointChangesDuringDial(t *testing.T) {
	for name, change := range map[string]func(p *Pool, address string){
		"draining":  func(p *Pool, address string) { p.Set(endpoint, address, 0, true) },
		"restarted": func(p *Pool, address string) { p.Set(endpoint, address, 1, false) },
		"removed":   func(p *Pool, _ string) { p.Remove(endpoint) },
	} {
		t.Run(name, func(t *testing.T) {
			address, received := startRecordingEndpoint(t)
			p := newTestPool(address)
			started, release := holdDials(p)
			results := make(chan Result, 1)
			go func() { results <- attempt(t, p, testTimeout) }()
			receive(t, started, "the dial")
			change(p, address)
			close(release)
			if got := receive(t, results, "the attempt's end"); got.Outcome != balancer.NotSent {
				t.Errorf("outcome %d, want NotSent", got.Outcome)
			}
			if id := receive(t, received, "the connection's end"); id != "" {
				t.Errorf("request %q was sent", id)
			}
			if p.connections != 0 {
				t.Errorf("%d connections are kept, want 0", p.connections)
			}
		})
	}
}

// TestStartContextEndsBeforeFirstByte: startCtx ends when the connection is up and
// nothing has been written.
func TestStartContextEndsBeforeFirstByte(t *testing.T) {
	address, received := startRecordingEndpoint(t)
	p := newTestPool(address)
	startCtx, callOff := context.WithCancel(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if got := p.Attempt(ctx, startCtx, endpoint, newRequest()); got.Outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.Outcome)
	}
	receive(t, received, "the first request")
	callOff() // an idle connection needs no dial
	if got := p.Attempt(ctx, startCtx, endpoint, newRequest()); got.Outcome != balancer.NotSent {
		t.Errorf("outcome %d, want NotSent", got.Outcome)
	}
	closeIdleConn(t, p)
	if err := startCtx.Err(); !errors.Is(err, context.Canceled) {
		t.Errorf("startCtx ended with %v, want %v", err, context.Canceled)
	}
	if id := receive(t, received, "the connection's end"); id != "" {
		t.Errorf("request %q was sent", id)
	}
}

// TestEndpointResetsAfterAccept: a request of which the endpoint has read the last
// byte may have run; no other is reported so without cause.
func TestEndpointResetsAfterAccept(t *testing.T) {
	for name, c := range map[string]struct {
		read func(r *bufio.Reader)
		want []balancer.Outcome
	}{
		"nothing read": {func(*bufio.Reader) {}, []balancer.Outcome{balancer.ConnectFailed, balancer.Reset}},
		"half read":    {func(r *bufio.Reader) { r.ReadByte() }, []balancer.Outcome{balancer.ConnectFailed, balancer.Reset}},
		"all read":     {func(r *bufio.Reader) { readRequest(r) }, []balancer.Outcome{balancer.Reset}},
	} {
		p := newTestPool(startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			c.read(r)
			conn.(*net.TCPConn).SetLinger(0) // the close resets
		}))
		r := newRequest()
		r.Method = http.MethodPost
		r.Body = make([]byte, maxBodySize)
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		for range 50 {
			if got := p.Attempt(ctx, ctx, endpoint, r); !slices.Contains(c.want, got.Outcome) {
				t.Errorf("%s: outcome %d, want one of %d", name, got.Outcome, c.want)
			}
		}
		cancel()
		if p.connections != 0 {
			t.Errorf("%s: %d connections are kept, want 0", name, p.connections)
		}
	}
}
