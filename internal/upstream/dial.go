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
	// A connection that is not up after this part of the time it may take is
	// late by chance, and another one is dialled beside it: most come up within
	// some round trips, and what keeps one back, a lost packet or a full backlog,
	// seldom strikes the next.
	hedgePart = 0.25

	// A dial goes on for so long behind the attempt that it was for. A lost SYN
	// is sent again after 1 s (RFC 6298), and the connection serves the next
	// request; given up, it would cost the server its handshake for nothing.
	dialLongest = 2 * time.Second

	dialRetryFirst = 2 * time.Millisecond  // wait behind a dial that failed on this machine's account; doubles
	dialRetryLast  = 30 * time.Millisecond // the longest such wait
)

// want is an attempt that waits for a connection.
type want struct {
	began    time.Time
	up       chan *conn // takes one connection, from whichever dial
	failed   chan error // takes an error from each of its own dials
	dials    []context.CancelFunc
	obstacle error // the last failure behind which a dial of its own goes on
}

// connect dials and waits for the first connection to the backend that comes
// up, its own or one that an earlier attempt left behind. The caller has taken
// leave for the first dial. An error proves that nothing was sent.
func (p *Pool) connect(ctx context.Context, b *backend) (*conn, error) {
	w := &want{began: time.Now(), up: make(chan *conn, 1), failed: make(chan error, 2)}
	var late, hedge <-chan time.Time
	if limit := p.dialer.Timeout; limit > 0 {
		l, h := time.NewTimer(limit), time.NewTimer(time.Duration(hedgePart*float64(limit)))
		defer l.Stop()
		defer h.Stop()
		late, hedge = l.C, h.C
	}
	p.mu.Lock()
	b.wants = append(b.wants, w)
	p.dial(b, w)
	p.mu.Unlock()
	for failures := 0; ; {
		var err error
		select {
		case c := <-w.up:
			p.leave(b, w)
			return c, nil
		case <-hedge:
			p.mu.Lock()
			if b.dials <= len(b.wants) && p.open < p.most {
				p.open++
				p.dial(b, w)
			}
			p.mu.Unlock()
			continue
		case err = <-w.failed:
			if failures++; failures < len(w.dials) {
				continue
			}
		case <-late:
			err = p.lateError(b, w)
		case <-ctx.Done():
			err = ctx.Err()
		}
		if c := p.leave(b, w); c != nil {
			return c, nil // it came up just now
		}
		return nil, err
	}
}

// leave takes w off those that wait, and gives the connection that it was
// handed meanwhile. One dial more than there are attempts waiting goes on; the
// next attempt will want it. The others end.
func (p *Pool) leave(b *backend, w *want) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(b.wants, w); i >= 0 {
		b.wants = slices.Delete(b.wants, i, i+1)
	}
	if b.dials > len(b.wants)+1 {
		for _, cancel := range w.dials {
			cancel()
		}
	}
	select {
	case c := <-w.up:
		return c
	default:
		return nil
	}
}

// dial begins a connection, which is counted already. The caller holds p.mu.
func (p *Pool) dial(b *backend, w *want) {
	b.dials++
	ctx, cancel := context.WithTimeout(context.Background(), max(dialLongest, p.dialer.Timeout))
	w.dials = append(w.dials, cancel)
	go func() {
		defer cancel()
		raw, err := p.dialOut(ctx, b.address, w)
		p.mu.Lock()
		defer p.mu.Unlock()
		b.dials--
		if err != nil {
			p.open--
			w.failed <- err
			return
		}
		p.dialled(b, raw)
	}()
}

// dialOut connects to an address. What fails on this machine's account fails
// for a moment, so it is tried again until ctx ends. So is an address that can't
// be reached, as that may be on this machine's account.
func (p *Pool) dialOut(ctx context.Context, address string, w *want) (net.Conn, error) {
	d := p.dialer
	d.Timeout = 0 // that of the attempt, which connect keeps
	for wait := dialRetryFirst; ; wait = min(2*wait, dialRetryLast) {
		raw, err := d.DialContext(ctx, "tcp", address)
		if err == nil || !sockets.LocalFailure(err) && !sockets.Unreachable(err) {
			return raw, err
		}
		p.mu.Lock()
		w.obstacle = err
		p.mu.Unlock()
		if !sockets.Sleep(ctx, wait) {
			return nil, err
		}
	}
}

// lateError tells why no connection has come up in time. A server that can't be
// reached is to blame only where another one could be.
func (p *Pool) lateError(b *backend, w *want) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case w.obstacle == nil:
		return fmt.Errorf("dial %s: %w", b.address, os.ErrDeadlineExceeded)
	case sockets.Unreachable(w.obstacle) && p.upAt.Before(w.began):
		return fmt.Errorf("%w: %w", errCutOff, w.obstacle)
	}
	return w.obstacle
}

// dialled hands a new connection to the attempt that has waited longest, or
// keeps it for the next one. The caller holds p.mu.
func (p *Pool) dialled(b *backend, raw net.Conn) {
	p.upAt = time.Now()
	c := newConn(raw, p, b)
	if len(b.wants) > 0 { // the last gate is up to the attempt
		b.wants[0].up <- c
		b.wants = b.wants[1:]
		return
	}
	p.keep(c)
}
