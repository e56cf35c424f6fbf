package balancer

import (
	"cmp"
	"slices"
	"time"
)

const (
	retryBudgetPerRequest = 0.1  // further attempts for each arrival, and half as many trials: no storm
	retryBudgetBurst      = 10.0 // attempts; what the budget may save up
	attemptTimeoutFactor  = 15.0 // the same, beyond which one that can be made again is given up
	retryAfterShare       = 0.15 // part of the aim a refused client is told to wait, jittered
)

// maySend holds every rule on sending; each send passes it.
func (m *Balancer) maySend(r *request, s *endpoint) bool {
	if r.done || r.streaming || m.now >= r.deadline || len(r.attempts) >= max(1, m.settings.MaxAttempts) ||
		s.State != Ready || !r.class.placement.allows(s) || r.inFlight >= 2 || r.inFlight > 0 && !m.settings.HedgingAllowed {
		return false
	}
	for i := range r.attempts {
		a, c := &r.attempts[i], r.class
		if a.endpoint == s || a.mayRun && c.Idempotency != Idempotent && (c.Idempotency == NotIdempotent ||
			m.now+m.settings.MinEventInterval >= a.sentAt+c.DeduplicationWindow || c.DeduplicationScope == DeduplicatedByZone && s.Zone != a.endpoint.Zone ||
			c.DeduplicationScope == DeduplicatedByCell && s.Cell != a.endpoint.Cell) {
			return false
		}
	}
	return true
}

// mayRefuse: a refusal promises that a new try does no harm.
func (m *Balancer) mayReject(r *request) bool {
	ran := slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayRun })
	return !ran || r.class.Idempotency == Idempotent || r.class.Idempotency == IdempotentByKey && r.class.DeduplicationScope == DeduplicatedByFleet
}

// window is the time left for a keyed request that may have run to go out again; 0: no such limit.
func (m *Balancer) deduplicationTimeLeft(r *request) time.Duration {
	ran := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.mayRun })
	if ran < 0 || r.class.Idempotency != IdempotentByKey {
		return 0
	}
	return r.attempts[ran].sentAt + r.class.DeduplicationWindow - m.settings.MinEventInterval - m.now
}

// limit is how long an attempt may take. One that may be made again is given up when hardly any answer takes
// so long, if another can still come within the aim: a silent server must not take all of a request's time.
func (m *Balancer) attemptTimeout(r *request, s *endpoint) time.Duration {
	if s == nil || r.class.Idempotency == NotIdempotent || !m.learned || !m.settings.CancelAllowed {
		return r.deadline
	}
	usual, spent := m.expectedLatency(s, r.class), r.spentBefore+m.now-r.arrivedAt
	wait := time.Duration(attemptTimeoutFactor * usual * float64(time.Second))
	window := cmp.Or(m.deduplicationTimeLeft(r), r.class.DeduplicationWindow-m.settings.MinEventInterval)
	last := wait >= window || len(r.attempts)+1 >= m.settings.MaxAttempts
	if r.class.Idempotency == IdempotentByKey && r.class.DeduplicationScope != DeduplicatedByFleet && last { // it may not be refused either
		return r.deadline
	}
	if m.pastObjective(r, 0) || spent.Seconds()+(attemptTimeoutFactor+silentFactor)*usual > r.class.LatencyObjective.Seconds() {
		return r.deadline
	}
	return wait
}

// RetryAfter is how long a client of a class that is refused should wait, jittered; 0: clients are told no time.
func (m *Balancer) RetryAfter(class string) time.Duration { return m.retryAfter(m.class(class)) }

func (m *Balancer) retryAfter(c *class) time.Duration {
	return min(m.jitter(time.Duration(retryAfterShare*float64(c.LatencyObjective))), m.settings.MaxRetryAfter)
}
