package node

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"bankshift/balancer"
	"bankshift/internal/memory"
)

// Time limits of a client's connection.
const (
	firstByteTimeout    = 2 * time.Second         // for a new connection to start a request
	requestReadTimeout  = 2500 * time.Millisecond // for a whole request, from its first byte
	minRequestReadTime  = 200 * time.Millisecond  // for the rest of a request that waited for that long behind another one
	firstRequestTimeout = 2800 * time.Millisecond // for the whole first request, from when the connection has a slot

	// idleTimeout is for a connection between requests. The start of the next request
	// may already be in net/http's buffer. These bytes were read earlier, so they start
	// no requestReadTimeout: until net/http begins to parse that request, only
	// idleTimeout ends it within the 3 s that stalled requests are allowed.
	idleTimeout = 2800 * time.Millisecond
)

// frontend is the HTTP server for clients: it parses their requests, passes them
// to the node and writes the responses.
type frontend struct {
	node           *Node
	maxConnections int
	processors     float64                         // that the node can use
	idempotency    map[string]balancer.Idempotency // by class name
	connections    *connectionLimiter              // set by serve
	requestMemory  *memory.Budget                  // for clients' requests
	maxTimeout     time.Duration                   // of a request
	phases         shutdownPhases

	// keepServing blocks until the first phase of the shutdown is over.
	keepServing func(openConnections func() int)

	ready    atomic.Bool // the node knows endpoints
	stopping atomic.Bool // the node has been told to shut down
}

func newFrontend(n *Node, maxConnections int) *frontend {
	f := &frontend{
		node:           n,
		maxConnections: maxConnections,
		processors:     n.cfg.processors(),
		idempotency:    map[string]balancer.Idempotency{},
		requestMemory:  memory.NewBudget(n.memory.Requests),
		maxTimeout:     n.cfg.maxTimeout(),
	}
	for _, class := range n.cfg.Settings.Classes {
		f.idempotency[class.Name] = class.Idempotency
	}
	f.phases = newShutdownPhases(n.cfg.longestDeadline())
	f.keepServing = func(openConnections func() int) { f.phases.waitForClients(openConnections) }
	return f
}

// serve serves clients on ln until ctx ends, then shuts down and returns. It
// closes ln.
func (f *frontend) serve(ctx context.Context, ln net.Listener) error {
	f.connections = newConnectionLimiter(ln, f.maxConnections, f.node.log)
	f.connections.limitMemory(f.node.memory, f.node.headMemory, f.memoryIsShort)
	f.connections.limitProcessors(f.processors)
	srv := &http.Server{
		Handler:           f,
		ReadHeaderTimeout: firstByteTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeadBytes,
		ErrorLog:          slog.NewLogLogger(f.node.log.Handler(), slog.LevelDebug),
		ConnState:         f.connections.trackState,
		ConnContext:       f.connections.connContext,

		// Otherwise net/http answers OPTIONS * with 200 by itself.
		DisableGeneralOptionsHandler: true,
	}
	served := make(chan error, 1)
	go func() { served <- srv.Serve(f.connections) }()
	select {
	case err := <-served:
		return fmt.Errorf("serving clients: %w", err)
	case <-ctx.Done():
	}
	return f.shutDown(srv, ln, served)
}

// memoryIsShort reports whether requests or responses wait for memory.
func (f *frontend) memoryIsShort() bool {
	return f.requestMemory.Short() || f.node.responseMemory.Short()
}

// ServeHTTP answers the health checks and passes requests to the node.
func (f *frontend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c, ok := clientConnOf(r.Context()); ok {
		c.startBody(r.ContentLength)
		if c.endWanted.Load() {
			w.Header().Set("Connection", "close")
		}
	}
	switch r.URL.Path {
	case "/health/ready":
		endAtShutdown(w, r)
		f.serveReadiness(w)
	case "/health/live":
		endAtShutdown(w, r)
		io.WriteString(w, "ok\n")
	default:
		f.serveRequest(w, r)
	}
}

// endAtShutdown makes a connection end after the response that is about to be written, if
// the node shuts down. The requests that have been read behind it are answered first.
func endAtShutdown(w http.ResponseWriter, r *http.Request) {
	if c, ok := clientConnOf(r.Context()); ok && c.limiter.closing.Load() && !c.hasReadHead() {
		w.Header().Set("Connection", "close")
	}
}

func (f *frontend) serveReadiness(w http.ResponseWriter) {
	if !f.ready.Load() || f.stopping.Load() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	io.WriteString(w, "ok\n")
}

func (f *frontend) serveRequest(w http.ResponseWriter, r *http.Request) {
	req, err := f.parseRequest(r)
	if err != nil {
		reject(w, r, err)
		return
	}
	if resp, ok := f.awaitResponse(r.Context(), req); ok {
		defer resp.memory.Release()
		defer f.limitWrite(r.Context(), resp)()
		endAtShutdown(w, r)
		writeResponse(w, resp)
		return
	}
	// A client that has closed only its sending side can still read. If the handler
	// wrote nothing, net/http would send a 200 that comes from no endpoint.
	w.Header().Set("Connection", "close")
	writeResponse(w, response{status: http.StatusBadGateway})
}

// awaitResponse passes a request to the node and waits for its response. It
// returns false if the client has disconnected or the node's event loop has
// ended.
func (f *frontend) awaitResponse(ctx context.Context, req *request) (response, bool) {
	if c, ok := clientConnOf(ctx); ok {
		c.setRequestOpen(true)
		defer c.setRequestOpen(false) // before the client can receive the response
		if req.clientLeft(ctx, c) && !req.clientHidden.Load() {
			req.memory.Release() // the loop never learns of the request
			return response{}, false
		}
		req.upstream.ClientDisconnected = func() bool { return req.clientLeft(ctx, c) }
	}
	req.ctx, req.cancel = context.WithCancel(ctx)
	defer req.cancel()
	f.node.post(func() { f.node.startRequest(req) })
	select {
	case resp := <-req.response:
		return resp, true
	case <-ctx.Done():
		f.node.post(func() {
			f.node.abandonRequest(req)
			req.discardResponse()
		})
	case <-f.node.loopEnded:
	}
	return response{}, false
}
