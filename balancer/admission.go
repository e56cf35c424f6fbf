package balancer

import (
	"math"
	"time"
)

const (
	shedPeriod     = 500 * time.Millisecond // s; period of q: many arrivals, yet far shorter than a trouble
	priorityCutoff = 0.1                    // part of the top worth up to which no request counts as priority
)

// ShedSplit gives the drop probabilities of priority (q1) and other requests (q2) for an overall q.
func ShedSplit(q, n1, n2 float64) (q1, q2 float64) {
	if n2 == 0 {
		return q, 0
	}
	q2 = math.Min(1, q*(n1+n2)/n2)
	if n1 > 0 {
		q1 = math.Max(0, (q*(n1+n2)-q2*n2)/n1)
	}
	return q1, q2
}

// rank is the part of a class's requests that count as priority ones: graded by worth over the top worth.
func priorityShare(worth, top float64) float64 {
	return math.Max(0, (worth/math.Max(top, 1e-9)-priorityCutoff)/(1-priorityCutoff))
}

// worthless tells that an answer so many seconds from now can be worth nothing any more.
func (m *Balancer) pastObjective(r *request, after float64) bool {
	spent := (r.spentBefore + m.now - r.arrivedAt).Seconds()
	return r.class.LateWeight == 0 && r.class.LatencyObjective > 0 && spent > 0 && spent+after >= r.class.LatencyObjective.Seconds()
}
