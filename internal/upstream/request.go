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
	headerDeadline = "X-Deadline" // seconds that are left to an attempt

	// minDeadline is the unit of a deadline on the wire. With less time left a
	// request is not sent.
	minDeadline      = time.Millisecond
	deadlineDecimals = 3 // of the seconds, as minDeadline asks

	lineEnd = "\r\n"
)

// Request is what goes to an endpoint for a client's request. Its attempts
// share it, so it must not be changed once the first has begun.
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

// encodedRequest is a request as it is written to an endpoint, without the line
// of the deadline, which is known only when the request is sent.
type encodedRequest struct {
	head []byte // ends with the line end of the last header
	rest []byte // begins with the empty line that ends the head
}

// encode writes the request out.
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
		out.Header["User-Agent"] = nil // or net/http would add its own
	}
	var encoded bytes.Buffer
	if err := out.Write(&encoded); err != nil {
		return encodedRequest{}, err
	}
	headEnd := bytes.Index(encoded.Bytes(), []byte(lineEnd+lineEnd)) + len(lineEnd)
	return encodedRequest{head: encoded.Bytes()[:headEnd], rest: encoded.Bytes()[headEnd:]}, nil
}

// withDeadline returns the whole request, so that a single write sends it and
// its result shows whether the last byte was sent. The deadline on the wire is
// never more than timeLeft.
func (e encodedRequest) withDeadline(timeLeft time.Duration) []byte {
	const longestLine = headerDeadline + ": 3600.000" + lineEnd
	message := make([]byte, 0, len(e.head)+len(longestLine)+len(e.rest))
	message = append(message, e.head...)
	message = append(message, headerDeadline+": "...)
	message = strconv.AppendFloat(message, timeLeft.Truncate(minDeadline).Seconds(), 'f', deadlineDecimals, 64)
	message = append(message, lineEnd...)
	return append(message, e.rest...)
}
