package balancer

import (
	"math"
	"time"
)

const (
	shedPeriod     = 500 * time.Millisecond // long enough for many arrivals, short compared with an overload
	priorityCutoff = 0.1                    // fraction of the top weight up to which no request has priority
)

// shedding is the admission control state of a placement. While no endpoint is normal, new requests are dropped with
// the paper's probabilities q1 and q2, which are recomputed each shedPeriod.
type shedding struct {
	priorityArrivals float64 // N1: arrivals with priority in this period
	otherArrivals    float64 // N2: arrivals without priority in this period
	excessSum        float64 // sum of the endpoints' excess, sampled at each tick of this period
	excessSamples    float64 // number of samples in excessSum
	shedPriority     float64 // q1: drop probability of requests with priority
	shedOther        float64 // q2: drop probability of requests without priority
	noneNormalAt     Time    // when a request last found no normal endpoint
}

// countArrival counts a new request.
func (s *shedding) countArrival(priority bool) {
	if priority {
		s.priorityArrivals++
	} else {
		s.otherArrivals++
	}
}

// startPeriod computes the drop probabilities from the arrivals of the period that ends, and starts a new period. They
// are high enough to drop all requests without priority and a fraction of those with priority. That fraction is the
// endpoints' mean excess, which is 0 at H and 1 at R.
func (s *shedding) startPeriod() {
	toShed := s.otherArrivals + s.priorityArrivals*s.excessSum/math.Max(1, s.excessSamples)
	q := toShed / math.Max(1, s.priorityArrivals+s.otherArrivals)
	s.shedPriority, s.shedOther = shedSplit(q, s.priorityArrivals, s.otherArrivals)
	s.priorityArrivals = 0
	s.otherArrivals = 0
	s.excessSum = 0
	s.excessSamples = 0
}

// shedSplit splits an overall drop probability q as the paper does: into q1 for the n1 arrivals with priority and q2
// for the n2 arrivals without. Requests without priority are dropped first.
func shedSplit(q, n1, n2 float64) (q1, q2 float64) {
	if n2 == 0 {
		return q, 0
	}
	q2 = math.Min(1, q*(n1+n2)/n2)
	if n1 > 0 {
		q1 = math.Max(0, (q*(n1+n2)-q2*n2)/n1)
	}
	return q1, q2
}

// priorityShare is the fraction of a class's requests that have priority. It rises linearly from 0, at priorityCutoff
// times the top weight, to 1 at the top weight.
func priorityShare(weight, topWeight float64) float64 {
	return math.Max(0, (weight/math.Max(topWeight, 1e-9)-priorityCutoff)/(1-priorityCutoff))
}

// hasPriority decides whether a new request has priority, by a random draw with its class's priorityShare. A request
// that is over its tenant's quota, or past its objective, has none.
func (b *Balancer) hasPriority(request *request, tenant string) bool {
	class := request.class
	drawn := b.rng.float64() < priorityShare(class.PriorityWeight, class.placement.topWeight)
	quota := b.quotas[tenant]
	withinQuota := quota == nil || quota.take(b.now-b.startedAt)
	return drawn && withinQuota && !b.pastObjective(request, 0)
}

// admits decides whether a request may be sent when the endpoint picked for it is in the given mode.
func (b *Balancer) admits(request *request, mode Mode) bool {
	if len(request.attempts) > 0 {
		return b.admitsRetry(request, mode)
	}
	return !b.expectedTooLate(request) && !b.sheds(request, mode)
}

// admitsRetry is admits for a request that has had attempts. The request must not be past its objective. If its last
// attempt may have run, the retry budget must allow another; if no endpoint is normal, the request needs priority.
func (b *Balancer) admitsRetry(request *request, mode Mode) bool {
	if b.pastObjective(request, 0) {
		return false
	}
	if request.lastMayHaveRun() && !b.retryBudget.available() {
		return false
	}
	return mode == Normal || request.priority
}

// expectedTooLate reports whether a response after the usual latency would be past the objective and have no value. It
// is false unless a request has found no normal endpoint within the last shedPeriod.
func (b *Balancer) expectedTooLate(request *request) bool {
	class := request.class
	recentlyOverloaded := b.now < class.placement.noneNormalAt+shedPeriod
	return recentlyOverloaded && b.pastObjective(request, b.latency.mean*class.relativeWork)
}

// sheds decides whether a new request is dropped because all endpoints are overloaded.
func (b *Balancer) sheds(request *request, mode Mode) bool {
	if mode != Overloaded {
		return false
	}
	probability := request.class.placement.shedOther
	if request.priority {
		probability = request.class.placement.shedPriority
	}
	return b.rng.float64() < probability
}

// pastObjective reports whether a response in the given number of seconds would be past the objective and have no
// value. It is false for a request on which no time has been spent yet.
func (b *Balancer) pastObjective(request *request, seconds float64) bool {
	class := request.class
	if class.LateWeight != 0 || class.LatencyObjective <= 0 {
		return false
	}
	spent := b.timeSpent(request).Seconds()
	return spent > 0 && spent+seconds >= class.LatencyObjective.Seconds()
}
