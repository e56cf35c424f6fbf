package hollow

import (
	"fmt"
	"math/rand/v2"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/lab/model"
	"bankshift/internal/node"
)

const (
	longestHeld = 3 * time.Second        // SIGKILL waits for the longest deadline, counted as so long at most,
	killSlack   = 700 * time.Millisecond // and so much more: the protocol's page
	endSlack    = 300 * time.Millisecond // before it all answers are given, as package node has it
)

// hnode is a hollow node: one life of it, from a start to its end.
type hnode struct {
	m        *sim
	index    int
	life     int // how often it had started before
	zone     int
	cfg      node.Config
	module   *balancer.Balancer
	servers  discovery.Directory
	watcher  *discovery.Watcher
	requests map[balancer.RequestID]*request
	queue    []balancer.Event // that came of actions, to be handled next
	pool     pool

	born    time.Duration
	diedAt  time.Duration
	ready   bool // it has been seen to have servers
	dead    bool
	leaving bool
	ends    time.Duration // all answers are given by then; 0: no order to stop yet

	call   discovery.Poll // under way
	callID uint64         // the registry's name for it; 0: none
	pollAt time.Duration  // when the watcher is asked next

	version uint64 // of its list
	history []learned
}

// learned is when a node took up a version.
type learned struct {
	version uint64
	at      time.Duration
}

// request is a client's try until it is answered and its attempts have ended.
type request struct {
	id       balancer.RequestID
	client   *client
	class    *class
	deadline time.Duration // for the node
	limit    time.Duration // for its client
	arrived  time.Duration
	attempts []*attempt
	running  int
	done     bool
}

func newHollow(m *sim, i, life int, cfg node.Config) *hnode {
	n := &hnode{m: m, index: i, life: life, zone: m.zoneOf[cfg.Settings.Zone], cfg: cfg, pollAt: discovery.Never,
		module: balancer.New(cfg.Settings, cfg.Seed), requests: map[balancer.RequestID]*request{}}
	n.watcher = discovery.NewWatcher(discovery.ScheduleFor(cfg.Settings),
		rand.New(rand.NewPCG(uint64(cfg.Seed), 1)).Float64)
	_, most := cfg.Connections()
	n.pool.init(n, most)
	return n
}

// run starts the node, as node.Run does: first the list that it had.
func (n *hnode) run() {
	n.born = n.m.now
	if n.dead {
		return
	}
	n.follow(n.cfg.Known, balancer.CachedUpdate)
	n.cfg.Known = discovery.List{}
	n.pool.expireLater()
	n.poll()
}

// clock is the module's: the machine's wall clock.
func (n *hnode) clock() balancer.Time { return epoch + n.m.now }

// handle tells the module of an event and carries out what it decides, in order.
func (n *hnode) handle(e balancer.Event) {
	n.queue = append(n.queue, e)
	if len(n.queue) > 1 {
		return // the call further up gets to it
	}
	for len(n.queue) > 0 {
		for _, a := range n.decide(n.queue[0]) {
			n.act(a)
		}
		n.queue = n.queue[1:]
	}
	n.queue = nil
}

// decide has the module handle an event, and takes the time of it.
func (n *hnode) decide(e balancer.Event) []balancer.Action {
	began := time.Now()
	actions := n.module.Handle(n.clock(), e)
	n.m.moduleTime += time.Since(began)
	n.m.moduleEvents++
	return actions
}

func (n *hnode) act(a balancer.Action) {
	m := n.m
	switch a := a.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Reject:
		if r := n.requests[a.ID]; r != nil && !r.done {
			m.judgeRefusal(r)
		}
		n.finish(a.ID, refused, a.RetryAfter)
	case balancer.Fail:
		n.finish(a.ID, failed, 0)
	case balancer.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			n.later(m.now, r.attempts[a.Attempt].cancel)
		}
	case balancer.SetTimer:
		n.later(m.now+a.After, func() { n.handle(balancer.TimerFired{Token: a.Token}) })
	case balancer.CloseIdleConnections:
		n.pool.closeIdle(a.Endpoint)
	case balancer.Subscribe:
		n.ask(false, a.On)
	case balancer.FetchEndpoints:
		n.ask(true, n.cfg.Settings.EndpointsOnDemand)
	case balancer.EndpointEjected:
		m.second().suspects++
	case balancer.EndpointRecovered:
	default:
		m.broke("node %d: the action %T cannot be carried out", n.index, a)
	}
}

// later has do run unless the node has ended by then.
func (n *hnode) later(t time.Duration, do func()) {
	n.m.at(t, func() {
		if !n.dead {
			do()
		}
	})
}

// open takes a client's try.
func (n *hnode) open(r *request, e balancer.RequestArrived) {
	m := n.m
	r.arrived = m.now
	if most := n.cfg.Settings.MaxOpenRequests; most > 0 && len(n.requests) >= most {
		r.done = true
		r.client.ended(refused, 0)
		return
	}
	if n.ends > 0 && n.ends < r.deadline {
		r.deadline = n.ends
	}
	e.Timeout = r.deadline - m.now
	n.requests[r.id] = r
	n.guard(r, r.deadline+node.WatchdogDelay)
	n.handle(e)
}

// guard answers at a time what the module has not answered by then.
func (n *hnode) guard(r *request, t time.Duration) {
	n.later(t, func() {
		if r.done {
			return
		}
		m := n.m
		m.second().guarded++
		n.finish(r.id, failed, 0)
		for _, a := range r.attempts {
			n.later(m.now, a.cancel)
		}
		n.handle(balancer.RequestAbandoned{ID: r.id})
	})
}

// finish gives a try its final answer. All answers pass here, and only the
// first goes on.
func (n *hnode) finish(id balancer.RequestID, o outcome, holdOff time.Duration) {
	r := n.requests[id]
	if r == nil || r.done {
		return
	}
	r.done = true
	n.m.judgeAnswer(r)
	for _, a := range r.attempts { // what has not been sent is called off
		if a.dialling() {
			n.later(n.m.now, a.moot)
		}
	}
	r.client.ended(o, holdOff)
	n.forget(r)
}

func (n *hnode) forget(r *request) {
	if r.done && r.running == 0 {
		delete(n.requests, r.id)
	}
}

func (n *hnode) send(s balancer.Send) {
	m := n.m
	r := n.requests[s.ID]
	if r == nil {
		m.broke("node %d sends a request that is not open", n.index)
		return
	}
	left := r.deadline - m.now
	if s.Timeout != 0 {
		left = min(left, s.Timeout)
	}
	a := &attempt{n: n, r: r, number: len(r.attempts), id: s.Endpoint, sent: m.now, end: m.now + left}
	if s.StartWithin > 0 {
		a.openEnd = m.now + s.StartWithin
	}
	if r.done || r.running > 0 && !n.cfg.Settings.HedgingAllowed {
		a.state, a.code = over, balancer.NotSent
		m.judgeSend(a, r.attempts)
		r.attempts = append(r.attempts, a)
		n.queue = append(n.queue, balancer.AttemptEnded{ID: r.id, Attempt: a.number, Endpoint: s.Endpoint, RequestDone: r.done, Outcome: balancer.NotSent})
		return
	}
	m.judgeSend(a, r.attempts)
	r.attempts = append(r.attempts, a)
	r.running++
	m.attempted(a)
	n.later(m.now, a.begin)
}

// ended passes on how an attempt ended.
func (n *hnode) ended(a *attempt) {
	r := a.r
	r.running--
	if a.code == balancer.OK {
		if !r.done {
			n.m.served(a)
		}
		n.finish(r.id, served, 0)
	}
	n.handle(balancer.AttemptEnded{ID: r.id, Attempt: a.number, Endpoint: a.id, RequestDone: r.done, Elapsed: n.m.now - a.sent, Outcome: a.code})
	n.forget(r)
}

// follow takes a list: what the pool needs, the rest for the module.
func (n *hnode) follow(l discovery.List, kind balancer.UpdateKind) {
	u, changes := n.servers.Apply(l, kind)
	for _, c := range changes {
		if c.State != balancer.Removed {
			n.pool.set(c.ID, n.m.byName[c.Name], c.StartedAtMS, c.State != balancer.Ready)
		}
	}
	n.handle(u)
	for _, c := range changes {
		if c.State == balancer.Removed {
			n.pool.remove(c.ID)
		}
	}
	n.ready = n.ready || n.servers.Len() > 0
	n.learn(l.Version)
}

// learn notes when the node took up versions that came about in its life.
func (n *hnode) learn(version uint64) {
	m := n.m
	for v := n.version + 1; v <= version; v++ {
		if at := m.versions[v]; at > n.born && m.measured(at) {
			m.toldTimes.Add(m.now - at)
		}
	}
	if version > n.version {
		n.version = version
		n.history = append(n.history, learned{version, m.now})
	}
}

// learned is when the node took up a version.
func (n *hnode) learned(version uint64) time.Duration {
	for _, l := range n.history {
		if l.version >= version {
			return l.at
		}
	}
	return discovery.Never
}

// poll makes the call to discovery that is due, or comes back when one is.
func (n *hnode) poll() {
	m := n.m
	call, at, ok := n.watcher.Next(m.now)
	switch {
	case ok:
		n.call = call
		n.request(call, call.LongPollTimeout)
		for _, at := range call.RequestTimes()[1:] {
			n.later(m.now+at, func() {
				if n.calling(call) {
					n.hangup()
					n.request(call, 0)
				}
			})
		}
		n.later(m.now+call.Timeout, func() {
			if n.calling(call) {
				n.hangup()
				n.callFailed(call)
			}
		})
	case at != discovery.Never && at != n.pollAt:
		n.pollAt = at
		n.later(at, func() {
			if n.pollAt == at {
				n.pollAt = discovery.Never
				n.poll()
			}
		})
	}
}

// calling tells whether a call is under way.
func (n *hnode) calling(call discovery.Poll) bool { return n.callID != 0 && n.call == call }

// request makes a request of a call. Here the next one takes the place of the
// one before, where a node's goes out beside it.
func (n *hnode) request(call discovery.Poll, hold time.Duration) {
	m := n.m
	n.callID = m.registry.Call(m.now, n.index, call.FromVersion, hold)
	m.wakeRegistry()
	m.listBytes(n, callHead+len(call.Query()))
	m.second().calls++
}

func (n *hnode) hangup() {
	if n.callID != 0 {
		n.m.registry.CancelCall(n.m.now, n.callID)
		n.m.wakeRegistry()
		n.callID = 0
	}
}

func (n *hnode) callFailed(call discovery.Poll) {
	if n.watcher.Failed(n.m.now, call) && n.cfg.Settings.EndpointsOnDemand {
		n.handle(balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
	}
	if n.callID == 0 {
		n.poll()
	}
}

// told takes the end of a call.
func (n *hnode) told(a model.Response) {
	m := n.m
	if n.dead || a.CallID != n.callID {
		return
	}
	call := n.call
	n.callID = 0
	if a.Outcome != model.Served {
		n.callFailed(call)
		return
	}
	m.listBytes(n, len(a.Body))
	if a.Snapshot {
		m.second().whole++
	}
	l, err := m.decode(a.Body)
	if err != nil {
		m.broke("a list cannot be read: %v", err)
		n.callFailed(call)
		return
	}
	if n.watcher.Succeeded(m.now, call, l) {
		n.follow(l, l.Kind())
	}
	if n.callID == 0 {
		n.poll()
	}
}

// ask does what the module wants where lists are asked for.
func (n *hnode) ask(fetch, watch bool) {
	if n.watcher.Request(n.m.now, fetch, watch) {
		n.hangup()
	}
	n.later(n.m.now, func() {
		if n.callID == 0 {
			n.poll()
		}
	})
}

// kill ends the node at once, and has it back after its time away.
func (n *hnode) kill() {
	if n.dead {
		return
	}
	m := n.m
	n.hangup()
	n.dead, n.diedAt = true, m.now
	n.pool.end()
	for _, r := range m.inOrder(n.requests) {
		for _, a := range r.attempts {
			a.abort()
		}
		if !r.done {
			r.done = true
			r.client.ended(failed, 0) // its connection is reset
		}
	}
	n.requests = nil
	m.at(m.now+m.s.Fleet.Restart.Std(), func() {
		next, err := m.newNode(n.index, n.life+1, m.known())
		if err != nil {
			panic(fmt.Sprintf("hollow: a configuration that was taken before: %v", err))
		}
		m.nodes[n.index] = next
		next.run()
	})
}

// leave ends the node in order: clients go elsewhere at once, what it has
// taken is answered before it is killed.
func (n *hnode) leave() {
	if n.dead || n.leaving {
		return
	}
	m := n.m
	longest := time.Duration(0)
	for _, c := range n.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	end := m.now + min(longest, longestHeld) + killSlack
	n.leaving, n.ends = true, end-endSlack
	for _, r := range m.inOrder(n.requests) {
		if !r.done && n.ends < r.deadline {
			r.deadline = n.ends
			n.guard(r, n.ends)
		}
	}
	m.at(end, n.kill)
}
