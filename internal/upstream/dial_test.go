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

// holdEachDial makes each dial of a pool wait until a channel of its own is closed.
// It sends these channels to releases in the order in which the dials begin, and nil
// when a dial is canceled.
func holdEachDial(p *Pool) (releases chan chan struct{}) {
	releases = make(chan chan struct{}, 10)
	setDialHook(p, func(ctx context.Context, _ string) error {
		release := make(chan struct{})
		releases <- release
		select {
		case <-release:
		case <-ctx.Done():
			releases <- nil
		}
		return nil
	})
	return releases
}

// awaitIdle waits until the pool has exactly want connections, all of them idle
// connections to the endpoint, and no dials in progress.
func awaitIdle(t *testing.T, p *Pool, want int) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		p.mu.Lock()
		idle := len(p.backends[endpoint].idle)
		dials := p.backends[endpoint].dials
		connections := p.connections
		p.mu.Unlock()
		if idle == want && dials == 0 && connections == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%d idle connections, %d dials, %d counted; want %d, 0 and %d", idle, dials, connections, want, want)
		}
	}
}

// TestSlowDialIsHedged guards against an attempt that waits for a single slow dial.
// A second connection must be dialled, the first to be established must carry the
// request, and the other one must stay in the pool for the next request.
func TestSlowDialIsHedged(t *testing.T) {
	address, received := startRecordingEndpoint(t)
	p := newTestPool(address)
	p.config.ConnectTimeout = testTimeout / 10 // so that the second dial starts in under a second
	releases := holdEachDial(p)
	results := make(chan Result, 1)
	go func() { results <- attempt(t, p, testTimeout) }()
	first := <-releases
	close(<-releases)
	if got := <-results; got.Outcome != balancer.OK {
		t.Fatalf("outcome %v with the second dial established, want OK", got.Outcome)
	}
	close(first)
	awaitIdle(t, p, 2)
	p.config.Dialer.ControlContext = nil
	for range 2 {
		attempt(t, p, testTimeout)
	}
	awaitIdle(t, p, 2)
	for range 3 {
		if id := <-received; id != testRequestID {
			t.Errorf("the endpoint received %q, want a request", id)
		}
	}
}

// TestDialOutlivesItsAttempt guards against wasted dials: when attempts end before
// their connections are established, exactly one dial must go on, and its connection
// must stay in the pool for the next attempt.
func TestDialOutlivesItsAttempt(t *testing.T) {
	address, _ := startRecordingEndpoint(t)
	p := newTestPool(address)
	releases := holdEachDial(p)
	ctx, cancel := context.WithCancel(context.Background())
	errs := make(chan error, 3)
	for range 3 {
		go func() {
			_, err := p.get(ctx, endpoint)
			errs <- err
		}()
	}
	dials := []chan struct{}{<-releases, <-releases, <-releases}
	cancel()
	for range 3 {
		if err := <-errs; !errors.Is(err, context.Canceled) {
			t.Fatalf("get failed with %v, want context canceled", err)
		}
	}
	for range 2 {
		if release := <-releases; release != nil {
			t.Fatal("a dial began after all attempts had ended")
		}
	}
	for _, release := range dials {
		close(release)
	}
	awaitIdle(t, p, 1)
}

// TestEarlierDialServes guards against an attempt that waits for its own dial only. It
// must also take the connection of a dial that an earlier attempt has left behind.
func TestEarlierDialServes(t *testing.T) {
	address, _ := startRecordingEndpoint(t)
	p := newTestPool(address)
	releases := holdEachDial(p)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { p.get(ctx, endpoint) }()
	first := <-releases
	cancel()
	results := make(chan Result, 1)
	go func() { results <- attempt(t, p, testTimeout) }()
	second := <-releases
	close(first)
	if got := <-results; got.Outcome != balancer.OK {
		t.Fatalf("outcome %v, want OK with the connection of the earlier dial", got.Outcome)
	}
	close(second)
	awaitIdle(t, p, 2)
}

// TestConnectTimeout guards against an attempt that waits longer than ConnectTimeout for
// a connection. The attempt must fail with ConnectFailed.
func TestConnectTimeout(t *testing.T) {
	address, _ := startRecordingEndpoint(t)
	p := newTestPool(address)
	p.config.ConnectTimeout = 20 * time.Millisecond
	holdEachDial(p)
	if _, err := p.get(context.Background(), endpoint); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want a timeout", err)
	}
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.ConnectFailed {
		t.Errorf("outcome %v, want ConnectFailed", got.Outcome)
	}
}

// transientDialErrors are the errors of socket(2) and connect(2) that the state of this
// machine can cause for a short time.
var transientDialErrors = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN, syscall.EINTR,
	syscall.ENETUNREACH, syscall.EHOSTUNREACH, syscall.ENETDOWN, syscall.ETIMEDOUT, syscall.EPERM,
}

// TestTransientDialErrorIsRetried guards against an attempt that fails because of a
// transient error of socket or connect. The dial fails three times in a row and must
// be retried until it succeeds.
func TestTransientDialErrorIsRetried(t *testing.T) {
	for _, errno := range transientDialErrors {
		t.Run(errno.Error(), func(t *testing.T) {
			t.Parallel()
			address, _ := startRecordingEndpoint(t)
			p := newTestPool(address)
			var failuresLeft atomic.Int32
			failuresLeft.Store(3)
			setDialHook(p, func(context.Context, string) error {
				if failuresLeft.Add(-1) >= 0 {
					return os.NewSyscallError("connect", errno)
				}
				return nil
			})
			if got := attempt(t, p, testTimeout); got.Outcome != balancer.OK {
				t.Errorf("outcome %d, want OK", got.Outcome)
			}
			awaitIdle(t, p, 1)
		})
	}
}

// TestPersistentDialError guards against counting a dial error against an endpoint when
// this machine may be the cause: the outcome must be NotSent. It must be ConnectFailed
// only if the endpoint is unreachable and a connection to another endpoint is
// established in the meantime.
func TestPersistentDialError(t *testing.T) {
	for _, errno := range transientDialErrors {
		for _, otherReachable := range []bool{false, true} {
			t.Run(fmt.Sprintf("%v, other endpoint reachable: %v", errno, otherReachable), func(t *testing.T) {
				t.Parallel()
				address, _ := startRecordingEndpoint(t)
				otherAddress, _ := startRecordingEndpoint(t)
				p := newTestPool(address)
				p.Set(otherEndpoint, otherAddress, 0, false)
				p.config.ConnectTimeout = 200 * time.Millisecond
				setDialHook(p, func(_ context.Context, dialed string) error {
					if dialed == address || !otherReachable {
						return os.NewSyscallError("connect", errno)
					}
					return nil
				})
				results := make(chan Result, 1)
				startedAt := time.Now()
				go func() { results <- attempt(t, p, testTimeout) }()
				time.Sleep(60 * time.Millisecond) // the attempt begins before the other connection is established
				ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
				defer cancel()
				p.Attempt(ctx, ctx, otherEndpoint, newRequest())
				want := balancer.NotSent
				if otherReachable && sockets.Unreachable(errno) {
					want = balancer.ConnectFailed
				}
				got := receive(t, results, "the attempt's end")
				if got.Outcome != want || time.Since(startedAt) > testTimeout/2 {
					t.Errorf("outcome %d after %v, want %d", got.Outcome, time.Since(startedAt), want)
				}
			})
		}
	}
}

// TestRefusedDialFailsAtOnce guards against retrying a dial that the endpoint refuses.
// The attempt must fail at once, so that another endpoint can be tried.
func TestRefusedDialFailsAtOnce(t *testing.T) {
	p := newTestPool(refusingAddress(t))
	var dials atomic.Int32
	setDialHook(p, func(context.Context, string) error {
		dials.Add(1)
		return nil
	})
	if got := attempt(t, p, testTimeout); got.Outcome != balancer.ConnectFailed || dials.Load() != 1 {
		t.Errorf("outcome %d after %d dials, want ConnectFailed after one", got.Outcome, dials.Load())
	}
}
