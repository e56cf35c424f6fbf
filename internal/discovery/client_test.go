package discovery

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"bankshift/balancer"
)

// testTimeout limits each wait of a test; a passing test takes far less.
const testTimeout = 30 * time.Second

func receive[T any](t *testing.T, c <-chan T, what string) T {
	t.Helper()
	select {
	case value := <-c:
		return value
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for " + what)
		panic("unreachable")
	}
}

// newClient returns a Client that polls a test server and sends the lists it
// receives to a channel.
func newClient(s *httptest.Server, schedule PollSchedule, lists chan<- List) *Client {
	c := NewClient(s.Listener.Addr().String(), schedule, rand.Float64, discardLog)
	c.OnUpdate = func(list List) { lists <- list }
	return c
}

// TestClientSurvivesFailures guards against a Client that stops polling or forgets
// its version after a failure. Discovery fails in one way after another; each poll
// must be from the last version, and the change must arrive.
func TestClientSurvivesFailures(t *testing.T) {
	versions := make(chan string, 100)
	var requests atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := r.URL.Query().Get("from")
		versions <- from
		if from == "43" {
			<-r.Context().Done()
			return
		}
		switch requests.Add(1) {
		case 1:
			w.WriteHeader(http.StatusServiceUnavailable)
		case 2:
			panic(http.ErrAbortHandler) // resets the connection
		case 3:
			fmt.Fprint(w, `{"index":`)
		case 4:
			<-r.Context().Done() // stalls until the client gives up
		default: // on a slow machine the first of these responses may come after the timeout
			fmt.Fprintf(w, `{"index":43,"snapshot":false,"endpoints":[%s]}`, endpointJSON("s", "127.0.0.1:1", "draining"))
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan List, 10)
	c := newClient(s, PollSchedule{
		LongPollTimeout:  20 * time.Millisecond,
		ResponseTimeout:  time.Second,
		ShortPollTimeout: time.Second,
		FullListTimeout:  time.Second,
		RetryInterval:    3 * time.Second,
		FirstBackoff:     maxFirstBackoff,
	}, lists)
	c.OnFailure = func() { t.Error("OnFailure is called though the schedule is not on demand") }
	c.watcher.version = 41
	c.watcher.hasVersion = true
	go c.Run(ctx)
	select {
	case list := <-lists:
		if list.Version != 43 || list.Snapshot || len(list.Endpoints) != 1 {
			t.Errorf("list %+v, want changes with one endpoint, version 43", list)
		}
	case <-time.After(testTimeout):
		t.Fatal("no list arrives")
	}
	for i := 1; ; i++ {
		from := receive(t, versions, "the next request")
		if from == "43" && i > 5 {
			break
		}
		if from != "41" {
			t.Fatalf("request %d is from version %s, want 41 for at least five requests and then 43", i, from)
		}
	}
}

// TestClientOnDemand guards against an on-demand Client that does not report a
// failure, or that polls again after one without a Request.
func TestClientOnDemand(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("from") {
		case "": // the full list
			fmt.Fprint(w, `{"index":42,"snapshot":true,"endpoints":[]}`)
		case "41":
			fmt.Fprint(w, `{"index":50,"snapshot":false,"endpoints":[]}`)
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	lists := make(chan List, 10)
	failures := make(chan bool, 10)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	c := newClient(s, ScheduleFor(balancer.Settings{EndpointsOnDemand: true}), lists)
	c.OnFailure = func() { failures <- true }
	c.watcher.version = 41
	c.watcher.hasVersion = true
	go c.Run(ctx)
	for _, step := range []struct {
		fetch   bool
		version uint64
	}{{false, 50}, {true, 42}} {
		c.Request(step.fetch, true)
		if list := <-lists; list.Version != step.version {
			t.Errorf("list of version %d, want %d", list.Version, step.version)
		}
		<-failures
	}
	if len(lists) != 0 || len(failures) != 0 {
		t.Error("the client polls after a failure without a Request")
	}
}

// TestStalledPollAfterAnOutage guards against a drain that is known too late because
// a long poll stalls from an outage on and never ends. A change that the agent has
// when it can be reached again counts as notified at once, so it must be known within
// the drain grace.
func TestStalledPollAfterAnOutage(t *testing.T) {
	const grace = 4 * time.Second
	stalled := make(chan bool, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("from") {
		case "":
			fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, endpointJSON("s", "127.0.0.1:1", "ready"))
			return
		case "7":
			select {
			case stalled <- true: // the first long poll
				w.WriteHeader(http.StatusOK)
				http.NewResponseController(w).Flush() // a header without a body
				<-r.Context().Done()
				return
			default: // a later poll: the agent can be reached again
				fmt.Fprintf(w, `{"index":8,"snapshot":false,"endpoints":[%s]}`, endpointJSON("s", "127.0.0.1:1", "draining"))
				return
			}
		}
		<-r.Context().Done()
	}))
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(s.CloseClientConnections)
	defer cancel()
	lists := make(chan List, 10)
	go newClient(s, ScheduleFor(balancer.Settings{DrainGrace: grace}), lists).Run(ctx)
	if list := receive(t, lists, "the full list"); list.Version != 7 {
		t.Fatalf("first list %+v, want version 7", list)
	}
	started := time.Now() // the long poll that stalls has started or is about to
	if list := receive(t, lists, "the drain"); list.Version != 8 {
		t.Fatalf("second list %+v, want version 8", list)
	}
	if took := time.Since(started); took > grace {
		t.Errorf("the drain is known after %v, want within the drain grace of %v", took, grace)
	}
}

// TestSlowListArrives guards against giving up a long list that arrives slowly. A
// list whose parts each arrive in time is accepted, however long it takes as a
// whole; a list that stalls is given up and requested again.
func TestSlowListArrives(t *testing.T) {
	var requests, beforeEnd atomic.Int32 // all requests; those received before the last part of the list was sent
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, `{"index":7,`)
		if requests.Add(1) == 1 {
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
			return
		}
		for range 30 {
			fmt.Fprint(w, strings.Repeat(" ", 1000))
			http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
		beforeEnd.Store(requests.Load())
		fmt.Fprint(w, `"endpoints":[]}`)
	}))
	t.Cleanup(s.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	lists := make(chan List, 10)
	c := newClient(s, PollSchedule{
		LongPollTimeout:  time.Second,
		ResponseTimeout:  time.Second,
		ShortPollTimeout: time.Second,
		FullListTimeout:  3 * time.Second,
		RetryInterval:    time.Second,
		FirstBackoff:     time.Millisecond,
	}, lists)
	go c.Run(ctx)
	if list := receive(t, lists, "the list"); list.Version != 7 || beforeEnd.Load() != 2 {
		t.Errorf("version %d after %d requests, want 7 after 2", list.Version, beforeEnd.Load())
	}
}

// TestConnectionsClosedAfterResponses guards against failed polls where discovery
// closes each connection after its response without announcing it in a header.
func TestConnectionsClosedAfterResponses(t *testing.T) {
	var version atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body := fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[]}`, version.Add(1))
		conn, buf, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer conn.Close()
		fmt.Fprintf(buf, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		buf.Flush()
		time.Sleep(time.Millisecond) // the client reads the response and polls again before the connection closes
	}))
	t.Cleanup(s.CloseClientConnections)
	for _, onDemand := range []bool{true, false} {
		ctx, cancel := context.WithCancel(context.Background())
		lists := make(chan List)
		var failures atomic.Int32
		c := newClient(s, ScheduleFor(balancer.Settings{EndpointsOnDemand: onDemand, DrainGrace: time.Second}), lists)
		c.OnFailure = func() {
			failures.Add(1)
			c.Request(false, true)
		}
		go c.Run(ctx)
		c.Request(true, true)
		for range 50 {
			receive(t, lists, "a list")
		}
		cancel()
		if n := failures.Load(); n > 2 {
			t.Errorf("on demand %v: %d polls failed, want at most 2", onDemand, n)
		}
	}
}

// TestHedgedRequestsOfAStalledLongPoll guards against a change that is known too
// late because a long poll and its first hedged request stall. The change must be
// known within 2 s after LongPollTimeout, and the requests that are still running
// must be canceled.
func TestHedgedRequestsOfAStalledLongPoll(t *testing.T) {
	const longPollTimeout = 100 * time.Millisecond
	var requests atomic.Int32
	canceled := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch requests.Add(1) {
		case 1:
			fmt.Fprint(w, `{"index":1,"snapshot":true,"endpoints":[]}`)
		case 4:
			fmt.Fprintf(w, `{"index":2,"snapshot":false,"endpoints":[%s]}`, endpointJSON("s", "127.0.0.1:1", "draining"))
		default:
			<-r.Context().Done()
			canceled <- true
		}
	}))
	defer s.Close()
	defer s.CloseClientConnections()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	schedule := ScheduleFor(balancer.Settings{EndpointsOnDemand: true, DrainGrace: time.Second})
	schedule.LongPollTimeout = longPollTimeout
	lists := make(chan List, 10)
	c := newClient(s, schedule, lists)
	c.OnFailure = func() { t.Error("OnFailure is called though a hedged request succeeds") }
	c.Request(true, true)
	go c.Run(ctx)
	receive(t, lists, "the first list")
	started := time.Now()
	if list := receive(t, lists, "the second list"); list.Version != 2 || time.Since(started) > longPollTimeout+2*time.Second {
		t.Errorf("version %d after %v, want 2 within 2 s after LongPollTimeout", list.Version, time.Since(started))
	}
	for range 2 {
		receive(t, canceled, "the end of the other requests")
	}
}
