package setup

import "time"

// Quotas finds which requests are within their tenant's quota over the whole
// fleet. Each tenant has a token bucket that holds a second of its quota, or
// one request where that is more. It is not safe for concurrent use.
type Quotas struct {
	rate    float64 // requests a second of each tenant
	buckets []bucket
}

// bucket is a tenant's token bucket as it was last updated.
type bucket struct {
	tokens    float64
	updatedAt time.Duration
}

// NewQuotas returns the full buckets of a number of tenants.
func NewQuotas(tenants int, rate float64) *Quotas {
	q := &Quotas{rate: rate, buckets: make([]bucket, tenants)}
	for i := range q.buckets {
		q.buckets[i].tokens = q.burst()
	}
	return q
}

func (q *Quotas) burst() float64 { return max(1, q.rate) }

// Take counts a tenant's request and reports whether it is within the quota.
// The times of one tenant never go back.
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

// AlternativeNode is the node to which clients of an unavailable node go: one
// of the available ones of its zone, or of all zones if that has none. pick
// chooses among them. ok is false if no node is available.
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
