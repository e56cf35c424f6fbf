package upstream

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"

	"bankshift/balancer"
	"bankshift/internal/memory"
)

// Size limits of a response, in bytes.
const (
	maxBodySize = 64 << 10
	maxHeadSize = 16 << 10 // total of the heads of the interim responses and the final one

	// maxFramedBodySize limits a body as it is sent, with its framing. In the worst
	// case each byte is a chunk of its own, which takes 6 bytes: "1", CRLF, the byte
	// and CRLF. maxHeadSize is added for trailers.
	maxFramedBodySize = 6*maxBodySize + maxHeadSize
)

// maxInterimResponses is how many 1xx responses may precede the final one.
const maxInterimResponses = 8

// Headers of a response.
const (
	headerLoadReport = "X-Load"
	headerNotRun     = "X-Not-Run" // the value notRun proves that the request has not run
	notRun           = "1"
)

// ResponseMemory is what a response takes of the budgets of a pool.
type ResponseMemory struct{ head, body memory.Reservation }

// Held reports whether the response holds memory for its body.
func (m *ResponseMemory) Held() bool { return m.body.Held() }

// Release returns the memory to its budgets. Further calls have no effect.
func (m *ResponseMemory) Release() {
	m.head.Release()
	m.body.Release()
}

// readResponse reads one response to its end, and reports whether c can carry another
// request. If it fails, the error is that of responseError, and the result holds
// nothing but its memory and the load report, if a valid one was read.
func (c *conn) readResponse(ctx context.Context, method string) (result Result, reusable bool, err error) {
	c.head = memory.HeadMeter{}
	defer func() { result.Memory.head, c.headMemory = c.headMemory, memory.Reservation{} }()
	c.readBudget.N = maxHeadSize
	resp, err := c.readHead(method)
	if err != nil {
		return Result{}, false, c.responseError(err)
	}
	result.Report = parseLoadReport(resp.Header.Get(headerLoadReport))
	c.readBudget.N += maxFramedBodySize + 1 // reading the extra byte shows that the response is too long
	body, reserved, err := c.readBody(ctx, resp)
	result.Memory.body = reserved
	if err != nil {
		return result, false, c.responseError(err)
	}
	result.Outcome = responseOutcome(resp)
	if result.Outcome == balancer.OK {
		result.Header = resp.Header
		result.Body = body
	}
	reusable = !resp.Close && c.reader.Buffered() == 0
	return result, reusable, nil
}

// responseError returns the error to report when reading a response has failed with
// err. If the connection ended, that is the error of the read. Otherwise the response
// is malformed or too long, and the error wraps ErrBadResponse and err.
func (c *conn) responseError(err error) error {
	if c.readErr != nil {
		return c.readErr
	}
	return fmt.Errorf("%w: %w", ErrBadResponse, err)
}

// readHead reads the head of the final response, skipping interim (1xx) responses.
func (c *conn) readHead(method string) (*http.Response, error) {
	for interim := 0; ; interim++ {
		resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
		if interim == maxInterimResponses || resp.StatusCode == http.StatusSwitchingProtocols {
			return nil, fmt.Errorf("unexpected response %q after %d interim responses", resp.Status, interim)
		}
	}
}

// readBody reads the body of a response, and returns what it has reserved for it. It
// does not close resp.Body, as Close would go on reading until the end of the body,
// which may never come.
func (c *conn) readBody(ctx context.Context, resp *http.Response) ([]byte, memory.Reservation, error) {
	if resp.ContentLength > maxBodySize {
		return nil, memory.Reservation{}, fmt.Errorf("Content-Length is %d, want at most %d", resp.ContentLength, maxBodySize)
	}
	var body []byte
	var reserved memory.Reservation
	var err error
	if resp.ContentLength >= 0 {
		body, reserved, err = c.readBodyOfLength(ctx, resp.Body, int(resp.ContentLength))
	} else {
		body, reserved, err = c.readBodyToEnd(ctx, resp.Body)
	}
	if err != nil {
		return nil, reserved, err
	}
	// If the response states no length, running out of readBudget looks like the end
	// of the body.
	if len(body) > maxBodySize || c.readBudget.N <= 0 {
		return nil, reserved, fmt.Errorf("response too long: want at most %d bytes of body, and %d with heads and framing",
			maxBodySize, maxHeadSize+maxFramedBodySize)
	}
	return body, reserved, nil
}

// readBodyOfLength reads a body whose length the response states.
func (c *conn) readBodyOfLength(ctx context.Context, r io.Reader, length int) ([]byte, memory.Reservation, error) {
	reserved, err := c.pool.config.Responses.Reserve(ctx, c.Conn, length, length-c.reader.Buffered())
	if err != nil {
		c.readErr = err
		return nil, reserved, err
	}
	body := make([]byte, length)
	_, err = io.ReadFull(r, body)
	return body, reserved, err
}

// readBodyToEnd reads a body whose length the response does not state, up to one byte
// more than a body may have.
func (c *conn) readBodyToEnd(ctx context.Context, r io.Reader) ([]byte, memory.Reservation, error) {
	start, err := io.ReadAll(io.LimitReader(r, memory.UnreservedBytes))
	if err != nil || len(start) < memory.UnreservedBytes {
		return start, memory.Reservation{}, err
	}
	reserved, err := c.pool.config.Responses.ReserveUnknown(ctx, maxBodySize)
	if err != nil {
		c.readErr = err
		return nil, reserved, err
	}
	const spare = 1 + bytes.MinRead // for the byte that is too many, and so that ReadFrom allocates nothing
	body := bytes.NewBuffer(make([]byte, 0, maxBodySize+spare))
	body.Write(start)
	_, err = body.ReadFrom(io.LimitReader(r, maxBodySize+1-int64(len(start))))
	return body.Bytes(), reserved, err
}

// responseOutcome returns the balancer's outcome for a complete response.
func responseOutcome(resp *http.Response) balancer.Outcome {
	switch resp.StatusCode {
	case http.StatusOK:
		return balancer.OK
	case http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		if resp.Header.Get(headerNotRun) == notRun {
			return balancer.Rejected
		}
	case http.StatusBadRequest, http.StatusNotFound:
		return balancer.BadRequest
	}
	return balancer.ServerError
}
