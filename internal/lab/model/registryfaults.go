package model

import "time"

// SetRefusing makes discovery refuse calls, like a service whose process has
// ended, or accept them again. The start of the outage resets open calls, and
// nodes receive no changes until it ends.
func (r *Registry) SetRefusing(now time.Duration, on bool) {
	r.advanceTo(now)
	r.setFleetOutage(&r.refusing, on, r.resetCalls)
}

// SetSilent makes discovery accept calls without answering them, or answer
// again. Calls that are open at the start or made during the outage are never
// answered. This also models agents, which answer nothing while discovery is
// down.
func (r *Registry) SetSilent(now time.Duration, on bool) {
	r.advanceTo(now)
	r.setFleetOutage(&r.silent, on, r.dropCalls)
}

// setFleetOutage begins or ends an outage for all nodes, and records in outage
// whether it is on. When it begins, endCalls is called for each node to end its
// open calls.
func (r *Registry) setFleetOutage(outage *bool, on bool, endCalls func(node int)) {
	if *outage == on {
		return
	}
	*outage = on
	for node := range r.nodes {
		r.setOutage(node, on)
		if on {
			endCalls(node)
		}
	}
}

// SetIsolated cuts off a node from discovery, or connects it again. While the
// node is cut off, its agent receives no changes and answers with the version it
// has. With OnDemand, its calls made meanwhile, and those open at the start, are
// never answered.
func (r *Registry) SetIsolated(now time.Duration, node int, on bool) {
	r.advanceTo(now)
	if r.nodes[node].isolated == on {
		return
	}
	r.nodes[node].isolated = on
	r.setOutage(node, on)
	if on && r.cfg.OnDemand {
		r.dropCalls(node)
	}
}

// ResetWatches resets all calls that are held or being answered.
func (r *Registry) ResetWatches(now time.Duration) {
	r.advanceTo(now)
	for node := range r.nodes {
		r.resetCalls(node)
	}
}

// setOutage begins or ends a fault that keeps changes from a node. When the last
// such fault ends, the node at once has the version it would have without them.
func (r *Registry) setOutage(node int, on bool) {
	n := &r.nodes[node]
	if on {
		n.frozenVersion = r.versionOf(node)
		n.outages++
	} else {
		n.outages--
	}
	for _, c := range r.callsInOrder(node) {
		if c.response == nil {
			r.reschedule(c, min(c.holdUntil, r.now))
		}
	}
}

// dropCalls ends a node's calls without a response, except for calls whose
// response is already due.
func (r *Registry) dropCalls(node int) {
	for _, c := range r.callsInOrder(node) {
		if c.response != nil && c.response.At <= r.now {
			continue
		}
		r.removeCall(c)
		r.stats.Unanswered++
		r.nodes[node].stats.Unanswered++
	}
}

// resetCalls resets a node's calls, except for calls whose response is already
// due.
func (r *Registry) resetCalls(node int) {
	for _, c := range r.callsInOrder(node) {
		if c.response == nil || c.response.At > r.now {
			r.endCall(c, ConnectionReset)
		}
	}
}
