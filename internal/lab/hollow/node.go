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
	maxDeadlineWait = 3 * time.Second        // SIGKILL waits for the longest deadline, counted as so long at most,
	killSlack       = 700 * time.Millisecond // and so much more: the protocol's page
	answerLead      = 300 * time.Millisecond // before it all answers are given, as package node has it
)

// hnode is a hollow node: one life of it, from a start to its end.
type hollowNode struct {
	sim           *sim
	index         int
	incarnation   int // how often it had started before
	zone          int
	cfg           node.Config
	balancer      *balancer.Balancer
	endpoints     discovery.Directory
	watcher       *discovery.Watcher
	requests      map[balancer.RequestID]*request
	pendingEvents []balancer.Event // that came of actions, to be handled next
	pool          pool

	startedAt time.Duration
	diedAt    time.Duration
	ready     bool // it has been seen to have servers
	dead      bool
	draining  bool
	answerBy  time.Duration // all answers are given by then; 0: no order to stop yet

	poll       discovery.Poll // under way
	callID     uint64         // the registry's name for it; 0: none
	nextPollAt time.Duration  // when the watcher is asked next

	version      uint64 // of its list
	observations []observation
}

// learned is when a node took up a version.
type observation struct {
	version uint64
	at      time.Duration
}

// request is a client's try until it is answered and its attempts have ended.
type request struct {
	id             balancer.RequestID
	client         *client
	class          *class
	deadline       time.Duration // for the node
	clientDeadline time.Duration // for its client
	arrived        time.Duration
	attempts       []*attempt
	inFlight       int
	answered       bool
}

func newHollowNode(m *sim, i, life int, cfg node.Config) *hollowNode {
	n := &hollowNode{sim: m, index: i, incarnation: life, zone: m.zoneOf[cfg.Settings.Zone], cfg: cfg, nextPollAt: discovery.Never,
		balancer: balancer.New(cfg.Settings, cfg.Seed), requests: map[balancer.RequestID]*request{}}
	n.watcher = discovery.NewWatcher(discovery.ScheduleFor(cfg.Settings),
		rand.New(rand.NewPCG(uint64(cfg.Seed), 1)).Float64)
	_, most := cfg.Connections()
	n.pool.init(n, most)
	return n
}

// run starts the node, as node.Run does: first the list that it had.
func (n *hollowNode) start() {
	n.startedAt = n.sim.now
	if n.dead {
		return
	}
	n.applyUpdate(n.cfg.Known, balancer.CachedUpdate)
	n.cfg.Known = discovery.List{}
	n.pool.expireLater()
	n.startPoll()
}

// clock is the module's: the machine's wall clock.
func (n *hollowNode) clock() balancer.Time { return epoch + n.sim.now }

// handle tells the module of an event and carries out what it decides, in order.
func (n *hollowNode) handle(e balancer.Event) {
	n.pendingEvents = append(n.pendingEvents, e)
	if len(n.pendingEvents) > 1 {
		return // the call further up gets to it
	}
	for len(n.pendingEvents) > 0 {
		for _, a := range n.callBalancer(n.pendingEvents[0]) {
			n.apply(a)
		}
		n.pendingEvents = n.pendingEvents[1:]
	}
	n.pendingEvents = nil
}

// decide has the module handle an event, and takes the time of it.
func (n *hollowNode) callBalancer(e balancer.Event) []balancer.Action {
	began := time.Now()
	actions := n.balancer.Handle(n.clock(), e)
	n.sim.balancerTime += time.Since(began)
	n.sim.balancerEvents++
	return actions
}

func (n *hollowNode) apply(a balancer.Action) {
	m := n.sim
	switch a := a.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Reject:
		if r := n.requests[a.ID]; r != nil && !r.answered {
			m.checkRejection(r)
		}
		n.answer(a.ID, tryRejected, a.RetryAfter)
	case balancer.Fail:
		n.answer(a.ID, tryFailed, 0)
	case balancer.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			n.schedule(m.now, r.attempts[a.Attempt].cancel)
		}
	case balancer.SetTimer:
		n.schedule(m.now+a.After, func() { n.handle(balancer.TimerFired{Token: a.Token}) })
	case balancer.CloseIdleConnections:
		n.pool.closeIdle(a.Endpoint)
	case balancer.Subscribe:
		n.requestPoll(false, a.On)
	case balancer.FetchEndpoints:
		n.requestPoll(true, n.cfg.Settings.EndpointsOnDemand)
	case balancer.EndpointEjected:
		m.currentSecond().ejections++
	case balancer.EndpointRecovered:
	default:
		m.violation("node %d: the action %T cannot be carried out", n.index, a)
	}
}

// later has do run unless the node has ended by then.
func (n *hollowNode) schedule(t time.Duration, do func()) {
	n.sim.schedule(t, func() {
		if !n.dead {
			do()
		}
	})
}

// open takes a client's try.
func (n *hollowNode) accept(r *request, e balancer.RequestArrived) {
	m := n.sim
	r.arrived = m.now
	if most := n.cfg.Settings.MaxOpenRequests; most > 0 && len(n.requests) >= most {
		r.answered = true
		r.client.tryEnded(tryRejected, 0)
		return
	}
	if n.answerBy > 0 && n.answerBy < r.deadline {
		r.deadline = n.answerBy
	}
	e.Timeout = r.deadline - m.now
	n.requests[r.id] = r
	n.answerAtDeadline(r, r.deadline+node.GuardDelay)
	n.handle(e)
}

// guard answers at a time what the module has not answered by then.
func (n *hollowNode) answerAtDeadline(r *request, t time.Duration) {
	n.schedule(t, func() {
		if r.answered {
			return
		}
		m := n.sim
		m.currentSecond().deadlineAnswers++
		n.answer(r.id, tryFailed, 0)
		for _, a := range r.attempts {
			n.schedule(m.now, a.cancel)
		}
		n.handle(balancer.RequestAbandoned{ID: r.id})
	})
}

// finish gives a try its final answer. All answers pass here, and only the
// first goes on.
func (n *hollowNode) answer(id balancer.RequestID, o tryOutcome, holdOff time.Duration) {
	r := n.requests[id]
	if r == nil || r.answered {
		return
	}
	r.answered = true
	n.sim.checkAnswerTime(r)
	for _, a := range r.attempts { // what has not been sent is called off
		if a.notWritten() {
			n.schedule(n.sim.now, a.cancelUnsent)
		}
	}
	r.client.tryEnded(o, holdOff)
	n.forget(r)
}

func (n *hollowNode) forget(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(n.requests, r.id)
	}
}

func (n *hollowNode) send(s balancer.Send) {
	m := n.sim
	r := n.requests[s.ID]
	if r == nil {
		m.violation("node %d sends a request that is not open", n.index)
		return
	}
	left := r.deadline - m.now
	if s.Timeout != 0 {
		left = min(left, s.Timeout)
	}
	a := &attempt{node: n, request: r, number: len(r.attempts), endpoint: s.Endpoint, sentAt: m.now, timeoutAt: m.now + left}
	if s.StartWithin > 0 {
		a.startBy = m.now + s.StartWithin
	}
	if r.answered || r.inFlight > 0 && !n.cfg.Settings.HedgingAllowed {
		a.state, a.outcome = attemptOver, balancer.NotSent
		m.checkSend(a, r.attempts)
		r.attempts = append(r.attempts, a)
		n.pendingEvents = append(n.pendingEvents, balancer.AttemptEnded{ID: r.id, Attempt: a.number, Endpoint: s.Endpoint, RequestDone: r.answered, Outcome: balancer.NotSent})
		return
	}
	m.checkSend(a, r.attempts)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	m.recordAttempt(a)
	n.schedule(m.now, a.start)
}

// ended passes on how an attempt ended.
func (n *hollowNode) attemptEnded(a *attempt) {
	r := a.request
	r.inFlight--
	if a.outcome == balancer.OK {
		if !r.answered {
			n.sim.recordAdded(a)
		}
		n.answer(r.id, tryServed, 0)
	}
	n.handle(balancer.AttemptEnded{ID: r.id, Attempt: a.number, Endpoint: a.endpoint, RequestDone: r.answered, Elapsed: n.sim.now - a.sentAt, Outcome: a.outcome})
	n.forget(r)
}

// follow takes a list: what the pool needs, the rest for the module.
func (n *hollowNode) applyUpdate(l discovery.List, kind balancer.UpdateKind) {
	u, changes := n.endpoints.Apply(l, kind)
	for _, c := range changes {
		if c.State != balancer.Removed {
			n.pool.set(c.ID, n.sim.byName[c.Name], c.StartedAtMS, c.State != balancer.Ready)
		}
	}
	n.handle(u)
	for _, c := range changes {
		if c.State == balancer.Removed {
			n.pool.remove(c.ID)
		}
	}
	n.ready = n.ready || n.endpoints.Len() > 0
	n.observe(l.Version)
}

// learn notes when the node took up versions that came about in its life.
func (n *hollowNode) observe(version uint64) {
	m := n.sim
	for v := n.version + 1; v <= version; v++ {
		if at := m.versionTimes[v]; at > n.startedAt && m.measured(at) {
			m.notificationTimes.Add(m.now - at)
		}
	}
	if version > n.version {
		n.version = version
		n.observations = append(n.observations, observation{version, m.now})
	}
}

// learned is when the node took up a version.
func (n *hollowNode) observedAt(version uint64) time.Duration {
	for _, l := range n.observations {
		if l.version >= version {
			return l.at
		}
	}
	return discovery.Never
}

// poll makes the call to discovery that is due, or comes back when one is.
func (n *hollowNode) startPoll() {
	m := n.sim
	call, at, ok := n.watcher.Next(m.now)
	switch {
	case ok:
		n.poll = call
		n.sendPoll(call, call.LongPollTimeout)
		for _, at := range call.RequestTimes()[1:] {
			n.schedule(m.now+at, func() {
				if n.polling(call) {
					n.cancelPoll()
					n.sendPoll(call, 0)
				}
			})
		}
		n.schedule(m.now+call.Timeout, func() {
			if n.polling(call) {
				n.cancelPoll()
				n.pollFailed(call)
			}
		})
	case at != discovery.Never && at != n.nextPollAt:
		n.nextPollAt = at
		n.schedule(at, func() {
			if n.nextPollAt == at {
				n.nextPollAt = discovery.Never
				n.startPoll()
			}
		})
	}
}

// calling tells whether a call is under way.
func (n *hollowNode) polling(call discovery.Poll) bool { return n.callID != 0 && n.poll == call }

// request makes a request of a call. Here the next one takes the place of the
// one before, where a node's goes out beside it.
func (n *hollowNode) sendPoll(call discovery.Poll, hold time.Duration) {
	m := n.sim
	n.callID = m.registry.Call(m.now, n.index, call.FromVersion, hold)
	m.wakeRegistry()
	m.countListBytes(n, requestOverhead+len(call.Query()))
	m.currentSecond().polls++
}

func (n *hollowNode) cancelPoll() {
	if n.callID != 0 {
		n.sim.registry.CancelCall(n.sim.now, n.callID)
		n.sim.wakeRegistry()
		n.callID = 0
	}
}

func (n *hollowNode) pollFailed(call discovery.Poll) {
	if n.watcher.Failed(n.sim.now, call) && n.cfg.Settings.EndpointsOnDemand {
		n.handle(balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
	}
	if n.callID == 0 {
		n.startPoll()
	}
}

// told takes the end of a call.
func (n *hollowNode) pollEnded(a model.Response) {
	m := n.sim
	if n.dead || a.CallID != n.callID {
		return
	}
	call := n.poll
	n.callID = 0
	if a.Outcome != model.Served {
		n.pollFailed(call)
		return
	}
	m.countListBytes(n, len(a.Body))
	if a.Snapshot {
		m.currentSecond().snapshots++
	}
	l, err := m.decode(a.Body)
	if err != nil {
		m.violation("a list cannot be read: %v", err)
		n.pollFailed(call)
		return
	}
	if n.watcher.Succeeded(m.now, call, l) {
		n.applyUpdate(l, l.Kind())
	}
	if n.callID == 0 {
		n.startPoll()
	}
}

// ask does what the module wants where lists are asked for.
func (n *hollowNode) requestPoll(fetch, watch bool) {
	if n.watcher.Request(n.sim.now, fetch, watch) {
		n.cancelPoll()
	}
	n.schedule(n.sim.now, func() {
		if n.callID == 0 {
			n.startPoll()
		}
	})
}

// kill ends the node at once, and has it back after its time away.
func (n *hollowNode) kill() {
	if n.dead {
		return
	}
	m := n.sim
	n.cancelPoll()
	n.dead, n.diedAt = true, m.now
	n.pool.closeAll()
	for _, r := range m.sortedRequests(n.requests) {
		for _, a := range r.attempts {
			a.abort()
		}
		if !r.answered {
			r.answered = true
			r.client.tryEnded(tryFailed, 0) // its connection is reset
		}
	}
	n.requests = nil
	m.schedule(m.now+m.scenario.Fleet.RestartTime.Std(), func() {
		next, err := m.newNode(n.index, n.incarnation+1, m.knownList())
		if err != nil {
			panic(fmt.Sprintf("hollow: a configuration that was taken before: %v", err))
		}
		m.nodes[n.index] = next
		next.start()
	})
}

// leave ends the node in order: clients go elsewhere at once, what it has
// taken is answered before it is killed.
func (n *hollowNode) shutDown() {
	if n.dead || n.draining {
		return
	}
	m := n.sim
	longest := time.Duration(0)
	for _, c := range n.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	end := m.now + min(longest, maxDeadlineWait) + killSlack
	n.draining, n.answerBy = true, end-answerLead
	for _, r := range m.sortedRequests(n.requests) {
		if !r.answered && n.answerBy < r.deadline {
			r.deadline = n.answerBy
			n.answerAtDeadline(r, n.answerBy)
		}
	}
	m.schedule(end, n.kill)
}
