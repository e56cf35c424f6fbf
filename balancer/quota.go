package balancer

import "math"

const (
	minQuotaBurst    = 20.0 // requests saved up at least: at its quota, a tenant is then over it by chance 1 time in 40
	firstQuotaTokens = 3.0  // give or take half: some requests pass at once, and over 30 nodes the sum stays small
)

// quota is what this node grants one tenant: an even part of its quota over all nodes, however little that is.
type quota struct {
	rate   float64     // requests per second
	bucket tokenBucket // its clock starts with the balancer's first event
}

// take takes a request from the quota and reports whether there was one left. elapsed is the time since the balancer's
// first event.
func (q *quota) take(elapsed Time) bool {
	q.bucket.refill(elapsed, q.rate, math.Max(q.rate, minQuotaBurst))
	if q.rate <= 0 || !q.bucket.available() {
		return false
	}
	q.bucket.take()
	return true
}
