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

// TestOutcomeWithoutConnection guards against wrong outcomes of attempts that got no
// connection. It must be ConnectFailed if the endpoint refuses connections, and
// NotSent, which does not count against any endpoint, if it is not listed.
func TestOutcomeWithoutConnection(t *testing.T) {
	if got := attempt(t, newTestPool(refusingAddress(t)), testTimeout); got.Outcome != balancer.ConnectFailed {
		t.Errorf("outcome %d, want ConnectFailed", got.Outcome)
	}
	p := NewPool(ConfigFor(balancer.Settings{}, 100))
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.NotSent {
		t.Errorf("outcome %d of an endpoint that is not listed, want NotSent", got.Outcome)
	}
}

// shortWriteConn is a connection that fails each write before its last byte.
type shortWriteConn struct{ *net.TCPConn }

func (c shortWriteConn) Write(b []byte) (int, error) {
	n, _ := c.TCPConn.Write(b[:len(b)-1])
	return n, errors.New("broken")
}

// TestWriteFailsBeforeLastByte guards against reporting that a request may have run
// although the connection failed before its last byte was written.
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

// TestBrokenConnectionIsNotRetried guards against the pool sending a request again
// by itself when the endpoint closes the connection without a response. The attempt
// must end with the outcome Reset.
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
		t.Errorf("endpoint received %d requests, want 2", n)
	}
	for range 2 {
		if number := <-received; number != 0 {
			t.Errorf("a request was received on connection %d, want 0: the pool must reuse connections", number)
		}
	}
}

// TestEndedAttemptClosesConnection guards against a further attempt that overlaps one
// that timed out or was canceled. The connection must be closed before Attempt
// returns, so that the endpoint sees the end no later than the balancer does.
func TestEndedAttemptClosesConnection(t *testing.T) {
	for name, want := range map[string]balancer.Outcome{"timed out": balancer.TimedOut, "canceled": balancer.Canceled} {
		received, closed := make(chan struct{}), make(chan struct{})
		p := newTestPool(startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) {
			readRequest(r)
			close(received)
			r.ReadByte() // blocks until the node closes the connection
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
			t.Errorf("%s: the pool still counts the connection as open", name)
		}
		select {
		case <-closed:
		case <-time.After(testTimeout):
			t.Errorf("%s: the connection was not closed for the endpoint", name)
		}
	}
}

// unendingContext has a deadline but is not done when it passes, as if its timer were late.
type unendingContext struct {
	context.Context
	deadline time.Time
}

func (c unendingContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestNoTimeLeftNothingSent guards against sending a request with less time left than
// minDeadline, which the X-Deadline header could state only as 0.
func TestNoTimeLeftNothingSent(t *testing.T) {
	address, received := startRecordingEndpoint(t)
	p := newTestPool(address)
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.Outcome)
	}
	receive(t, received, "the first request")
	// A context's timer may be late, so that its deadline passes before it is done.
	ctx := unendingContext{context.Background(), time.Now().Add(minDeadline - 1)}
	if got := p.Attempt(ctx, ctx, endpoint, newRequest()); got.Outcome != balancer.NotSent {
		t.Errorf("outcome %d, want NotSent", got.Outcome)
	}
	closeIdleConn(t, p)
	if id := receive(t, received, "the connection's end"); id != "" {
		t.Errorf("request %q was sent", id)
	}
}

// TestEndpointChangesDuringDial guards against sending a request to an endpoint that
// was drained, restarted or removed while the connection for it was dialled.
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

// TestStartContextEndsBeforeFirstByte guards against sending a request after startCtx
// has ended, when a connection is available and nothing has been written.
func TestStartContextEndsBeforeFirstByte(t *testing.T) {
	address, received := startRecordingEndpoint(t)
	p := newTestPool(address)
	startCtx, endStart := context.WithCancel(context.Background())
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	if got := p.Attempt(ctx, startCtx, endpoint, newRequest()); got.Outcome != balancer.OK {
		t.Fatalf("outcome %d, want OK", got.Outcome)
	}
	receive(t, received, "the first request")
	endStart() // the next attempt takes the idle connection, so no dial notices the end of startCtx
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

// TestEndpointResetsAfterAccept guards against reporting that a request never ran
// although the endpoint has read its last byte. The endpoint resets the connection
// after it has read nothing, a part or all of the request. Unless it has read all,
// both ConnectFailed and Reset are correct.
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
			conn.(*net.TCPConn).SetLinger(0) // makes Close send a reset
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
