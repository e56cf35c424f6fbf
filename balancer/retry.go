package balancer

import (
	"cmp"
	"time"
)

const (
	retryBudgetPerRequest = 0.1  // retries that each arrival adds to the budget; it adds half as many trial requests
	retryBudgetBurst      = 10.0 // most retries that the budget can hold
	trialBudgetBurst      = 1.0  // most trial requests that their budget can hold
	attemptTimeoutFactor  = 15.0 // multiple of the expected latency after which a repeatable attempt is given up
	retryAfterShare       = 0.15 // fraction of the objective that a rejected client should wait, before jitter
)

// maySend reports whether the rules allow sending the request to the endpoint. All rules on sending are checked here;
// load and slow start are not.
func (b *Balancer) maySend(request *request, endpoint *endpoint) bool {
	if !b.mayAttempt(request) || endpoint.State != Ready || !request.class.placement.allows(endpoint) {
		return false
	}
	for i := range request.attempts {
		if !b.mayRepeat(request.class, &request.attempts[i], endpoint) {
			return false
		}
	}
	return true
}

// mayAttempt checks the rules on sending that do not depend on the endpoint.
func (b *Balancer) mayAttempt(request *request) bool {
	if request.done || request.streaming || b.now >= request.deadline {
		return false
	}
	maxInFlight := 1
	if b.settings.HedgingAllowed {
		maxInFlight = 2
	}
	return request.inFlight < maxInFlight && len(request.attempts) < max(1, b.settings.MaxAttempts)
}

// mayRepeat reports whether another attempt may be sent to the endpoint after the given attempt.
func (b *Balancer) mayRepeat(class *class, attempt *attempt, endpoint *endpoint) bool {
	if attempt.endpoint == endpoint {
		return false
	}
	if !attempt.mayHaveRun || class.Idempotency == Idempotent {
		return true
	}
	if class.Idempotency == NotIdempotent {
		return false
	}
	inWindow := b.now+b.settings.MinEventInterval < attempt.sentAt+class.DeduplicationWindow
	return inWindow && class.DeduplicationScope.shared(attempt.sentTo, endpoint.location())
}

// shared reports whether endpoints at two locations share the idempotency keys that they have seen.
func (s DeduplicationScope) shared(a, b location) bool {
	switch s {
	case DeduplicatedByCell:
		return a.cell == b.cell
	case DeduplicatedByZone:
		return a.zone == b.zone
	}
	return true
}

// mayReject reports whether a request may be rejected: a rejection promises that another try is safe.
func (b *Balancer) mayReject(request *request) bool {
	return request.firstThatMayHaveRun() == nil || request.class.repeatableAnywhere()
}

// deduplicationTimeLeft returns the time within which a request with an idempotency key that may have run must be sent
// again, if at all; 0: no limit.
func (b *Balancer) deduplicationTimeLeft(request *request) time.Duration {
	attempt := request.firstThatMayHaveRun()
	if attempt == nil || request.class.Idempotency != IdempotentByKey {
		return 0
	}
	return attempt.sentAt + request.class.DeduplicationWindow - b.settings.MinEventInterval - b.now
}

// attemptTimeout returns how long an attempt may take. A repeatable attempt is given up after a time that hardly any
// response takes, if the objective leaves time for another: a silent endpoint must not use up a request's whole time.
func (b *Balancer) attemptTimeout(request *request, endpoint *endpoint) time.Duration {
	untilDeadline := request.deadline - b.now
	if endpoint == nil || request.class.Idempotency == NotIdempotent || !b.learned || !b.settings.CancelAllowed {
		return untilDeadline
	}
	usual := b.expectedLatency(endpoint, request.class)
	timeout := time.Duration(attemptTimeoutFactor * usual * float64(time.Second))
	// Giving the attempt up gains nothing if the request can then neither be sent again nor, as it may have run, be
	// rejected.
	if b.isLastAttempt(request, timeout) && !request.class.repeatableAnywhere() {
		return untilDeadline
	}
	needed := b.timeSpent(request).Seconds() + (attemptTimeoutFactor+silentFactor)*usual
	if b.pastObjective(request, 0) || needed > request.objective().Seconds() {
		return untilDeadline
	}
	return timeout
}

// isLastAttempt reports whether the next attempt is the last one if it takes the given time, because of the limit on
// attempts or because the deduplication window will have ended.
func (b *Balancer) isLastAttempt(request *request, timeout time.Duration) bool {
	window := cmp.Or(b.deduplicationTimeLeft(request), request.class.DeduplicationWindow-b.settings.MinEventInterval)
	return timeout >= window || len(request.attempts)+1 >= b.settings.MaxAttempts
}

// RetryAfter returns how long a rejected client of the class should wait before it tries again, with jitter; 0: clients
// are not told. clientTimeout, after which the client stops waiting, matters only for a class that has neither a
// latency objective nor a deadline.
func (b *Balancer) RetryAfter(class string, clientTimeout time.Duration) time.Duration {
	return b.retryAfter(b.classByName(class).objective(clientTimeout))
}

func (b *Balancer) retryAfter(objective time.Duration) time.Duration {
	wait := time.Duration(retryAfterShare * float64(objective))
	return min(b.rng.jitter(wait), b.settings.MaxRetryAfter)
}
