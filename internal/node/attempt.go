package node

import (
	"context"
	"net/http"
	"time"

	"bankshift/balancer"
	"bankshift/internal/upstream"
)

// attempt is one attempt to send a request to an endpoint.
type attempt struct {
	request   *request
	number    int
	endpoint  balancer.EndpointID
	startedAt time.Time
	elapsed   time.Duration // from startedAt to the end; set when the attempt has ended
	sinceSent time.Duration // from when the request's last byte was sent to the end; 0 if it was not sent
	result    upstream.Result
}

// startAttempt sends a request to an endpoint, in a goroutine of its own.
func (n *Node) startAttempt(send balancer.Send) {
	r := n.requests[send.ID]
	if r == nil {
		n.log.Error("balancer ordered an attempt of an unknown request", "id", send.ID)
		return
	}
	if r.ctx.Err() != nil {
		n.abandonRequest(r) // its RequestAbandoned is queued behind the event being handled
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
		n.reportNotSent(a)
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

// reportNotSent reports to the balancer that an attempt is not made. The report is
// queued behind the event that is being handled.
func (n *Node) reportNotSent(a *attempt) {
	n.pendingEvents = append(n.pendingEvents, balancer.AttemptEnded{
		ID:          a.request.id(),
		Attempt:     a.number,
		Endpoint:    a.endpoint,
		RequestDone: a.request.answered,
		Outcome:     balancer.NotSent,
	})
}

// runAttempt makes an attempt and reports its result to the loop. It runs in the
// attempt's own goroutine. Once startCtx has ended, the attempt does not begin to
// send the request any more; the end of ctx aborts the whole attempt.
func (n *Node) runAttempt(ctx, startCtx context.Context, a *attempt) {
	a.result = n.pool.Attempt(ctx, startCtx, a.endpoint, a.request.upstream)
	a.elapsed = time.Since(a.startedAt)
	if !a.result.SentAt.IsZero() {
		a.sinceSent = time.Since(a.result.SentAt)
	}
	n.post(func() { n.finishAttempt(a) })
}

// finishAttempt processes an attempt's result. A successful response is passed to
// the client before the balancer is informed of it.
func (n *Node) finishAttempt(a *attempt) {
	r := a.request
	r.runningAttempts--
	if a.result.Outcome == balancer.OK {
		n.respond(r.id(), response{status: http.StatusOK, header: a.result.Header, body: a.result.Body, memory: a.result.Memory})
	} else {
		a.result.Memory.Release()
	}
	if a.result.Outcome == balancer.NotSent && r.clientHidden.Load() && r.runningAttempts == 0 {
		n.log.Debug("request ended, as the end of its client's connection could not be seen", "id", r.id())
		n.endUnanswered(r)
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
