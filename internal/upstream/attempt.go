package upstream

import (
	"context"
	"net/http"
	"time"

	"bankshift/balancer"
)

// Result is how an attempt ended.
type Result struct {
	Outcome balancer.Outcome
	SentAt  time.Time            // when the last byte of the request was written; zero if it was not
	Report  *balancer.LoadReport // of the response; nil: it had none that is valid
	Header  http.Header          // of the response; only with balancer.OK
	Body    []byte               // of the response; only with balancer.OK
	Err     error                // an *AttemptError if there was no valid response, else nil
}

// Attempt sends r to an endpoint once and waits for the response until ctx
// ends. ctx must have a deadline; the time left until then goes along as the
// deadline header.
//
// Once startCtx has ended, a request of which nothing has been written is not
// sent any more. That cancels no work of the endpoint, so a caller may end
// startCtx even if the settings do not allow attempts to be canceled.
//
// When Attempt returns, its connection is closed or back in the pool, so that a
// further attempt cannot overlap it.
func (p *Pool) Attempt(ctx, startCtx context.Context, id balancer.EndpointID, r *Request) Result {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return notSent(id, errNoDeadline) // the attempt could hang forever
	}
	encoded, err := r.encode()
	if err != nil {
		return notSent(id, err)
	}

	dialCtx, cancelDial := context.WithCancel(ctx)
	defer cancelDial()
	stopWatch := context.AfterFunc(startCtx, cancelDial)
	defer stopWatch()
	c, err := p.get(dialCtx, id)
	if err != nil {
		return failedUnsent(dialCtx, id, StepDial, err)
	}

	// This comes ahead of the check of startCtx, or a request could be sent after
	// its client was answered that it was not.
	r.mayBeSent.Store(true)
	timeLeft := time.Until(deadline)
	// The dial may have taken a while, and this process may have been held up.
	if !c.mayStart(ctx, startCtx, timeLeft, r) {
		c.release()
		return notSent(id, ErrCalledOff)
	}
	return c.exchange(ctx, r.Method, encoded.withDeadline(timeLeft))
}

// mayStart is the last check before the first byte of r is written.
func (c *conn) mayStart(ctx, startCtx context.Context, timeLeft time.Duration, r *Request) bool {
	switch {
	case startCtx.Err() != nil, ctx.Err() != nil:
		return false
	case timeLeft < minDeadline:
		return false
	case !c.acceptsRequests():
		return false
	case r.ClientLeft != nil && r.ClientLeft():
		return false
	}
	return true
}

// exchange writes a request and reads its response. It puts c back into the
// pool if c can carry another request, or else closes it.
func (c *conn) exchange(ctx context.Context, method string, request []byte) Result {
	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	defer stopInterrupt()
	id := c.backend.endpoint

	written, err := c.Write(request)
	if err != nil {
		c.discard()
		if written < len(request) {
			return failedUnsent(ctx, id, StepWrite, err)
		}
		return failedSent(ctx, id, StepWrite, err) // the last byte may have arrived
	}
	sentAt := time.Now()

	result, reusable, err := c.readResponse(method)
	if err != nil {
		c.discard()
		failed := failedSent(ctx, id, StepRead, err)
		failed.SentAt = sentAt
		failed.Report = result.Report
		return failed
	}
	result.SentAt = sentAt
	// An interrupt that cannot be stopped any more could hit the next exchange.
	if reusable && stopInterrupt() {
		c.release()
	} else {
		c.discard()
	}
	return result
}
