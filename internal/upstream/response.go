package upstream

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"bankshift/balancer"
)

// Limits of a response, in bytes.
const (
	maxBodySize = 64 << 10
	maxHeadSize = 16 << 10 // of all heads: of the interim responses and of the final one

	// maxFramedBodySize bounds a body as it is sent. At worst each byte is a
	// chunk of its own: "1", a line end, the byte and a line end. Trailers follow.
	maxFramedBodySize = 6*maxBodySize + maxHeadSize
)

// maxInterimResponses is how many 1xx responses may precede the final one.
const maxInterimResponses = 8

// Headers of a response.
const (
	headerLoadReport = "X-Load"
	headerNotRun     = "X-Not-Run" // notRun proves that the request has not run
	notRun           = "1"
)

// readResponse reads one response to its end. reusable means that c can carry
// another request. If the response cannot be read, the result holds the load
// report at most, and the error is as responseError states.
func (c *conn) readResponse(method string) (result Result, reusable bool, err error) {
	c.readBudget.N = maxHeadSize
	resp, err := c.readHead(method)
	if err != nil {
		return Result{}, false, c.responseError(err)
	}
	result.Report = parseLoadReport(resp.Header.Get(headerLoadReport))
	c.readBudget.N += maxFramedBodySize + 1 // the last byte is one too many
	body, err := c.readBody(resp)
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

// responseError returns the error with which the connection ended while a
// response was read. If it has not ended, the response cannot be used, and the
// error wraps ErrBadResponse and err.
func (c *conn) responseError(err error) error {
	if c.readErr != nil {
		return c.readErr
	}
	return fmt.Errorf("%w: %w", ErrBadResponse, err)
}

// readHead reads the head of the final response and skips interim ones.
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
			return nil, fmt.Errorf("unexpected response %s", resp.Status)
		}
	}
}

// readBody reads the body of a response. It does not close it: that would read
// on to an end that may never come.
func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBodySize {
		return nil, fmt.Errorf("body of %d bytes, want at most %d", resp.ContentLength, maxBodySize)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize+1))
	if err != nil {
		return nil, err
	}
	// Without a length, the end of the budget looks like the end of the body.
	if len(body) > maxBodySize || c.readBudget.N <= 0 {
		return nil, errors.New("response too long")
	}
	return body, nil
}

// responseOutcome returns what a complete response means to the balancer.
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
