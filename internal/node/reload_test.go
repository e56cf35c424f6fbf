package node

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
)

// TestWholeListLeavesOut: a whole list, after a reload or from the watch that
// goes on, leaves out a server that still answers, or names a new process of
// it. Its resting connection is closed at once, nothing begins on it, not even
// what is being dialled, and what it has already is served to the end.
func TestWholeListLeavesOut(t *testing.T) {
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
func TestLastEntryCounts(t *testing.T) {
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
