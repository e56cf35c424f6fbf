// Package node runs the balancer on real sockets: it accepts clients' requests,
// sends them to endpoints as package balancer decides, keeps the endpoint list up
// to date and answers each request once, by its deadline.
//
// Clients connect through a listener that limits the number of connections
// (Listen, acceptor, connectionLimiter). Their connections (clientConn) can be
// drained and detect that a client has disconnected. The HTTP server (frontend)
// parses the requests and passes them to the event loop (Node), which owns the
// balancer and performs its actions through package upstream.
package node

import (
	"context"
	"log/slog"
	"net"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/memory"
	"bankshift/internal/upstream"
)

// eventQueueSize is how many posted functions can wait for the loop before post
// blocks.
const eventQueueSize = 1024

// Node is one load-balancing proxy node. A single goroutine, the event loop, owns
// the balancer and the state of all requests; other goroutines post functions to
// it.
type Node struct {
	cfg        Config // a reload changes Discovery, in the loop
	log        *slog.Logger
	startTime  time.Time
	events     chan func()   // posted functions; the loop runs one at a time
	loopEnded  chan struct{} // closed when the loop has ended
	pool       *upstream.Pool
	frontend   *frontend
	runContext context.Context // canceled when the node has shut down; set by Run

	memory         memory.Plan
	headMemory     *memory.HeadBudget // for the heads of clients' requests and of responses
	responseMemory *memory.Budget     // for the bodies of responses

	// maxRequestAge is how long a request may have waited on this machine; an older one
	// is rejected.
	maxRequestAge time.Duration

	// Once Run has started the loop, only the loop uses the fields below.

	discovery        *discovery.Client
	discoveryClients uint64 // number of clients created so far; part of the next one's jitter seed
	balancer         *balancer.Balancer
	directory        discovery.Directory
	requests         map[balancer.RequestID]*request
	recentIDs        *recentIDs       // of requests that may have run and are no longer in requests
	pendingEvents    []balancer.Event // events to be handled in order; the first is being handled
	responsesDueBy   time.Time        // the latest deadline of all requests during a shutdown; zero before it
}

// New returns a node; Run starts it.
func New(cfg Config, log *slog.Logger) *Node {
	maxRequestAge := cfg.maxRequestAge()
	n := &Node{
		cfg:           cfg,
		log:           log,
		startTime:     time.Now(),
		events:        make(chan func(), eventQueueSize),
		loopEnded:     make(chan struct{}),
		maxRequestAge: maxRequestAge,
		memory:        cfg.MemoryPlan(),
		balancer:      balancer.New(cfg.Settings, cfg.Seed),
		directory:     discovery.Directory{Log: log},
		requests:      map[balancer.RequestID]*request{},
		recentIDs:     newRecentIDs(maxRequestAge + responseWriteTimeout),
	}
	clients, endpoints := cfg.Connections()
	n.headMemory = memory.NewHeadBudget(n.memory.Heads)
	n.responseMemory = memory.NewBudget(n.memory.Responses)
	poolConfig := upstream.ConfigFor(cfg.Settings, endpoints)
	poolConfig.Responses = n.responseMemory
	poolConfig.Heads = n.headMemory
	n.pool = upstream.NewPool(poolConfig)
	n.frontend = newFrontend(n, clients)
	n.discovery = n.newDiscoveryClient(cfg.Discovery)
	return n
}

// Run serves clients on ln until ctx ends, then finishes the open requests and
// returns. It closes ln and must be called only once.
func (n *Node) Run(ctx context.Context, ln net.Listener) error {
	runContext, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	n.runContext = runContext
	firstDiscovery := n.discovery // a reload may replace it
	go n.runLoop(runContext)
	go n.pool.Run(runContext)
	n.post(func() { n.applyEndpoints(n.cfg.Known, balancer.CachedUpdate) })
	go firstDiscovery.Run(runContext)
	err := n.frontend.serve(ctx, ln)
	stop()
	<-n.loopEnded
	return err
}

// runLoop runs the posted functions until ctx ends.
func (n *Node) runLoop(ctx context.Context) {
	defer close(n.loopEnded)
	for {
		select {
		case f := <-n.events:
			f()
		case <-ctx.Done():
			return
		}
	}
}

// post queues f to be run by the loop, and blocks while the queue is full. Once
// the loop has ended it does nothing.
func (n *Node) post(f func()) {
	select {
	case n.events <- f:
	case <-n.loopEnded:
	}
}

// now returns the balancer's time: the wall-clock time at the node's start plus
// the monotonic time elapsed since. It can be compared with the times in the
// endpoint list and never goes backwards.
func (n *Node) now() balancer.Time {
	return time.Duration(n.startTime.UnixNano()) + time.Since(n.startTime)
}

// handle passes an event to the balancer and performs the actions that it
// returns. Events that are raised by these actions are queued and handled after
// them, in order.
func (n *Node) handle(event balancer.Event) {
	n.pendingEvents = append(n.pendingEvents, event)
	if len(n.pendingEvents) > 1 {
		return // the call that is already in progress handles it
	}
	for len(n.pendingEvents) > 0 {
		for _, action := range n.balancer.Handle(n.now(), n.pendingEvents[0]) {
			n.perform(action)
		}
		n.pendingEvents = n.pendingEvents[1:]
	}
	n.pendingEvents = nil
}
