package balancer

import (
	"cmp"
	"time"
)

const (
	retryBudgetPerRequest = 0.1  // retries that each arrival allows, and half as many trial requests
	retryBudgetBurst      = 10.0 // retries that the budget saves up
	trialBudgetBurst      = 1.0  // trial requests that their budget saves up
	attemptTimeoutFactor  = 15.0 // multiple of the expected latency after which a retryable attempt is given up
	retryAfterShare       = 0.15 // part of the latency objective that a rejected client waits
)

// maySend reports whether the request may be sent to the endpoint. It holds every rule on sending.
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

// mayAttempt holds the rules on sending that are the same for all endpoints.
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

// mayRepeat reports whether, after this attempt, another may be sent to the endpoint.
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
	return inWindow && class.DeduplicationScope.shared(attempt.endpoint, endpoint)
}

// shared reports whether two endpoints know each other's idempotency keys.
func (s DeduplicationScope) shared(a, b *endpoint) bool {
	switch s {
	case DeduplicatedByCell:
		return a.Cell == b.Cell
	case DeduplicatedByZone:
		return a.Zone == b.Zone
	}
	return true
}

// mayReject reports whether a request may be rejected, which promises that another try does no harm.
func (b *Balancer) mayReject(request *request) bool {
	return request.firstThatMayHaveRun() == nil || request.class.repeatableAnywhere()
}

// deduplicationTimeLeft is the time in which a request with an idempotency key that may have run must be sent again;
// 0: no limit.
func (b *Balancer) deduplicationTimeLeft(request *request) time.Duration {
	attempt := request.firstThatMayHaveRun()
	if attempt == nil || request.class.Idempotency != IdempotentByKey {
		return 0
	}
	return attempt.sentAt + request.class.DeduplicationWindow - b.settings.MinEventInterval - b.now
}

// attemptTimeout is how long an attempt may take. One that may be repeated is given up when hardly any response takes
// so long, if there is time for another within the objective: a silent endpoint must not take all of a request's time.
func (b *Balancer) attemptTimeout(request *request, endpoint *endpoint) time.Duration {
	untilDeadline := request.deadline - b.now
	if endpoint == nil || request.class.Idempotency == NotIdempotent || !b.learned || !b.settings.CancelAllowed {
		return untilDeadline
	}
	usual := b.expectedLatency(endpoint, request.class)
	timeout := time.Duration(attemptTimeoutFactor * usual * float64(time.Second))
	// If the attempt can neither be repeated nor, having run, be rejected, giving it up is a plain loss.
	if b.lastWithin(request, timeout) && !request.class.repeatableAnywhere() {
		return untilDeadline
	}
	needed := b.timeSpent(request).Seconds() + (attemptTimeoutFactor+silentFactor)*usual
	if b.pastObjective(request, 0) || needed > request.objective().Seconds() {
		return untilDeadline
	}
	return timeout
}

// lastWithin reports whether the next attempt is the last if it takes the given time: by the number of attempts or the
// deduplication window.
func (b *Balancer) lastWithin(request *request, timeout time.Duration) bool {
	window := cmp.Or(b.deduplicationTimeLeft(request), request.class.DeduplicationWindow-b.settings.MinEventInterval)
	return timeout >= window || len(request.attempts)+1 >= b.settings.MaxAttempts
}

// RetryAfter is how long a rejected client of the class should wait, jittered, if it has patience for so long; 0:
// clients are given no time.
func (b *Balancer) RetryAfter(class string, patience time.Duration) time.Duration {
	return b.retryAfter(b.classByName(class).objective(patience))
}

func (b *Balancer) retryAfter(objective time.Duration) time.Duration {
	wait := time.Duration(retryAfterShare * float64(objective))
	return min(b.rng.jitter(wait), b.settings.MaxRetryAfter)
}
