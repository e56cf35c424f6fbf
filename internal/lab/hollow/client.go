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
type outcome int

const (
	served outcome = iota
	refused
	failed
	unreachable // its node was not there: it never ran
)

// client is a client's request over all its tries.
type client struct {
	m        *sim
	arrival  arrivals.Arrival
	class    *class
	key      string        // idempotency key
	sent     time.Duration // the intended time of the first try
	deadline time.Duration // over all tries
	tries    int
	inside   bool // its tenant's share
	done     bool
	counts   bool // it was to be sent after the warm-up
}

// offer brings an arrival.
func (m *sim) offer(a arrivals.Arrival) {
	k := &m.classes[a.Class]
	c := &client{m: m, arrival: a, class: k, sent: m.t0 + a.At, counts: a.At >= m.s.Warm.Std()}
	c.deadline = c.sent + k.Deadline.Std()
	if k.Effect == "keyed" {
		c.key = strconv.Itoa(a.Number)
	}
	m.offered(c)
	m.clients++
	c.try()
}

// try sends the request to the client's node or, where the front has noticed
// that it is not there, to another.
func (c *client) try() {
	m := c.m
	c.tries++
	n := m.nodes[c.arrival.Node]
	if n.dead || !n.ready || n.leaving {
		gone := n.leaving || m.now-n.diedAt >= m.s.Traffic.FrontNotice.Std()
		other := m.another(n, c.arrival.Number+c.tries)
		if other == nil || !gone && c.tries == 1 {
			c.ended(unreachable, 0)
			return
		}
		n = other
	}
	m.second().tries++
	if c.counts {
		m.r.Requests.Tries++
	}
	tenant := ""
	if t := c.arrival.Tenant; t >= 0 {
		tenant = m.tenants[t]
	}
	r := &request{id: balancer.RequestID(strconv.Itoa(c.arrival.Number) + "." + strconv.Itoa(c.tries)), client: c, class: c.class,
		limit: c.deadline, deadline: c.deadline - node.ResponseMargin}
	if r.deadline <= m.now {
		c.ended(failed, 0)
		return
	}
	n.open(r, balancer.RequestArrived{ID: r.id, Class: c.class.Name, Tenant: tenant, Key: strconv.Itoa(c.arrival.Key), IsRetry: c.tries > 1})
}

// another finds a node of a zone that takes requests, or one of any zone; nil:
// there is none.
func (m *sim) another(of *hnode, pick int) *hnode {
	var near, far []*hnode
	for _, n := range m.nodes {
		switch {
		case n.dead || n.leaving || !n.ready:
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
func (c *client) ended(o outcome, holdOff time.Duration) {
	m := c.m
	if c.done {
		return
	}
	if o != served && c.tries <= m.s.Traffic.Retries && c.mayRepeat(o) {
		wait := holdOff
		if wait <= 0 || !m.s.Fleet.RetryAfter {
			wait = time.Duration(float64(m.s.Traffic.Backoff) * (0.5 + m.rng.Float64()))
		}
		if m.now+wait+node.ResponseMargin < c.deadline {
			m.at(m.now+wait, c.try)
			return
		}
	}
	c.done = true
	m.clients--
	m.final(c, o)
}

// mayRepeat: what was refused or never taken does no harm, nor does what is
// safe, nor a key that all servers know.
func (c *client) mayRepeat(o outcome) bool {
	k := c.class
	return o == refused || o == unreachable || k.Effect == "safe" ||
		k.Effect == "keyed" && k.Scope == "all" && c.m.now-c.sent < k.Window.Std()
}

// inOrder gives requests in one order.
func (m *sim) inOrder(requests map[balancer.RequestID]*request) []*request {
	return slices.SortedFunc(maps.Values(requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}
