package upstream

import (
	"bankshift/balancer"
	"context"
	"errors"
	"syscall"
	"testing"
	"time"
)

// TestNothingLeftNothingSent: a request is not sent with no time to tell.
func TestNothingLeftNothingSent(t *testing.T) {
	address, got := listening(t)
	p := testPool(address)
	if res := try(t, p, enough); res.Outcome != balancer.OK {
		t.Fatalf("outcome %d", res.Outcome)
	}
	wait(t, got, "the first request")
	// The clock of a context may be behind: its deadline has passed, and it has not ended.
	late := lateContext{context.Background(), time.Now().Add(leastTold - 1)}
	if res := p.Attempt(late, late, 1, get("/api/x")); res.Outcome != balancer.NotSent {
		t.Errorf("outcome %d, want Moot", res.Outcome)
	}
	if _, c, err := p.take(1); err != nil || c == nil {
		t.Errorf("the connection is not kept: %v", err)
	} else {
		c.Close()
	}
	if id := wait(t, got, "the connection's end"); id != "" {
		t.Errorf("request %q was sent", id)
	}
}

// lateContext has a deadline at which it does not end.
type lateContext struct {
	context.Context
	deadline time.Time
}

func (c lateContext) Deadline() (time.Time, bool) { return c.deadline, true }

// TestLeavingWhileDialling: a server is announced as leaving, restarted or
// removed while a connection to it comes up. Nothing new may go there.
func TestLeavingWhileDialling(t *testing.T) {
	for name, announce := range map[string]func(p *Pool, address string){
		"draining":  func(p *Pool, address string) { p.Set(1, address, 0, true) },
		"restarted": func(p *Pool, address string) { p.Set(1, address, 1, false) },
		"removed":   func(p *Pool, _ string) { p.Remove(1) },
	} {
		t.Run(name, func(t *testing.T) {
			address, got := listening(t)
			p := testPool(address)
			begun, release := slowDials(p)
			ended := make(chan Result, 1)
			go func() { ended <- try(t, p, enough) }()
			wait(t, begun, "the connection to begin")
			announce(p, address)
			close(release)
			if res := wait(t, ended, "the attempt's end"); res.Outcome != balancer.NotSent {
				t.Errorf("outcome %d, want Moot", res.Outcome)
			}
			if id := wait(t, got, "the connection's end"); id != "" {
				t.Errorf("request %q was sent", id)
			}
			if p.open != 0 {
				t.Errorf("%d connections are kept", p.open)
			}
		})
	}
}

// TestGoneInTheLastInstant: the client leaves when the connection is up and
// nothing has been written.
func TestGoneInTheLastInstant(t *testing.T) {
	address, got := listening(t)
	p := testPool(address)
	open, leave := context.WithCancel(context.Background())
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error { return nil }
	first, cancel := context.WithTimeout(context.Background(), enough)
	defer cancel()
	if res := p.Attempt(first, open, 1, get("/api/x")); res.Outcome != balancer.OK {
		t.Fatalf("outcome %d", res.Outcome)
	}
	wait(t, got, "the first request")
	leave() // an idle connection needs no dialling
	if res := p.Attempt(first, open, 1, get("/api/x")); res.Outcome != balancer.NotSent {
		t.Errorf("outcome %d, want Moot", res.Outcome)
	}
	if _, c, err := p.take(1); err != nil || c == nil || !errors.Is(open.Err(), context.Canceled) {
		t.Errorf("the connection is not kept: %v", err)
	} else {
		c.Close()
	}
	if id := wait(t, got, "the connection's end"); id != "" {
		t.Errorf("request %q was sent", id)
	}
}
