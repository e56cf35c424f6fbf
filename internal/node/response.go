package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"bankshift/internal/upstream"
)

const (
	responseWriteTimeout = 5 * time.Second        // for writing a whole response
	rejectionTimeout     = 200 * time.Millisecond // for reading the rest of a rejected request, or writing a rejection
)

// bareRejection rejects a request whose connection net/http does not serve any more.
const bareRejection = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// response is the final response to a client. With a status other than 200 the
// client receives the status's text as the body.
type response struct {
	status     int
	retryAfter time.Duration // sent as Retry-After; 0: the header is not sent
	header     http.Header
	body       []byte
	memory     upstream.ResponseMemory // of header and body; released when the response is written or dropped
}

// writeResponse writes the response to a client. Write errors are ignored: they
// mean that the client has disconnected.
func writeResponse(w http.ResponseWriter, resp response) {
	http.NewResponseController(w).SetWriteDeadline(time.Now().Add(responseWriteTimeout))
	header := w.Header()
	for name, values := range endToEndHeaders(resp.header) {
		header[name] = values
	}
	if resp.status != http.StatusOK {
		resp.body = []byte(http.StatusText(resp.status) + "\n")
		header.Set("Content-Type", "text/plain; charset=utf-8")
	}
	if resp.retryAfter > 0 {
		header.Set(headerRetryAfter, strconv.FormatFloat(resp.retryAfter.Seconds(), 'f', 3, 64))
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	w.WriteHeader(resp.status)
	w.Write(resp.body)
}

// limitWrite limits the write of a response that holds memory. Once others wait for
// memory, a client that has not read the response within stallThreshold loses it: the
// write fails, and the connection ends in the middle of the response. The caller calls
// stop when the response is written, before the connection carries another one.
func (f *frontend) limitWrite(ctx context.Context, resp response) (stop func()) {
	c, ok := clientConnOf(ctx)
	if !ok || !resp.memory.Held() {
		return func() {}
	}
	written, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(stallThreshold)
		defer ticker.Stop()
		for {
			select {
			case <-written:
				return
			case <-ticker.C:
			}
			if f.node.responseMemory.Short() {
				c.Conn.SetWriteDeadline(pastDeadline)
			}
		}
	}()
	return func() {
		close(written)
		<-ended
	}
}

// reject answers a request that cannot be parsed and closes its connection. The
// bytes that follow may be part of this request's body from the client's point of
// view, so none of them may be parsed as a request. The response does not wait for
// the body. What is left of the body is read and dropped afterwards, up to the longest
// that a body may have: the kernel resets a connection that is closed with unread bytes,
// and the client might not receive the response.
func reject(w http.ResponseWriter, r *http.Request, err error) {
	w.Header().Set("Connection", "close")
	c, ok := clientConnOf(r.Context())
	if ok {
		if c.wasExpiredForSlot() {
			closeAfterResponse(w)
			return
		}
		c.setRequestDeadline(time.Now().Add(rejectionTimeout))
	}
	status := http.StatusBadRequest
	var reason *requestError
	if errors.As(err, &reason) {
		status = reason.status
	}
	message := err.Error() + "\n"
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", strconv.Itoa(len(message)))
	w.WriteHeader(status)
	io.WriteString(w, message)
	http.NewResponseController(w).Flush()
	if ok {
		c.limiter.noteLingering(c)
	}
	// After a body that is too long, net/http closes the connection with a delay.
	io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes))
}

// closeAfterResponse rejects an incomplete request and closes its connection at
// once, because other connections wait for its slot. net/http would keep the
// connection open for a while after the response.
func closeAfterResponse(w http.ResponseWriter) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return // the connection is already closed
	}
	defer c.Close()
	c.SetWriteDeadline(time.Now().Add(rejectionTimeout))
	io.WriteString(c, bareRejection)
}

// hopByHopHeaders concern a single connection, or the node alone, and are not
// forwarded.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Expect", "Content-Length", headerLoadReport, headerNotRun,
}

// protectedHeaders are forwarded even if the Connection header names them: without
// them an endpoint could not recognize a repeated request.
var protectedHeaders = []string{headerRequestID, headerIdempotencyKey}

// endToEndHeaders returns a copy of the headers that are forwarded.
func endToEndHeaders(header http.Header) http.Header {
	out := header.Clone()
	for _, line := range header.Values("Connection") {
		for name := range strings.SplitSeq(line, ",") {
			name = http.CanonicalHeaderKey(strings.TrimSpace(name))
			if !slices.Contains(protectedHeaders, name) {
				out.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
