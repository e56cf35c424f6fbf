// Package upstream sends requests to endpoints over pooled HTTP/1.1 connections.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bankshift/balancer"
	"bankshift/internal/loadreport"
	"bankshift/internal/sockets"
)

const (
	maxBody  = 64 << 10 // of an answer
	maxHead  = 16 << 10 // of an answer
	maxInfos = 8        // 1xx answers ahead of the real one

	// The framing of a body: at worst each byte is a chunk, "1", its line's end,
	// itself and an end. Behind them come trailers.
	maxFramed = 6*maxBody + maxHead

	leastTold = time.Millisecond // to a server as the time left, and the unit: with less nothing is sent
	IdlePart  = 0.75             // of the settings' idle time: the server must never be the first to close

	// A connection rests so long after an answer. What a server says or does
	// right behind it, noise, a second copy or a close, shows by then, and can
	// neither answer the next request nor break it. Second copies were seen up
	// to 5 ms late; a node has enough connections to let one rest for longer.
	RestTime = 25 * time.Millisecond
)

// Config states how a pool makes and keeps connections.
type Config struct {
	Dialer         net.Dialer    // its Timeout is how long an attempt waits for a connection; 0: as long as the attempt lasts
	MaxIdle        time.Duration // a connection that has been idle for so long is closed
	RestTime       time.Duration // a connection carries no request for so long after a response
	MaxConnections int           // idle, in use or being dialled
}

// ConfigFor returns the configuration that the settings ask for, with at most
// maxConnections connections.
func ConfigFor(s balancer.Settings, maxConnections int) Config {
	c := Config{
		Dialer:         net.Dialer{Timeout: s.ConnectTimeout, KeepAlive: -1},
		MaxIdle:        time.Duration(IdlePart * float64(s.IdleConnectionTimeout)),
		RestTime:       RestTime,
		MaxConnections: maxConnections,
	}
	if s.IdleConnectionTimeout <= 0 {
		c.MaxIdle = time.Minute
	}
	return c
}

// Pool keeps connections to endpoints and sends requests on them.
type Pool struct {
	dialer  net.Dialer
	maxIdle time.Duration
	rest    time.Duration

	mu       sync.Mutex
	open     int // connections, idle, in use or being dialled
	most     int
	upAt     time.Time // when a connection to any server has last come up
	backends map[balancer.EndpointID]*backend
}

// backend is one process of a server. A restart or a new address makes a new
// one, to which the old one's connections never return.
type backend struct {
	address string
	since   int64
	closed  bool
	leaving bool    // the list says that it wants nothing new
	idle    []*conn // the one used last comes last
	wants   []*want // attempts that wait for a connection, oldest first
	dials   int     // connections that are coming up
}

type conn struct {
	net.Conn
	of     *backend
	pool   *Pool
	budget io.LimitedReader // what one answer may take
	read   *bufio.Reader
	broken error // how reading ended, if the connection did
	idleAt time.Time
}

// Read notes how the connection ended, which tells a break from an answer
// that can't be read, or is longer than its budget.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.broken = err
	return n, err
}

// NewPool returns an empty pool. Run closes its idle connections in time.
func NewPool(c Config) *Pool {
	return &Pool{dialer: c.Dialer, maxIdle: c.MaxIdle, rest: c.RestTime, most: c.MaxConnections,
		backends: map[balancer.EndpointID]*backend{}}
}

// Set takes a server's address from the list. Connections to an earlier
// process of it are worthless and are closed.
func (p *Pool) Set(id balancer.EndpointID, address string, since int64, leaving bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		if b.address == address && b.since == since {
			b.leaving = leaving
			return
		}
		b.closed = true
		p.drop(b)
	}
	p.backends[id] = &backend{address: address, since: since, leaving: leaving}
}

// Remove closes the connections to an endpoint that is no longer listed.
func (p *Pool) Remove(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		b.closed = true
		p.drop(b)
		delete(p.backends, id)
	}
}

// CloseIdle closes the connections to a server that carry nothing.
func (p *Pool) CloseIdle(id balancer.EndpointID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if b := p.backends[id]; b != nil {
		p.drop(b)
	}
}

func (p *Pool) drop(b *backend) {
	for _, c := range b.idle {
		c.Conn.Close()
		p.open--
	}
	b.idle = nil
}

// expire closes the connections that have been idle too long.
func (p *Pool) expire(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, b := range p.backends {
		old := 0
		for old < len(b.idle) && now.Sub(b.idle[old].idleAt) >= p.maxIdle {
			b.idle[old].Conn.Close()
			old++
		}
		p.open -= old
		b.idle = append(b.idle[:0], b.idle[old:]...)
	}
}

// Run expires idle connections until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	for sockets.Sleep(ctx, max(p.maxIdle/8, 50*time.Millisecond)) {
		p.expire(time.Now())
	}
}

// get finds an idle connection or dials. An error proves that nothing was sent.
func (p *Pool) get(ctx context.Context, id balancer.EndpointID) (*conn, error) {
	b, c, err := p.take(id)
	if c != nil || err != nil {
		return c, err
	}
	return p.connect(ctx, b)
}

func newConn(raw net.Conn, p *Pool, of *backend) *conn {
	c := &conn{Conn: raw, of: of, pool: p}
	c.budget.R = c
	c.read = bufio.NewReader(&c.budget)
	return c
}

// take returns an idle connection, or the backend with leave to dial it.
func (p *Pool) take(id balancer.EndpointID) (*backend, *conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.backends[id]
	if b == nil {
		return nil, nil, errNotListed
	}
	now := time.Now()
	for i := len(b.idle) - 1; i >= 0; i-- {
		c := b.idle[i]
		if now.Sub(c.idleAt) < p.rest {
			continue
		}
		b.idle = slices.Delete(b.idle, i, i+1)
		// A connection that its server has closed, or on which it said
		// something unasked, would end as a reset that may have run. Nothing
		// has been sent on it, so another one can do.
		if now.Sub(c.idleAt) < p.maxIdle && sockets.Quiet(c.Conn) {
			return b, c, nil
		}
		c.Conn.Close()
		p.open--
	}
	if p.open >= p.most && !p.evict() {
		return nil, nil, errTooMany
	}
	p.open++
	return b, nil, nil
}

// evict closes the connection that has been idle longest.
func (p *Pool) evict() bool {
	var oldest *backend
	for _, b := range p.backends {
		if len(b.idle) > 0 && (oldest == nil || b.idle[0].idleAt.Before(oldest.idle[0].idleAt)) {
			oldest = b
		}
	}
	if oldest == nil {
		return false
	}
	oldest.idle[0].Conn.Close()
	oldest.idle = oldest.idle[1:]
	p.open--
	return true
}

// discard closes a connection that is not known to be at an answer's end.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.mu.Lock()
	c.pool.open--
	c.pool.mu.Unlock()
}

// release puts a connection back that has been read cleanly to its end.
func (c *conn) release() {
	c.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.keep(c)
}

// keep makes a connection one of the idle ones, if its server still wants
// requests. The caller holds p.mu.
func (p *Pool) keep(c *conn) {
	if c.of.closed || c.of.leaving {
		c.Conn.Close()
		p.open--
		return
	}
	c.idleAt = time.Now()
	c.of.idle = append(c.of.idle, c)
}

// Request is what goes to an endpoint for a client's request. Its attempts
// share it, so it is not changed once the first has begun.
type Request struct {
	Method     string
	URL        *url.URL
	Host       string
	Header     http.Header // end-to-end headers only
	Body       []byte
	ClientLeft func() bool // reports whether the client has left; nil: it is not known

	mayBeSent atomic.Bool
}

// MayBeSent reports whether an attempt may have begun to write the request.
func (r *Request) MayBeSent() bool { return r.mayBeSent.Load() }

// message is a request as it is written to a server, but for the time that it
// tells: that is known only when it is sent.
type message struct {
	start, rest []byte // rest begins with the blank line that ends the head
}

// encode writes the request out.
func (o *Request) encode() (message, error) {
	r := &http.Request{Method: o.Method, URL: o.URL, Host: o.Host, Header: o.Header.Clone(),
		Body: http.NoBody, ContentLength: int64(len(o.Body))}
	if len(o.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(o.Body))
	}
	r.Header.Del("X-Deadline")
	if _, ok := r.Header["User-Agent"]; !ok {
		r.Header["User-Agent"] = nil // none was sent, none is made up
	}
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		return message{}, err
	}
	end := bytes.Index(b.Bytes(), []byte("\r\n\r\n")) + len("\r\n")
	return message{start: b.Bytes()[:end], rest: b.Bytes()[end:]}, nil
}

// telling gives the whole request, so that one write sends it and its result
// tells whether the last byte left. The time told is never more than left.
func (m message) telling(left time.Duration) []byte {
	msg := make([]byte, 0, len(m.start)+len(m.rest)+len("X-Deadline: 3600.000\r\n"))
	msg = append(append(msg, m.start...), "X-Deadline: "...)
	msg = strconv.AppendFloat(msg, left.Truncate(leastTold).Seconds(), 'f', 3, 64)
	return append(append(msg, "\r\n"...), m.rest...)
}

// Result is how an attempt ended.
type Result struct {
	Outcome balancer.Outcome
	SentAt  time.Time // when the last byte of the request was written; zero if it was not
	Report  *balancer.LoadReport
	Header  http.Header // of the response; only with OK
	Body    []byte      // of the response; only with OK
}

// wanted tells whether a connection's server still wants requests. It may have
// been announced as leaving, or replaced, while the connection came up.
func (c *conn) wanted() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return !c.of.closed && !c.of.leaving
}

// Attempt sends a request once and waits for its answer until ctx ends. When
// it returns, its connection is closed or back in the pool, so that a further
// attempt cannot overlap it. Once open has ended nothing is sent any more:
// calling off what has not begun is no cancel of a server's work, so it needs
// no leave of the settings.
func (p *Pool) Attempt(ctx, open context.Context, id balancer.EndpointID, o *Request) Result {
	end, ok := ctx.Deadline()
	if !ok {
		return Result{Outcome: balancer.NotSent} // an attempt without an end could hang for ever
	}
	m, err := o.encode()
	if err != nil {
		return Result{Outcome: balancer.NotSent}
	}
	dialling, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(open, cancel)()
	c, err := p.get(dialling, id)
	if err != nil {
		return Result{Outcome: unsent(dialling, err)}
	}
	o.mayBeSent.Store(true) // before the look at open, or a refusal could cross a first byte
	// The last gate: dialling may have taken a while, also of the time to tell,
	// and this process may have been held up.
	left := time.Until(end)
	if open.Err() != nil || ctx.Err() != nil || left < leastTold || !c.wanted() || o.ClientLeft != nil && o.ClientLeft() {
		c.release()
		return Result{Outcome: balancer.NotSent}
	}
	stop := context.AfterFunc(ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	msg := m.telling(left)
	if sent, err := c.Write(msg); err != nil {
		c.discard()
		if sent < len(msg) {
			return Result{Outcome: unsent(ctx, err)}
		}
		return Result{Outcome: ending(ctx, err)} // a last byte that left with an error may have come
	}
	sent := time.Now()
	c.budget.N = maxHead
	res, clean, err := c.receive(o.Method)
	res.SentAt = sent
	if err != nil {
		c.discard()
		return Result{Outcome: ending(ctx, c.broken), SentAt: sent, Report: res.Report}
	}
	// Once the watch on ctx cannot be stopped it may yet spoil the deadline of
	// whoever has the connection next.
	if clean && stop() {
		c.release()
	} else {
		c.discard()
	}
	return res
}

var (
	errNotListed = errors.New("the server is not listed")
	errTooMany   = errors.New("too many connections")
	errCutOff    = errors.New("no server can be reached from here")
)

// unsent is the outcome of an attempt whose last byte was not written. It has
// never run; but the server is to blame only where neither the request's own
// end nor a want on this side kept it from being sent.
func unsent(ctx context.Context, err error) balancer.Outcome {
	if ctx.Err() != nil || errors.Is(err, errNotListed) || errors.Is(err, errTooMany) || errors.Is(err, errCutOff) || sockets.LocalFailure(err) {
		return balancer.NotSent
	}
	return balancer.ConnectFailed
}

// ending is the outcome of an attempt whose answer did not come: its last byte
// was written, so it may have run. broken is how the connection ended, if it did.
func ending(ctx context.Context, broken error) balancer.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return balancer.Canceled
	case ctx.Err() != nil, errors.Is(broken, os.ErrDeadlineExceeded):
		return balancer.TimedOut
	case broken != nil:
		return balancer.Reset
	}
	return balancer.ServerError // it can't be read
}

// receive reads one answer to its end; clean tells that the connection can
// carry another request.
func (c *conn) receive(method string) (res Result, clean bool, err error) {
	var resp *http.Response
	for i := 0; ; i++ {
		resp, err = http.ReadResponse(c.read, &http.Request{Method: method})
		if err != nil {
			return res, false, err
		}
		if resp.StatusCode >= 200 {
			break
		}
		if i == maxInfos || resp.StatusCode == http.StatusSwitchingProtocols {
			return res, false, fmt.Errorf("unexpected answer %s", resp.Status)
		}
	}
	c.budget.N += maxFramed + 1 // the last byte is one too many
	// The body is never closed: that would read it to an end that may not come.
	res.Report = parseLoad(resp.Header.Get("X-Load"))
	if resp.ContentLength > maxBody {
		return res, false, fmt.Errorf("an answer of %d bytes is announced", resp.ContentLength)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBody+1))
	if err != nil {
		return res, false, err
	}
	// The budget's end reads like that of an answer with no length.
	if len(body) > maxBody || c.budget.N <= 0 {
		return res, false, errors.New("the answer is too long")
	}
	switch {
	case resp.StatusCode == http.StatusOK:
		res.Outcome, res.Header, res.Body = balancer.OK, resp.Header, body
	case (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("X-Not-Run") == "1":
		res.Outcome = balancer.Rejected
	case resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotFound:
		res.Outcome = balancer.BadRequest
	default:
		res.Outcome = balancer.ServerError
	}
	return res, !resp.Close && c.read.Buffered() == 0, nil
}

// parseLoad reads a load report. One that is malformed in any part is ignored
// as a whole: half a report says less than the count it would replace.
func parseLoad(s string) *balancer.LoadReport {
	if s == "" {
		return nil
	}
	var r balancer.LoadReport
	known := false
	for part := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil
		}
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(v) || math.IsInf(v, 0) || v < 0 {
			return nil
		}
		known = loadreport.SetField(&r, name, v) || known
	}
	if !known {
		return nil
	}
	return &r
}
