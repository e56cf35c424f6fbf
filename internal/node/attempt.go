package node

import (
	"context"
	"net/http"
	"time"

	"bankshift/balancer"
	"bankshift/internal/upstream"
)

// attempt is one attempt of a request, while it runs.
type attempt struct {
	request   *request
	number    int
	endpoint  balancer.EndpointID
	startedAt time.Time
	elapsed   time.Duration // when it has ended
	sinceSent time.Duration // since its last byte was sent, when it has ended; 0: it was not sent
	result    upstream.Result
}

// startAttempt sends a request to an endpoint.
func (n *Node) startAttempt(send balancer.Send) {
	r := n.requests[send.ID]
	if r == nil {
		n.log.Error("send for an unknown request", "id", send.ID)
		return
	}
	if r.ctx.Err() != nil {
		n.abandonRequest(r) // the event of it is queued behind the one being handled
	}
	a := &attempt{request: r, number: len(r.cancelAttempts), endpoint: send.Endpoint}
	timeLeft := time.Until(r.deadline)
	if send.Timeout != 0 {
		timeLeft = min(timeLeft, send.Timeout)
	}
	ctx, cancel := context.WithTimeout(n.runContext, timeLeft)
	r.cancelAttempts = append(r.cancelAttempts, cancel)
	overlaps := r.runningAttempts > 0 && !n.cfg.Settings.HedgingAllowed
	if r.answered || overlaps {
		cancel()
		n.rejectAttempt(a)
		return
	}
	r.runningAttempts++
	a.startedAt = time.Now()
	startCtx, cancelStart := r.ctx, cancel
	if send.StartWithin > 0 {
		startCtx, cancelStart = context.WithTimeout(r.ctx, send.StartWithin)
	}
	go func() {
		defer cancel()
		defer cancelStart()
		n.runAttempt(ctx, startCtx, a)
	}()
}

// rejectAttempt reports an attempt that is not made to the balancer, once the
// event that is being handled is done.
func (n *Node) rejectAttempt(a *attempt) {
	n.pendingEvents = append(n.pendingEvents, balancer.AttemptEnded{
		ID:          a.request.id(),
		Attempt:     a.number,
		Endpoint:    a.endpoint,
		RequestDone: a.request.answered,
		Outcome:     balancer.NotSent,
	})
}

// runAttempt makes an attempt and reports its result to the loop. It runs in the
// attempt's own goroutine. After startCtx has ended nothing is sent any more; ctx
// ends the whole attempt.
func (n *Node) runAttempt(ctx, startCtx context.Context, a *attempt) {
	a.result = n.pool.Attempt(ctx, startCtx, a.endpoint, a.request.upstream)
	a.elapsed = time.Since(a.startedAt)
	if !a.result.SentAt.IsZero() {
		a.sinceSent = time.Since(a.result.SentAt)
	}
	n.post(func() { n.finishAttempt(a) })
}

// finishAttempt takes an attempt's result. A good response goes to the client
// before the balancer learns of it.
func (n *Node) finishAttempt(a *attempt) {
	r := a.request
	r.runningAttempts--
	if a.result.Outcome == balancer.OK {
		n.respond(r.id(), response{status: http.StatusOK, header: a.result.Header, body: a.result.Body})
	}
	n.handle(balancer.AttemptEnded{
		ID:          r.id(),
		Attempt:     a.number,
		Endpoint:    a.endpoint,
		RequestDone: r.answered,
		Elapsed:     a.elapsed,
		SinceSent:   a.sinceSent,
		Outcome:     a.result.Outcome,
		Report:      a.result.Report,
	})
	n.removeIfDone(r)
}
