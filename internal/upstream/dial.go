package upstream

import (
	"context"
	"fmt"
	"net"
	"os"
	"slices"
	"time"

	"bankshift/internal/sockets"
)

const (
	// hedgeDelayFraction is the part of ConnectTimeout after which a second connection is
	// dialled beside one that is not up yet. Most come up within a few round
	// trips, and what delays one, a lost packet or a full backlog, seldom delays
	// the next.
	hedgeDelayFraction = 0.25

	// minDialTimeout is how long a dial may take at least, even if its attempt no
	// longer waits for it. A lost SYN is sent again after 1 s (RFC 6298), and the
	// connection serves the next request; a dial given up costs the endpoint a
	// handshake for nothing.
	minDialTimeout = 2 * time.Second

	// The wait after a dial that failed on this machine's account doubles from
	// the first to the last.
	firstRetryWait = 2 * time.Millisecond
	maxRetryWait   = 30 * time.Millisecond

	maxDialsPerWaiter = 2 // its own and the hedge
)

// waiter is an attempt that waits for a connection.
type waiter struct {
	startedAt time.Time
	connected chan *conn // receives one connection at most, from any dial
	failed    chan error // receives the error of each of its own dials that fails

	cancelDials []context.CancelFunc // of its own dials; used by the attempt's goroutine only
	lastFailure error                // of its own dials that are still being retried; guarded by Pool.mu
}

func newWaiter() *waiter {
	return &waiter{
		startedAt: time.Now(),
		connected: make(chan *conn, 1),
		failed:    make(chan error, maxDialsPerWaiter),
	}
}

// connect dials b and returns the first connection to it that comes up, be it
// by its own dial or by one that an earlier attempt left behind. The caller has
// counted the first connection. If connect fails, nothing has been sent.
func (p *Pool) connect(ctx context.Context, b *backend) (*conn, error) {
	w := newWaiter()
	var timeout, hedge <-chan time.Time
	if limit := p.config.ConnectTimeout; limit > 0 {
		timeoutTimer := time.NewTimer(limit)
		defer timeoutTimer.Stop()
		hedgeTimer := time.NewTimer(time.Duration(hedgeDelayFraction * float64(limit)))
		defer hedgeTimer.Stop()
		timeout, hedge = timeoutTimer.C, hedgeTimer.C
	}
	p.startWaiting(b, w)
	failures := 0
	for {
		select {
		case c := <-w.connected:
			p.stopWaiting(b, w)
			return c, nil
		case <-hedge:
			p.hedge(b, w)
		case err := <-w.failed:
			failures++
			if failures >= len(w.cancelDials) {
				return p.giveUp(b, w, err)
			}
		case <-timeout:
			return p.giveUp(b, w, p.timeoutError(b, w))
		case <-ctx.Done():
			return p.giveUp(b, w, ctx.Err())
		}
	}
}

// startWaiting adds w to the waiters of b and begins its first dial.
func (p *Pool) startWaiting(b *backend, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.waiters = append(b.waiters, w)
	p.dial(b, w)
}

// hedge begins a second dial for w, unless more dials than waiters are under
// way already or there are too many connections.
func (p *Pool) hedge(b *backend, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.dials <= len(b.waiters) && p.connections < p.config.MaxConnections {
		p.connections++
		p.dial(b, w)
	}
}

// giveUp ends the wait of w with err, unless a connection has come up meanwhile.
func (p *Pool) giveUp(b *backend, w *waiter, err error) (*conn, error) {
	if c := p.stopWaiting(b, w); c != nil {
		return c, nil
	}
	return nil, err
}

// stopWaiting removes w from the waiters of b, and returns the connection that
// it was handed but has not received; nil: there is none. One dial more than
// there are waiters goes on, for the next attempt; if there are more, those of
// w are canceled.
func (p *Pool) stopWaiting(b *backend, w *waiter) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(b.waiters, w); i >= 0 {
		b.waiters = slices.Delete(b.waiters, i, i+1)
	}
	if b.dials > len(b.waiters)+1 {
		for _, cancel := range w.cancelDials {
			cancel()
		}
	}
	select {
	case c := <-w.connected:
		return c
	default:
		return nil
	}
}

// dial begins to dial a connection for w, which the caller has counted. The
// caller holds p.mu.
func (p *Pool) dial(b *backend, w *waiter) {
	b.dials++
	ctx, cancel := context.WithTimeout(context.Background(), max(minDialTimeout, p.config.ConnectTimeout))
	w.cancelDials = append(w.cancelDials, cancel)
	go func() {
		defer cancel()
		raw, err := p.dialWithRetry(ctx, b.address, w)
		p.mu.Lock()
		defer p.mu.Unlock()
		b.dials--
		if err != nil {
			p.connections--
			w.failed <- err
			return
		}
		p.handOver(newConn(raw, p, b))
	}()
}

// dialWithRetry connects to an address. A failure on this machine's account is
// likely to pass, so the dial is retried until ctx ends. So is one that found
// no route to the endpoint, which may be due to this machine, too.
func (p *Pool) dialWithRetry(ctx context.Context, address string, w *waiter) (net.Conn, error) {
	wait := firstRetryWait
	for {
		raw, err := p.config.Dialer.DialContext(ctx, "tcp", address)
		if err == nil {
			return raw, nil
		}
		if !sockets.LocalFailure(err) && !sockets.Unreachable(err) {
			return nil, err
		}
		p.mu.Lock()
		w.lastFailure = err
		p.mu.Unlock()
		if !sockets.Sleep(ctx, wait) {
			return nil, err
		}
		wait = min(2*wait, maxRetryWait)
	}
}

// handOver gives a new connection to the attempt that has waited longest, or
// keeps it for the next one. The caller holds p.mu.
func (p *Pool) handOver(c *conn) {
	p.lastConnectedAt = time.Now()
	b := c.backend
	if len(b.waiters) == 0 {
		p.putIdle(c)
		return
	}
	b.waiters[0].connected <- c // the attempt checks whether the endpoint still accepts requests
	b.waiters = b.waiters[1:]
}

// timeoutError returns why no connection has come up for w within
// ConnectTimeout. An endpoint that cannot be reached is at fault only if
// another one could be reached meanwhile.
func (p *Pool) timeoutError(b *backend, w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.lastFailure == nil {
		return fmt.Errorf("dial %s: %w", b.address, os.ErrDeadlineExceeded)
	}
	if sockets.Unreachable(w.lastFailure) && p.lastConnectedAt.Before(w.startedAt) {
		return fmt.Errorf("%w: %w", ErrCutOff, w.lastFailure)
	}
	return w.lastFailure
}
