package hollow

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/arrivals"
	"bankshift/internal/node"
)

// outcome is how a try ended for its client.
type tryOutcome int

const (
	tryServed tryOutcome = iota
	tryRejected
	tryFailed
	tryUnreachable // its node was not there: it never ran
)

// client is a client's request over all its tries.
type client struct {
	sim         *sim
	arrival     arrivals.Arrival
	class       *class
	key         string        // idempotency key
	sentAt      time.Duration // the intended time of the first try
	deadline    time.Duration // over all tries
	tries       int
	withinQuota bool // its tenant's share
	finished    bool
	measured    bool // it was to be sent after the warm-up
}

// offer brings an arrival.
func (m *sim) offer(a arrivals.Arrival) {
	k := &m.classes[a.Class]
	c := &client{sim: m, arrival: a, class: k, sentAt: m.trafficStart + a.At, measured: a.At >= m.scenario.Warmup.Std()}
	c.deadline = c.sentAt + k.Deadline.Std()
	if k.Idempotency == "keyed" {
		c.key = strconv.Itoa(a.Number)
	}
	m.recordOffered(c)
	m.openClients++
	c.sendTry()
}

// try sends the request to the client's node or, where the front has noticed
// that it is not there, to another.
func (c *client) sendTry() {
	m := c.sim
	c.tries++
	n := m.nodes[c.arrival.Node]
	if n.dead || !n.ready || n.draining {
		gone := n.draining || m.now-n.diedAt >= m.scenario.Traffic.FailoverDelay.Std()
		other := m.alternativeNode(n, c.arrival.Number+c.tries)
		if other == nil || !gone && c.tries == 1 {
			c.tryEnded(tryUnreachable, 0)
			return
		}
		n = other
	}
	m.currentSecond().tries++
	if c.measured {
		m.run_.Requests.Tries++
	}
	tenant := ""
	if t := c.arrival.Tenant; t >= 0 {
		tenant = m.tenants[t]
	}
	r := &request{id: balancer.RequestID(strconv.Itoa(c.arrival.Number) + "." + strconv.Itoa(c.tries)), client: c, class: c.class,
		clientDeadline: c.deadline, deadline: c.deadline - node.AnswerMargin}
	if r.deadline <= m.now {
		c.tryEnded(tryFailed, 0)
		return
	}
	n.accept(r, balancer.RequestArrived{ID: r.id, Class: c.class.Name, Tenant: tenant, Key: strconv.Itoa(c.arrival.Key), IsRetry: c.tries > 1})
}

// another finds a node of a zone that takes requests, or one of any zone; nil:
// there is none.
func (m *sim) alternativeNode(of *hollowNode, pick int) *hollowNode {
	var near, far []*hollowNode
	for _, n := range m.nodes {
		switch {
		case n.dead || n.draining || !n.ready:
		case n.zone == of.zone:
			near = append(near, n)
		default:
			far = append(far, n)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return nil
	}
	return near[pick%len(near)]
}

// ended ends a try. The client tries again where it may, has tries left and time.
func (c *client) tryEnded(o tryOutcome, holdOff time.Duration) {
	m := c.sim
	if c.finished {
		return
	}
	if o != tryServed && c.tries <= m.scenario.Traffic.Retries && c.mayRetry(o) {
		wait := holdOff
		if wait <= 0 || !m.scenario.Fleet.RetryAfterAllowed {
			wait = time.Duration(float64(m.scenario.Traffic.Backoff) * (0.5 + m.rng.Float64()))
		}
		if m.now+wait+node.AnswerMargin < c.deadline {
			m.schedule(m.now+wait, c.sendTry)
			return
		}
	}
	c.finished = true
	m.openClients--
	m.recordFinal(c, o)
}

// mayRepeat: what was refused or never taken does no harm, nor does what is
// safe, nor a key that all servers know.
func (c *client) mayRetry(o tryOutcome) bool {
	k := c.class
	return o == tryRejected || o == tryUnreachable || k.Idempotency == "safe" ||
		k.Idempotency == "keyed" && k.KeyScope == "all" && c.sim.now-c.sentAt < k.KeyWindow.Std()
}

// inOrder gives requests in one order.
func (m *sim) sortedRequests(requests map[balancer.RequestID]*request) []*request {
	return slices.SortedFunc(maps.Values(requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}
