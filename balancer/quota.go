package balancer

import "math"

const (
	minQuotaBurst    = 20.0 // least burst, in requests: a tenant at its quota is then over it by chance 1 time in 40
	firstQuotaTokens = 3.0  // jittered by half: some requests pass at once, and the sum over 30 nodes stays small
)

// quota is this node's part of a tenant's quota, which is divided evenly among all nodes, however small the parts are.
type quota struct {
	rate   float64     // requests per second
	bucket tokenBucket // its time counts from the balancer's first event
}

// take counts a request against the quota and reports whether it is within the quota. elapsed is the time since the
// balancer's first event.
func (q *quota) take(elapsed Time) bool {
	q.bucket.refill(elapsed, q.rate, math.Max(q.rate, minQuotaBurst))
	if q.rate <= 0 || !q.bucket.available() {
		return false
	}
	q.bucket.take()
	return true
}
