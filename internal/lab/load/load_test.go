package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// testTimeout is longer than any step of these tests takes on a busy machine.
const testTimeout = 20 * time.Second

// serve starts a server and returns a Config.Route to it.
func serve(t *testing.T, f http.HandlerFunc) func(*Request, int) (int, string) {
	t.Helper()
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	return routeTo(s.Listener.Addr().String())
}

// routeTo returns a Config.Route that sends all tries to an address.
func routeTo(address string) func(*Request, int) (int, string) {
	return func(r *Request, _ int) (int, string) { return r.Node, address }
}

// stream returns n idempotent requests that are due every so often. change, which
// may be nil, edits each of them.
func stream(n int, every time.Duration, change func(*Request)) []Request {
	out := make([]Request, n)
	for i := range out {
		out[i] = Request{At: time.Duration(i) * every, ID: fmt.Sprintf("q-%d", i), Class: "read", Subject: "u", Deadline: testTimeout}
		if change != nil {
			change(&out[i])
		}
	}
	return out
}

// run sends a stream and checks that every request is counted with one outcome.
func run(t *testing.T, c Config, s []Request) *Report {
	t.Helper()
	c.MaxSendDelay = testTimeout // a busy machine sends late; TestSendDelay covers the limit
	r, err := Run(t.Context(), c, s)
	if err != nil {
		t.Fatal(err)
	}
	if r.Offered != len(s) || r.Served+r.Rejected+r.Failed+r.Lost != len(s) {
		t.Errorf("%d requests, but the report counts %+v", len(s), r)
	}
	return r
}

// TestOpenLoop guards against a generator that waits for responses before it sends
// the next request. While a node is paused, all requests must still be sent at
// their times, and each latency must include the pause.
func TestOpenLoop(t *testing.T) {
	const n, pause = 40, 300 * time.Millisecond
	var received atomic.Int32
	resumed := make(chan struct{})
	all := make(chan struct{})
	route := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if received.Add(1) == n {
			close(all)
		}
		<-resumed
	})
	go func() {
		<-all // all requests are under way at once, though none has been answered
		time.Sleep(pause)
		close(resumed)
	}()
	r := run(t, Config{Route: route}, stream(n, time.Millisecond, nil))
	if r.Served != n || r.Dials != n || time.Duration(r.Latency["all"].Min()) < pause*9/10 {
		t.Errorf("%d served over %d connections, the fastest after %v, want all, each over its own, and none before the pause ended", r.Served, r.Dials, time.Duration(r.Latency["all"].Min()))
	}
}

// TestLatencyIsFromTheIntendedTime guards against latencies that leave out the wait
// for a free connection. With one connection allowed, requests that are due at the
// same time wait for each other.
func TestLatencyIsFromTheIntendedTime(t *testing.T) {
	const n, took = 5, 30 * time.Millisecond
	route := serve(t, func(w http.ResponseWriter, r *http.Request) { time.Sleep(took) })
	r := run(t, Config{Route: route, Connections: 1}, stream(n, 0, nil))
	if r.Served != n || r.Dials != 1 || r.ConnectionWaits != n-1 || time.Duration(r.Latency["all"].Max()) < n*took*9/10 {
		t.Errorf("%d served over %d connections, %d waits for a connection, the slowest after %v, want all over one, and the slowest to include the waits", r.Served, r.Dials, r.ConnectionWaits,
			time.Duration(r.Latency["all"].Max()))
	}
}

// TestRequestsOnTheWire guards against requests that break the protocol. It checks
// the method, path, headers and body for each kind of idempotency.
func TestRequestsOnTheWire(t *testing.T) {
	var mu sync.Mutex
	seen := map[string]string{}
	route := serve(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		seen[r.Header.Get("X-Request-Id")] = fmt.Sprintf("%s %s %s %s t=%s k=%s h=%s d=%s body=%t", r.Method, r.URL.Path, r.Proto,
			r.Header.Get("X-Class"), r.Header.Get("X-Tenant"), r.Header.Get("Idempotency-Key"), r.Header.Get("X-Work"),
			r.Header.Get("X-Deadline")[:2], len(b) > 0)
	})
	s := stream(3, 0, nil)
	s[1].Idempotency, s[1].Key, s[1].Tenant = IdempotentByKey, "k-1", "t-1"
	s[2].Idempotency, s[2].Class, s[2].Headers = NotIdempotent, "pay", []Header{{"X-Work", "7"}}
	run(t, Config{Route: route}, s)
	for id, want := range map[string]string{
		"q-0": "GET /api/u HTTP/1.1 read t= k= h= d=%s body=false",
		"q-1": "POST /api/u HTTP/1.1 read t=t-1 k=k-1 h= d=%s body=true",
		"q-2": "POST /api/u HTTP/1.1 pay t= k= h=7 d=%s body=true",
	} {
		if got := seen[id]; got != fmt.Sprintf(want, "19") && got != fmt.Sprintf(want, "20") {
			t.Errorf("request %s was sent as %s", id, got)
		}
	}
}

// TestRetryAfterRejection guards against retries that come too soon or too often,
// reuse an id or are not marked. A client waits for Retry-After or the backoff
// before each, and makes as many as Retries allows.
func TestRetryAfterRejection(t *testing.T) {
	var mu sync.Mutex
	var ids []string
	var marks int
	route := serve(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		ids = append(ids, r.Header.Get("X-Request-Id"))
		if r.Header.Get("X-Retry") == "1" {
			marks++
		}
		if len(ids) == 1 {
			w.Header().Set("Retry-After", "0.05")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	began := time.Now()
	r := run(t, Config{Route: route, Retries: 2, Backoff: 20 * time.Millisecond, MarkRetries: true}, stream(1, 0, nil))
	if took := time.Since(began); r.Rejected != 1 || r.Tries != 3 || marks != 2 || !slices.Equal(ids, []string{"q-0", "q-0-1", "q-0-2"}) ||
		took < 70*time.Millisecond {
		t.Errorf("%+v with ids %v, %d marked as retries, in %v, want 3 tries, 2 marked, in at least 70 ms", r, ids, marks, took)
	}
}

// TestRetriesAfterFailure guards against a further try of a request that may have
// been executed. A try that reached no node was not executed and may be followed
// by another. After any other failure only RetryOnFailure allows one. Route is
// called with the number of the try.
func TestRetriesAfterFailure(t *testing.T) {
	route := serve(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Retry") == "" {
			w.WriteHeader(http.StatusBadGateway)
		}
	})
	for _, c := range []struct {
		name           string
		deadNode       bool // the first try's address refuses connections
		retryOnFailure bool
		outcome        Outcome
		tries          int
	}{{"no node", true, false, Served, 2}, {"safe", false, true, Served, 2}, {"unsafe", false, false, Failed, 1}} {
		s := stream(1, 0, func(r *Request) { r.RetryOnFailure = c.retryOnFailure })
		var o Result
		run(t, Config{Retries: 1, MarkRetries: true, Route: func(r *Request, try int) (int, string) {
			if c.deadNode && try == 0 {
				return 1, "127.0.0.1:1"
			}
			return route(r, try)
		}, Done: func(_ int, _ *Request, got Result) { o = got }}, s)
		if o.Outcome != c.outcome || o.Tries != c.tries {
			t.Errorf("%s: %+v, want %s after %d tries", c.name, o, c.outcome, c.tries)
		}
	}
}

// TestOutcomes guards against responses and failures that are counted under the
// wrong outcome.
func TestOutcomes(t *testing.T) {
	route := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Header.Get("X-Class") {
		case "502":
			w.WriteHeader(http.StatusBadGateway)
		case "429":
			w.WriteHeader(http.StatusTooManyRequests)
		case "truncated":
			w.Header().Set("Content-Length", "10")
			io.WriteString(w, "half")
		case "silent":
			<-r.Context().Done()
		case "reports":
			w.Header().Set("X-Held", "60")
		}
	})
	var mu sync.Mutex
	got := map[string]Result{}
	s := stream(6, 0, nil)
	for i, class := range []string{"502", "429", "truncated", "silent", "reports", "nobody"} {
		s[i].Class = class
	}
	s[3].Deadline = 50 * time.Millisecond
	s[5].Node = 1
	r := run(t, Config{ServiceTimeHeader: "X-Held", Route: func(r *Request, try int) (int, string) {
		if r.Node == 1 {
			return 1, "127.0.0.1:1"
		}
		return route(r, try)
	}, Done: func(i int, r *Request, o Result) {
		mu.Lock()
		defer mu.Unlock()
		got[r.Class] = o
	}}, s)
	for class, want := range map[string]Outcome{"502": Failed, "429": Rejected, "truncated": Failed, "silent": Lost, "reports": Served, "nobody": Failed} {
		if o := got[class]; o.Outcome != want || (o.Err != nil) != (class == "truncated" || class == "silent" || class == "nobody") {
			t.Errorf("%s: %+v, want %s", class, o, want)
		}
	}
	if o := got["reports"]; o.AddedLatency != 0 || r.AddedLatency.TotalCount() != 1 {
		t.Errorf("%+v: want AddedLatency 0 where the reported service time is longer than the latency", o)
	}
}

// TestCloseOfReusedConnection guards against failures that a node causes by closing
// an idle connection just as a request is sent on it. The request must be sent
// again on a new connection, unless it is not idempotent: that could run it twice.
func TestCloseOfReusedConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				b := make([]byte, 4096)
				for i := range 2 {
					if _, err := c.Read(b); err != nil {
						return
					}
					if i == 0 {
						io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
					}
				}
			}()
		}
	}()
	for _, c := range []struct {
		idempotency Idempotency
		outcome     Outcome
		dials       int
	}{{Idempotent, Served, 2}, {IdempotentByKey, Served, 2}, {NotIdempotent, Failed, 1}} {
		first := make(chan struct{})
		s := stream(2, 150*time.Millisecond, func(r *Request) { r.Idempotency = c.idempotency })
		var last Outcome
		r := run(t, Config{Route: routeTo(ln.Addr().String()), Done: func(i int, _ *Request, o Result) {
			if i == 0 {
				close(first)
			} else {
				<-first
				last = o.Outcome
			}
		}}, s)
		if last != c.outcome || r.Dials != c.dials {
			t.Errorf("idempotency %d: the second request ends %s after %d dials", c.idempotency, last, r.Dials)
		}
	}
}

// TestSendDelay guards against a run that passes as valid though the generator sent
// its requests late.
func TestSendDelay(t *testing.T) {
	g := &generator{Config: Config{MaxSendDelay: time.Millisecond}, report: &Report{SendDelay: NewHistogram()}}
	for range 100 {
		recordDuration(g.report.SendDelay, 500*time.Microsecond)
	}
	g.checkSendDelay()
	if len(g.report.Violations) != 0 {
		t.Errorf("sends in time, but violations %q", g.report.Violations)
	}
	for range 10 {
		recordDuration(g.report.SendDelay, 2*time.Millisecond)
	}
	g.checkSendDelay()
	if len(g.report.Violations) != 1 || !strings.Contains(g.report.Violations[0], "late") {
		t.Errorf("late sends: violations %q, want one that says late", g.report.Violations)
	}
}

// TestContextCancellation guards against a Run that goes on after its context has
// ended: one request waits for its response and the next is due in a minute.
func TestContextCancellation(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	route := serve(t, func(w http.ResponseWriter, r *http.Request) {
		cancel()
		<-r.Context().Done()
	})
	if _, err := Run(ctx, Config{Route: route}, stream(2, time.Minute, nil)); !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned %v, want context.Canceled", err)
	}
}

// TestInvalidStreams guards against streams that are sent although they are not
// sorted, have no deadline, last too long or have too many requests.
func TestInvalidStreams(t *testing.T) {
	route := routeTo("")
	for _, s := range [][]Request{
		stream(2, -1, nil), stream(1, 0, func(r *Request) { r.Deadline = 0 }), stream(2, 2*MaxRequestTime, nil), make([]Request, MaxRequests+1),
	} {
		if _, err := Run(t.Context(), Config{Route: route}, s); err == nil {
			t.Errorf("Run accepted an invalid stream of %d requests", len(s))
		}
	}
}
