package load

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxBodyBytes = 64 << 10                                                // bytes of a body, by the protocol
	requestBody  = "x=1&filler=0123456789abcdef0123456789abcdef0123456789" // of a POST
)

// host is the clients' connections to one node.
type nodeConns struct {
	mu      sync.Mutex
	idle    []*conn // the one used last comes last
	open    int     // idle, in use or being dialled
	waiting []chan *conn
}

type conn struct {
	net.Conn
	address string
	read    *bufio.Reader
	used    bool // it has carried a request
}

func (p *player) connsOf(i int) *nodeConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.conns[i]
	if h == nil {
		h = &nodeConns{}
		p.conns[i] = h
	}
	return h
}

// close ends the connections that are kept.
func (p *player) close() {
	for _, h := range p.conns {
		for _, c := range h.idle {
			c.Close()
		}
	}
}

// take gives a connection that carries nothing, and opens one where there is
// none. With as many as may be open all busy it waits for one.
func (p *player) take(ctx context.Context, h *nodeConns, address string, fresh bool) (*conn, error) {
	h.mu.Lock()
	for !fresh && len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		h.idle = h.idle[:len(h.idle)-1]
		if c.address == address && c.idleAndOpen() {
			h.mu.Unlock()
			return c, nil
		}
		c.Close()
		h.open--
	}
	if h.open >= p.Connections {
		turn := make(chan *conn, 1)
		h.waiting = append(h.waiting, turn)
		h.mu.Unlock()
		p.mu.Lock()
		p.report.Waited++
		p.mu.Unlock()
		select {
		case c := <-turn:
			if c != nil && c.address == address && c.idleAndOpen() {
				return c, nil
			}
			if c != nil {
				c.Close()
			}
			return p.dial(ctx, h, address) // the place in open is handed over with c
		case <-ctx.Done():
			h.abandonWait(turn)
			return nil, ctx.Err()
		}
	}
	h.open++
	h.mu.Unlock()
	return p.dial(ctx, h, address)
}

func (p *player) dial(ctx context.Context, h *nodeConns, address string) (*conn, error) {
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		h.put(nil)
		return nil, err
	}
	p.mu.Lock()
	p.report.Dials++
	p.mu.Unlock()
	return &conn{Conn: nc, address: address, read: bufio.NewReader(nc)}, nil
}

// give takes back a connection that may carry another request, or the place of
// one that may not (nil).
func (h *nodeConns) put(c *conn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.waiting) > 0 {
		h.waiting[0] <- c
		h.waiting = h.waiting[1:]
		return
	}
	if c == nil {
		h.open--
		return
	}
	h.idle = append(h.idle, c)
}

// leave gives up a wait; what came in the meantime goes to the next.
func (h *nodeConns) abandonWait(turn chan *conn) {
	h.mu.Lock()
	i := slices.Index(h.waiting, turn)
	if i >= 0 {
		h.waiting = slices.Delete(h.waiting, i, i+1)
	}
	h.mu.Unlock()
	if i < 0 {
		h.put(<-turn)
	}
}

// quiet says that the other side has neither closed the connection nor said
// anything on it since its last answer.
func (c *conn) idleAndOpen() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peeked = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peeked, syscall.EAGAIN) // 0 bytes and no error is its end
}

// TryID is the X-Request-Id of a request's try, counted from 0: every one has
// its own.
func TryID(id string, try int) string {
	if try == 0 {
		return id
	}
	return id + "-" + strconv.Itoa(try)
}

// request sees one request through all of its tries.
func (p *player) play(ctx context.Context, n int, r *Request, handed time.Time) Result {
	intended := p.start.Add(r.At)
	o := Result{SendDelay: handed.Sub(intended), Added: -1}
	gone := handed.Add(r.Deadline) // when the client stops waiting
	ctx, cancel := context.WithDeadline(ctx, gone.Add(p.Slack))
	defer cancel()
	for {
		id := TryID(r.ID, o.Tries)
		began := handed
		if o.Tries > 0 {
			began = time.Now()
		}
		a, err := p.try(ctx, r, id, gone, o.Tries)
		o.Tries++
		o.Status, o.Err = a.status, err
		switch {
		case a.status == http.StatusOK:
			o.Outcome, o.Latency = Served, a.at.Sub(intended)
			if a.serviceTime > 0 && o.Tries == 1 {
				o.Added = max(0, a.at.Sub(began)-a.serviceTime)
			}
			return o
		case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
			o.Outcome = Lost
			return o
		case a.status == http.StatusTooManyRequests || a.status == http.StatusServiceUnavailable:
			o.Outcome = Rejected
		default:
			o.Outcome = Failed
			if !r.RetryOnFailure && !errors.Is(err, errUnreachable) {
				return o
			}
		}
		wait := a.retryAfter
		if wait <= 0 {
			wait = p.Backoff
		}
		if o.Tries > p.Retries || time.Until(gone)-wait < retrySlack {
			return o
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return o
		}
	}
}

// errUnreachable says that a try came to no node: it never ran.
var errUnreachable = errors.New("no node there")

// answer is what a node said.
type response struct {
	status      int
	at          time.Time // its last byte
	retryAfter  time.Duration
	serviceTime time.Duration // by the server, as it says; 0: it does not
}

// try sends a request once, and once more where the node closed a kept
// connection as it went out. One that is unsafe is not: its client could not
// tell such a close from a node that died with the request read.
func (p *player) try(ctx context.Context, r *Request, id string, gone time.Time, number int) (response, error) {
	node, address := p.Route(r, number)
	if address == "" {
		return response{}, errUnreachable
	}
	h := p.connsOf(node)
	for fresh := false; ; fresh = true {
		c, err := p.take(ctx, h, address, fresh)
		if err != nil {
			return response{}, fmt.Errorf("%w: %w", errUnreachable, err)
		}
		kept := c.used
		a, began, keep, err := p.exchange(ctx, c, r, id, gone, number > 0)
		if err != nil || !keep {
			c.Close()
			c = nil
		}
		h.put(c)
		if err != nil && kept && !began && !fresh && r.Idempotency != NotIdempotent && ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return a, err
	}
}

// exchange sends a request on c and reads its answer. It tells whether an
// answer began and whether c can carry another.
func (p *player) exchange(ctx context.Context, c *conn, r *Request, id string, gone time.Time, again bool) (a response, began, keep bool, err error) {
	c.used = true
	until, _ := ctx.Deadline()
	c.SetDeadline(until)
	var ended atomic.Bool
	stop := context.AfterFunc(ctx, func() {
		if !ended.Load() {
			c.SetDeadline(time.Unix(1, 0))
		}
	})
	defer func() {
		ended.Store(true)
		if !stop() {
			keep = false // the deadline may still be set on it
		}
	}()
	if _, err := c.Write(encodeRequest(c.address, r, id, time.Until(gone), p.MarkRetries && again)); err != nil {
		return a, false, false, fmt.Errorf("sending: %w", err)
	}
	if _, err := c.read.Peek(1); err != nil {
		return a, false, false, fmt.Errorf("waiting for an answer: %w", err)
	}
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return a, true, false, fmt.Errorf("reading the answer: %w", err)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return a, true, false, fmt.Errorf("reading the answer: %w", err)
	}
	if n > maxBodyBytes {
		return a, true, false, errors.New("the answer is too long")
	}
	a = response{status: resp.StatusCode, at: time.Now(), retryAfter: parseSeconds(resp.Header.Get("Retry-After"))}
	if p.ServiceTimeHeader != "" {
		a.serviceTime = parseSeconds(resp.Header.Get(p.ServiceTimeHeader))
	}
	return a, true, !resp.Close, nil
}

// seconds reads a time in seconds; 0 where there is none.
func parseSeconds(s string) time.Duration {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v > 0) || v > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(v * float64(time.Second))
}

// head is the request as it goes over the wire, body included.
func encodeRequest(host string, r *Request, id string, left time.Duration, marked bool) []byte {
	var b strings.Builder
	method := "POST"
	if r.Idempotency == Idempotent {
		method = "GET"
	}
	fmt.Fprintf(&b, "%s /api/%s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n",
		method, r.Subject, host, id, r.Class, max(left, time.Millisecond).Seconds())
	if r.Tenant != "" {
		fmt.Fprintf(&b, "X-Tenant: %s\r\n", r.Tenant)
	}
	if r.Idempotency == IdempotentByKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if marked {
		b.WriteString("X-Retry: 1\r\n")
	}
	for _, h := range r.Header {
		fmt.Fprintf(&b, "%s: %s\r\n", h[0], h[1])
	}
	if r.Idempotency == Idempotent {
		b.WriteString("\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(requestBody), requestBody)
	}
	return []byte(b.String())
}
