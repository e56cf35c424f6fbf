package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
)

// TestApplyEndpointsSetsAddresses guards against an endpoint list that does not
// update the pool's addresses or the node's readiness, for each kind of update.
func TestApplyEndpointsSetsAddresses(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), discardLog)
	dials := hookDials(n, func(*upstream.Config) {})
	apply := func(kind balancer.UpdateKind, entries ...string) {
		n.applyEndpoints(listOf(kind, entries...), kind)
	}
	check := func(when string, want map[string]string) {
		t.Helper()
		pooled := map[string]string{}
		for _, name := range []string{"a", "b", "c", "d"} {
			if address, _ := dials.poolEntry(t, n, name, syscall.ECONNREFUSED); address != "" {
				pooled[name] = address
			}
		}
		if n.directory.Len() != len(want) || n.pool.Len() != len(want) || len(pooled) != len(want) {
			t.Errorf("%s: %d listed, %d in the pool, %d of them named, want %d", when, n.directory.Len(), n.pool.Len(), len(pooled), len(want))
		}
		for name, address := range want {
			if _, listed := n.directory.ID(name); !listed || pooled[name] != address {
				t.Errorf("%s: %s is at %q, want %s", when, name, pooled[name], address)
			}
		}
		if n.frontend.ready.Load() != (len(want) > 0) {
			t.Errorf("%s: ready is %v with %d endpoints", when, n.frontend.ready.Load(), len(want))
		}
	}
	check("at the start", nil)
	apply(balancer.CachedUpdate, endpointJSON("a", "127.0.0.1:1", "ready"), endpointJSON("b", "127.0.0.1:2", "draining"))
	check("cached", map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"})
	apply(balancer.IncrementalUpdate, endpointJSON("a", "127.0.0.1:3", "ready"), endpointJSON("b", "", "gone"), endpointJSON("c", "", "gone"))
	check("changes", map[string]string{"a": "127.0.0.1:3"})
	apply(balancer.FullUpdate, endpointJSON("d", "127.0.0.1:4", "ready"))
	check("full", map[string]string{"d": "127.0.0.1:4"})
	apply(balancer.FullUpdate)
	check("empty", nil)
}

// TestPollOnDemandHangsAfterFailure guards against a node that learns of changes too
// late after an outage of discovery. Where the endpoint list is polled on demand,
// the poll after a failed one may hang beyond the end of the outage, so it must not
// be a long poll: after discovery's return, the node has to know the list within 6 s
// less the drain grace.
func TestPollOnDemandHangsAfterFailure(t *testing.T) {
	hung, broken := make(chan bool, 1), make(chan bool, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, endpointJSON("a", "127.0.0.1:1", "ready"))
			return
		}
		select {
		case broken <- true: // the first long poll fails
			panic(http.ErrAbortHandler)
		default:
		}
		select {
		case hung <- true:
			<-r.Context().Done()
		default: // discovery works again
			fmt.Fprintf(w, `{"index":8,"snapshot":false,"endpoints":[%s]}`, endpointJSON("b", "127.0.0.1:1", "ready"))
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	cfg := testConfig(s.Listener.Addr().String())
	cfg.Settings.EndpointsOnDemand = true
	n := startNodeFromConfig(t, cfg)
	n.awaitEndpoints(t, "[a]")
	waitUntil(t, "the poll that hangs", func() bool { return len(hung) > 0 })
	back := time.Now()
	n.awaitEndpoints(t, "[a b]")
	if took, limit := time.Since(back), 6*time.Second-cfg.Settings.DrainGrace; took > limit {
		t.Errorf("known %v after discovery's return, want within %v", took, limit)
	}
}

// TestPollsOnDemandAreRefused guards against a node that learns of changes too late
// after discovery has refused connections for a while, because the pauses between
// its polls have grown too long.
func TestPollsOnDemandAreRefused(t *testing.T) {
	address, listen := boundPort(t)
	cfg := testConfig(address)
	cfg.Settings.EndpointsOnDemand = true
	cfg.Known = discovery.List{Version: 3, Endpoints: []json.RawMessage{json.RawMessage(endpointJSON("a", "127.0.0.1:1", "ready"))}}
	n := startNodeFromConfig(t, cfg)
	n.awaitEndpoints(t, "[a]")
	time.Sleep(3 * time.Second) // the outage; the limit below holds for an outage of any length
	back := time.Now()
	go http.Serve(listen(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, endpointJSON("b", "127.0.0.1:1", "ready"))
			return
		}
		<-r.Context().Done()
	}))
	n.awaitEndpoints(t, "[b]")
	if took, limit := time.Since(back), 6*time.Second-cfg.Settings.DrainGrace; took > limit {
		t.Errorf("known %v after discovery's return, want within %v", took, limit)
	}
}

// TestNewProcessFetchesFullList guards against a new node that asks only for changes
// since the version of the endpoint list in its configuration: that version may come
// from another instance of discovery and mean nothing to this one.
func TestNewProcessFetchesFullList(t *testing.T) {
	first := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	t.Cleanup(s.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cfg := testConfig(s.Listener.Addr().String())
	cfg.Known.Version = 9
	n := New(cfg, discardLog)
	n.applyEndpoints(cfg.Known, balancer.CachedUpdate)
	go n.discovery.Run(ctx)
	if q := receive(t, first, "the first poll"); q != "" {
		t.Errorf("the first poll is for %s, want the full list", q)
	}
}

// removal is a way in which a full list removes an endpoint.
type removal struct {
	name   string
	moved  bool   // the list comes from a new discovery after a reload
	drains bool   // the endpoint was announced as draining before
	status string // of the endpoint in the full list; empty: the list leaves it out
	since  int    // start time of the endpoint in the full list, Unix time in ms
}

// TestFullListRemovesEndpoint guards against requests that are sent to an endpoint
// after a full list has removed it, and against open requests that are cut off by
// the removal. The list comes after a reload or in the current poll. It leaves out an
// endpoint that still answers, names it as draining, or names a new process of it.
// The endpoint's idle connection has to be closed at once, no request may be sent to
// it any more, not even one whose connection is being dialed, and its open requests
// have to be served to the end.
func TestFullListRemovesEndpoint(t *testing.T) {
	for _, r := range []removal{
		{name: "left out after a reload", moved: true},
		{name: "drained, then left out after a reload", moved: true, drains: true},
		{name: "left out by the current poll"},
		{name: "drains after a reload", moved: true, status: "draining"},
		{name: "restarted", status: "ready", since: 5},
	} {
		t.Run(r.name, func(t *testing.T) { testFullListRemovesEndpoint(t, r) })
	}
}

func testFullListRemovesEndpoint(t *testing.T, r removal) {
	address, events, release := startReportingBackend(t)
	expect := func(want string) {
		t.Helper()
		if got := receive(t, events, want); got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
	entry := func(status string, since int) string {
		return fmt.Sprintf(`{"name":"s-0","address":%q,"status":%q,"since_ms":%d}`, address, status, since)
	}
	other, got := startRecordingBackend(t)
	fullList := []string{endpointJSON("other", other, "ready")}
	if r.status != "" {
		fullList = append(fullList, entry(r.status, r.since))
	}
	// With this MinReuseDelay each request needs a new connection.
	n := startNodeWithReuseDelay(t, time.Hour, func(*balancer.Settings) {}, address)
	begun, allowDial := holdDials(n.dials)
	send := func(id string) chan clientResponse {
		response := make(chan clientResponse, 1)
		go func() { response <- sendRequest(t, n.request(t, "GET", "saldo", id, "60", nil)) }()
		receive(t, begun, "a connection to begin")
		return response
	}
	open := send("open")
	allowDial <- struct{}{}
	expect("0 open")
	done := send("done")
	allowDial <- struct{}{}
	expect("1 done")
	receive(t, done, "its response")
	dialed := send("dialed")
	if r.drains {
		n.postEndpoints(balancer.IncrementalUpdate, entry("draining", 0))
	}
	if r.moved {
		n.moveDiscovery(t, fullList)
	} else {
		n.postEndpoints(balancer.FullUpdate, fullList...)
	}
	expect("1 ends")
	close(allowDial)
	expect("2 ends")
	if resp := receive(t, dialed, "a response"); resp.status != 200 || receive(t, got, "the request on the other backend") != "dialed" {
		t.Errorf("the request that was being dialed is answered %d", resp.status)
	}
	close(release)
	if resp := receive(t, open, "a response"); resp.status != 200 {
		t.Errorf("the open request is answered %d", resp.status)
	}
	expect("0 ends")
	if !n.frontend.ready.Load() {
		t.Error("not ready")
	}
}

// startReportingBackend starts a backend that answers each request, but the one with
// the ID "open" only when release is closed. For each request, events receives the
// connection's number and the request's ID, such as "0 open"; at the end of a
// connection it receives the number and "ends".
func startReportingBackend(t *testing.T) (address string, events chan string, release chan bool) {
	t.Helper()
	events = make(chan string, 20)
	release = make(chan bool)
	address = startBackend(t, func(number int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				events <- fmt.Sprint(number, " ends")
				return
			}
			id := req.Header.Get("X-Request-Id")
			events <- fmt.Sprint(number, " ", id)
			if id == "open" {
				<-release
			}
			io.WriteString(c, okResponse)
		}
	})
	return address, events, release
}

// postEndpoints posts an endpoint list to the loop, which applies it.
func (n *testNode) postEndpoints(kind balancer.UpdateKind, entries ...string) {
	n.post(func() { n.applyEndpoints(listOf(kind, entries...), kind) })
}

// moveDiscovery reloads the node's configuration with the address of a new discovery
// and waits until the node knows its list.
func (n *testNode) moveDiscovery(t *testing.T, entries []string) {
	t.Helper()
	address, pollStarted, _ := startDiscovery(t, 3, entries...)
	cfg := n.cfg
	cfg.Discovery = address
	n.Reload(cfg)
	receive(t, pollStarted, "the long poll there") // begins when the node knows the list
}

// listOf returns an endpoint list with these entries, each of them in JSON.
func listOf(kind balancer.UpdateKind, entries ...string) discovery.List {
	list := discovery.List{Version: 1, Snapshot: kind != balancer.IncrementalUpdate}
	for _, entry := range entries {
		list.Endpoints = append(list.Endpoints, json.RawMessage(entry))
	}
	return list
}

// TestLastEntryOfListWins guards against the use of an outdated entry: a list may
// name an endpoint twice, in the order of its changes, so that the last entry has to
// win, however long the list is.
func TestLastEntryOfListWins(t *testing.T) {
	for _, states := range [][2]string{{"draining", "ready"}, {"ready", "draining"}, {"gone", "ready"}, {"ready", "gone"}} {
		n := New(testConfig("127.0.0.1:1"), discardLog)
		dials := hookDials(n, func(*upstream.Config) {})
		address, _ := startOKBackend(t)
		l := discovery.List{Version: 1, Snapshot: true}
		const endpoints = 50
		for _, state := range states {
			for i := range endpoints {
				l.Endpoints = append(l.Endpoints, json.RawMessage(endpointJSON(fmt.Sprint("s", i), address, state)))
			}
		}
		n.applyEndpoints(l, balancer.FullUpdate)
		pooled, draining := 0, 0
		for i := range endpoints {
			if dialed, outcome := dials.poolEntry(t, n, fmt.Sprint("s", i), nil); dialed != "" {
				pooled++
				if outcome == balancer.NotSent { // although the connection was established
					draining++
				}
			}
		}
		wantListed, wantDraining := endpoints, 0
		switch states[1] {
		case "gone":
			wantListed = 0
		case "draining":
			wantDraining = endpoints
		}
		if pooled != wantListed || n.pool.Len() != wantListed || n.directory.Len() != wantListed || draining != wantDraining {
			t.Errorf("%v: %d in the pool, %d of them dialed, %d draining; want %d and %d draining", states, n.pool.Len(), pooled, draining, wantListed, wantDraining)
		}
	}
}
