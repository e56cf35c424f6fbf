package model

import "time"

// SetRefusing makes discovery refuse calls, or accept them again: a service
// whose process has ended. Open calls are reset at the start, and nodes learn
// nothing until the end.
func (r *Registry) SetRefusing(now time.Duration, on bool) {
	r.advanceTo(now)
	r.setFleetOutage(&r.refusing, on, r.resetCalls)
}

// SetSilent makes discovery accept calls and answer none, or answer again. Calls
// that were open or came during the silence are never answered. This is also
// the outage of agents, which stay silent while discovery is down.
func (r *Registry) SetSilent(now time.Duration, on bool) {
	r.advanceTo(now)
	r.setFleetOutage(&r.silent, on, r.dropCalls)
}

// setFleetOutage begins or ends an outage for all nodes, and keeps in outage
// whether it lasts. At its beginning endCalls ends the open calls of each node.
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

// SetIsolated cuts a node off from discovery, or connects it again. Its agent
// goes on answering with what it had and learns nothing until the end. With
// OnDemand its calls, also those under way, are never answered.
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

// setOutage keeps a node from learning of changes, or ends one reason for it.
// At the end of the last reason the node has at once what it would have had.
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

// dropCalls ends a node's calls without a response, except for responses that
// are already on their way.
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

// resetCalls resets a node's calls, except for responses that are already on
// their way.
func (r *Registry) resetCalls(node int) {
	for _, c := range r.callsInOrder(node) {
		if c.response == nil || c.response.At > r.now {
			r.endCall(c, ConnectionReset)
		}
	}
}
