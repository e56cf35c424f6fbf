package upstream

import (
	"bytes"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
)

const (
	headerDeadline = "X-Deadline" // time left to the attempt, in seconds

	// minDeadline is the resolution of the X-Deadline header. A request is not sent
	// with less time left.
	minDeadline      = time.Millisecond
	deadlineDecimals = 3 // of the seconds in X-Deadline, for the resolution of minDeadline

	lineEnd = "\r\n"
)

// Request is a client's request in the form in which it is sent to endpoints. All
// its attempts share it, so it must not be changed once the first has begun.
type Request struct {
	Method             string
	URL                *url.URL
	Host               string
	Header             http.Header // end-to-end headers only
	Body               []byte
	ClientDisconnected func() bool // reports whether the client has disconnected; nil if that is not known

	mayBeSent atomic.Bool
}

// MayBeSent reports whether an attempt may have begun to write the request.
func (r *Request) MayBeSent() bool { return r.mayBeSent.Load() }

// encodedRequest is a request as it is written to an endpoint, without the X-Deadline
// header, whose value is known only when the request is sent.
type encodedRequest struct {
	head []byte // ends with the line end of the last header
	rest []byte // begins with the empty line that ends the head; the body follows
}

// encode serializes the request without its X-Deadline header.
func (r *Request) encode() (encodedRequest, error) {
	out := &http.Request{
		Method:        r.Method,
		URL:           r.URL,
		Host:          r.Host,
		Header:        r.Header.Clone(),
		Body:          http.NoBody,
		ContentLength: int64(len(r.Body)),
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	out.Header.Del(headerDeadline)
	if _, ok := r.Header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
	var encoded bytes.Buffer
	if err := out.Write(&encoded); err != nil {
		return encodedRequest{}, err
	}
	headEnd := bytes.Index(encoded.Bytes(), []byte(lineEnd+lineEnd)) + len(lineEnd)
	return encodedRequest{head: encoded.Bytes()[:headEnd], rest: encoded.Bytes()[headEnd:]}, nil
}

// withDeadline returns the whole request with its X-Deadline header. A single write
// can then send it, and the result of that write shows whether the last byte was
// sent. timeLeft is rounded down, so that the header never states more than it.
func (e encodedRequest) withDeadline(timeLeft time.Duration) []byte {
	const longestLine = headerDeadline + ": 3600.000" + lineEnd
	message := make([]byte, 0, len(e.head)+len(longestLine)+len(e.rest))
	message = append(message, e.head...)
	message = append(message, headerDeadline+": "...)
	message = strconv.AppendFloat(message, timeLeft.Truncate(minDeadline).Seconds(), 'f', deadlineDecimals, 64)
	message = append(message, lineEnd...)
	return append(message, e.rest...)
}
