package balancer_test

import (
	"fmt"
	"strings"
	"time"

	"bankshift/balancer"
)

// step is the resolution of the harness's clock.
const step = 5 * time.Millisecond

// inTimeLimit is the latency, over all tries of a client, below which harness.inTime counts a response.
const inTimeLimit = 600 * time.Millisecond

// harness runs one Balancer on a virtual clock, with simulated endpoints whose latency and outcome the test sets, and
// simulated clients that may try again.
type harness struct {
	balancer *balancer.Balancer
	now      time.Duration
	events   []scheduledEvent // not yet delivered, in the order in which they were scheduled

	// Set by the test at any time.
	respond       func(balancer.EndpointID) (latency time.Duration, outcome balancer.Outcome)
	work          func(balancer.RequestID) time.Duration // added to the latency of each attempt
	clientTimeout time.Duration                          // how long a client waits, over all its tries
	retries       int                                    // most retries of a rejected client, each after Retry-After

	// Requests. The ID of a client's first try is its class and number; retries append "/x", "/xx" and so on.
	arrivals     int                                    // clients so far
	arrivedAt    map[balancer.RequestID]time.Duration   // arrival of each client's first try
	attempts     map[balancer.RequestID]int             // attempts sent so far
	answered     map[balancer.RequestID]bool            // requests that have their final answers
	finalActions map[balancer.RequestID]balancer.Action // the Reject or Fail of each request that had one

	// Counts since the start or the last resetCounts.
	sent     map[balancer.EndpointID]int
	rejected int
	failed   int

	// Counts since the start or the test's last reset of them.
	inTime      map[string]int  // responses within inTimeLimit, by class
	retryAfters []time.Duration // Retry-After of each rejection
	logActions  int             // EndpointEjected and EndpointRecovered
	polls       int             // Subscribe
}

type scheduledEvent struct {
	at    time.Duration
	event balancer.Event
}

// harnessSettings returns settings with an important and an ordinary class whose requests are idempotent, and a class
// "once" whose requests are not.
func harnessSettings() balancer.Settings {
	return balancer.Settings{
		Nodes:             1,
		MaxAttempts:       3,
		CancelAllowed:     true,
		MinEventInterval:  step,
		PollInterval:      10 * time.Second,
		ConnectTimeout:    100 * time.Millisecond,
		SlowStartCapacity: 0.3,
		SlowStartDuration: 8 * time.Second,
		OverloadFactor:    2.5,
		OverloadDuration:  time.Second,
		RetryAfterAllowed: true,
		MaxRetryAfter:     time.Second,
		Classes: []balancer.Class{{
			Name:             "important",
			PriorityWeight:   12,
			LatencyObjective: inTimeLimit,
			Deadline:         1200 * time.Millisecond,
			Idempotency:      balancer.Idempotent,
		}, {
			Name:             "ordinary",
			PriorityWeight:   1,
			LatencyObjective: 1500 * time.Millisecond,
			Deadline:         4 * time.Second,
			Idempotency:      balancer.Idempotent,
		}, {
			Name:             "once",
			PriorityWeight:   1,
			LatencyObjective: 1500 * time.Millisecond,
			Deadline:         2 * time.Second,
			Idempotency:      balancer.NotIdempotent,
		}},
	}
}

// newHarness returns a harness with the endpoints 1 to n, which serve each request in 50 ms.
func newHarness(settings balancer.Settings, endpoints int) *harness {
	h := &harness{
		balancer:      balancer.New(settings, 5),
		now:           time.Hour,
		respond:       func(balancer.EndpointID) (time.Duration, balancer.Outcome) { return 50 * time.Millisecond, balancer.OK },
		work:          func(balancer.RequestID) time.Duration { return 0 },
		clientTimeout: 2 * time.Second,
		arrivedAt:     map[balancer.RequestID]time.Duration{},
		attempts:      map[balancer.RequestID]int{},
		answered:      map[balancer.RequestID]bool{},
		finalActions:  map[balancer.RequestID]balancer.Action{},
		sent:          map[balancer.EndpointID]int{},
		inTime:        map[string]int{},
	}
	update := balancer.EndpointUpdate{Kind: balancer.CachedUpdate}
	for i := range endpoints {
		update.Endpoints = append(update.Endpoints, balancer.Endpoint{ID: balancer.EndpointID(i + 1), Zone: "z"})
	}
	h.handle(update)
	return h
}

// resetCounts sets the counts of sends, rejections and failures to zero.
func (h *harness) resetCounts() {
	h.sent = map[balancer.EndpointID]int{}
	h.rejected = 0
	h.failed = 0
}

// sentTo returns the number of sends to the matching endpoints.
func (h *harness) sentTo(matches func(balancer.EndpointID) bool) int {
	total := 0
	for id, n := range h.sent {
		if matches(id) {
			total += n
		}
	}
	return total
}

// totalSent returns the number of sends to all endpoints.
func (h *harness) totalSent() int {
	return h.sentTo(func(balancer.EndpointID) bool { return true })
}

// run advances the clock by the duration, with rate arrivals of the class per second.
func (h *harness) run(duration time.Duration, rate float64, class string) {
	arrivals := 0.0 // arrivals that are due, with a fraction
	for end := h.now + duration; h.now < end; h.now += step {
		for _, due := range h.takeDue() {
			if ended, ok := due.event.(balancer.AttemptEnded); ok {
				due.event = h.recordResponse(ended)
			}
			h.handle(due.event)
		}
		for arrivals += rate * step.Seconds(); arrivals >= 1; arrivals-- {
			h.arrive(class)
		}
	}
}

// takeDue removes and returns the events that are due.
func (h *harness) takeDue() []scheduledEvent {
	var due, later []scheduledEvent
	for _, scheduled := range h.events {
		if scheduled.at <= h.now {
			due = append(due, scheduled)
		} else {
			later = append(later, scheduled)
		}
	}
	h.events = later
	return due
}

// arrive delivers a client's first try.
func (h *harness) arrive(class string) {
	h.arrivals++
	id := balancer.RequestID(fmt.Sprint(class, h.arrivals))
	h.arrivedAt[id] = h.now
	h.handle(balancer.RequestArrived{ID: id, Class: class, Timeout: h.clientTimeout})
}

// recordResponse counts a response if it is in time, and returns the event with RequestDone set if the request has its
// final answer.
func (h *harness) recordResponse(ended balancer.AttemptEnded) balancer.AttemptEnded {
	client, _, _ := strings.Cut(string(ended.ID), "/")
	inTime := h.now-h.arrivedAt[balancer.RequestID(client)] < inTimeLimit
	if ended.Outcome == balancer.OK && !h.answered[ended.ID] && inTime {
		h.inTime[classOf(client)]++
	}
	ended.RequestDone = h.answered[ended.ID] || ended.Outcome == balancer.OK
	h.answered[ended.ID] = ended.RequestDone
	return ended
}

// classOf returns the class in the ID of a client's first try.
func classOf(client string) string { return strings.TrimRight(client, "0123456789") }

// schedule queues an event for delivery after the given time.
func (h *harness) schedule(after time.Duration, event balancer.Event) {
	h.events = append(h.events, scheduledEvent{h.now + after, event})
}

// handle passes an event to the balancer and carries out the resulting actions.
func (h *harness) handle(event balancer.Event) {
	for _, action := range h.balancer.Handle(h.now, event) {
		switch action := action.(type) {
		case balancer.Send:
			h.send(action)
		case balancer.CancelAttempt:
			h.schedule(time.Millisecond, balancer.AttemptEnded{
				ID:      action.ID,
				Attempt: action.Attempt,
				Outcome: balancer.Canceled,
			})
		case balancer.Reject:
			h.reject(action)
		case balancer.Fail:
			h.failed++
			h.answered[action.ID] = true
			h.finalActions[action.ID] = action
		case balancer.SetTimer:
			h.schedule(action.After, balancer.TimerFired{Token: action.Token})
		case balancer.EndpointEjected, balancer.EndpointRecovered:
			h.logActions++
		case balancer.Subscribe:
			h.polls++
			h.schedule(time.Second, balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
		}
	}
}

// send schedules the outcome of an attempt.
func (h *harness) send(send balancer.Send) {
	h.sent[send.Endpoint]++
	attempt := h.attempts[send.ID]
	h.attempts[send.ID]++
	latency, outcome := h.respond(send.Endpoint)
	latency += h.work(send.ID)
	if latency > send.Timeout {
		latency, outcome = send.Timeout, balancer.TimedOut
	}
	h.schedule(latency, balancer.AttemptEnded{
		ID:       send.ID,
		Attempt:  attempt,
		Endpoint: send.Endpoint,
		Outcome:  outcome,
		Elapsed:  latency,
	})
}

// reject records a rejection, after which the client may try again.
func (h *harness) reject(reject balancer.Reject) {
	h.rejected++
	h.answered[reject.ID] = true
	h.finalActions[reject.ID] = reject
	h.retryAfters = append(h.retryAfters, reject.RetryAfter)
	client, tries, _ := strings.Cut(string(reject.ID), "/") // tries has one letter for each earlier retry
	waited := h.now + reject.RetryAfter - h.arrivedAt[balancer.RequestID(client)]
	if len(tries) >= h.retries || waited >= h.clientTimeout {
		return
	}
	h.schedule(reject.RetryAfter, balancer.RequestArrived{
		ID:      balancer.RequestID(client + "/" + tries + "x"),
		Class:   classOf(client),
		Timeout: h.clientTimeout - waited,
	})
}
