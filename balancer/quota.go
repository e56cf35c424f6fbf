package balancer

import "math"

const (
	minQuotaBurst    = 20.0 // requests that a share saves up at least: at the quota chance then denies 1 in 40
	firstQuotaTokens = 3.0  // that it has at first, give or take half: one is inside at once, and of 30 it is a tenth
)

type tenant struct {
	perNode, tokens float64 // the even part of its quota, 1/s; requests left of it
	refilledAt      Time    // of its last request, from the module's first event on
}

// within takes a request of the tenant's share at this node, if there is one left. The node gets an even part of
// the quota, however little that is: it saves up whole requests, as chance brings a tenant's in clumps. age is the
// time since the module's first event.
func (t *tenant) within(age Time) bool {
	depth := math.Max(t.perNode, minQuotaBurst)
	t.tokens, t.refilledAt = math.Min(depth, t.tokens+t.perNode*(age-t.refilledAt).Seconds()), age
	ok := t.tokens >= 1 && t.perNode > 0
	if ok {
		t.tokens--
	}
	return ok
}
