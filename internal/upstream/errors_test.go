package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"

	"bankshift/balancer"
)

// TestUnsentOutcome guards against counting an unsent request against the endpoint
// although the request ended first or the cause is on this machine. The outcome must
// then be NotSent, not ConnectFailed.
func TestUnsentOutcome(t *testing.T) {
	running := context.Background()
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	for _, c := range []struct {
		name string
		ctx  context.Context
		err  error
		want balancer.Outcome
	}{
		{"refused", running, syscall.ECONNREFUSED, balancer.ConnectFailed},
		{"no connection in time", running, os.ErrDeadlineExceeded, balancer.ConnectFailed},
		{"no descriptors", running, &net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, balancer.NotSent},
		{"the request ends first", ended, os.ErrDeadlineExceeded, balancer.NotSent},
		{"too many connections", running, ErrTooManyConnections, balancer.NotSent},
	} {
		if got := unsentOutcome(c.ctx, c.err); got != c.want {
			t.Errorf("%s: outcome %d, want %d", c.name, got, c.want)
		}
	}
	p := newTestPool(startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) { readRequest(r) }))
	p.config.MaxConnections = 0
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.NotSent {
		t.Errorf("outcome %d at the connection limit, want NotSent", got.Outcome)
	}
}

// TestAttemptError guards against an error of an attempt that does not name the
// endpoint and the step that failed, does not wrap the reason, or misstates whether
// the request may have run.
func TestAttemptError(t *testing.T) {
	respondWith := func(response string) string {
		return startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
			readRequest(r)
			io.WriteString(c, response)
		})
	}
	for _, c := range []struct {
		name    string
		address string
		change  func(p *Pool)
		want    AttemptError
	}{
		{"not listed", "", func(p *Pool) { p.Remove(endpoint) }, AttemptError{Step: StepDial, Err: ErrNotListed}},
		{"too many", "", func(p *Pool) { p.config.MaxConnections = 0 }, AttemptError{Step: StepDial, Err: ErrTooManyConnections}},
		{"refused", refusingAddress(t), nil, AttemptError{Step: StepDial, Err: syscall.ECONNREFUSED}},
		{"draining", respondWith(""), func(p *Pool) { p.backends[endpoint].draining = true }, AttemptError{Step: StepPrepare, Err: ErrNoLongerSendable}},
		{"no response", respondWith(""), nil, AttemptError{Step: StepRead, MayHaveRun: true, Err: io.EOF}},
		{"no HTTP", respondWith("hello there\r\n\r\n"), nil, AttemptError{Step: StepRead, MayHaveRun: true, Err: ErrBadResponse}},
	} {
		p := newTestPool(c.address)
		if c.change != nil {
			c.change(p)
		}
		err := attempt(t, p, testTimeout).Err
		var got *AttemptError
		if !errors.As(err, &got) || got.Endpoint != endpoint || got.Step != c.want.Step || got.MayHaveRun != c.want.MayHaveRun || !errors.Is(err, c.want.Err) {
			t.Errorf("%s: error %v, want step %s, may have run %v, and %v", c.name, err, c.want.Step, c.want.MayHaveRun, c.want.Err)
		}
	}
	if err := attempt(t, newTestPool(respondWith(okResponse)), testTimeout).Err; err != nil {
		t.Errorf("error %v with a valid response", err)
	}
}
