package hollow

import (
	"encoding/json"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/lab/model"
)

// requestOverhead is the number of bytes that a request to discovery transfers
// besides the query and the body: the headers that net/http writes. A real node
// with 60 servers makes 4 idle requests per second and transfers 1.18 KB/s, that
// is 295 bytes per request, of which the response body
// {"index":1,"snapshot":false,"endpoints":[]} takes 45.
const requestOverhead = 250

// applyEndpoints applies a list. The pool adds and changes backends before the balancer handles the update, and
// removes backends after it.
func (n *hollowNode) applyEndpoints(l discovery.List, kind balancer.UpdateKind) {
	update, changes := n.directory.Apply(l, kind)
	for _, c := range changes {
		if c.State != balancer.Removed {
			n.pool.set(c.ID, n.sim.byName[c.Name], c.StartedAtMS, c.State != balancer.Ready)
		}
	}
	n.handle(update)
	for _, c := range changes {
		if c.State == balancer.Removed {
			n.pool.remove(c.ID)
		}
	}
	n.ready = n.ready || n.directory.Len() > 0
	n.observe(l.Version)
}

// observe records that the node has now applied all versions up to the given one. The propagation delays do not
// include versions that were published before the node's start or outside the measured time.
func (n *hollowNode) observe(version uint64) {
	m := n.sim
	for v := n.version + 1; v <= version; v++ {
		if madeAt := m.versionTimes[v]; madeAt > n.startedAt && m.isMeasured(madeAt) {
			m.propagationDelays.Add(m.now - madeAt)
		}
	}
	if version > n.version {
		n.version = version
		n.observations = append(n.observations, observation{version, m.now})
	}
}

// observedAt returns when the node applied a version or a later one, discovery.Never if it has not.
func (n *hollowNode) observedAt(version uint64) time.Duration {
	for _, o := range n.observations {
		if o.version >= version {
			return o.at
		}
	}
	return discovery.Never
}

// startPoll starts the poll that is due, with its hedged requests and its timeout. If none is due, it schedules
// itself for the time of the next one.
func (n *hollowNode) startPoll() {
	m := n.sim
	poll, at, ok := n.watcher.Next(m.now)
	if !ok {
		n.startPollAt(at)
		return
	}
	n.poll = poll
	n.sendPoll(poll, poll.LongPollTimeout)
	for _, delay := range poll.RequestTimes()[1:] {
		n.schedule(m.now+delay, func() {
			if n.polling(poll) {
				n.cancelPoll()
				n.sendPoll(poll, 0)
			}
		})
	}
	n.schedule(m.now+poll.Timeout, func() {
		if n.polling(poll) {
			n.cancelPoll()
			n.pollFailed(poll)
		}
	})
}

// startPollAt schedules startPoll, in place of a call that is already scheduled for another time.
func (n *hollowNode) startPollAt(at time.Duration) {
	if at == discovery.Never || at == n.nextPollAt {
		return
	}
	n.nextPollAt = at
	n.schedule(at, func() {
		if n.nextPollAt == at {
			n.nextPollAt = discovery.Never
			n.startPoll()
		}
	})
}

// polling reports whether the given poll is in flight.
func (n *hollowNode) polling(poll discovery.Poll) bool { return n.callID != 0 && n.poll == poll }

// sendPoll sends one request of a poll. In this model a hedged request replaces the request before it, while a
// real node keeps both in flight.
func (n *hollowNode) sendPoll(poll discovery.Poll, hold time.Duration) {
	m := n.sim
	n.callID = m.registry.Call(m.now, n.index, poll.FromVersion, hold)
	m.wakeRegistry()
	m.countListBytes(n, requestOverhead+len(poll.Query()))
	m.currentSecond().polls++
}

func (n *hollowNode) cancelPoll() {
	if n.callID != 0 {
		n.sim.registry.CancelCall(n.sim.now, n.callID)
		n.sim.wakeRegistry()
		n.callID = 0
	}
}

func (n *hollowNode) pollFailed(poll discovery.Poll) {
	if n.watcher.Failed(n.sim.now, poll) && n.cfg.Settings.EndpointsOnDemand {
		n.handle(balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
	}
	n.continuePolling()
}

// continuePolling starts the next poll unless one is in flight.
func (n *hollowNode) continuePolling() {
	if n.callID == 0 {
		n.startPoll()
	}
}

// pollEnded handles discovery's response, or its failure, unless the request has been canceled.
func (n *hollowNode) pollEnded(response model.Response) {
	m := n.sim
	if n.dead || response.CallID != n.callID {
		return
	}
	poll := n.poll
	n.callID = 0
	if response.Outcome != model.Served {
		n.pollFailed(poll)
		return
	}
	m.countListBytes(n, len(response.Body))
	if response.Snapshot {
		m.currentSecond().snapshots++
	}
	l, err := m.decode(response.Body)
	if err != nil {
		m.recordViolation("a list cannot be read: %v", err)
		n.pollFailed(poll)
		return
	}
	if n.watcher.Succeeded(m.now, poll, l) {
		n.applyEndpoints(l, l.Kind())
	}
	n.continuePolling()
}

// requestPoll passes the balancer's request for the full list or for changes to the watcher, and cancels the poll
// in flight if its result no longer counts.
func (n *hollowNode) requestPoll(fetch, watch bool) {
	if n.watcher.Request(n.sim.now, fetch, watch) {
		n.cancelPoll()
	}
	n.schedule(n.sim.now, n.continuePolling)
}

// decode decodes a list. Nodes that receive the same bytes in succession share the result.
func (m *sim) decode(body []byte) (discovery.List, error) {
	if len(m.decodedBody) > 0 && len(body) > 0 && &m.decodedBody[0] == &body[0] {
		return m.decodedList, nil
	}
	m.decodedList = discovery.List{}
	if err := json.Unmarshal(body, &m.decodedList); err != nil {
		return m.decodedList, err
	}
	m.decodedBody = body
	return m.decodedList, nil
}
