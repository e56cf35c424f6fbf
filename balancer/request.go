package balancer

import (
	"cmp"
	"time"
)

// overdueFactor is the multiple of the expected latency after which an attempt is no load any more: tails are long.
const overdueFactor = 10.0

// class is a class of requests and what this node knows of it.
type class struct {
	Class
	placement    *placement
	workHint     ewma    // s
	latency      ewma    // s, of its responses
	fleetLatency ewma    // s, the mean over all classes at the times of its responses
	relativeWork float64 // work of its mean request, as a multiple of the mean over all classes
}

// repeatableAnywhere reports whether a request that may have run may run again at any endpoint.
func (c *class) repeatableAnywhere() bool {
	return c.Idempotency == Idempotent ||
		c.Idempotency == IdempotentByKey && c.DeduplicationScope == DeduplicatedByFleet
}

// request is a request that has no final answer, or attempts in flight.
type request struct {
	id           RequestID
	class        *class
	arrivedAt    Time
	deadline     Time
	spentBefore  time.Duration // how long its client had waited in earlier tries, as far as known
	relativeWork float64       // its work by its hint, as a multiple of its class's mean
	attempts     []attempt
	inFlight     int  // attempts that have not ended
	priority     bool // it counts among the N1 of admission control
	trial        bool // an attempt was a trial request
	streaming    bool // the response has begun
	done         bool // it has its final answer
	healthCheckRound
}

// attempt is one send of a request.
type attempt struct {
	endpoint       *endpoint
	sentAt         Time
	inFlightBefore float64 // requests at the endpoint, as far as known
	ended          bool
	mayHaveRun     bool // it is in flight, or its outcome does not prove that it never ran
	released       bool // it no longer counts as in flight at the endpoint
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

// classByName returns a class. One that the settings lack has no weight and is not idempotent.
func (b *Balancer) classByName(name string) *class {
	if b.classes[name] == nil {
		b.addClass(name, Class{})
	}
	return b.classes[name]
}

// objective is the time within which a request of the class should be served, whose client waits for so long: the
// latency objective, or for a class without one all the time that its clients have. All that needs an objective asks
// here, but for the value of a late response, which a class without one always has.
func (c *class) objective(patience time.Duration) time.Duration {
	return cmp.Or(c.LatencyObjective, c.Deadline, patience)
}

// objective is that of the request's class.
func (r *request) objective() time.Duration { return r.class.objective(r.deadline - r.arrivedAt) }

// addClass adds a class under a name.
func (b *Balancer) addClass(name string, settings Class) {
	added := &class{Class: settings, relativeWork: 1}
	added.placement = b.placementFor(settings.AllowedZones, settings.AllowedMachineTypes)
	added.placement.topWeight = max(added.placement.topWeight, settings.PriorityWeight)
	b.classes[name] = added
	b.classOrder = append(b.classOrder, added)
}

// timeSpent is how long the client has waited, over all its tries, as far as known.
func (b *Balancer) timeSpent(request *request) time.Duration {
	return request.spentBefore + b.now - request.arrivedAt
}

// requestArrived sends a new request or answers it.
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

// openRequest adds a request.
func (b *Balancer) openRequest(event RequestArrived) *request {
	class := b.classByName(event.Class)
	opened := &request{
		id:           event.ID,
		class:        class,
		arrivedAt:    b.now,
		deadline:     b.now + event.Timeout,
		relativeWork: 1,
	}
	if event.IsRetry { // the client has waited for so long at most
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

// dispatch makes a request's next attempt or, if there can be none, gives the request up. It may first check the load
// of endpoints, and is then called again with the results.
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

// send sends a request to an endpoint, which may be nil, and reports whether the rules allowed it. Every attempt passes
// here.
func (b *Balancer) send(request *request, endpoint *endpoint, timeout time.Duration) bool {
	if endpoint == nil || !b.maySend(request, endpoint) {
		return false
	}
	startWithin := b.deduplicationTimeLeft(request) // by the attempts before this one
	request.attempts = append(request.attempts, attempt{
		endpoint:       endpoint,
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

// streamStarted records that a response has begun: the request can have no other attempt.
func (b *Balancer) streamStarted(event StreamStarted) {
	request := b.requests[event.ID]
	attempt := request.attempt(event.Attempt)
	if attempt == nil {
		return
	}
	request.streaming = true
	b.observeLatency(attempt, request, event.Elapsed)
}

// attemptEnded records the outcome of an attempt and goes on with its request.
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

// continueRequest ends a request after an attempt, or makes the next attempt.
func (b *Balancer) continueRequest(request *request, event AttemptEnded) {
	switch {
	case request.done && request.inFlight == 0:
		delete(b.requests, request.id)
	case event.RequestDone:
		b.closeRequest(request)
	case event.Outcome == BadRequest && !request.done: // no other endpoint could use it
		b.emit(Fail{ID: request.id})
		b.closeRequest(request)
	case request.inFlight == 0:
		b.dispatch(request)
	}
}

// releaseInFlight takes an attempt out of its endpoint's count, once.
func (b *Balancer) releaseInFlight(attempt *attempt) {
	if attempt.released {
		return
	}
	attempt.released = true
	attempt.endpoint.inFlight = max(0, attempt.endpoint.inFlight-1)
}

// checkOpenRequests takes overdue attempts out of the counts, gives up requests whose deadline has passed, in case an
// outcome never comes, and forgets those that are done.
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

// discountOverdue takes a request's attempts that have long been due out of the counts. They are no load: a few silent
// ones, each kept until its deadline, would make every endpoint look full.
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

// deadlineExceeded gives a request up whose answer is due, whatever this node's own account of its deadline.
func (b *Balancer) deadlineExceeded(event DeadlineExceeded) {
	request := b.requests[event.ID]
	if request != nil && !request.done && !request.streaming {
		b.giveUp(request)
	}
}

// giveUp gives the final answer to a request that no endpoint served: Reject if allowed, else Fail.
func (b *Balancer) giveUp(request *request) {
	retryAfter := b.retryAfter(request.objective()) // drawn for Fail as well
	if b.mayReject(request) {
		b.emit(Reject{ID: request.id, RetryAfter: retryAfter})
	} else {
		b.emit(Fail{ID: request.id})
	}
	b.closeRequest(request)
}

// closeRequest records that a request has its final answer, or needs none, and cancels its attempts in flight. The
// request may be nil.
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
