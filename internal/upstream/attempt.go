package upstream

import (
	"context"
	"net/http"
	"time"

	"bankshift/balancer"
)

// maxCheckAge is how old the last checks of a request may be as its first byte is
// written. They take some microseconds, unless this process is held up.
const maxCheckAge = 5 * time.Millisecond

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

	stopInterrupt := context.AfterFunc(ctx, c.interrupt)
	defer stopInterrupt()

	// This comes ahead of the check of startCtx, or a request could be sent after
	// its client was answered that it was not.
	r.mayBeSent.Store(true)
	message, ok := c.prepare(ctx, startCtx, deadline, r, encoded)
	if !ok {
		c.finish(stopInterrupt())
		return notSent(id, ErrCalledOff)
	}
	result, reusable := c.exchange(ctx, r.Method, message)
	// An interrupt that cannot be stopped any more could hit the next exchange.
	c.finish(reusable && stopInterrupt())
	return result
}

// prepare makes the last checks before the first byte of r is written, and returns
// what to write. It reports false if r must not be sent any more. The dial may have
// taken a while, and this process may be held up at any point: the checks and the
// deadline in the message are at most maxCheckAge old when prepare returns.
func (c *conn) prepare(ctx, startCtx context.Context, deadline time.Time, r *Request, encoded encodedRequest) (message []byte, ok bool) {
	for {
		now := time.Now()
		timeLeft := deadline.Sub(now)
		if !c.mayStart(ctx, startCtx, now, timeLeft, r) {
			return nil, false
		}
		message = encoded.withDeadline(timeLeft)
		if time.Since(now) <= maxCheckAge {
			return message, true
		}
	}
}

// mayStart reports whether r may still be sent.
func (c *conn) mayStart(ctx, startCtx context.Context, now time.Time, timeLeft time.Duration, r *Request) bool {
	startBy, limited := startCtx.Deadline()
	switch {
	case startCtx.Err() != nil, ctx.Err() != nil:
		return false
	case limited && !now.Before(startBy): // its timer may be late
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

// finish puts c back into the pool if it can carry another request, or else closes
// it.
func (c *conn) finish(reusable bool) {
	if reusable {
		c.release()
	} else {
		c.discard()
	}
}

// exchange writes a request and reads its response. It reports whether c can carry
// another request.
func (c *conn) exchange(ctx context.Context, method string, request []byte) (result Result, reusable bool) {
	id := c.backend.endpoint
	written, err := c.Write(request)
	if err != nil {
		if written < len(request) {
			return failedUnsent(ctx, id, StepWrite, err), false
		}
		return failedSent(ctx, id, StepWrite, err), false // the last byte may have arrived
	}
	sentAt := time.Now()

	result, reusable, err = c.readResponse(method)
	if err != nil {
		failed := failedSent(ctx, id, StepRead, err)
		failed.SentAt = sentAt
		failed.Report = result.Report
		return failed, false
	}
	result.SentAt = sentAt
	return result, reusable
}
