package upstream

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"bankshift/internal/memory"
)

const (
	headerDeadline = "X-Deadline" // time left to the attempt, in seconds

	// minDeadline is the resolution of the X-Deadline header. A request is not sent
	// with less time left.
	minDeadline      = time.Millisecond
	deadlineDecimals = 3 // of the seconds in X-Deadline, for the resolution of minDeadline

	lineEnd = "\r\n"
)

// Request is a client's request in the form in which it is sent to endpoints. All its
// attempts share it, and so the memory of its head and body.
type Request struct {
	Method             string
	Body               []byte
	ClientDisconnected func() bool // reports whether the client has disconnected or may have, unseen; nil if that is not known; set before the first attempt

	// head is the encoded head without the X-Deadline header, whose value is known only
	// when the request is sent, and without the empty line at its end.
	head      []byte
	mayBeSent atomic.Bool
}

// NewRequest returns a request. The header holds end-to-end headers only; NewRequest may
// change it. The body must not be changed any more.
func NewRequest(method string, url *url.URL, host string, header http.Header, body []byte) (*Request, error) {
	head, err := encodeHead(method, url, host, header, len(body))
	if err != nil {
		return nil, fmt.Errorf("encode request: %w", err)
	}
	return &Request{Method: method, Body: body, head: head}, nil
}

// MayBeSent reports whether an attempt may have begun to write the request.
func (r *Request) MayBeSent() bool { return r.mayBeSent.Load() }

// errHeadOnly ends the encoding of a request before its body.
var errHeadOnly = errors.New("only the head is encoded")

// unreadableBody is a body that cannot be read. net/http reads it after the whole head
// has been written.
type unreadableBody struct{ headWritten bool }

func (b *unreadableBody) Read([]byte) (int, error) {
	b.headWritten = true
	return 0, errHeadOnly
}

func (b *unreadableBody) Close() error { return nil }

// encodeHead returns the head of a request; see Request.head. It does not encode the
// body, which need not be copied.
func encodeHead(method string, url *url.URL, host string, header http.Header, bodyLength int) ([]byte, error) {
	out := &http.Request{
		Method:        method,
		URL:           url,
		Host:          host,
		Header:        header,
		Body:          http.NoBody,
		ContentLength: int64(bodyLength),
	}
	body := &unreadableBody{}
	if bodyLength > 0 {
		out.Body = body
	}
	out.Header.Del(headerDeadline)
	if _, ok := header["User-Agent"]; !ok {
		out.Header["User-Agent"] = nil // otherwise net/http adds its own
	}
	var head bytes.Buffer
	if err := out.Write(&head); err != nil && !body.headWritten {
		return nil, err
	}
	return bytes.Clone(bytes.TrimSuffix(head.Bytes(), []byte(lineEnd))), nil
}

// withDeadline returns the whole request with its X-Deadline header, as one buffer or
// as two if the body is long. A single call can then send it, and its result shows
// whether the last byte was sent. timeLeft is rounded down, so that the header never
// states more than it.
func (r *Request) withDeadline(timeLeft time.Duration) net.Buffers {
	const longestLine = headerDeadline + ": 3600.000" + lineEnd + lineEnd
	joined := r.Body
	if len(joined) > memory.UnreservedBytes {
		joined = nil
	}
	message := make([]byte, 0, len(r.head)+len(longestLine)+len(joined))
	message = append(message, r.head...)
	message = append(message, headerDeadline+": "...)
	message = strconv.AppendFloat(message, timeLeft.Truncate(minDeadline).Seconds(), 'f', deadlineDecimals, 64)
	message = append(message, lineEnd+lineEnd...)
	message = append(message, joined...)
	if len(joined) == len(r.Body) {
		return net.Buffers{message}
	}
	return net.Buffers{message, r.Body}
}

// size returns the number of bytes in all buffers.
func size(message net.Buffers) int {
	total := 0
	for _, part := range message {
		total += len(part)
	}
	return total
}
