package upstream

import (
	"fmt"
	"io"
	"net/http"

	"bankshift/balancer"
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

// readResponse reads one response to its end, and reports whether c can carry another
// request. If it fails, the error is that of responseError, and the result holds
// nothing but the load report, if a valid one was read.
func (c *conn) readResponse(method string) (result Result, reusable bool, err error) {
	c.readBudget.N = maxHeadSize
	resp, err := c.readHead(method)
	if err != nil {
		return Result{}, false, c.responseError(err)
	}
	result.Report = parseLoadReport(resp.Header.Get(headerLoadReport))
	c.readBudget.N += maxFramedBodySize + 1 // reading the extra byte shows that the response is too long
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

// readBody reads the body of a response. It does not close resp.Body, as Close would
// go on reading until the end of the body, which may never come.
func (c *conn) readBody(resp *http.Response) ([]byte, error) {
	if resp.ContentLength > maxBodySize {
		return nil, fmt.Errorf("Content-Length is %d, want at most %d", resp.ContentLength, maxBodySize)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodySize+1))
	if err != nil {
		return nil, err
	}
	// If the response states no length, running out of readBudget looks like the end
	// of the body.
	if len(body) > maxBodySize || c.readBudget.N <= 0 {
		return nil, fmt.Errorf("response too long: want at most %d bytes of body, and %d with heads and framing",
			maxBodySize, maxHeadSize+maxFramedBodySize)
	}
	return body, nil
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
