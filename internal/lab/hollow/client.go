package hollow

import (
	"strconv"
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/arrivals"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
	"bankshift/internal/node"
)

// tryOutcome is how a try ended for its client.
type tryOutcome int

const (
	tryServed tryOutcome = iota
	tryRejected
	tryFailed
	tryUnreachable // no node received it: it was never executed
)

// client is a client's request over all its tries.
type client struct {
	sim         *sim
	arrival     arrivals.Arrival
	class       *class
	key         string        // idempotency key, "" if none
	sentAt      time.Duration // intended time of the first try
	deadline    time.Duration // over all tries
	tries       int           // sent so far
	withinQuota bool          // of its tenant
	finished    bool
	measured    bool // its first try is after the warm-up
}

// startClient begins the request of an arrival.
func (m *sim) startClient(a arrivals.Arrival) {
	class := &m.classes[a.Class]
	c := &client{
		sim:      m,
		arrival:  a,
		class:    class,
		sentAt:   m.trafficStart + a.At,
		measured: a.At >= m.scenario.Warmup.Std(),
	}
	c.deadline = c.sentAt + class.Deadline.Std()
	if class.Idempotency == scenario.IdempotentByKey {
		c.key = strconv.Itoa(a.Number)
	}
	m.recordOffered(c)
	m.openClients++
	c.sendTry()
}

// sendTry sends the request to a node.
func (c *client) sendTry() {
	m := c.sim
	c.tries++
	n := c.chooseNode()
	if n == nil {
		c.tryEnded(tryUnreachable, 0)
		return
	}
	m.currentSecond().tries++
	if c.measured {
		m.report.Requests.Tries++
	}
	r := &request{
		id:             balancer.RequestID(strconv.Itoa(c.arrival.Number) + "." + strconv.Itoa(c.tries)),
		client:         c,
		class:          c.class,
		clientDeadline: c.deadline,
		deadline:       c.deadline - node.ResponseMargin,
	}
	if r.deadline <= m.now {
		c.tryEnded(tryFailed, 0)
		return
	}
	n.accept(r, balancer.RequestArrived{
		ID:      r.id,
		Class:   c.class.Name,
		Tenant:  c.tenant(),
		Key:     strconv.Itoa(c.arrival.Key),
		IsRetry: c.tries > 1,
	})
}

// chooseNode is the client's own node or, once its load balancer has noticed
// that this one is unavailable, another; nil if there is none.
func (c *client) chooseNode() *hollowNode {
	m := c.sim
	own := m.nodes[c.arrival.Node]
	if own.available() {
		return own
	}
	noticed := own.draining || m.now-own.diedAt >= m.scenario.Traffic.FailoverDelay.Std()
	if !noticed && c.tries == 1 {
		return nil
	}
	sameZone := func(n *hollowNode) bool { return n.zone == own.zone }
	other, _ := setup.AlternativeNode(m.nodes, (*hollowNode).available, sameZone, c.arrival.Number+c.tries)
	return other
}

// tenant is the name of the client's tenant, "" if none.
func (c *client) tenant() string {
	if c.arrival.Tenant < 0 {
		return ""
	}
	return c.sim.tenants[c.arrival.Tenant]
}

// tryEnded ends a try. The client tries again where it may and has tries and
// time left.
func (c *client) tryEnded(outcome tryOutcome, retryAfter time.Duration) {
	m := c.sim
	if c.finished {
		return
	}
	if outcome != tryServed && c.tries <= m.scenario.Traffic.Retries && c.mayRetry(outcome) {
		wait := c.backoff(retryAfter)
		if m.now+wait+node.ResponseMargin < c.deadline {
			m.schedule(m.now+wait, c.sendTry)
			return
		}
	}
	c.finished = true
	m.openClients--
	m.recordFinal(c, outcome)
}

// backoff is the wait before the next try.
func (c *client) backoff(retryAfter time.Duration) time.Duration {
	m := c.sim
	if retryAfter > 0 && m.scenario.Fleet.RetryAfterAllowed {
		return retryAfter
	}
	return time.Duration(float64(m.scenario.Traffic.Backoff) * (0.5 + m.rng.Float64()))
}

// mayRetry reports whether another try does no harm.
func (c *client) mayRetry(outcome tryOutcome) bool {
	if outcome == tryRejected || outcome == tryUnreachable || c.class.Idempotency == scenario.Idempotent {
		return true
	}
	return c.class.RepeatableAnywhere() && c.sim.now-c.sentAt < c.class.KeyWindow.Std()
}
