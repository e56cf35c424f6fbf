package setup

import "time"

// Quotas determines which requests are within their tenant's quota over the whole
// fleet. Each tenant has a token bucket with the capacity of one second of its
// quota, but at least one request. It is not safe for concurrent use.
type Quotas struct {
	rate    float64 // tokens per second of each tenant; one token per request
	buckets []bucket
}

// bucket is the token bucket of a tenant at the time of its last update.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// NewQuotas returns Quotas for a number of tenants, each with a full bucket and a
// quota of rate requests per second.
func NewQuotas(tenants int, rate float64) *Quotas {
	q := &Quotas{rate: rate, buckets: make([]bucket, tenants)}
	for i := range q.buckets {
		q.buckets[i].tokens = q.burst()
	}
	return q
}

func (q *Quotas) burst() float64 { return max(1, q.rate) }

// Take counts a request of a tenant and reports whether it is within the quota.
// now must not decrease between the calls for a tenant.
func (q *Quotas) Take(tenant int, now time.Duration) bool {
	b := &q.buckets[tenant]
	b.tokens = min(q.burst(), b.tokens+q.rate*(now-b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// AlternativeNode returns the node that a client of an unavailable node is sent
// to: an available node for which sameZone holds or, if there is none, any
// available one. The number pick selects one of them. ok is false if no node is
// available.
func AlternativeNode[N any](nodes []N, available, sameZone func(N) bool, pick int) (node N, ok bool) {
	var near, far []N
	for _, n := range nodes {
		switch {
		case !available(n):
		case sameZone(n):
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return node, false
	}
	return near[pick%len(near)], true
}
