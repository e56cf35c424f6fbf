// Package node carries out the decisions of package balancer on real sockets: it
// takes clients' requests, sends them to endpoints, follows the endpoint list and
// answers each request once, by its deadline.
//
// The clients' side is a listener that limits connections (Listen, acceptor,
// connectionLimiter), connections that can be drained and watched for a client's
// departure (clientConn), and an HTTP server (frontend). It hands requests to the
// event loop (Node), which owns the balancer and performs its actions through
// package upstream.
package node

import (
	"context"
	"log/slog"
	"net"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
)

// eventQueueSize is how many posted functions wait for the loop before post blocks.
const eventQueueSize = 1024

// Node is one load-balancing proxy node. A single goroutine, the event loop, owns
// the balancer and the state of all requests; everything else posts functions to
// it.
type Node struct {
	cfg        Config // the loop changes Discovery on a reload
	log        *slog.Logger
	startTime  time.Time
	events     chan func()   // run by the loop, one at a time
	loopEnded  chan struct{} // closed by the loop
	pool       *upstream.Pool
	frontend   *frontend
	runContext context.Context // ends when the node has shut down; set by Run

	// What follows belongs to the loop, from Run on.

	discovery        *discovery.Client
	discoveryClients uint64 // made so far
	balancer         *balancer.Balancer
	directory        discovery.Directory
	requests         map[balancer.RequestID]*request
	pendingEvents    []balancer.Event // events to be handled in order; the first is being handled
	responsesDueBy   time.Time        // set by the order to stop; zero before
}

// New returns a node; Run starts it.
func New(cfg Config, log *slog.Logger) *Node {
	n := &Node{
		cfg:       cfg,
		log:       log,
		startTime: time.Now(),
		events:    make(chan func(), eventQueueSize),
		loopEnded: make(chan struct{}),
		balancer:  balancer.New(cfg.Settings, cfg.Seed),
		directory: discovery.Directory{Log: log},
		requests:  map[balancer.RequestID]*request{},
	}
	clients, endpoints := cfg.Connections()
	n.pool = upstream.NewPool(upstream.ConfigFor(cfg.Settings, endpoints))
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

// post has f run by the loop. Once the loop has ended it does nothing.
func (n *Node) post(f func()) {
	select {
	case n.events <- f:
	case <-n.loopEnded:
	}
}

// now returns the balancer's time: the wall time at the start plus the time that
// has passed since, so that it compares with the times in the endpoint list and
// never steps back.
func (n *Node) now() balancer.Time {
	return time.Duration(n.startTime.UnixNano()) + time.Since(n.startTime)
}

// handle passes an event to the balancer and performs the actions that it
// returns. Events that come up meanwhile are handled after them, in order.
func (n *Node) handle(event balancer.Event) {
	n.pendingEvents = append(n.pendingEvents, event)
	if len(n.pendingEvents) > 1 {
		return // the call in progress handles it
	}
	for len(n.pendingEvents) > 0 {
		for _, action := range n.balancer.Handle(n.now(), n.pendingEvents[0]) {
			n.perform(action)
		}
		n.pendingEvents = n.pendingEvents[1:]
	}
	n.pendingEvents = nil
}
