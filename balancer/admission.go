package balancer

import (
	"math"
	"time"
)

const (
	shedPeriod     = 500 * time.Millisecond // many arrivals, yet short beside an overload
	priorityCutoff = 0.1                    // part of the top weight up to which no request has priority
)

// shedding is the admission control of a placement. When no endpoint is normal, new requests are dropped with the
// probabilities q1 and q2 of the paper, which are set anew each shedPeriod.
type shedding struct {
	priorityArrivals float64 // N1: arrivals with priority in this period
	otherArrivals    float64 // N2: the others
	excessSum        float64 // of the endpoints' excess over the ticks of this period
	excessSamples    float64 // how many were added
	shedPriority     float64 // q1: drop probability of requests with priority
	shedOther        float64 // q2: that of the others
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

// startPeriod sets the drop probabilities by the arrivals of the last period: enough to drop all requests without
// priority and, by how far the endpoints were on the way from H to R, a part of those with it.
func (s *shedding) startPeriod() {
	toShed := s.otherArrivals + s.priorityArrivals*s.excessSum/math.Max(1, s.excessSamples)
	q := toShed / math.Max(1, s.priorityArrivals+s.otherArrivals)
	s.shedPriority, s.shedOther = shedSplit(q, s.priorityArrivals, s.otherArrivals)
	s.priorityArrivals = 0
	s.otherArrivals = 0
	s.excessSum = 0
	s.excessSamples = 0
}

// shedSplit is the paper's split of an overall drop probability q into that of requests with priority (q1, n1 of them
// arrived) and that of the others (q2, n2 arrived): the others are dropped first.
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

// priorityShare is the part of a class's requests that have priority: by the class's weight over the top weight.
func priorityShare(weight, topWeight float64) float64 {
	return math.Max(0, (weight/math.Max(topWeight, 1e-9)-priorityCutoff)/(1-priorityCutoff))
}

// hasPriority decides whether a new request has priority. A request over its tenant's quota has none.
func (b *Balancer) hasPriority(request *request, tenant string) bool {
	class := request.class
	drawn := b.rng.float64() < priorityShare(class.PriorityWeight, class.placement.topWeight)
	quota := b.quotas[tenant]
	withinQuota := quota == nil || quota.take(b.now-b.startedAt)
	return drawn && withinQuota && !b.pastObjective(request, 0)
}

// admits decides whether a request may be sent when the best endpoint for it is in this mode.
func (b *Balancer) admits(request *request, mode Mode) bool {
	if len(request.attempts) > 0 {
		return b.admitsRetry(request, mode)
	}
	return !b.expectedTooLate(request) && !b.sheds(request, mode)
}

// admitsRetry is admits for a further attempt.
func (b *Balancer) admitsRetry(request *request, mode Mode) bool {
	if b.pastObjective(request, 0) {
		return false
	}
	if request.lastMayHaveRun() && !b.retryBudget.available() {
		return false
	}
	return mode == Normal || request.priority
}

// expectedTooLate reports whether, with endpoints crowded lately, a response in the usual time would have no value.
func (b *Balancer) expectedTooLate(request *request) bool {
	class := request.class
	crowdedLately := b.now < class.placement.noneNormalAt+shedPeriod
	return crowdedLately && b.pastObjective(request, b.latency.mean*class.relativeWork)
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

// pastObjective reports whether a response so many seconds from now would be past the objective and have no value.
func (b *Balancer) pastObjective(request *request, seconds float64) bool {
	class := request.class
	if class.LateWeight != 0 || class.LatencyObjective <= 0 {
		return false
	}
	spent := b.timeSpent(request).Seconds()
	return spent > 0 && spent+seconds >= class.LatencyObjective.Seconds()
}
