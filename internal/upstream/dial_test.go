package upstream

import (
	"context"
	"errors"
	"fmt"
	"os"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/sockets"
)

// heldDials gives each new connection of a pool a gate of its own: it comes up
// as the gate is closed. held gets the gates in the order in which dials begin.
func heldDials(p *Pool) (held chan chan struct{}) {
	held = make(chan chan struct{}, 10)
	p.dialer.ControlContext = func(ctx context.Context, _, _ string, _ syscall.RawConn) error {
		gate := make(chan struct{})
		held <- gate
		select {
		case <-gate:
		case <-ctx.Done():
			held <- nil // given up
		}
		return nil
	}
	return held
}

// idleCount waits until the pool holds so many idle connections to server 1 and no dials.
func idleCount(t *testing.T, p *Pool, want int) {
	t.Helper()
	for end := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		idle, dials, open := len(p.backends[1].idle), p.backends[1].dials, p.open
		p.mu.Unlock()
		if idle == want && dials == 0 && open == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d idle connections, %d dials, %d counted; want %d, 0 and %d", idle, dials, open, want, want)
		}
	}
}

// TestLateDialIsHedged: a connection that is late is dialled once more, and
// whichever comes up first carries the request. The other serves the next.
func TestLateDialIsHedged(t *testing.T) {
	address, got := listening(t)
	p := testPool(address)
	p.dialer.Timeout = enough / 10 // so that the hedge comes in under a second
	held := heldDials(p)
	ended := make(chan Result, 1)
	go func() { ended <- try(t, p, enough) }()
	first := <-held
	close(<-held)
	if res := <-ended; res.Outcome != balancer.OK {
		t.Fatalf("outcome %v over the second dial, want OK", res.Outcome)
	}
	close(first)
	idleCount(t, p, 2)
	p.dialer.ControlContext = nil
	for range 2 {
		try(t, p, enough)
	}
	idleCount(t, p, 2)
	for range 3 {
		if id := <-got; id != "q" {
			t.Errorf("the server got %q, want a request", id)
		}
	}
}

// TestDialOutlivesItsAttempt: the connection that an attempt waited for in
// vain serves the next one. Only one such dial goes on.
func TestDialOutlivesItsAttempt(t *testing.T) {
	address, _ := listening(t)
	p := testPool(address)
	held := heldDials(p)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := p.get(ctx, 1)
			ended <- err
		}()
	}
	gates := []chan struct{}{<-held, <-held, <-held}
	cancel()
	for range 3 {
		if err := <-ended; !errors.Is(err, context.Canceled) {
			t.Fatalf("got %v, want the attempt's end", err)
		}
	}
	for range 2 {
		if gate := <-held; gate != nil {
			t.Fatal("a dial began that nobody wants")
		}
	}
	for _, gate := range gates {
		close(gate)
	}
	idleCount(t, p, 1)
}

// TestDialTakenOver: an attempt is served by the connection that an earlier
// one left behind, though its own does not come up.
func TestDialTakenOver(t *testing.T) {
	address, _ := listening(t)
	p := testPool(address)
	held := heldDials(p)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { p.get(ctx, 1) }()
	first := <-held
	cancel()
	ended := make(chan Result, 1)
	go func() { ended <- try(t, p, enough) }()
	second := <-held
	close(first)
	if res := <-ended; res.Outcome != balancer.OK {
		t.Fatalf("outcome %v, want OK over the earlier dial", res.Outcome)
	}
	close(second)
	idleCount(t, p, 2)
}

// TestDialTimeLimit: a connection that is not up in the settings' time fails the attempt.
func TestDialTimeLimit(t *testing.T) {
	address, _ := listening(t)
	p := testPool(address)
	p.dialer.Timeout = 20 * time.Millisecond
	heldDials(p)
	if _, err := p.get(context.Background(), 1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want a time-out", err)
	}
	if res := try(t, p, enough); res.Outcome != balancer.ConnectFailed {
		t.Errorf("outcome %v, want ConnectFailed", res.Outcome)
	}
}

// passingDialErrors are those of socket(2) and connect(2) that this machine's own state can bring about for a moment.
var passingDialErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
	syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ETIMEDOUT, syscall.EPERM,
}

// failDials has the dials of a pool fail while failing says so.
func failDials(p *Pool, failing func() error) {
	p.dialer.ControlContext = func(context.Context, string, string, syscall.RawConn) error {
		if err := failing(); err != nil {
			return os.NewSyscallError("connect", err)
		}
		return nil
	}
}

// TestDialFailsForAMoment: socket and connect fail three times in a row. The attempt outlasts it.
func TestDialFailsForAMoment(t *testing.T) {
	for _, errno := range passingDialErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			address, _ := listening(t)
			p := testPool(address)
			var failures atomic.Int32
			failures.Store(3)
			failDials(p, func() error {
				if failures.Add(-1) >= 0 {
					return errno
				}
				return nil
			})
			if res := try(t, p, enough); res.Outcome != balancer.OK {
				t.Errorf("outcome %d, want OK", res.Outcome)
			}
			idleCount(t, p, 1)
		})
	}
}

// TestDialFailsOnAndOn: no server is blamed where none can be reached from here. Where another connection comes up
// meanwhile, the server is that can't be reached.
func TestDialFailsOnAndOn(t *testing.T) {
	for _, errno := range passingDialErrors {
		for _, otherComesUp := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, another comes up: %v", errno, otherComesUp), func(t *testing.T) {
				t.Parallel()
				address, _ := listening(t)
				other, _ := listening(t)
				p := testPool(address)
				p.Set(2, other, 0, false)
				p.dialer.Timeout = 200 * time.Millisecond
				p.dialer.ControlContext = func(_ context.Context, _, to string, _ syscall.RawConn) error {
					if to == address || !otherComesUp {
						return os.NewSyscallError("connect", errno)
					}
					return nil
				}
				ended := make(chan Result, 1)
				began := time.Now()
				go func() { ended <- try(t, p, enough) }()
				held()
				ctx, cancel := context.WithTimeout(context.Background(), enough)
				defer cancel()
				p.Attempt(ctx, ctx, 2, get("/api/x"))
				want := balancer.NotSent
				if otherComesUp && sockets.Unreachable(errno) {
					want = balancer.ConnectFailed
				}
				if res := wait(t, ended, "the attempt's end"); res.Outcome != want || time.Since(began) > enough/2 {
					t.Errorf("outcome %d after %v, want %d", res.Outcome, time.Since(began), want)
				}
			})
		}
	}
}

// TestRefusedIsToldAtOnce: a server that refuses is left for another without a wait.
func TestRefusedIsToldAtOnce(t *testing.T) {
	p := testPool(refusing(t))
	var dials atomic.Int32
	failDials(p, func() error { dials.Add(1); return nil })
	if res := try(t, p, enough); res.Outcome != balancer.ConnectFailed || dials.Load() != 1 {
		t.Errorf("outcome %d after %d dials, want ConnectFailed after one", res.Outcome, dials.Load())
	}
}
