package model

import (
	"cmp"
	"container/heap"
	"maps"
	"slices"
	"time"
)

// call is a call that has not ended. It is held until its node has a newer version
// or until holdUntil, and then answered.
type call struct {
	id          uint64
	node        int
	fromVersion uint64 // version that the node already has; 0: it requests the whole list
	holdUntil   time.Duration
	due         time.Duration // when the call is evaluated next or, with a response, when the response is returned
	response    *Response     // nil while the call is held
	heapIndex   int           // index in Registry.pending
}

// Call starts a call of a node and returns its ID. With from 0 the call requests
// the whole list; otherwise it is a watch for changes after version from, which
// is held for at most hold. Advance returns how the call ended.
func (r *Registry) Call(now time.Duration, node int, from uint64, hold time.Duration) uint64 {
	r.advanceTo(now)
	r.lastCallID++
	c := &call{id: r.lastCallID, node: node, fromVersion: from, holdUntil: r.now + min(max(hold, 0), maxHold)}
	n := &r.nodes[node]
	r.stats.Calls++
	n.stats.Calls++
	switch {
	case r.cfg.OnDemand && n.isolated, r.silent:
		r.stats.Unanswered++
		n.stats.Unanswered++
	case r.refusing:
		r.addCall(c, r.now)
		r.endCall(c, ConnectionRefused)
	default:
		r.addCall(c, r.now)
		r.evaluate(c)
	}
	return c.id
}

// CancelCall ends a call that its node has canceled. With OnDemand, service time
// that is already reserved for its response stays reserved.
func (r *Registry) CancelCall(now time.Duration, id uint64) {
	r.advanceTo(now)
	if c := r.byID[id]; c != nil {
		r.removeCall(c)
	}
}

// evaluate answers a call, or reschedules it for the time at which that may
// become possible.
func (r *Registry) evaluate(c *call) {
	v := r.versionOf(c.node)
	if v == c.fromVersion && c.fromVersion != 0 && r.now < c.holdUntil {
		r.reschedule(c, r.nextChangeFor(c, v))
		return
	}
	response := &Response{CallID: c.id, Node: c.node, Outcome: Served, At: r.now, Version: v}
	var list *encodedList
	if c.fromVersion == 0 || v < c.fromVersion || c.fromVersion+1 < r.oldestVersion() {
		response.Snapshot = true
		list = r.snapshotAt(v)
	} else {
		list = r.changesBetween(c.fromVersion, v)
	}
	response.Body = list.json
	response.Entries = list.entries
	if r.cfg.OnDemand {
		r.busyUntil = max(r.busyUntil, r.now) + r.cfg.ResponseTime + time.Duration(list.entries)*r.cfg.EntryTime
		response.At = r.busyUntil
	}
	c.response = response
	r.reschedule(c, response.At)
}

// nextChangeFor returns when the node of a held call receives the version after v,
// or the end of the hold if that is earlier.
func (r *Registry) nextChangeFor(c *call, v uint64) time.Duration {
	n := &r.nodes[c.node]
	next := v + 1
	if n.outages > 0 || next > r.latest || next < r.oldestVersion() {
		return c.holdUntil
	}
	return min(c.holdUntil, r.log[next-r.oldestVersion()].at+n.delay)
}

// callsInOrder returns a node's calls in the order in which they started.
func (r *Registry) callsInOrder(node int) []*call {
	return slices.SortedFunc(maps.Values(r.nodes[node].calls), func(a, b *call) int { return cmp.Compare(a.id, b.id) })
}

// endCall ends a call now with an outcome other than Served.
func (r *Registry) endCall(c *call, outcome Outcome) {
	c.response = &Response{CallID: c.id, Node: c.node, Outcome: outcome, At: r.now}
	r.reschedule(c, r.now)
}

func (r *Registry) addCall(c *call, due time.Duration) {
	c.due = due
	heap.Push(&r.pending, c)
	r.byID[c.id] = c
	r.nodes[c.node].calls[c.id] = c
}

func (r *Registry) removeCall(c *call) {
	heap.Remove(&r.pending, c.heapIndex)
	delete(r.byID, c.id)
	delete(r.nodes[c.node].calls, c.id)
}

func (r *Registry) reschedule(c *call, due time.Duration) {
	if c.due != due {
		c.due = due
		heap.Fix(&r.pending, c.heapIndex)
	}
}

// callQueue is a heap of calls, ordered by due and then by id.
type callQueue []*call

func (q callQueue) Len() int { return len(q) }

func (q callQueue) Less(i, j int) bool {
	if q[i].due != q[j].due {
		return q[i].due < q[j].due
	}
	return q[i].id < q[j].id
}

func (q callQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex = i
	q[j].heapIndex = j
}

func (q *callQueue) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*q)
	*q = append(*q, c)
}

func (q *callQueue) Pop() any {
	last := len(*q) - 1
	c := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return c
}
