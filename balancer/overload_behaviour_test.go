package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
)

// serialEndpoints serve one request at a time, in 20 ms each.
type serialEndpoints struct {
	freeAt       map[balancer.EndpointID]time.Duration
	longestQueue time.Duration // highest latency of a request, including its wait
	latencySum   time.Duration
	responses    int
}

// serveSerially makes the harness's endpoints serve one request at a time.
func (h *harness) serveSerially() *serialEndpoints {
	const serviceTime = 20 * time.Millisecond
	s := &serialEndpoints{freeAt: map[balancer.EndpointID]time.Duration{}}
	h.respond = func(id balancer.EndpointID) (time.Duration, balancer.Outcome) {
		s.freeAt[id] = max(s.freeAt[id], h.now) + serviceTime
		latency := s.freeAt[id] - h.now
		s.longestQueue = max(s.longestQueue, latency)
		s.latencySum += latency
		s.responses++
		return latency, balancer.OK
	}
	return s
}

// meanLatency returns the mean latency since the last call.
func (s *serialEndpoints) meanLatency() time.Duration {
	mean := time.Duration(0)
	if s.responses > 0 {
		mean = s.latencySum / time.Duration(s.responses)
	}
	s.latencySum, s.responses = 0, 0
	return mean
}

// runMixed runs the harness for the given time with requests of two classes, which alternate every 50 ms. Each class
// arrives at its rate per second in its own intervals only, so at half that rate on average.
func (h *harness) runMixed(duration time.Duration, rate1 float64, class1 string, rate2 float64, class2 string) {
	const turn = 50 * time.Millisecond
	for end := h.now + duration; h.now < end; {
		h.run(turn, rate1, class1)
		h.run(turn, rate2, class2)
	}
}

// Guards against rejecting light traffic where there are many endpoints and few requests for each.
func TestLightTrafficIsServed(t *testing.T) {
	settings := harnessSettings()
	settings.Nodes = 6
	h := newHarness(settings, 15)
	h.run(4*time.Second, 30, "ordinary")
	h.resetCounts()
	h.run(20*time.Second, 30, "ordinary")
	if h.rejected > 3 {
		t.Errorf("%d of 600 requests of light traffic were rejected, want at most 3", h.rejected)
	}
}

// Guards against shedding the important class on overload before the ordinary one.
func TestOverloadShedsByPriority(t *testing.T) {
	h := newHarness(harnessSettings(), 3)
	h.serveSerially()
	rejected := map[string]int{} // requests rejected on arrival, by class
	for range 400 {
		for _, class := range []string{"important", "ordinary", "ordinary", "ordinary"} {
			before := h.rejected
			h.arrivals++
			id := balancer.RequestID(fmt.Sprint(h.arrivals))
			h.handle(balancer.RequestArrived{ID: id, Class: class, Timeout: time.Second})
			rejected[class] += h.rejected - before
		}
		h.run(15*time.Millisecond, 0, "")
	}
	if rejected["ordinary"] < 200 || rejected["important"]*6 > rejected["ordinary"] {
		t.Errorf("rejected on arrival: %v, want at least 200 ordinary and at most a sixth of that number important requests",
			rejected)
	}
}

// Guards against requests left without an answer if the endpoint list is empty or all endpoints drain, and against
// panics on empty settings, unknown classes and events for unknown requests.
func TestNoUsableEndpointOrOddSettings(t *testing.T) {
	draining := []balancer.Endpoint{{ID: 1, State: balancer.Draining}}
	for _, endpoints := range [][]balancer.Endpoint{nil, draining} {
		for _, settings := range []balancer.Settings{{}, harnessSettings()} {
			h := newHarness(settings, 0)
			h.handle(balancer.EndpointUpdate{Kind: balancer.FullUpdate, Endpoints: endpoints})
			h.handle(balancer.RequestArrived{ID: "a", Class: "unknown", Timeout: time.Second})
			if _, ok := h.finalActions["a"].(balancer.Reject); !ok || len(h.sent) != 0 {
				t.Errorf("endpoints %v: answer %v, sends %v, want Reject and no sends", endpoints, h.finalActions["a"], h.sent)
			}
		}
	}
	h := newHarness(balancer.Settings{}, 2) // no classes at all
	h.handle(balancer.RequestArrived{ID: "a", Class: "x", Timeout: 0})
	if _, ok := h.finalActions["a"].(balancer.Reject); !ok {
		t.Error("a request with timeout 0 was not rejected")
	}
	h.handle(balancer.RequestArrived{ID: "b", Class: "x", Timeout: time.Second})
	h.handle(balancer.AttemptEnded{
		ID:       "unknown",
		Attempt:  3,
		Endpoint: 9,
		Outcome:  balancer.OK,
		Report:   &balancer.LoadReport{},
	})
	h.handle(balancer.RequestAbandoned{ID: "unknown"})
	h.handle(balancer.TimerFired{Token: 99})
	h.run(2*time.Second, 50, "x")
	if h.totalSent() == 0 {
		t.Error("no request was sent with settings without classes")
	}
}

// Guards against sends to an endpoint that has just rejected a request, and against a block that lasts for longer than
// modeValidity.
func TestRejectionBlocksForItsValidity(t *testing.T) {
	h := newHarness(harnessSettings(), 1)
	h.respond = func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		return time.Millisecond, balancer.Rejected
	}
	h.run(step, 200, "ordinary")
	h.run(100*time.Millisecond, 0, "ordinary")
	h.resetCounts()
	h.run(800*time.Millisecond, 20, "ordinary")
	if h.sent[1] != 0 {
		t.Errorf("%d sends to a blocked endpoint, want none", h.sent[1])
	}
	h.run(200*time.Millisecond, 0, "ordinary")
	h.run(200*time.Millisecond, 20, "ordinary")
	if h.sent[1] == 0 {
		t.Error("no request was sent after modeValidity: the block did not expire")
	}
}

// Guards against thresholds from what light traffic happened to have in flight: without minThreshold, 60 of 300
// requests were served in time. At light traffic, the requests of one class suddenly take eleven times as long. No
// endpoint may be ejected for it, and most of the other class must be served. Some requests are still rejected, as the
// node does not know that the endpoints could serve more.
func TestOneClassSuddenlyCostsMore(t *testing.T) {
	h := newHarness(harnessSettings(), 6)
	h.runMixed(10*time.Second, 61, "ordinary", 21, "once")
	h.work = func(id balancer.RequestID) time.Duration {
		if strings.HasPrefix(string(id), "once") {
			return 500 * time.Millisecond
		}
		return 0
	}
	h.resetCounts()
	h.inTime = map[string]int{}
	h.runMixed(10*time.Second, 61, "ordinary", 21, "once")
	if h.logActions > 0 {
		t.Errorf("%d endpoints were ejected because of heavy requests", h.logActions)
	}
	if h.inTime["ordinary"] < 190 {
		t.Errorf("%d of 300 requests of the unchanged class were served in time, want at least 190; %d rejected",
			h.inTime["ordinary"], h.rejected)
	}
	least, most := h.sent[1], h.sent[1]
	for _, n := range h.sent {
		least, most = min(least, n), max(most, n)
	}
	if len(h.sent) < 6 || most > 2*least {
		t.Errorf("sends by endpoint: %v, want all 6 endpoints and at most twice the least for each", h.sent)
	}
}

// Guards against an overload that gets worse as rejected clients retry, twice each: the important class must still be
// served, queues must stay short, and clients must get different Retry-After times.
func TestOverloadWithClientRetries(t *testing.T) {
	h := newHarness(harnessSettings(), 4)
	h.retries = 2
	h.clientTimeout = 1200 * time.Millisecond
	endpoints := h.serveSerially()
	h.runMixed(10*time.Second, 40, "important", 60, "ordinary")
	h.inTime = map[string]int{}
	h.retryAfters = nil
	endpoints.longestQueue = 0
	h.runMixed(10*time.Second, 40, "important", 600, "ordinary") // mean 20 and 300/s; the endpoints can serve 200/s
	if h.inTime["important"] < 170 {
		t.Errorf("%d of 200 important requests in time, want at least 170", h.inTime["important"])
	}
	if h.inTime["ordinary"] < 1000 {
		t.Errorf("%d ordinary requests in time, of about 1800 that the endpoints could serve, want at least 1000",
			h.inTime["ordinary"])
	}
	if endpoints.longestQueue > 300*time.Millisecond {
		t.Errorf("the longest queue of an endpoint takes %v, want at most 300 ms", endpoints.longestQueue)
	}
	different := map[time.Duration]bool{}
	for _, retryAfter := range h.retryAfters {
		different[retryAfter] = true
	}
	if len(different) < len(h.retryAfters)/4 {
		t.Errorf("%d rejections with %d different Retry-After times, want at least a quarter as many",
			len(h.retryAfters), len(different))
	}
}

// Guards against forgetting the unloaded latency: an overload of a minute must not make the queues that it causes seem
// normal, or they grow until endpoints slow down.
func TestLongOverloadDoesNotLengthenQueues(t *testing.T) {
	settings := harnessSettings()
	settings.Classes[1].LatencyObjective = 10 * time.Second // so long that only the unloaded latency limits the queue
	h := newHarness(settings, 4)
	endpoints := h.serveSerially()
	h.run(10*time.Second, 100, "ordinary")
	h.run(10*time.Second, 400, "ordinary")
	endpoints.meanLatency()
	h.run(5*time.Second, 400, "ordinary")
	early := endpoints.meanLatency()
	h.run(60*time.Second, 400, "ordinary")
	endpoints.meanLatency()
	h.run(5*time.Second, 400, "ordinary")
	late := endpoints.meanLatency()
	t.Logf("mean latency %v after 10 s of overload, %v after 75 s", early, late)
	if early == 0 || late > early*5/4 {
		t.Errorf("mean latency %v after 10 s of overload, %v after 75 s, want at most 1.25 times the first", early, late)
	}
}

// BenchmarkRequest measures a request from its arrival to its response, with 20 endpoints.
func BenchmarkRequest(b *testing.B) {
	node := balancer.New(harnessSettings(), 1)
	update := balancer.EndpointUpdate{Kind: balancer.CachedUpdate}
	for i := range 20 {
		update.Endpoints = append(update.Endpoints, balancer.Endpoint{ID: balancer.EndpointID(i + 1)})
	}
	node.Handle(0, update)
	b.ReportAllocs()
	for i := range b.N {
		now := time.Duration(i) * time.Millisecond
		id := balancer.RequestID(fmt.Sprint(i))
		arrived := balancer.RequestArrived{ID: id, Class: "ordinary", Timeout: time.Second}
		for _, action := range node.Handle(now, arrived) {
			if send, ok := action.(balancer.Send); ok {
				node.Handle(now, balancer.AttemptEnded{
					ID:          id,
					Endpoint:    send.Endpoint,
					RequestDone: true,
					Elapsed:     time.Millisecond,
				})
			}
		}
		if i%25 == 0 {
			node.Handle(now, balancer.TimerFired{Token: 0})
		}
	}
}
