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

// tryOutcome is the result of a try as its client sees it.
type tryOutcome int

const (
	tryServed tryOutcome = iota
	tryRejected
	tryFailed
	tryUnreachable // no node received the try, so it was never executed
)

// client is one client with its only request, over all tries of it.
type client struct {
	sim         *sim
	arrival     arrivals.Arrival
	class       *class
	key         string        // idempotency key, "" if none
	sentAt      time.Duration // intended time of the first try
	deadline    time.Duration // of the request, over all tries
	tries       int           // sent so far
	withinQuota bool          // the request is within its tenant's quota
	finished    bool
	measured    bool // the first try is due after the warm-up
}

// startClient creates the client of an arrival and sends its first try.
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

// sendTry sends the next try of the request to a node.
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
	n.startRequest(r, balancer.RequestArrived{
		ID:      r.id,
		Class:   c.class.Name,
		Tenant:  c.tenant(),
		Key:     strconv.Itoa(c.arrival.Key),
		IsRetry: c.tries > 1,
	})
}

// chooseNode returns the client's own node if that is available. Otherwise it returns another available node.
// It returns nil if there is none, and for a first try before the load balancer in front of the nodes has
// noticed the failure.
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

// tenant returns the name of the client's tenant, "" if it has none.
func (c *client) tenant() string {
	if c.arrival.Tenant < 0 {
		return ""
	}
	return c.sim.tenants[c.arrival.Tenant]
}

// tryEnded handles the end of a try. The client retries if that is safe and it has tries and time left;
// otherwise the outcome is final.
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

// backoff returns the wait before the next try: Retry-After where the scenario allows it, else the scenario's
// mean wait with jitter.
func (c *client) backoff(retryAfter time.Duration) time.Duration {
	m := c.sim
	if retryAfter > 0 && m.scenario.Fleet.RetryAfterAllowed {
		return retryAfter
	}
	return time.Duration(float64(m.scenario.Traffic.Backoff) * (0.5 + m.rng.Float64()))
}

// mayRetry reports whether another try does no harm: the node rejected this one, no node received it, or any server
// may execute the request again. With an idempotency key, that holds until the key's window has passed.
func (c *client) mayRetry(outcome tryOutcome) bool {
	if outcome == tryRejected || outcome == tryUnreachable || c.class.Idempotency == scenario.Idempotent {
		return true
	}
	return c.class.RepeatableAnywhere() && c.sim.now-c.sentAt < c.class.KeyWindow.Std()
}
