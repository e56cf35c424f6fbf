package upstream

import (
	"context"
	"net"
	"net/http"
	"time"

	"bankshift/balancer"
)

// maxCheckAge is how old the last checks of a request may be when its first byte is
// written. They take some microseconds, unless this process is paused meanwhile.
const maxCheckAge = 5 * time.Millisecond

// Result is how an attempt ended.
type Result struct {
	Outcome balancer.Outcome
	SentAt  time.Time            // when the last byte of the request was written; zero if it was not
	Report  *balancer.LoadReport // load report of the response; nil if there is no valid one
	Header  http.Header          // response headers; only with balancer.OK
	Body    []byte               // response body; only with balancer.OK
	Memory  ResponseMemory       // what the response takes of the pool's budgets; the caller releases it
	Err     error                // an *AttemptError if there was no valid response, else nil
}

// Attempt sends r to an endpoint once and waits for the response until ctx ends.
// ctx must have a deadline; the time left until then is sent in the X-Deadline
// header.
//
// Once startCtx has ended, Attempt no longer begins to write the request. The
// endpoint has no work to cancel at that point, so a caller may end startCtx even
// if the settings forbid canceling attempts.
//
// When Attempt returns, its connection is closed or back in the pool, so that a
// further attempt cannot overlap it.
func (p *Pool) Attempt(ctx, startCtx context.Context, id balancer.EndpointID, r *Request) Result {
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return notSent(id, errNoDeadline) // the attempt could hang forever
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

	// mayBeSent must be set before startCtx is checked. Otherwise the client could
	// be told that its request was not sent, and the request be sent afterwards.
	r.mayBeSent.Store(true)
	message, ok := c.prepare(ctx, startCtx, deadline, r)
	if !ok {
		c.finish(stopInterrupt())
		return notSent(id, ErrNoLongerSendable)
	}
	result, reusable := c.exchange(ctx, r.Method, message)
	// If the interrupt has started, it could break the next exchange on c, so c is
	// not reused.
	c.finish(reusable && stopInterrupt())
	return result
}

// prepare makes the last checks before the first byte of r is written, and returns
// the message to write. It reports false if r must no longer be sent.
//
// The dial may have taken long, and this process may be paused at any point.
// prepare therefore repeats the checks until both they and the deadline in the
// message are at most maxCheckAge old.
func (c *conn) prepare(ctx, startCtx context.Context, deadline time.Time, r *Request) (message net.Buffers, ok bool) {
	for {
		now := time.Now()
		timeLeft := deadline.Sub(now)
		if !c.mayStart(ctx, startCtx, now, timeLeft, r) {
			return nil, false
		}
		message = r.withDeadline(timeLeft)
		if time.Since(now) <= maxCheckAge {
			return message, true
		}
	}
}

// mayStart reports whether r may still be sent, with timeLeft until its deadline.
func (c *conn) mayStart(ctx, startCtx context.Context, now time.Time, timeLeft time.Duration, r *Request) bool {
	startBy, limited := startCtx.Deadline()
	switch {
	case startCtx.Err() != nil, ctx.Err() != nil:
		return false
	case limited && !now.Before(startBy): // the timer that ends startCtx may be late
		return false
	case timeLeft < minDeadline:
		return false
	case !c.acceptsRequests():
		return false
	case r.ClientDisconnected != nil && r.ClientDisconnected():
		return false
	}
	return true
}

// finish puts c back into the pool if it is reusable, and otherwise closes it.
func (c *conn) finish(reusable bool) {
	if reusable {
		c.release()
	} else {
		c.discard()
	}
}

// exchange writes a request and reads its response. It reports whether c can carry
// another request.
func (c *conn) exchange(ctx context.Context, method string, request net.Buffers) (result Result, reusable bool) {
	id := c.backend.endpoint
	length := size(request)
	written, err := c.write(request)
	if err != nil {
		if written < length {
			return failedUnsent(ctx, id, StepWrite, err), false
		}
		return failedSent(ctx, id, StepWrite, err), false // the whole request may have arrived
	}
	sentAt := time.Now()

	result, reusable, err = c.readResponse(ctx, method)
	if err != nil {
		result.Memory.Release()
		failed := failedSent(ctx, id, StepRead, err)
		failed.SentAt = sentAt
		failed.Report = result.Report
		return failed, false
	}
	result.SentAt = sentAt
	return result, reusable
}
