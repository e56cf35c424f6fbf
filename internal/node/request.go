package node

import (
	"context"
	"net/http"
	"time"

	"bankshift/balancer"
	"bankshift/internal/upstream"
)

const (
	// ResponseMargin is how long before the client's timeout a response is due.
	ResponseMargin = 10 * time.Millisecond

	// WatchdogDelay is how long after a request's deadline the node has the balancer
	// end it, if it has not by itself.
	WatchdogDelay = 4 * time.Millisecond
)

// request is a client's request, from its arrival until it is answered and its
// attempts have ended. The loop owns it, except where a field says otherwise.
type request struct {
	arrival  balancer.RequestArrived
	upstream *upstream.Request
	deadline time.Time // when the response is due

	// response takes the final response. It has room for it, and is read by the
	// client's goroutine.
	response chan response

	// answered: the final response has been sent, or the client has left.
	answered bool

	// ctx ends with the response, or when the client is seen to have left, which
	// the loop may not know yet. Set before the loop gets the request.
	ctx    context.Context
	cancel context.CancelFunc

	cancelAttempts  []context.CancelFunc // by the attempt's number
	runningAttempts int
	watchdog        *time.Timer // ends the request where the balancer does not
}

func (r *request) id() balancer.RequestID { return r.arrival.ID }

// startRequest takes a client's request and passes it to the balancer. The
// response is sent on r.response.
func (n *Node) startRequest(r *request) {
	if n.requests[r.id()] != nil {
		// Two with the same ID would receive each other's responses.
		r.rejectUntracked(response{status: http.StatusConflict})
		return
	}
	r.arrival.Timeout = time.Until(r.deadline)
	limit := n.cfg.Settings.MaxOpenRequests
	if limit > 0 && len(n.requests) >= limit {
		r.rejectUntracked(n.rejection(r))
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

// rejectUntracked answers a request that the balancer does not get to know of.
func (r *request) rejectUntracked(resp response) {
	r.answered = true
	r.response <- resp
}

// rejection is the response to a request that has not been sent to any endpoint.
func (n *Node) rejection(r *request) response {
	return response{
		status:     http.StatusServiceUnavailable,
		retryAfter: n.balancer.RetryAfter(r.arrival.Class, r.arrival.Timeout),
	}
}

// endOverdue ends a request whose deadline has passed without a decision of the
// balancer. The balancer decides then, however late its timers and the outcomes of
// attempts are; but a response in time is owed whatever it does.
func (n *Node) endOverdue(r *request) {
	if r.answered {
		return
	}
	r.cancel() // from here on nothing is sent
	if r.upstream.MayBeSent() {
		n.handle(balancer.DeadlineExceeded{ID: r.id()})
	}
	n.endUnanswered(r)
}

// endUnanswered ends a request, if it is not answered, without the balancer.
func (n *Node) endUnanswered(r *request) {
	if r.answered {
		return
	}
	r.cancel() // from here on nothing is sent
	last := response{status: http.StatusGatewayTimeout}
	if !r.upstream.MayBeSent() {
		last = n.rejection(r)
	}
	n.respond(r.id(), last)
	for _, cancel := range r.cancelAttempts {
		cancel() // a balancer that has lost the request does not cancel them
	}
	n.handle(balancer.RequestAbandoned{ID: r.id()})
}

// abandonRequest ends a request whose client has left.
func (n *Node) abandonRequest(r *request) {
	if r.answered {
		return
	}
	n.closeRequest(r)
	n.handle(balancer.RequestAbandoned{ID: r.id()})
}

// respond sends a request's final response. All responses pass here, and only
// the first is sent.
func (n *Node) respond(id balancer.RequestID, resp response) {
	r := n.requests[id]
	if r == nil || r.answered {
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

// removeIfDone removes a request that is answered and has no attempt running.
func (n *Node) removeIfDone(r *request) {
	if r.answered && r.runningAttempts == 0 {
		delete(n.requests, r.id())
	}
}
