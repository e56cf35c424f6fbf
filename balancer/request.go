package balancer

import (
	"cmp"
	"time"
)

// overdueFactor is the multiple of the expected latency after which an attempt no longer counts as load. It is large
// because latency distributions have long tails.
const overdueFactor = 10.0

// class is a class of requests and what this node has learned about it.
type class struct {
	Class
	placement    *placement
	workHint     ewma    // s, work hints of its requests
	latency      ewma    // s, of its responses
	fleetLatency ewma    // s, mean latency over all classes, sampled at each response of this class
	relativeWork float64 // work of its mean request, as a multiple of the mean over all classes
}

// repeatableAnywhere reports whether a request that may have run may run again at any endpoint.
func (c *class) repeatableAnywhere() bool {
	return c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentByKey && c.DeduplicationScope == DeduplicatedByFleet
}

// request is a request that has no final answer yet or still has attempts in flight.
type request struct {
	id           RequestID
	class        *class
	arrivedAt    Time
	deadline     Time
	spentBefore  time.Duration // upper bound on the client's wait in earlier tries; 0 for a first or unmarked try
	relativeWork float64       // its work hint, as a multiple of its class's mean; 1 without a hint
	attempts     []attempt
	inFlight     int  // attempts that have not ended
	priority     bool // admission control counts it in N1, the arrivals with priority
	trial        bool // an attempt was a trial request
	streaming    bool // the response has begun
	done         bool // it has its final answer
	healthCheckRound
}

// attempt is one send of a request.
type attempt struct {
	endpoint       *endpoint
	sentTo         location // of the endpoint when the attempt was sent; it may have been restarted elsewhere since
	sentAt         Time
	inFlightBefore float64 // requests at the endpoint before this one was sent, as far as this node knows
	ended          bool
	mayHaveRun     bool // the attempt is in flight, or its outcome does not prove that the request never ran
	released       bool // the attempt no longer counts as in flight at the endpoint
}

// lastMayHaveRun reports whether the last attempt, if there is one, may have run.
func (r *request) lastMayHaveRun() bool {
	return len(r.attempts) > 0 && r.attempts[len(r.attempts)-1].mayHaveRun
}

// firstThatMayHaveRun returns the first attempt that may have run, or nil.
func (r *request) firstThatMayHaveRun() *attempt {
	for i := range r.attempts {
		if r.attempts[i].mayHaveRun {
			return &r.attempts[i]
		}
	}
	return nil
}

// attempt returns an attempt by its number, or nil.
func (r *request) attempt(number int) *attempt {
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	return &r.attempts[number]
}

// classByName returns a class by its name. A class that is not in the settings has no weight and is not idempotent.
func (b *Balancer) classByName(name string) *class {
	if b.classes[name] == nil {
		b.addClass(name, Class{})
	}
	return b.classes[name]
}

// objective returns the time within which a request of the class should be served: the latency objective or, for a
// class without one, the class's deadline or else the request's timeout. Use it wherever a class without an objective
// needs one; pastObjective does not, because a late response of such a class keeps its value.
func (c *class) objective(clientTimeout time.Duration) time.Duration {
	return cmp.Or(c.LatencyObjective, c.Deadline, clientTimeout)
}

// objective returns the time within which the request should be served.
func (r *request) objective() time.Duration { return r.class.objective(r.deadline - r.arrivedAt) }

// addClass adds a class with the given name and settings.
func (b *Balancer) addClass(name string, settings Class) {
	added := &class{Class: settings, relativeWork: 1}
	added.placement = b.placementFor(settings.AllowedZones, settings.AllowedMachineTypes)
	added.placement.topWeight = max(added.placement.topWeight, settings.PriorityWeight)
	b.classes[name] = added
	b.classOrder = append(b.classOrder, added)
}

// timeSpent returns how long the client has waited over all its tries, as far as known.
func (b *Balancer) timeSpent(request *request) time.Duration {
	return request.spentBefore + b.now - request.arrivedAt
}

// requestArrived registers a new request and sends it or gives its final answer. It may be used as a trial request.
func (b *Balancer) requestArrived(event RequestArrived) {
	request := b.openRequest(event)
	request.priority = b.hasPriority(request, event.Tenant)
	request.class.placement.countArrival(request.priority)
	b.retryBudget.deposit(retryBudgetPerRequest, retryBudgetBurst)
	b.trialBudget.deposit(retryBudgetPerRequest/2, trialBudgetBurst)
	if b.trialBudget.available() && b.sendTrial(request) {
		return
	}
	b.dispatch(request)
}

// openRequest registers a new request.
func (b *Balancer) openRequest(event RequestArrived) *request {
	class := b.classByName(event.Class)
	opened := &request{
		id:           event.ID,
		class:        class,
		arrivedAt:    b.now,
		deadline:     b.now + event.Timeout,
		relativeWork: 1,
	}
	if event.IsRetry { // the most that the client can have waited
		opened.spentBefore = max(0, class.Deadline-event.Timeout)
	}
	if event.HasWorkHint && event.WorkHint > 0 {
		class.workHint.add(event.WorkHint.Seconds(), meanGain)
		opened.relativeWork = event.WorkHint.Seconds() / class.workHint.mean
	}
	b.requests[event.ID] = opened
	b.openRequests = append(b.openRequests, opened)
	return opened
}

// dispatch starts a request's next attempt or, if none is possible, gives the request up. It may first start health
// checks, and is then called again with their results.
func (b *Balancer) dispatch(request *request) {
	endpoint, mode := b.pick(request)
	if request.awaitingChecks || mode != Normal && b.startHealthChecks(request) {
		return
	}
	request.healthCheckRounds = 0
	request.checked = nil
	if mode != Normal {
		request.class.placement.noneNormalAt = b.now
	}
	costsRetry := request.lastMayHaveRun()
	sent := b.admits(request, mode) && b.send(request, endpoint, b.attemptTimeout(request, endpoint))
	if sent && costsRetry {
		b.retryBudget.take()
	}
	if !sent && request.inFlight == 0 {
		b.giveUp(request)
	}
}

// send starts an attempt at an endpoint, which may be nil, and reports whether the rules allowed it. Every attempt is
// started here.
func (b *Balancer) send(request *request, endpoint *endpoint, timeout time.Duration) bool {
	if endpoint == nil || !b.maySend(request, endpoint) {
		return false
	}
	startWithin := b.deduplicationTimeLeft(request) // depends only on the attempts before this one
	request.attempts = append(request.attempts, attempt{
		endpoint:       endpoint,
		sentTo:         endpoint.location(),
		sentAt:         b.now,
		inFlightBefore: endpoint.inFlight,
		mayHaveRun:     true,
	})
	request.inFlight++
	endpoint.inFlight++
	endpoint.slowStartBudget.take()
	endpoint.countSend(b.now)
	b.emit(Send{
		ID:          request.id,
		Endpoint:    endpoint.ID,
		Timeout:     min(timeout, request.deadline-b.now),
		StartWithin: startWithin,
	})
	return true
}

// streamStarted records that a response has begun, after which the request can have no other attempt.
func (b *Balancer) streamStarted(event StreamStarted) {
	request := b.requests[event.ID]
	attempt := request.attempt(event.Attempt)
	if attempt == nil {
		return
	}
	request.streaming = true
	b.observeLatency(attempt, request, event.Elapsed)
}

// attemptEnded records the outcome of an attempt and continues its request.
func (b *Balancer) attemptEnded(event AttemptEnded) {
	request := b.requests[event.ID]
	attempt := request.attempt(event.Attempt)
	if attempt == nil || attempt.ended {
		return
	}
	attempt.ended = true
	attempt.mayHaveRun = event.Outcome.mayHaveRun()
	request.inFlight--
	b.releaseInFlight(attempt)
	if attempt.endpoint.State != Ready {
		b.emit(CloseIdleConnections{Endpoint: attempt.endpoint.ID}) // the attempt's connection is idle now
	}
	b.applyLoadReport(attempt.endpoint, event.Report)
	b.observeFailureShare(event.Outcome)
	b.recordOutcome(attempt.endpoint, request, event)
	b.continueRequest(request, event)
}

// continueRequest ends a request after an attempt, or starts the next attempt.
func (b *Balancer) continueRequest(request *request, event AttemptEnded) {
	switch {
	case request.done && request.inFlight == 0:
		delete(b.requests, request.id)
	case event.RequestDone:
		b.closeRequest(request)
	case event.Outcome == BadRequest && !request.done: // no other endpoint could process it
		b.emit(Fail{ID: request.id})
		b.closeRequest(request)
	case request.inFlight == 0:
		b.dispatch(request)
	}
}

// releaseInFlight removes an attempt from its endpoint's count of requests in flight. Repeated calls have no effect.
func (b *Balancer) releaseInFlight(attempt *attempt) {
	if attempt.released {
		return
	}
	attempt.released = true
	attempt.endpoint.inFlight = max(0, attempt.endpoint.inFlight-1)
}

// checkOpenRequests stops counting overdue attempts, gives up requests whose deadline has passed, in case an outcome
// never comes, and drops requests that are done.
func (b *Balancer) checkOpenRequests() {
	open := b.openRequests[:0]
	for _, request := range b.openRequests {
		b.discountOverdue(request)
		if !request.done && !request.streaming && b.now >= request.deadline {
			b.giveUp(request)
		}
		if !request.done {
			open = append(open, request)
		}
	}
	b.openRequests = open
}

// discountOverdue stops counting a request's overdue attempts as in flight. If a few attempts without a response
// counted until their deadlines, every endpoint would look full.
func (b *Balancer) discountOverdue(request *request) {
	if request.inFlight == 0 || request.streaming || b.latency.mean == 0 {
		return
	}
	for i := range request.attempts {
		attempt := &request.attempts[i]
		longest := overdueFactor * b.expectedLatency(attempt.endpoint, request.class)
		if !attempt.ended && (b.now-attempt.sentAt).Seconds() > longest {
			b.releaseInFlight(attempt)
		}
	}
}

// deadlineExceeded gives up a request whose final answer is due, even if its deadline on the balancer's clock has not
// passed.
func (b *Balancer) deadlineExceeded(event DeadlineExceeded) {
	request := b.requests[event.ID]
	if request != nil && !request.done && !request.streaming {
		b.giveUp(request)
	}
}

// giveUp gives the final answer to a request that no endpoint served: Reject if allowed, else Fail.
func (b *Balancer) giveUp(request *request) {
	retryAfter := b.retryAfter(request.objective()) // the random number is drawn for Fail as well
	if b.mayReject(request) {
		b.emit(Reject{ID: request.id, RetryAfter: retryAfter})
	} else {
		b.emit(Fail{ID: request.id})
	}
	b.closeRequest(request)
}

// closeRequest records that a request has its final answer or needs none, and cancels its attempts in flight if
// canceling is allowed and no stream has begun. The request may be nil.
func (b *Balancer) closeRequest(request *request) {
	if request == nil || request.done {
		return
	}
	request.done = true
	for i := range request.attempts {
		if b.settings.CancelAllowed && !request.attempts[i].ended && !request.streaming {
			b.emit(CancelAttempt{ID: request.id, Attempt: i})
		}
	}
	if request.inFlight == 0 {
		delete(b.requests, request.id)
	}
}
