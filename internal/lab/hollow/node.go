package hollow

import (
	"cmp"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/node"
)

const (
	// After a graceful shutdown begins, SIGKILL follows after the longest deadline of all classes, or after
	// maxKillDelay if that is shorter, plus killSlack, as the documentation of the wire protocol specifies.
	maxKillDelay = 3 * time.Second
	killSlack    = 700 * time.Millisecond

	lastResponseMargin = 300 * time.Millisecond // from the last response to SIGKILL, as in package node
)

// hollowNode is one incarnation of a hollow node, from its start to its end.
type hollowNode struct {
	sim         *sim
	index       int
	incarnation int // how often the node had started before
	zone        int
	cfg         node.Config

	balancer      *balancer.Balancer
	requests      map[balancer.RequestID]*request
	pendingEvents []balancer.Event // not handled yet; the first is being handled
	pool          pool

	startedAt      time.Duration
	diedAt         time.Duration
	ready          bool // an endpoint has been listed since the start
	dead           bool
	draining       bool          // a graceful shutdown is under way
	responsesDueBy time.Duration // while draining: the latest deadline of all requests; 0: not draining

	directory    discovery.Directory
	watcher      *discovery.Watcher
	poll         discovery.Poll // the last one started
	callID       uint64         // the registry's ID of the poll's request in flight; 0: none
	nextPollAt   time.Duration  // when startPoll is called next; discovery.Never: not scheduled
	version      uint64         // newest version of the list that the node has applied
	observations []observation
}

// observation records when a node applied a version of the list.
type observation struct {
	version uint64
	at      time.Duration
}

func newHollowNode(m *sim, index, incarnation int, cfg node.Config) *hollowNode {
	const watcherStream = 1 // stream of randomness derived from the node's seed
	n := &hollowNode{
		sim:         m,
		index:       index,
		incarnation: incarnation,
		zone:        m.zoneOf[cfg.Settings.Zone],
		cfg:         cfg,
		nextPollAt:  discovery.Never,
		balancer:    balancer.New(cfg.Settings, cfg.Seed),
		requests:    map[balancer.RequestID]*request{},
	}
	random := rand.New(rand.NewPCG(uint64(cfg.Seed), watcherStream))
	n.watcher = discovery.NewWatcher(discovery.ScheduleFor(cfg.Settings), random.Float64)
	_, maxUpstream := cfg.Connections()
	n.pool = newPool(n, maxUpstream)
	return n
}

// start starts the node as node.Run does: it applies the list in the configuration before it polls discovery.
func (n *hollowNode) start() {
	n.startedAt = n.sim.now
	if n.dead {
		return
	}
	n.applyEndpoints(n.cfg.Known, balancer.CachedUpdate)
	n.cfg.Known = discovery.List{} // no longer needed
	n.pool.scheduleExpiry()
	n.startPoll()
}

// available reports whether the node takes new requests.
func (n *hollowNode) available() bool { return !n.dead && !n.draining && n.ready }

// schedule calls do at a time, unless the node has died by then.
func (n *hollowNode) schedule(at time.Duration, do func()) {
	n.sim.schedule(at, func() {
		if !n.dead {
			do()
		}
	})
}

// handle passes an event to the balancer and applies the resulting actions in order. Events that the actions
// cause are handled afterwards.
func (n *hollowNode) handle(e balancer.Event) {
	n.pendingEvents = append(n.pendingEvents, e)
	if len(n.pendingEvents) > 1 {
		return // the call of handle further up the stack handles it
	}
	for len(n.pendingEvents) > 0 {
		for _, action := range n.callBalancer(n.pendingEvents[0]) {
			n.perform(action)
		}
		n.pendingEvents = n.pendingEvents[1:]
	}
	n.pendingEvents = nil
}

// callBalancer passes an event to the balancer and measures how long it takes. The event's time is the machine's
// simulated wall clock, as Unix time.
func (n *hollowNode) callBalancer(e balancer.Event) []balancer.Action {
	began := time.Now()
	actions := n.balancer.Handle(epoch+n.sim.now, e)
	n.sim.balancerTime += time.Since(began)
	n.sim.balancerEvents++
	return actions
}

// perform carries out an action of the balancer.
func (n *hollowNode) perform(action balancer.Action) {
	m := n.sim
	switch a := action.(type) {
	case balancer.Send:
		n.startAttempt(a)
	case balancer.Reject:
		if r := n.requests[a.ID]; r != nil && !r.answered {
			m.checkRejection(r)
		}
		n.respond(a.ID, tryRejected, a.RetryAfter)
	case balancer.Fail:
		n.respond(a.ID, tryFailed, 0)
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
		m.recordViolation("node %d: the action %T cannot be carried out", n.index, a)
	}
}

// kill ends the node at once, and starts its next incarnation after the
// scenario's restart time.
func (n *hollowNode) kill() {
	if n.dead {
		return
	}
	m := n.sim
	n.cancelPoll()
	n.dead = true
	n.diedAt = m.now
	n.pool.closeAll()
	for _, r := range n.sortedRequests() {
		for _, a := range r.attempts {
			a.abort()
		}
		if !r.answered {
			r.answered = true
			r.client.tryEnded(tryFailed, 0) // the client's connection is reset
		}
	}
	n.requests = nil
	m.schedule(m.now+m.scenario.Fleet.RestartTime.Std(), n.restart)
}

// restart replaces a dead node by its next incarnation.
func (n *hollowNode) restart() {
	m := n.sim
	next, err := m.newNode(n.index, n.incarnation+1, m.knownList())
	if err != nil {
		panic(fmt.Sprintf("hollow: restart of node %d: configuration rejected, unlike an earlier one: %v", n.index, err))
	}
	m.nodes[n.index] = next
	next.start()
}

// shutDown stops the node gracefully: new tries go to other nodes at once, and open requests are answered before
// the node is killed.
func (n *hollowNode) shutDown() {
	if n.dead || n.draining {
		return
	}
	m := n.sim
	longest := time.Duration(0)
	for _, c := range n.cfg.Settings.Classes {
		longest = max(longest, c.Deadline)
	}
	killAt := m.now + min(longest, maxKillDelay) + killSlack
	n.draining = true
	n.responsesDueBy = killAt - lastResponseMargin
	for _, r := range n.sortedRequests() {
		if !r.answered && n.responsesDueBy < r.deadline {
			r.deadline = n.responsesDueBy
			n.schedule(n.responsesDueBy, func() { n.endUnanswered(r) })
		}
	}
	m.schedule(killAt, n.kill)
}

// sortedRequests returns the node's open requests sorted by ID, so that their order is the same in each run.
func (n *hollowNode) sortedRequests() []*request {
	return slices.SortedFunc(maps.Values(n.requests), func(a, b *request) int { return cmp.Compare(a.id, b.id) })
}
