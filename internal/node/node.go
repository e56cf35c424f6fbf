// Package node carries out the decisions of package balancer on real sockets: it
// takes clients' requests, sends them to servers, follows the list of servers
// and answers, each request once and in time.
package node

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
)

const (
	inboxSize    = 1024
	AnswerMargin = 10 * time.Millisecond // an answer leaves so long before its client stops waiting
	GuardDelay   = 4 * time.Millisecond  // after which the node itself ends what the module has not ended
	spareSockets = 48                    // descriptors for discovery, listener and runtime
	clientPart   = 0.5                   // of the other descriptors
)

// Node is one load-balancing proxy node.
type Node struct {
	cfg   Config
	log   *slog.Logger
	start time.Time
	inbox chan func() // run by the loop, one at a time
	ended chan struct{}

	backends  *upstream.Pool
	discovery *discovery.Client
	front     *frontend

	// The rest belongs to the loop.
	ctx      context.Context
	module   *balancer.Balancer
	servers  discovery.Directory
	moves    uint64 // how many discoveries it has had
	requests map[balancer.RequestID]*request
	queue    []balancer.Event // that came of actions, to be handled next
	ends     time.Time        // all answers are given by then; zero: no order to stop yet
}

// request is a client's request until it is answered and its attempts have ended.
type request struct {
	id       balancer.RequestID
	out      *upstream.Request
	deadline time.Time
	answer   chan response // takes the one final answer
	done     bool
	open     context.Context // ends with the answer, or as the client is seen to go, before the loop knows
	end      context.CancelFunc
	attempts []context.CancelFunc
	running  int
	guard    *time.Timer
}

// New makes a node; Run starts it.
func New(cfg Config, log *slog.Logger) *Node {
	n := &Node{cfg: cfg, log: log, start: time.Now(), inbox: make(chan func(), inboxSize), ended: make(chan struct{}),
		module: balancer.New(cfg.Settings, cfg.Seed), servers: discovery.Directory{Log: log},
		requests: map[balancer.RequestID]*request{}}
	clients, backends := cfg.Connections()
	n.backends = upstream.NewPool(upstream.ConfigFor(cfg.Settings, backends))
	n.front = newFrontend(n, clients)
	n.discovery = n.discoveryAt(cfg.Discovery)
	return n
}

// discoveryAt makes a discovery whose news count for as long as it is the node's.
func (n *Node) discoveryAt(address string) *discovery.Client {
	n.moves++ // each has its own jitter
	d := discovery.NewClient(address, discovery.ScheduleFor(n.cfg.Settings),
		rand.New(rand.NewPCG(uint64(n.cfg.Seed), n.moves)).Float64, n.log)
	news := func(f func()) {
		n.post(func() {
			if n.discovery == d {
				f()
			}
		})
	}
	d.OnUpdate = func(l discovery.List) { news(func() { n.follow(l, l.Kind()) }) }
	d.OnFailure = func() { news(func() { n.handle(balancer.EndpointUpdate{Kind: balancer.FailedUpdate}) }) }
	return d
}

// Reload takes up a configuration that was read anew while the node runs: it
// follows the list of servers at the new address. All else needs a restart.
func (n *Node) Reload(cfg Config) {
	n.post(func() {
		if cfg.Listen != n.cfg.Listen || cfg.Seed != n.cfg.Seed || cfg.MemoryMB != n.cfg.MemoryMB || cfg.Sockets != n.cfg.Sockets ||
			!reflect.DeepEqual(cfg.Settings, n.cfg.Settings) {
			n.log.Warn("of the new configuration only discovery is taken up; the rest needs a restart")
		}
		if cfg.Discovery == n.cfg.Discovery {
			return
		}
		n.log.Info("discovery has moved", "address", cfg.Discovery)
		n.cfg.Discovery = cfg.Discovery
		n.discovery.Close()
		n.discovery = n.discoveryAt(cfg.Discovery)
		if n.cfg.Settings.EndpointsOnDemand {
			n.discovery.Request(true, true)
		}
		go n.discovery.Run(n.ctx)
	})
}

// Run serves clients on ln until ctx ends, then finishes what is open.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	inner, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.ctx = inner
	first := n.discovery // the loop may replace it
	go n.loop(inner)
	go n.backends.Run(inner)
	n.post(func() { n.follow(n.cfg.Known, balancer.CachedUpdate) })
	go first.Run(inner)
	err := n.front.serve(ctx, ln)
	stop()
	<-n.ended
	return err
}

// loop is the one owner of the module and the requests.
func (n *Node) loop(ctx context.Context) {
	defer close(n.ended)
	for {
		select {
		case f := <-n.inbox:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// post has f run by the loop; once that has ended it does nothing.
func (n *Node) post(f func()) {
	select {
	case n.inbox <- f:
	case <-n.ended:
	}
}

// now is the module's clock: wall time at the start plus what has passed, so
// that it reads like the list's times and never steps back.
func (n *Node) now() balancer.Time {
	return time.Duration(n.start.UnixNano()) + time.Since(n.start)
}

// handle tells the module of an event and carries out what it decides, in order.
func (n *Node) handle(e balancer.Event) {
	n.queue = append(n.queue, e)
	if len(n.queue) > 1 {
		return // the call further up gets to it
	}
	for len(n.queue) > 0 {
		for _, a := range n.module.Handle(n.now(), n.queue[0]) {
			n.act(a)
		}
		n.queue = n.queue[1:]
	}
	n.queue = nil
}

func (n *Node) act(a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		n.send(a)
	case balancer.Reject:
		n.finish(a.ID, response{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case balancer.Fail:
		n.finish(a.ID, response{status: http.StatusBadGateway})
	case balancer.CancelAttempt:
		if r := n.requests[a.ID]; r != nil && a.Attempt >= 0 && a.Attempt < len(r.attempts) {
			r.attempts[a.Attempt]()
		}
	case balancer.SetTimer:
		time.AfterFunc(a.After, func() { n.post(func() { n.handle(balancer.TimerFired{Token: a.Token}) }) })
	case balancer.CloseIdleConnections:
		n.backends.CloseIdle(a.Endpoint)
	case balancer.Subscribe:
		n.discovery.Request(false, a.On)
	case balancer.FetchEndpoints:
		n.discovery.Request(true, n.cfg.Settings.EndpointsOnDemand)
	case balancer.EndpointEjected:
		n.log.Info("endpoint ejected", "endpoint", a.Endpoint, "reason", a.Reason)
	case balancer.EndpointRecovered:
		n.log.Info("endpoint recovered", "endpoint", a.Endpoint, "slow_start", a.SlowStart)
	default:
		n.log.Warn("action not carried out", "action", a)
	}
}

// open takes a client's request and tells the module of it. The answer comes
// on r.answer.
func (n *Node) open(r *request, e balancer.RequestArrived) {
	if n.requests[r.id] != nil {
		// Two under one id would get each other's answers.
		r.done = true
		r.answer <- response{status: http.StatusConflict}
		return
	}
	if most := n.cfg.Settings.MaxOpenRequests; most > 0 && len(n.requests) >= most {
		r.done = true
		r.answer <- response{status: http.StatusServiceUnavailable, retryAfter: n.module.RetryAfter(e.Class)}
		return
	}
	if !n.ends.IsZero() && n.ends.Before(r.deadline) {
		r.deadline = n.ends
	}
	e.Timeout = time.Until(r.deadline)
	n.requests[r.id] = r
	// The module ends a request at its deadline. The guard is for one that it
	// does not end, as an answer in time is owed whatever it does.
	r.guard = time.AfterFunc(e.Timeout+GuardDelay, func() {
		n.post(func() {
			if !r.done {
				r.end() // from here on nothing is sent
				last := response{status: http.StatusGatewayTimeout}
				if !r.out.MayBeSent() {
					last = response{status: http.StatusServiceUnavailable, retryAfter: n.module.RetryAfter(e.Class)}
				}
				n.finish(r.id, last)
				for _, cancel := range r.attempts {
					cancel() // a module that lost the request does not call them off
				}
				n.handle(balancer.RequestAbandoned{ID: r.id})
			}
		})
	})
	n.handle(e)
}

// answerBy has every request answered by then, those that are open and those
// that are still to come: the node is about to end.
func (n *Node) answerBy(ends time.Time) {
	n.ends = ends
	for _, r := range n.requests {
		if !r.done && ends.Before(r.deadline) {
			r.deadline = ends
			r.guard.Reset(time.Until(ends))
		}
	}
}

// abandon ends a request whose client has gone.
func (n *Node) abandon(r *request) {
	if !r.done {
		n.close(r)
		n.handle(balancer.RequestAbandoned{ID: r.id})
	}
}

// finish gives a request its final answer. All answers pass here, and only
// the first goes on.
func (n *Node) finish(id balancer.RequestID, a response) {
	if r := n.requests[id]; r != nil && !r.done {
		r.answer <- a
		n.close(r)
	}
}

func (n *Node) close(r *request) {
	r.done = true
	r.guard.Stop()
	r.end()
	n.forget(r)
}

func (n *Node) forget(r *request) {
	if r.done && r.running == 0 {
		delete(n.requests, r.id)
	}
}

func (n *Node) send(a balancer.Send) {
	r := n.requests[a.ID]
	if r == nil {
		n.log.Error("the module sends a request that is not open", "id", a.ID)
		return
	}
	if r.open.Err() != nil {
		n.abandon(r) // the word of it is in the inbox, behind what this attempt comes of
	}
	number := len(r.attempts)
	left := time.Until(r.deadline)
	if a.Timeout != 0 {
		left = min(left, a.Timeout)
	}
	ctx, cancel := context.WithTimeout(n.ctx, left)
	r.attempts = append(r.attempts, cancel)
	if r.done || r.running > 0 && !n.cfg.Settings.HedgingAllowed {
		cancel()
		n.queue = append(n.queue, balancer.AttemptEnded{ID: r.id, Attempt: number, Endpoint: a.Endpoint, RequestDone: r.done, Outcome: balancer.NotSent})
		return
	}
	r.running++
	began, open, endOpen := time.Now(), r.open, cancel
	if a.StartWithin > 0 {
		open, endOpen = context.WithTimeout(r.open, a.StartWithin)
	}
	go func() {
		defer cancel()
		defer endOpen()
		res := n.backends.Attempt(ctx, open, a.Endpoint, r.out)
		took, waited := time.Since(began), time.Duration(0)
		if !res.SentAt.IsZero() {
			waited = time.Since(res.SentAt)
		}
		n.post(func() { n.attemptEnded(r, number, a.Endpoint, took, waited, res) })
	}()
}

func (n *Node) attemptEnded(r *request, number int, server balancer.EndpointID, took, waited time.Duration, res upstream.Result) {
	r.running--
	if res.Outcome == balancer.OK {
		n.finish(r.id, response{status: http.StatusOK, header: res.Header, body: res.Body})
	}
	over := r.done
	n.handle(balancer.AttemptEnded{ID: r.id, Attempt: number, Endpoint: server, RequestDone: over, Elapsed: took, SinceSent: waited,
		Outcome: res.Outcome, Report: res.Report})
	n.forget(r)
}

// follow takes a list from discovery: addresses for the sockets, the rest for
// the module.
func (n *Node) follow(l discovery.List, kind balancer.UpdateKind) {
	u, changes := n.servers.Apply(l, kind)
	for _, c := range changes {
		if c.State != balancer.Removed {
			n.backends.Set(c.ID, c.Address, c.StartedAtMS, c.State != balancer.Ready)
		}
	}
	n.handle(u)
	for _, c := range changes {
		if c.State == balancer.Removed {
			n.backends.Remove(c.ID)
		}
	}
	n.front.ready.Store(n.servers.Len() > 0)
}
