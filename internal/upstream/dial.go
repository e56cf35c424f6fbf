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
	// hedgeDelayFraction is the fraction of ConnectTimeout after which a second
	// connection is dialled if the first is not established yet. Most connections
	// are established within a few round trips, and what delays one (a lost packet,
	// a full backlog) seldom delays the next.
	hedgeDelayFraction = 0.25

	// minDialTimeout is the lower limit of a dial's timeout; a dial may outlast the
	// attempt that began it. It leaves time for a lost SYN to be sent again after
	// 1 s (RFC 6298). The connection then serves the next request, whereas an
	// abandoned dial costs the endpoint a handshake for nothing.
	minDialTimeout = 2 * time.Second

	// The wait before a dial is retried doubles from firstRetryWait to maxRetryWait.
	// dialWithRetry states which errors are retried.
	firstRetryWait = 2 * time.Millisecond
	maxRetryWait   = 30 * time.Millisecond

	maxDialsPerWaiter = 2 // the first dial and the hedged one
)

// waiter is an attempt that waits for a connection.
type waiter struct {
	startedAt time.Time
	connected chan *conn // receives at most one connection, from any dial to the endpoint
	failed    chan error // receives the error of each dial of this waiter that fails

	cancelDials []context.CancelFunc // one for each dial of this waiter; used by the attempt's goroutine only
	lastFailure error                // last error of a dial of this waiter that is retried; guarded by Pool.mu
}

func newWaiter() *waiter {
	return &waiter{
		startedAt: time.Now(),
		connected: make(chan *conn, 1),
		failed:    make(chan error, maxDialsPerWaiter),
	}
}

// connect dials b and returns the first connection to it that becomes available,
// from its own dials or from those of other attempts. The caller must have added
// the first dial to Pool.connections. If connect fails, nothing has been sent.
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

// startWaiting adds w to the waiters of b and starts its first dial.
func (p *Pool) startWaiting(b *backend, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b.waiters = append(b.waiters, w)
	p.dial(b, w)
}

// hedge starts a second dial for w, unless b already has more dials in progress
// than waiters, or the pool is at MaxConnections.
func (p *Pool) hedge(b *backend, w *waiter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b.dials <= len(b.waiters) && p.connections < p.config.MaxConnections {
		p.connections++
		p.dial(b, w)
	}
}

// giveUp ends the wait of w. It returns err, or the connection that w was handed
// in the meantime.
func (p *Pool) giveUp(b *backend, w *waiter, err error) (*conn, error) {
	if c := p.stopWaiting(b, w); c != nil {
		return c, nil
	}
	return nil, err
}

// stopWaiting removes w from the waiters of b. It returns the connection that w was
// handed but has not received, or nil if there is none.
//
// The dials of w go on, so that their connection serves the next attempt, unless b
// then has at least two more dials in progress than waiters. In that case all dials
// of w are canceled.
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

// dial starts to dial a connection for w in a new goroutine. The caller holds p.mu
// and has added the dial to p.connections.
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

// dialWithRetry connects to an address. Until ctx ends, it retries errors that come
// from this machine (sockets.LocalFailure), which are likely to pass. It also retries
// if the endpoint is unreachable, as this machine may be the cause of that, too.
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

// handOver gives a new connection to the attempt that has waited longest. If none
// waits, it adds the connection to the idle ones. The caller holds p.mu.
func (p *Pool) handOver(c *conn) {
	p.lastConnectedAt = time.Now()
	b := c.backend
	if len(b.waiters) == 0 {
		p.putIdle(c)
		return
	}
	b.waiters[0].connected <- c // Attempt checks whether the endpoint still accepts requests
	b.waiters = b.waiters[1:]
}

// timeoutError returns the reason why w got no connection within ConnectTimeout. That
// the endpoint is unreachable counts against it only if a connection to any endpoint
// was established while w waited; otherwise the error wraps ErrNoEndpointReachable.
func (p *Pool) timeoutError(b *backend, w *waiter) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if w.lastFailure == nil {
		return fmt.Errorf("dial %s: %w", b.address, os.ErrDeadlineExceeded)
	}
	if sockets.Unreachable(w.lastFailure) && p.lastConnectedAt.Before(w.startedAt) {
		return fmt.Errorf("%w: %w", ErrNoEndpointReachable, w.lastFailure)
	}
	return w.lastFailure
}
