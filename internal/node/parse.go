package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"bankshift/balancer"
	"bankshift/internal/memory"
	"bankshift/internal/upstream"
)

// Limits of a client's request.
const (
	maxHeadBytes     = 16 << 10
	maxBodyBytes     = 64 << 10
	maxIDLength      = 128 // bytes
	maxClientTimeout = time.Hour
	maxWorkHint      = 1e12 // µs
)

// requestError is why a client's request is rejected, with the status to
// answer.
type requestError struct {
	status int // of the response
	err    error
}

func (e *requestError) Error() string { return e.err.Error() }
func (e *requestError) Unwrap() error { return e.err }

// rejectionf returns a requestError with a formatted message.
func rejectionf(status int, format string, args ...any) *requestError {
	return &requestError{status: status, err: fmt.Errorf(format, args...)}
}

// parseRequest reads a client's request to the end of its body and checks it. The
// error is a *requestError.
func (f *frontend) parseRequest(r *http.Request) (*request, error) {
	// Taken first: the client's timeout runs while the body is received, and while
	// the request waits behind another one on its connection.
	receivedAt := requestReceivedAt(r)
	arrival, timeout, err := f.parseHead(r)
	if err != nil {
		return nil, err
	}
	deadline := receivedAt.Add(timeout - ResponseMargin)
	body, reserved, err := f.readBody(r, deadline)
	if err != nil {
		return nil, err
	}
	upstreamRequest, err := upstream.NewRequest(r.Method, originURL(r.URL), r.Host, endToEndHeaders(r.Header), body)
	if err != nil {
		reserved.Release()
		return nil, rejectionf(http.StatusBadRequest, "%w", err)
	}
	return &request{
		arrival:    arrival,
		receivedAt: receivedAt,
		deadline:   deadline,
		memory:     reserved,
		response:   make(chan response, 1),
		upstream:   upstreamRequest,
	}, nil
}

// requestReceivedAt returns the arrival time of the bytes from which the request's
// head was read.
func requestReceivedAt(r *http.Request) time.Time {
	if c, ok := clientConnOf(r.Context()); ok {
		return c.lastReceivedAt()
	}
	return time.Now()
}

// parseHead checks a request's head. It returns what the balancer needs to know
// about the request, and how long its client waits.
func (f *frontend) parseHead(r *http.Request) (arrival balancer.RequestArrived, timeout time.Duration, err error) {
	if err := checkFraming(r); err != nil {
		return arrival, 0, err
	}
	arrival.ID, err = parseRequestID(r.Header)
	if err != nil {
		return arrival, 0, err
	}
	arrival.Class = r.Header.Get(headerClass)
	if err := f.checkClass(arrival.Class, r); err != nil {
		return arrival, 0, err
	}
	timeout, err = parseTimeout(r.Header.Get(headerDeadline))
	if err != nil {
		return arrival, 0, rejectionf(http.StatusBadRequest, headerDeadline+": %w", err)
	}
	timeout = min(timeout, f.maxTimeout)
	arrival.Tenant = r.Header.Get(headerTenant)
	arrival.IsRetry = r.Header.Get(headerRetry) == retryValue
	arrival.WorkHint, arrival.HasWorkHint = parseWorkHint(r.Header.Get(headerWorkHint))
	arrival.Key = r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	return arrival, timeout, nil
}

// checkFraming rejects requests for which two HTTP parsers could disagree about
// where the request ends: such a request could hide another one in its body,
// which the next parser would run. Clients use Content-Length alone. net/http
// drops Content-Length if there is a transfer coding as well, and drops the
// transfer coding in HTTP/1.0, so these requests cannot be told from valid
// ones. Every request with a transfer coding or in HTTP/1.0 is therefore
// rejected.
func checkFraming(r *http.Request) error {
	switch {
	case !r.ProtoAtLeast(1, 1):
		return rejectionf(http.StatusHTTPVersionNotSupported, "want HTTP/1.1")
	case len(r.TransferEncoding) > 0:
		return rejectionf(http.StatusLengthRequired, "want Content-Length and no transfer coding")
	case r.Method == http.MethodGet && r.ContentLength != 0:
		return rejectionf(http.StatusBadRequest, "a GET with a body")
	}
	return nil
}

func parseRequestID(header http.Header) (balancer.RequestID, error) {
	id := header.Get(headerRequestID)
	if id == "" || len(id) > maxIDLength || len(header.Values(headerRequestID)) > 1 {
		return "", rejectionf(http.StatusBadRequest, "want one %s of at most %d bytes", headerRequestID, maxIDLength)
	}
	return balancer.RequestID(id), nil
}

// checkClass checks that a request's method and idempotency key agree with its
// class. The method tells an endpoint what repeating the request does, so it
// must match what the balancer assumes.
func (f *frontend) checkClass(class string, r *http.Request) error {
	idempotency, known := f.idempotency[class]
	if !known {
		return rejectionf(http.StatusBadRequest, "unknown %s %q", headerClass, class)
	}
	method := http.MethodPost
	if idempotency == balancer.Idempotent {
		method = http.MethodGet
	}
	if r.Method != method {
		return rejectionf(http.StatusMethodNotAllowed, "class %s wants %s", class, method)
	}
	keys := r.Header.Values(headerIdempotencyKey)
	missing := idempotency == balancer.IdempotentByKey && (len(keys) != 1 || keys[0] == "")
	unexpected := idempotency == balancer.NotIdempotent && len(keys) > 0
	if missing || unexpected {
		return rejectionf(http.StatusBadRequest, "class %s and %s do not agree", class, headerIdempotencyKey)
	}
	return nil
}

// parseTimeout parses a time in seconds and caps it at maxClientTimeout.
func parseTimeout(s string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return 0, err
	}
	positive := seconds > 0 // false for NaN
	if !positive || math.IsInf(seconds, 0) {
		return 0, fmt.Errorf("%v is no time to wait", seconds)
	}
	return time.Duration(math.Min(seconds, maxClientTimeout.Seconds()) * float64(time.Second)), nil
}

// parseWorkHint parses a client's estimate of the work, in µs. It returns false
// for a hint that cannot be used, which is ignored.
func parseWorkHint(s string) (hint time.Duration, ok bool) {
	microseconds, err := strconv.ParseFloat(s, 64)
	valid := err == nil && microseconds >= 0 && microseconds < maxWorkHint
	if !valid {
		return 0, false
	}
	return time.Duration(microseconds * float64(time.Microsecond)), true
}

// readBody reads a request's body to its end, and returns what it has reserved for the
// request. The error is a *requestError. If the node is short of memory, readBody waits
// until the request's deadline at most.
func (f *frontend) readBody(r *http.Request, deadline time.Time) ([]byte, memory.Reservation, error) {
	if r.ContentLength > maxBodyBytes {
		return nil, memory.Reservation{}, rejectionf(http.StatusRequestEntityTooLarge, "the body is over %d bytes", maxBodyBytes)
	}
	reserved, err := f.reserveRequest(r, deadline)
	if errors.Is(err, context.DeadlineExceeded) {
		return nil, reserved, rejectionf(http.StatusServiceUnavailable, "%w", err)
	}
	if err != nil {
		return nil, reserved, rejectionf(http.StatusBadRequest, "reading the body: %w", err)
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		reserved.Release()
		return nil, reserved, rejectionf(http.StatusBadRequest, "reading the body: %w", err)
	}
	return body, reserved, nil
}

// reserveRequest reserves memory for a request whose body has not been read. It waits
// until the request's deadline at most, and for no longer than a request may take to
// arrive.
func (f *frontend) reserveRequest(r *http.Request, deadline time.Time) (memory.Reservation, error) {
	c, ok := clientConnOf(r.Context())
	if !ok {
		return memory.Reservation{}, nil
	}
	bodyLength := int(r.ContentLength)
	size := c.headSize() + bodyLength
	if size <= memory.UnreservedBytes {
		return memory.Reservation{}, nil
	}
	if r.Header.Get("Expect") != "" {
		r.Body.Read(nil) // makes net/http ask the client for the body, which it may hold back until then
	}
	unread := 0
	if bodyLength > 0 {
		var readDeadline time.Time
		unread, readDeadline = c.beforeBody(bodyLength)
		if readDeadline.Before(deadline) {
			deadline = readDeadline
		}
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	defer cancel()
	return f.requestMemory.Reserve(ctx, c.Conn, size, unread)
}

// originURL returns the path and query of a request's URL, without scheme and
// host.
func originURL(u *url.URL) *url.URL {
	return &url.URL{Path: u.Path, RawPath: u.RawPath, RawQuery: u.RawQuery, ForceQuery: u.ForceQuery}
}
