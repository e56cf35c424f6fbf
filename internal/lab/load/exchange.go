package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

const (
	maxBodyBytes = 64 << 10 // of a response; the protocol's limit
	requestBody  = "x=1&filler=0123456789abcdef0123456789abcdef0123456789"
)

// exchange is one request sent on one connection, and its response.
type exchange struct {
	conn     *conn
	request  *Request
	id       string
	deadline time.Time // the client's, sent as X-Deadline
	isRetry  bool

	// Set by roundTrip.
	responseBegan bool
	reusable      bool // the connection can carry another request
}

// response is a node's response to one try.
type response struct {
	status      int
	endedAt     time.Time // when its last byte was read
	retryAfter  time.Duration
	serviceTime time.Duration // as the server reports it; 0: unknown
}

// roundTrip sends the request and reads its response. It fails when ctx ends.
func (g *generator) roundTrip(ctx context.Context, e *exchange) (response, error) {
	c := e.conn
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
			e.reusable = false // AfterFunc's function has been started and may still change c's deadline
		}
	}()
	if _, err := c.Write(e.encode(g.MarkRetries && e.isRetry)); err != nil {
		return response{}, fmt.Errorf("sending the request: %w", err)
	}
	if _, err := c.reader.Peek(1); err != nil {
		return response{}, fmt.Errorf("waiting for the response: %w", err)
	}
	e.responseBegan = true
	resp, err := g.readResponse(e)
	if err != nil {
		return response{}, fmt.Errorf("reading the response: %w", err)
	}
	return resp, nil
}

func (g *generator) readResponse(e *exchange) (response, error) {
	resp, err := http.ReadResponse(e.conn.reader, nil)
	if err != nil {
		return response{}, err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxBodyBytes+1))
	if err != nil {
		return response{}, err
	}
	if n > maxBodyBytes {
		return response{}, fmt.Errorf("the body is over %d bytes", maxBodyBytes)
	}
	e.reusable = !resp.Close
	r := response{
		status:     resp.StatusCode,
		endedAt:    time.Now(),
		retryAfter: parseSeconds(resp.Header.Get("Retry-After")),
	}
	if g.ServiceTimeHeader != "" {
		r.serviceTime = parseSeconds(resp.Header.Get(g.ServiceTimeHeader))
	}
	return r, nil
}

// parseSeconds parses a time in seconds. It returns 0 for text that is not a
// positive number or is more than an hour.
func parseSeconds(s string) time.Duration {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v > 0) || v > time.Hour.Seconds() {
		return 0
	}
	return time.Duration(v * float64(time.Second))
}

// encode returns the request as it is sent, body included.
func (e *exchange) encode(markRetry bool) []byte {
	r := e.request
	method := http.MethodPost
	if r.Idempotency == Idempotent {
		method = http.MethodGet
	}
	left := max(time.Until(e.deadline), time.Millisecond)
	var b strings.Builder
	fmt.Fprintf(&b, "%s /api/%s HTTP/1.1\r\n", method, r.Subject)
	fmt.Fprintf(&b, "Host: %s\r\n", e.conn.address)
	fmt.Fprintf(&b, "X-Request-Id: %s\r\n", e.id)
	fmt.Fprintf(&b, "X-Class: %s\r\n", r.Class)
	fmt.Fprintf(&b, "X-Deadline: %.3f\r\n", left.Seconds())
	if r.Tenant != "" {
		fmt.Fprintf(&b, "X-Tenant: %s\r\n", r.Tenant)
	}
	if r.Idempotency == IdempotentByKey {
		fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", r.Key)
	}
	if markRetry {
		b.WriteString("X-Retry: 1\r\n")
	}
	for _, h := range r.Headers {
		fmt.Fprintf(&b, "%s: %s\r\n", h.Name, h.Value)
	}
	if r.Idempotency == Idempotent {
		b.WriteString("\r\n")
	} else {
		fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(requestBody), requestBody)
	}
	return []byte(b.String())
}
