package node

import (
	"bankshift/balancer"
	"bankshift/internal/upstream"
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
)

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

// running is a node under test, with a discovery that knows its servers.
type testNode struct {
	*Node
	dials           *dialHook // of its pool
	address         string
	stop            context.CancelFunc
	endServingPhase func() // ends the time in which a stopped node goes on accepting
	ended           chan error
}

func startNode(t *testing.T, servers ...string) *testNode {
	t.Helper()
	return startNodeWith(t, func(*balancer.Settings) {}, servers...)
}

// startNodeWith starts a node whose settings are changed first.
func startNodeWith(t *testing.T, change func(*balancer.Settings), servers ...string) *testNode {
	t.Helper()
	return startNodeOn(t, newListener(t), func(c *Config) { change(&c.Settings) }, servers...)
}

// startNodeOn starts a node on a listener; its configuration is changed first.
func startNodeOn(t *testing.T, ln net.Listener, change func(*Config), servers ...string) *testNode {
	t.Helper()
	return startNodeWithPool(t, ln, change, func(*upstream.Config) {}, servers...)
}

// startNodeResting starts a node whose connections to servers rest for so long after an answer.
func startNodeResting(t *testing.T, rest time.Duration, change func(*balancer.Settings), servers ...string) *testNode {
	t.Helper()
	return startNodeWithPool(t, newListener(t), func(c *Config) { change(&c.Settings) }, func(c *upstream.Config) { c.RestTime = rest }, servers...)
}

// startNodeWithPool starts a node on a listener; its configuration and that of its pool are changed first.
func startNodeWithPool(t *testing.T, ln net.Listener, change func(*Config), changePool func(*upstream.Config), servers ...string) *testNode {
	t.Helper()
	var entries []string
	for i, s := range servers {
		entries = append(entries, fmt.Sprintf(`{"name":"s-%d","address":%q,"zone":"a","type":"m2","status":"ready","weight":1}`, i, s))
	}
	hung := make(chan struct{})
	disc := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":1,"snapshot":true,"endpoints":[%s]}`, strings.Join(entries, ","))
			return
		}
		select {
		case <-r.Context().Done():
		case <-hung:
		}
	}))
	ctx, stop := context.WithCancel(context.Background())
	cfg := testConfig(disc.Listener.Addr().String())
	change(&cfg)
	n := &testNode{Node: New(cfg, discardLog), address: ln.Addr().String(), stop: stop,
		ended: make(chan error, 1)}
	n.dials = hookDials(n.Node, changePool)
	lingered := make(chan struct{})
	n.endServingPhase = sync.OnceFunc(func() { close(lingered) })
	n.frontend.keepServing = func(func() int) { <-lingered }
	n.frontend.phases = shutdownPhases{answered: testTimeout, closed: 2 * testTimeout} // tests that want less say so
	go func() { n.ended <- n.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		n.endServingPhase()
		close(hung)
		disc.Close()
		<-n.Node.loopEnded
	})
	for until := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		resp, err := http.Get("http://" + n.address + "/health/ready")
		if err == nil {
			resp.Body.Close()
		}
		if err == nil && resp.StatusCode == http.StatusOK || len(servers) == 0 {
			return n
		}
		if time.Now().After(until) {
			t.Fatal("the node does not get ready")
		}
	}
}

// startOrdered starts a node that ends in the stages of its own settings; its list names one server.
func startNodeWithPhases(t *testing.T, cfg Config, ln net.Listener, server string) *testNode {
	t.Helper()
	cfg.Known.Endpoints = []json.RawMessage{json.RawMessage(endpointJSON("s-0", server, "ready"))}
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

// startConfig starts a node that is told cfg, but for where to listen.
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

// held counts the requests that the node holds.
func (n *testNode) openRequests(t *testing.T) int {
	t.Helper()
	held := make(chan int, 1)
	n.post(func() { held <- len(n.requests) })
	return receive(t, held, "the loop")
}

// seize stops the loop, so that the test can run what comes in its place, until free is called.
func (n *testNode) blockLoop(t *testing.T) (free func()) {
	t.Helper()
	seized, freed := make(chan bool), make(chan bool)
	n.post(func() {
		close(seized)
		<-freed
	})
	free = sync.OnceFunc(func() { close(freed) })
	t.Cleanup(free) // before the node's end waits for the loop
	receive(t, seized, "the loop")
	return free
}

// leave closes a client's connection and waits until the node has seen it.
func (n *testNode) disconnect(t *testing.T, c testClient) {
	t.Helper()
	c.Close()
	waitUntil(t, "the connection's end", func() bool { return n.frontend.connections.openConnections() == 0 })
}

// mustNotSend has another request sent, behind anything that was sent before it.
func (n *testNode) mustNotSend(t *testing.T, got <-chan string, id string) {
	t.Helper()
	c := n.dial(t)
	c.sendGet(t, "saldo", "next", "60")
	if s := c.status(t); s != 200 {
		t.Errorf("the next request is answered %d", s)
	}
	for next := ""; next != "next"; {
		if next = receive(t, got, "the next request"); next == id {
			t.Fatal("the request is sent though its client has left")
		}
	}
}

// reading counts the connections on which a request's head has been read.
func (n *testNode) connectionsInRequest() int {
	n.frontend.connections.mu.Lock()
	defer n.frontend.connections.mu.Unlock()
	return n.frontend.connections.slotsInUse - len(n.frontend.connections.idle)
}

// names waits until the node's list is want.
func (n *testNode) awaitEndpoints(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		got := make(chan string, 1)
		n.post(func() { got <- fmt.Sprint(n.directory.Names()) })
		if list := receive(t, got, "the list"); list == want {
			return
		} else if time.Now().After(end) {
			t.Fatalf("the list is %s, want %s", list, want)
		}
	}
}

// hookDials gives a node that does not run yet a pool with a hook in its
// dialer; its configuration is changed first.
func hookDials(n *Node, change func(*upstream.Config)) *dialHook {
	_, connections := n.cfg.Connections()
	c := upstream.ConfigFor(n.cfg.Settings, connections)
	h := &dialHook{}
	c.Dialer.ControlContext = h.control
	change(&c)
	n.pool = upstream.NewPool(c)
	return h
}
