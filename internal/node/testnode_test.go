package node

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/upstream"
)

// testConfig returns a configuration with one class of each idempotency. No test
// reaches the classes' time limits.
func testConfig(discovery string) Config {
	return Config{Name: "n0", Discovery: discovery, Seed: 1, MemoryMB: 192, Sockets: 512, Settings: balancer.Settings{
		Nodes: 1, Zone: "a", Zones: []string{"a"}, MachineTypes: []string{"m2"}, MaxAttempts: 4, CancelAllowed: true, RetryAfterAllowed: true,
		MaxRetryAfter: 2 * time.Second, ConnectTimeout: testTimeout, IdleConnectionTimeout: time.Hour, MaxOpenRequests: 1000,
		DrainGrace: time.Second, SlowStartCapacity: 0.3, SlowStartDuration: time.Second, OverloadFactor: 3, OverloadDuration: time.Second,
		Classes: []balancer.Class{
			{Name: "saldo", PriorityWeight: 1, LatencyObjective: testTimeout, Deadline: 2 * testTimeout, Idempotency: balancer.Idempotent},
			{Name: "pedido", PriorityWeight: 1, LatencyObjective: testTimeout, Deadline: 2 * testTimeout, Idempotency: balancer.IdempotentByKey, DeduplicationWindow: time.Second},
			{Name: "pagar", PriorityWeight: 1, LatencyObjective: testTimeout, Deadline: 2 * testTimeout, Idempotency: balancer.NotIdempotent},
		}}}
}

// testNode is a node that runs in a test.
type testNode struct {
	*Node
	dials           *dialHook // set in its pool; nil if the pool is not replaced
	address         string    // at which clients connect
	stop            context.CancelFunc
	endServingPhase func()     // ends the first phase of the shutdown
	ended           chan error // receives the result of Run
}

// startNode starts a node and a discovery that lists the backends at these addresses
// under the names s-0, s-1 and so on.
func startNode(t *testing.T, backends ...string) *testNode {
	t.Helper()
	return startNodeWith(t, func(*balancer.Settings) {}, backends...)
}

// startNodeWith is startNode with changed settings.
func startNodeWith(t *testing.T, change func(*balancer.Settings), backends ...string) *testNode {
	t.Helper()
	return startNodeOn(t, newListener(t), func(c *Config) { change(&c.Settings) }, backends...)
}

// startNodeOn is startNode with a listener and a changed configuration.
func startNodeOn(t *testing.T, ln net.Listener, change func(*Config), backends ...string) *testNode {
	t.Helper()
	return startNodeWithPool(t, ln, change, func(*upstream.Config) {}, backends...)
}

// startNodeWithReuseDelay is startNode with changed settings and a
// MinReuseDelay: a connection to a backend carries no request for this long after
// a response.
func startNodeWithReuseDelay(t *testing.T, delay time.Duration, change func(*balancer.Settings), backends ...string) *testNode {
	t.Helper()
	return startNodeWithPool(t, newListener(t), func(c *Config) { change(&c.Settings) }, func(c *upstream.Config) { c.MinReuseDelay = delay }, backends...)
}

// startNodeWithPool is startNode with a listener, a changed configuration of the node
// and a changed configuration of its pool.
func startNodeWithPool(t *testing.T, ln net.Listener, change func(*Config), changePool func(*upstream.Config), backends ...string) *testNode {
	t.Helper()
	discovery, closeDiscovery := startDiscoveryOf(backends)
	ctx, stop := context.WithCancel(context.Background())
	cfg := testConfig(discovery)
	change(&cfg)
	n := &testNode{Node: New(cfg, discardLog), address: ln.Addr().String(), stop: stop, ended: make(chan error, 1)}
	n.dials = hookDials(n.Node, changePool)
	served := make(chan struct{})
	n.endServingPhase = sync.OnceFunc(func() { close(served) })
	n.frontend.keepServing = func(func() int) { <-served }
	n.frontend.phases = shutdownPhases{answered: testTimeout, closed: 2 * testTimeout} // some tests set shorter ones
	go func() { n.ended <- n.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		n.endServingPhase()
		closeDiscovery()
		<-n.Node.loopEnded
	})
	if len(backends) > 0 {
		waitUntil(t, "the node to be ready", n.isReady)
	}
	return n
}

// isReady asks the node whether it is ready.
func (n *testNode) isReady() bool {
	resp, err := http.Get("http://" + n.address + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// startDiscoveryOf starts a discovery whose only list names the backends. It holds
// long polls open until close is called.
func startDiscoveryOf(backends []string) (address string, close func()) {
	var entries []string
	for i, address := range backends {
		entries = append(entries, fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":"a","type":"m2","status":"ready","weight":1}`, i, address))
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ","))
			return
		}
		select {
		case <-r.Context().Done():
		case <-ctx.Done():
		}
	}))
	return server.Listener.Addr().String(), func() {
		cancel()
		server.Close()
	}
}

// startNodeWithPhases starts a node with the shutdown phases that follow from its
// settings. Its configuration lists one backend.
func startNodeWithPhases(t *testing.T, cfg Config, ln net.Listener, backend string) *testNode {
	t.Helper()
	cfg.Known.Endpoints = []json.RawMessage{json.RawMessage(endpointJSON("s-0", backend, "ready"))}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{Node: New(cfg, discardLog), address: ln.Addr().String(), stop: stop, ended: make(chan error, 1)}
	go func() { n.ended <- n.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		<-n.Node.loopEnded
	})
	waitUntil(t, "the node to be ready", n.frontend.ready.Load)
	return n
}

// startNodeFromConfig starts a node with a configuration and a new listener. Its
// shutdown has no serving phase.
func startNodeFromConfig(t *testing.T, cfg Config) *testNode {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &testNode{Node: New(cfg, discardLog), address: ln.Addr().String(), stop: stop, endServingPhase: func() {}, ended: make(chan error, 1)}
	n.frontend.keepServing = func(func() int) {}
	n.frontend.phases = shutdownPhases{answered: testTimeout, closed: 2 * testTimeout}
	go func() { n.ended <- n.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		<-n.Node.loopEnded
	})
	return n
}

// openRequests returns how many requests the node holds.
func (n *testNode) openRequests(t *testing.T) int {
	t.Helper()
	open := make(chan int, 1)
	n.post(func() { open <- len(n.requests) })
	return receive(t, open, "the loop")
}

// unansweredRequests returns how many requests are open and not answered. It runs
// in the loop.
func (n *testNode) unansweredRequests() int {
	count := 0
	for _, r := range n.requests {
		if !r.answered {
			count++
		}
	}
	return count
}

// blockLoop blocks the loop until release is called, so that the test itself can run
// the functions that are posted to it.
func (n *testNode) blockLoop(t *testing.T) (release func()) {
	t.Helper()
	blocked, released := make(chan bool), make(chan bool)
	n.post(func() {
		close(blocked)
		<-released
	})
	release = sync.OnceFunc(func() { close(released) })
	t.Cleanup(release) // runs before the node's cleanup, which waits for the loop
	receive(t, blocked, "the loop")
	return release
}

// disconnect closes c, which has to be the only open connection, and waits until the
// node has closed its side too.
func (n *testNode) disconnect(t *testing.T, c testClient) {
	t.Helper()
	c.Close()
	waitUntil(t, "the connection's end", func() bool { return n.frontend.connections.openConnections() == 0 })
}

// mustNotSend checks that a backend does not receive the request with this ID. It
// sends another request, which the backend receives after any earlier one.
func (n *testNode) mustNotSend(t *testing.T, got <-chan string, id string) {
	t.Helper()
	c := n.dial(t)
	c.sendGet(t, "saldo", "next", "60")
	if s := c.status(t); s != 200 {
		t.Errorf("the next request is answered %d", s)
	}
	for next := ""; next != "next"; {
		if next = receive(t, got, "the next request"); next == id {
			t.Fatal("the request was sent although its client had disconnected")
		}
	}
}

// connectionsInRequest returns the number of connections on which the head of a
// request has been read and the response is not finished.
func (n *testNode) connectionsInRequest() int {
	n.frontend.connections.mu.Lock()
	defer n.frontend.connections.mu.Unlock()
	return n.frontend.connections.slotsInUse - len(n.frontend.connections.idle)
}

// hasReceivedFrom reports whether the node has received a part of the next request on
// a client's idle connection.
func (n *testNode) hasReceivedFrom(client net.Conn) bool {
	n.frontend.connections.mu.Lock()
	defer n.frontend.connections.mu.Unlock()
	for c := range n.frontend.connections.idle {
		if c.RemoteAddr().String() == client.LocalAddr().String() {
			c.mu.Lock()
			defer c.mu.Unlock()
			return c.receivedSinceIdle
		}
	}
	return false
}

// awaitEndpoints waits until the names in the node's directory are want.
func (n *testNode) awaitEndpoints(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		got := make(chan string, 1)
		n.post(func() { got <- fmt.Sprint(n.directory.Names()) })
		names := receive(t, got, "the endpoints")
		if names == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the endpoints are %s, want %s", names, want)
		}
	}
}

// hookDials replaces the pool of a node that does not run yet. The new pool has a hook
// in its dialer and a changed configuration.
func hookDials(n *Node, change func(*upstream.Config)) *dialHook {
	_, connections := n.cfg.Connections()
	c := upstream.ConfigFor(n.cfg.Settings, connections)
	c.Responses = n.responseMemory
	c.Heads = n.headMemory
	h := &dialHook{}
	c.Dialer.ControlContext = h.control
	change(&c)
	n.pool = upstream.NewPool(c)
	return h
}
