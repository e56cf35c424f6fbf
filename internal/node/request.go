package node

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"bankshift/balancer"
	"bankshift/internal/memory"
	"bankshift/internal/upstream"
)

const (
	// ResponseMargin is how long before the client's timeout a response is due.
	ResponseMargin = 10 * time.Millisecond

	// WatchdogDelay is how long after a request's deadline the node ends the
	// request if the balancer has not ended it by then.
	WatchdogDelay = 4 * time.Millisecond

	// maxRequestAgeMargin is added to the longest deadline of all classes. No client of
	// these classes waits until a request of that age is read.
	maxRequestAgeMargin = 5 * time.Second
)

// request is a client's request, from its arrival until it is answered and its
// attempts have ended. The loop owns it, except where a field says otherwise.
type request struct {
	arrival    balancer.RequestArrived
	upstream   *upstream.Request
	memory     memory.Reservation // for the request itself; released when its attempts have ended
	receivedAt time.Time          // when its head arrived at this machine
	deadline   time.Time          // when the response is due

	// response receives the final response. It is buffered, so that the loop does
	// not block on it. The goroutine that serves the client reads it.
	response chan response

	// answered is set when the final response has been sent on the channel
	// response, or the client has disconnected.
	answered bool

	// clientHidden: by the last check, the client has sent so much more that its end could
	// not be seen.
	clientHidden atomic.Bool

	// ctx is canceled when the request is answered or the client is found to have
	// disconnected, which the loop may learn of later. It is set before the request
	// is posted to the loop.
	ctx    context.Context
	cancel context.CancelFunc

	cancelAttempts  []context.CancelFunc // indexed by the attempt's number
	runningAttempts int
	watchdog        *time.Timer // ends the request if the balancer does not
}

func (r *request) id() balancer.RequestID { return r.arrival.ID }

// clientLeft reports whether the client has left, or may have left unseen. No attempt may
// begin then.
func (r *request) clientLeft(ctx context.Context, c *clientConn) bool {
	state := c.awaitClientState(ctx)
	r.clientHidden.Store(state == clientHidden)
	return state != clientPresent || ctx.Err() != nil
}

// discardResponse drops the response that was sent on r.response, if there is one,
// because nobody waits for it any more. No response may be sent afterwards.
func (r *request) discardResponse() {
	select {
	case resp := <-r.response:
		resp.memory.Release()
	default:
	}
}

// startRequest admits a client's request and passes it to the balancer. The
// response is sent on r.response.
func (n *Node) startRequest(r *request) {
	r.arrival.Timeout = time.Until(r.deadline)
	if refusal, ok := n.refuse(r); ok {
		// The request is not in n.requests, and the balancer is not informed of it.
		r.answered = true
		r.memory.Release()
		r.response <- refusal
		return
	}
	if !n.responsesDueBy.IsZero() && n.responsesDueBy.Before(r.deadline) {
		r.deadline = n.responsesDueBy
		r.arrival.Timeout = time.Until(r.deadline)
	}
	n.requests[r.id()] = r
	r.watchdog = time.AfterFunc(r.arrival.Timeout+WatchdogDelay, func() {
		n.post(func() { n.endOverdue(r) })
	})
	n.handle(r.arrival)
}

// refuse returns the response to a request that must not be admitted. It returns false
// if the request may be admitted.
func (n *Node) refuse(r *request) (response, bool) {
	limit := n.cfg.Settings.MaxOpenRequests
	switch {
	case n.isCopy(r):
		return response{status: http.StatusConflict}, true
	case time.Since(r.receivedAt) > n.maxRequestAge:
		// It may be a copy of a request that has run and that recentIDs has forgotten, so the
		// status must not promise that the request had no effect.
		return response{status: http.StatusRequestTimeout}, true
	case r.clientHidden.Load():
		n.log.Debug("request rejected, as the end of its client's connection could not be seen", "id", r.id())
		return n.rejection(r), true
	case limit > 0 && len(n.requests) >= limit:
		return n.rejection(r), true
	}
	return response{}, false
}

// isCopy reports whether a request has the ID of another one, which is open or may have
// run. Every request gets an ID of its own, also a client's retry. Two open requests
// with the same ID would receive each other's responses. A copy of a request that may
// have run must not run again, also if it is read after that request has ended: it may
// have waited behind another request on its connection.
func (n *Node) isCopy(r *request) bool {
	return n.requests[r.id()] != nil || n.recentIDs.contains(r.id())
}

// rejection returns the response to a request that has not been sent to any
// endpoint.
func (n *Node) rejection(r *request) response {
	return response{
		status:     http.StatusServiceUnavailable,
		retryAfter: n.balancer.RetryAfter(r.arrival.Class, r.arrival.Timeout),
	}
}

// endOverdue ends a request whose deadline has passed without a decision of the
// balancer. If the request may have been sent, the balancer is asked to decide now,
// however late its timers and the outcomes of attempts are. If it still does not,
// the node answers by itself, as the response is due in any case.
func (n *Node) endOverdue(r *request) {
	if r.answered {
		return
	}
	r.cancel() // no attempt begins to send the request after this
	if r.upstream.MayBeSent() {
		n.handle(balancer.DeadlineExceeded{ID: r.id()})
	}
	n.endUnanswered(r)
}

// endUnanswered answers a request that has no response yet, without a decision of
// the balancer: it rejects the request if nothing of it has been sent, and else
// responds with 504.
func (n *Node) endUnanswered(r *request) {
	if r.answered {
		return
	}
	r.cancel() // no attempt begins to send the request after this
	last := response{status: http.StatusGatewayTimeout}
	if !r.upstream.MayBeSent() {
		last = n.rejection(r)
	}
	n.respond(r.id(), last)
	for _, cancel := range r.cancelAttempts {
		cancel() // the balancer does not cancel them if it has lost track of the request
	}
	n.handle(balancer.RequestAbandoned{ID: r.id()})
}

// abandonRequest ends a request whose client has disconnected.
func (n *Node) abandonRequest(r *request) {
	if r.answered {
		return
	}
	n.closeRequest(r)
	n.handle(balancer.RequestAbandoned{ID: r.id()})
}

// respond sends a request's final response. All responses to admitted requests go
// through it, and only the first one of a request is sent.
func (n *Node) respond(id balancer.RequestID, resp response) {
	r := n.requests[id]
	if r == nil || r.answered {
		resp.memory.Release()
		return
	}
	r.response <- resp
	n.closeRequest(r)
}

func (n *Node) closeRequest(r *request) {
	r.answered = true
	r.watchdog.Stop()
	r.cancel()
	n.removeIfDone(r)
}

// removeIfDone removes a request that is answered and has no attempt running, unless
// it has been removed already. Its ID is remembered if the request may have run.
func (n *Node) removeIfDone(r *request) {
	done := r.answered && r.runningAttempts == 0
	if !done || n.requests[r.id()] != r {
		return
	}
	delete(n.requests, r.id())
	r.memory.Release()
	if r.upstream.MayBeSent() {
		n.recentIDs.add(r.id(), time.Now())
	}
}
