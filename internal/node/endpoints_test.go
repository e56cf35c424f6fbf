package node

import (
	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
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
)

func TestApplyEndpointsSetsAddresses(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), discardLog)
	dials := hookDials(n, func(*upstream.Config) {})
	apply := func(kind balancer.UpdateKind, entries ...string) {
		l := discovery.List{Version: 1, Snapshot: kind != balancer.IncrementalUpdate}
		for _, e := range entries {
			l.Endpoints = append(l.Endpoints, json.RawMessage(e))
		}
		n.applyEndpoints(l, kind)
	}
	check := func(when string, want map[string]string) {
		t.Helper()
		pooled := map[string]string{}
		for _, name := range []string{"a", "b", "c", "d"} {
			if address, _ := dials.pooled(t, n, name, syscall.ECONNREFUSED); address != "" {
				pooled[name] = address
			}
		}
		if n.directory.Len() != len(want) || len(pooled) != len(want) {
			t.Errorf("%s: %d listed, %d in the pool, want %d", when, n.directory.Len(), len(pooled), len(want))
		}
		for name, address := range want {
			if _, listed := n.directory.ID(name); !listed || pooled[name] != address {
				t.Errorf("%s: %s is at %q, want %s", when, name, pooled[name], address)
			}
		}
		if n.frontend.ready.Load() != (len(want) > 0) {
			t.Errorf("%s: ready is wrong", when)
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

// TestAskedCallHangsBehindAFailure: where lists are asked for, the call behind
// a failed one may hang through the end of an outage, so it is not one that
// may wait: what discovery has at its return is known within 6 s, the drain
// grace taken off.
func TestPollOnDemandHangsAfterFailure(t *testing.T) {
	hung, broken := make(chan bool, 1), make(chan bool, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, endpointJSON("a", "127.0.0.1:1", "ready"))
			return
		}
		select {
		case broken <- true: // the first watch
			panic(http.ErrAbortHandler)
		default:
		}
		select {
		case hung <- true:
			<-r.Context().Done()
		default: // discovery is back
			fmt.Fprintf(w, `{"index":8,"snapshot":false,"endpoints":[%s]}`, endpointJSON("b", "127.0.0.1:1", "ready"))
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	cfg := testConfig(s.Listener.Addr().String())
	cfg.Settings.EndpointsOnDemand = true
	n := startNodeFromConfig(t, cfg)
	n.awaitEndpoints(t, "[a]")
	for end := time.Now().Add(testTimeout); len(hung) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	back := time.Now() // the call that hangs has just begun
	n.awaitEndpoints(t, "[a b]")
	if took, most := time.Since(back), 6*time.Second-cfg.Settings.DrainGrace; took > most {
		t.Errorf("known %v after discovery's return, want within %v", took, most)
	}
}

// TestAskedCallsAreRefused: discovery refuses connections, as the waits behind
// the calls have grown long, and is back.
func TestPollsOnDemandAreRefused(t *testing.T) {
	address, listen := boundPort(t)
	cfg := testConfig(address)
	cfg.Settings.EndpointsOnDemand = true
	cfg.Known = discovery.List{Version: 3, Endpoints: []json.RawMessage{json.RawMessage(endpointJSON("a", "127.0.0.1:1", "ready"))}}
	n := startNodeFromConfig(t, cfg)
	n.awaitEndpoints(t, "[a]")
	time.Sleep(3 * time.Second) // an outage; the test holds for one of any length
	back := time.Now()
	go http.Serve(listen(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, endpointJSON("b", "127.0.0.1:1", "ready"))
			return
		}
		<-r.Context().Done()
	}))
	n.awaitEndpoints(t, "[b]")
	if took, most := time.Since(back), 6*time.Second-cfg.Settings.DrainGrace; took > most {
		t.Errorf("known %v after discovery's return, want within %v", took, most)
	}
}

// TestNewProcessTakesTheWholeList: the version of the list that a node is
// started with may be of another discovery, where it means nothing.
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
	if q := receive(t, first, "the first call"); q != "" {
		t.Errorf("the first call is for %s, want the whole list", q)
	}
}

// TestWholeListLeavesOut: a whole list, after a reload or from the watch that
// goes on, leaves out a server that still answers, or names a new process of
// it. Its resting connection is closed at once, nothing begins on it, not even
// what is being dialled, and what it has already is served to the end.
func TestFullListRemovesEndpoint(t *testing.T) {
	for _, c := range []struct {
		name          string
		moved, drains bool   // discovery moves; the server was announced as draining before
		status        string // of the server in the whole list
		since         int
	}{
		{"left out after a reload", true, false, "", 0},
		{"drained, then left out after a reload", true, true, "", 0},
		{"left out by the watch", false, false, "", 0},
		{"drains after a reload", true, false, "draining", 0},
		{"restarted", false, false, "ready", 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			release := make(chan bool)
			events := make(chan string, 20) // connection and request, or the connection's end
			address := backendServer(t, func(number int, conn net.Conn, r *bufio.Reader) {
				for {
					req := readRequest(r)
					if req == nil {
						events <- fmt.Sprint(number, " ends")
						return
					}
					id := req.Header.Get("X-Request-Id")
					if events <- fmt.Sprint(number, " ", id); id == "open" {
						<-release
					}
					io.WriteString(conn, okResponse)
				}
			})
			expect := func(want string) {
				t.Helper()
				if got := receive(t, events, want); got != want {
					t.Errorf("%q, want %q", got, want)
				}
			}
			entry := func(status string, since int) string {
				return fmt.Sprintf(`{"name":"s-0","address":%q,"status":%q,"since_ms":%d}`, address, status, since)
			}
			other, got := recordingServer(t)
			whole := []string{endpointJSON("other", other, "ready")}
			if c.status != "" {
				whole = append(whole, entry(c.status, c.since))
			}
			n := startNodeResting(t, time.Hour, func(*balancer.Settings) {}, address) // so that each request needs a new connection
			follow := func(kind balancer.UpdateKind, entries ...string) {
				l := discovery.List{Version: 1, Snapshot: kind == balancer.FullUpdate}
				for _, e := range entries {
					l.Endpoints = append(l.Endpoints, json.RawMessage(e))
				}
				n.post(func() { n.applyEndpoints(l, kind) })
			}
			begun, come := blockDials(n.dials)
			ask := func(id string) chan clientResponse {
				answer := make(chan clientResponse, 1)
				go func() { answer <- sendRequest(t, n.request(t, "GET", "saldo", id, "60", nil)) }()
				receive(t, begun, "a connection to begin")
				return answer
			}
			open := ask("open")
			come <- struct{}{}
			expect("0 open")
			done := ask("done")
			come <- struct{}{}
			expect("1 done")
			receive(t, done, "its answer")
			dialled := ask("dialled")
			if c.drains {
				follow(balancer.IncrementalUpdate, entry("draining", 0))
			}
			if c.moved {
				address, watched, _ := discoveryServer(t, 3, whole...)
				cfg := n.cfg
				cfg.Discovery = address
				n.Reload(cfg)
				receive(t, watched, "the watch there") // the list is known before it begins
			} else {
				follow(balancer.FullUpdate, whole...)
			}
			expect("1 ends")
			close(come)
			expect("2 ends")
			if a := receive(t, dialled, "an answer"); a.status != 200 || receive(t, got, "it elsewhere") != "dialled" {
				t.Errorf("the dialled request is answered %d", a.status)
			}
			close(release)
			if a := receive(t, open, "an answer"); a.status != 200 {
				t.Errorf("the open request is answered %d", a.status)
			}
			expect("0 ends")
			if !n.frontend.ready.Load() {
				t.Error("not ready")
			}
		})
	}
}

// TestLastEntryCounts: a list may name a server twice, in the order of what
// has happened to it. The last entry holds, however long the list is.
func TestLastEntryOfListHolds(t *testing.T) {
	for _, states := range [][2]string{{"draining", "ready"}, {"ready", "draining"}, {"gone", "ready"}, {"ready", "gone"}} {
		n := New(testConfig("127.0.0.1:1"), discardLog)
		dials := hookDials(n, func(*upstream.Config) {})
		address, _ := okServer(t)
		l := discovery.List{Version: 1, Snapshot: true}
		const servers = 50
		for _, state := range states {
			for i := range servers {
				l.Endpoints = append(l.Endpoints, json.RawMessage(endpointJSON(fmt.Sprint("s", i), address, state)))
			}
		}
		n.applyEndpoints(l, balancer.FullUpdate)
		pooled, leaving := 0, 0
		for i := range servers {
			if dialled, outcome := dials.pooled(t, n, fmt.Sprint("s", i), nil); dialled != "" {
				pooled++
				if outcome == balancer.NotSent { // though its connection came up
					leaving++
				}
			}
		}
		listed, left := servers, 0
		switch states[1] {
		case "gone":
			listed = 0
		case "draining":
			left = servers
		}
		if pooled != listed || n.directory.Len() != listed || leaving != left {
			t.Errorf("%v: %d in the pool, %d leave; want %d and %d", states, pooled, leaving, listed, left)
		}
	}
}
