package balancer_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand"
	"time"

	"bankshift/balancer"
)

// fleetCase describes a fleet and how some of its endpoints start. The simulation uses only the package's exported
// interface.
type fleetCase struct {
	name string

	// The fleet.
	nodes       int
	endpoints   int
	rate        float64       // requests per second at an endpoint, on average
	utilization float64       // the fraction of a warm endpoint's capacity that rate takes; 0: 0.7
	uneven      bool          // one node in five gets four times as much as the others
	clocksAhead time.Duration // how far the nodes' wall clocks are ahead of the one that start times come from

	// The start of endpoints. Times count from it.
	starting      int                            // how many endpoints start; 0: one
	down          time.Duration                  // how long they were down before; -1: they are new
	startedBefore time.Duration                  // how long before it their earlier processes started; 0: long ago
	notifiedAfter func(*rand.Rand) time.Duration // when a node is notified of them; nil: at once
	restartNodes  bool                           // all nodes restart at the same time
	load          func(at time.Duration) float64 // the traffic, as a multiple of that before the start; nil: 1.5
	instant       bool                           // endpoints that warm up respond as fast as others, whatever they get
	failureShare  float64                        // fraction of all responses that are errors
	duration      time.Duration                  // simulated time after the start; 0: 5 s
}

// fleet simulates a case: all nodes on one virtual clock, endpoints whose speed is proportional to their warmth, and
// clients that try again.
type fleet struct {
	fleetCase
	rng      *rand.Rand
	settings balancer.Settings
	capacity float64       // requests per second of a warm endpoint
	start    time.Duration // when the endpoints start

	now   time.Duration
	queue fleetQueue
	order int // order number of the last event that was scheduled

	simulated []*fleetEndpoint // the endpoint with ID n has index n-1
	members   []fleetNode
	requests  map[balancer.RequestID]*fleetRequest
	lastID    int // ID of the last request

	arrived    int // tries since the start
	unanswered int // tries rejected or failed since the start
}

type fleetNode struct {
	balancer    *balancer.Balancer
	incarnation int // number of its restarts
	notified    int // the incarnation that was notified of the start; -1: none
}

type fleetEndpoint struct {
	balancer.Endpoint
	freeAt   time.Duration // when it will have served its queue
	down     bool
	arrivals []fleetArrival // since its start
}

type fleetArrival struct {
	at       time.Duration
	notified bool // the sending node had been notified of the start
}

type fleetRequest struct {
	node     int
	deadline time.Duration
	ended    []bool // for each attempt
	retries  int    // before this try
	answered bool
}

// fleetEvent is a scheduled call of do.
type fleetEvent struct {
	at    time.Duration
	order int // events at the same time are called in this order
	do    func()
}

// fleetQueue is a heap of events, the earliest first.
type fleetQueue []fleetEvent

func (q fleetQueue) Len() int { return len(q) }
func (q fleetQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q fleetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *fleetQueue) Push(x any)   { *q = append(*q, x.(fleetEvent)) }
func (q *fleetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// simulateFleet runs a case and returns the fleet in its final state.
func simulateFleet(c fleetCase, seed int64) *fleet {
	const learning = 4 * time.Second // simulated before the start, so that the nodes learn
	if c.utilization == 0 {
		c.utilization = 0.7
	}
	if c.duration == 0 {
		c.duration = 5 * time.Second
	}
	f := &fleet{
		fleetCase: c,
		rng:       rand.New(rand.NewSource(seed)),
		capacity:  c.rate / c.utilization,
		now:       time.Hour,
		start:     time.Hour + learning + max(0, c.down),
		requests:  map[balancer.RequestID]*fleetRequest{},
	}
	f.settings = f.newSettings()
	for i := range f.endpoints {
		entry := balancer.Endpoint{ID: balancer.EndpointID(i + 1), Zone: "z", Weight: 1}
		f.simulated = append(f.simulated, &fleetEndpoint{Endpoint: entry})
	}
	f.bootNodes()
	if f.down != 0 {
		for _, endpoint := range f.startingEndpoints() {
			f.schedule(f.start-f.now-max(0, f.down), func() { endpoint.down = f.down > 0 })
		}
	}
	f.schedule(f.start-f.now, f.startEndpoints)
	for end := f.start + f.duration; len(f.queue) > 0 && f.queue[0].at < end; {
		next := heap.Pop(&f.queue).(fleetEvent)
		f.now = next.at
		next.do()
	}
	return f
}

func (f *fleet) newSettings() balancer.Settings {
	objective := max(400*time.Millisecond, time.Duration(8/f.capacity*float64(time.Second)))
	return balancer.Settings{
		Nodes:             f.nodes,
		MaxAttempts:       3,
		CancelAllowed:     true,
		RetryAfterAllowed: true,
		MaxRetryAfter:     1500 * time.Millisecond,
		ConnectTimeout:    150 * time.Millisecond,
		MinEventInterval:  5 * time.Millisecond,
		ResponseSlack:     20 * time.Millisecond,
		DrainGrace:        time.Second,
		SlowStartCapacity: 0.12,
		SlowStartDuration: 23 * time.Second,
		OverloadFactor:    4,
		OverloadDuration:  time.Second,
		Classes: []balancer.Class{{
			Name:             "page",
			PriorityWeight:   5,
			LatencyObjective: objective,
			Deadline:         5 * objective / 2,
			LateWeight:       0.5,
			Idempotency:      balancer.Idempotent,
		}},
	}
}

// bootNodes starts all nodes and their clients.
func (f *fleet) bootNodes() {
	weights := make([]float64, f.nodes)
	sum := 0.0
	for i := range weights {
		weights[i] = 1
		if f.uneven && i%5 == 0 {
			weights[i] = 4
		}
		sum += weights[i]
	}
	f.members = make([]fleetNode, f.nodes)
	for i := range f.members {
		f.members[i].notified = -1
		f.boot(i)
		f.startClients(i, f.rate*float64(f.endpoints)*weights[i]/sum)
	}
}

// boot starts or restarts a node's process. The new process knows the endpoint list, but no request.
func (f *fleet) boot(node int) {
	settings := f.settings
	settings.NodeIndex = node
	f.members[node].balancer = balancer.New(settings, f.rng.Int63())
	for id, request := range f.requests {
		if request.node == node {
			delete(f.requests, id)
		}
	}
	f.handle(node, balancer.EndpointUpdate{Kind: balancer.CachedUpdate, Endpoints: f.listed()})
}

// startingEndpoints returns the endpoints that start, which are the first ones.
func (f *fleet) startingEndpoints() []*fleetEndpoint { return f.simulated[:max(1, f.starting)] }

func (f *fleet) isStarting(endpoint *fleetEndpoint) bool {
	return int(endpoint.ID) <= max(1, f.starting)
}

// listed returns the endpoint list. New endpoints are on it once they have started.
func (f *fleet) listed() []balancer.Endpoint {
	var entries []balancer.Endpoint
	for _, endpoint := range f.simulated {
		if endpoint.StartedAt > 0 || f.down >= 0 || !f.isStarting(endpoint) {
			entries = append(entries, f.entry(endpoint))
		}
	}
	return entries
}

// entry returns an endpoint's entry in the endpoint list, with its start time on the nodes' clocks.
func (f *fleet) entry(endpoint *fleetEndpoint) balancer.Endpoint {
	entry := endpoint.Endpoint
	switch {
	case entry.StartedAt > 0:
		entry.StartedAt -= f.clocksAhead
	case f.startedBefore > 0 && f.isStarting(endpoint):
		entry.StartedAt = f.start - f.startedBefore
	}
	return entry
}

// startEndpoints starts the endpoints, and notifies the nodes or restarts them.
func (f *fleet) startEndpoints() {
	for _, endpoint := range f.startingEndpoints() {
		endpoint.StartedAt = f.now
		endpoint.down = false
		endpoint.freeAt = f.now
	}
	for i := range f.members {
		member := &f.members[i]
		if f.restartNodes {
			member.incarnation++
			f.boot(i)
			member.notified = member.incarnation
			continue
		}
		after := time.Duration(0)
		if f.notifiedAfter != nil {
			after = f.notifiedAfter(f.rng)
		}
		f.schedule(after, func() {
			member.notified = member.incarnation
			update := balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate}
			for _, endpoint := range f.startingEndpoints() {
				update.Endpoints = append(update.Endpoints, f.entry(endpoint))
			}
			f.handle(i, update)
		})
	}
}

// startClients makes requests arrive at a node at random times. Arrivals are drawn at eight times the rate, and some
// are dropped at random so that the rest match the load at their time.
func (f *fleet) startClients(node int, rate float64) {
	const thinning = 8
	pause := func() time.Duration {
		return time.Duration(f.rng.ExpFloat64() / (thinning * rate) * float64(time.Second))
	}
	var next func()
	next = func() {
		if f.rng.Float64()*thinning < f.loadNow() {
			f.arrive(node, 0)
		}
		f.schedule(pause(), next)
	}
	f.schedule(pause(), next)
}

// loadNow is the present traffic, as a multiple of what it was before the start.
func (f *fleet) loadNow() float64 {
	switch {
	case f.now < f.start:
		return 1
	case f.load == nil:
		return 1.5
	}
	return f.load(f.now - f.start)
}

// schedule makes the simulation call do after the given time.
func (f *fleet) schedule(after time.Duration, do func()) {
	f.order++
	heap.Push(&f.queue, fleetEvent{f.now + after, f.order, do})
}

// arrive passes a client's try to a node.
func (f *fleet) arrive(node, retries int) {
	f.lastID++
	id := balancer.RequestID(fmt.Sprint(f.lastID))
	timeout := f.settings.Classes[0].Deadline
	f.requests[id] = &fleetRequest{node: node, deadline: f.now + timeout, retries: retries}
	if f.now >= f.start {
		f.arrived++
	}
	f.handle(node, balancer.RequestArrived{ID: id, Class: "page", Timeout: timeout})
}

// handle passes an event to a node and carries out the actions.
func (f *fleet) handle(node int, event balancer.Event) {
	member := &f.members[node]
	incarnation := member.incarnation
	for _, action := range member.balancer.Handle(f.now, event) {
		switch action := action.(type) {
		case balancer.SetTimer:
			late := time.Duration(0)
			if f.nodes > 100 { // simulates busy machines, where ticks come late
				late = 75 * time.Millisecond
			}
			f.schedule(action.After+late, func() {
				if member.incarnation == incarnation {
					f.handle(node, balancer.TimerFired{Token: action.Token})
				}
			})
		case balancer.Send:
			f.send(node, action)
		case balancer.Reject:
			f.retry(action.ID, action.RetryAfter)
		case balancer.Fail:
			f.retry(action.ID, 0)
		case balancer.CancelAttempt:
			request := f.requests[action.ID]
			ended := balancer.AttemptEnded{ID: action.ID, Attempt: action.Attempt, Outcome: balancer.Canceled}
			f.schedule(time.Millisecond, func() { f.end(request, ended) })
		}
	}
}

// retry records that a request was not served. Its client tries again with probability 1/2, but at most twice.
func (f *fleet) retry(id balancer.RequestID, wait time.Duration) {
	request := f.requests[id]
	request.answered = true
	if f.now >= f.start {
		f.unanswered++
	}
	if request.retries < 2 && f.rng.Intn(2) == 0 {
		f.schedule(wait+100*time.Millisecond, func() { f.arrive(request.node, request.retries+1) })
	}
}

// send simulates an attempt.
func (f *fleet) send(node int, send balancer.Send) {
	request, endpoint := f.requests[send.ID], f.simulated[send.Endpoint-1]
	ended := balancer.AttemptEnded{ID: send.ID, Attempt: len(request.ended), Endpoint: send.Endpoint}
	request.ended = append(request.ended, false)
	limit := request.deadline - f.now
	if send.Timeout > 0 {
		limit = min(limit, send.Timeout)
	}
	if endpoint.down {
		ended.Outcome, ended.Elapsed = balancer.ConnectFailed, min(limit, time.Millisecond)
	} else {
		if endpoint.StartedAt > 0 {
			member := f.members[node]
			arrival := fleetArrival{at: f.now, notified: member.notified == member.incarnation}
			endpoint.arrivals = append(endpoint.arrivals, arrival)
		}
		ended.Outcome, ended.Elapsed = f.serve(endpoint)
	}
	if ended.Elapsed > limit {
		ended.Outcome, ended.Elapsed = balancer.TimedOut, limit
	}
	f.schedule(ended.Elapsed, func() { f.end(request, ended) })
}

// serve returns the outcome of a request at an endpoint. The endpoint works on one request at a time, at a speed
// proportional to its warmth, and rejects those for which its queue would get longer than longestQueue.
func (f *fleet) serve(endpoint *fleetEndpoint) (balancer.Outcome, time.Duration) {
	const (
		latency      = 40 * time.Millisecond // of a warm endpoint, without its queue
		longestQueue = 2 * time.Second
	)
	warmth := f.warmth(endpoint, f.now)
	if f.instant && warmth < 1 {
		warmth = 1
		endpoint.freeAt = 0
	}
	work := time.Duration(float64(time.Second) / (f.capacity * warmth))
	endpoint.freeAt = max(endpoint.freeAt, f.now) + work
	elapsed := endpoint.freeAt - f.now + time.Duration(float64(latency)*(0.5+f.rng.Float64())/warmth)
	outcome := balancer.OK
	if f.rng.Float64() < f.failureShare {
		outcome = balancer.ServerError
	}
	if endpoint.freeAt > f.now+longestQueue {
		endpoint.freeAt -= work
		return balancer.Rejected, time.Millisecond
	}
	return outcome, elapsed
}

// warmth returns the fraction of its capacity that an endpoint has at the given time.
func (f *fleet) warmth(endpoint *fleetEndpoint, at time.Duration) float64 {
	if endpoint.StartedAt == 0 {
		return 1
	}
	age := math.Max(0, (at - endpoint.StartedAt).Seconds())
	least := f.settings.SlowStartCapacity
	return math.Min(1, least+(1-least)*age/f.settings.SlowStartDuration.Seconds())
}

// end passes the outcome of an attempt to the node, once, unless the node has been restarted.
func (f *fleet) end(request *fleetRequest, ended balancer.AttemptEnded) {
	if request.ended[ended.Attempt] {
		return
	}
	request.ended[ended.Attempt] = true
	request.answered = request.answered || ended.Outcome == balancer.OK
	if f.requests[ended.ID] == request {
		ended.RequestDone = request.answered
		f.handle(request.node, ended)
	}
}

// slowStartLoad compares the requests sent to an endpoint in a span of OverloadDuration with those that are allowed.
type slowStartLoad struct {
	budget  float64 // what the settings allow in that span
	allowed float64 // the budget, with a margin for chance
	sent    float64
}

func (l slowStartLoad) excess() float64 { return l.sent - l.allowed }

// worstLoad returns the load in the span in which an endpoint's requests most exceeded what is allowed: the budget plus
// a margin for chance, which is twice the square root of the budget plus two.
func (f *fleet) worstLoad(endpoint *fleetEndpoint) slowStartLoad {
	worst := slowStartLoad{allowed: math.Inf(1)}
	first, notified := 0, 0 // index of the span's first arrival, and number of its arrivals from notified nodes
	for last, arrival := range endpoint.arrivals {
		if arrival.notified {
			notified++
		}
		for ; endpoint.arrivals[first].at <= arrival.at-f.settings.OverloadDuration; first++ {
			if endpoint.arrivals[first].notified {
				notified--
			}
		}
		sent := last - first + 1
		if f.notifiedAfter != nil && notified*3 <= 2*sent {
			continue // a third or more came from nodes that had not been notified
		}
		overload := f.settings.OverloadFactor * f.warmth(endpoint, arrival.at) * f.capacity
		budget := overload * f.settings.OverloadDuration.Seconds()
		load := slowStartLoad{budget: budget, allowed: budget + 2*math.Sqrt(budget) + 2, sent: float64(sent)}
		if load.excess() > worst.excess() {
			worst = load
		}
	}
	return worst
}
