package balancer_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"bankshift/balancer"
)

// world drives one Balancer through legal but unkind events, drawn at random, and checks the rules on each action with
// code of its own: nothing here uses more of the package than its interface.
type world struct {
	settings balancer.Settings
	capacity float64 // requests per second, of a warm endpoint, that this node may send it
	rng      *rand.Rand
	balancer *balancer.Balancer
	mutate   func(*world, []balancer.Action) []balancer.Action // breaks the balancer's actions; nil: left as they are

	now      time.Duration
	queue    []futureEvent
	order    int // of the last event that was scheduled
	lastName int // used in the IDs of requests and endpoints

	requests    map[balancer.RequestID]*worldRequest
	endpoints   map[balancer.EndpointID]*worldEndpoint
	endpointIDs []balancer.EndpointID // in order of their listing
	sentAt      map[balancer.EndpointID][]time.Duration

	actions    []string // for each event, as text
	violations []string // of the rules
}

// worldRequest is a request as the world knows it.
type worldRequest struct {
	class     balancer.Class
	deadline  time.Duration
	attempts  []worldAttempt
	answered  bool // it has its final answer, or needs none
	streaming bool
}

type worldAttempt struct {
	endpoint balancer.EndpointID
	sentAt   time.Duration
	ended    bool
	outcome  balancer.Outcome
}

// neverRan reports whether the outcome proves that the attempt never ran.
func (a worldAttempt) neverRan() bool {
	return a.ended && (a.outcome == balancer.Rejected || a.outcome == balancer.ConnectFailed || a.outcome == balancer.NotSent)
}

// worldEndpoint is an endpoint as the last update of the node had it.
type worldEndpoint struct {
	balancer.Endpoint
	notReadySince time.Duration // when an update first had it draining or removed; 0: it is ready
	startKnown    bool          // an update had its start
	usedAt        time.Duration // last send, outcome, or update that it drains; 0: none since its connections were closed
}

// futureEvent is an event that the node will be handed.
type futureEvent struct {
	at    time.Duration
	order int // of events at the same time
	event balancer.Event
}

// newWorld draws the settings and starts the node.
func newWorld(seed int64) *world {
	w := &world{
		rng:       rand.New(rand.NewSource(seed)),
		now:       time.Hour,
		endpoints: map[balancer.EndpointID]*worldEndpoint{},
		sentAt:    map[balancer.EndpointID][]time.Duration{},
	}
	w.settings = w.drawSettings()
	for range 1 + w.rng.Intn(4) {
		w.settings.Classes = append(w.settings.Classes, w.drawClass(fmt.Sprint("c", len(w.settings.Classes))))
	}
	if w.rng.Intn(3) == 0 {
		w.settings.Tenants = []balancer.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	w.start()
	return w
}

// drawDuration draws a whole number of milliseconds, at least low and less than high.
func (w *world) drawDuration(low, high int) time.Duration {
	return time.Duration(low+w.rng.Intn(high-low)) * time.Millisecond
}

func (w *world) drawBool() bool { return w.rng.Intn(2) == 0 }

// drawSettings draws settings without classes and tenants.
func (w *world) drawSettings() balancer.Settings {
	return balancer.Settings{
		Nodes:               1 + w.rng.Intn(6),
		Zone:                "z0",
		MaxAttempts:         1 + w.rng.Intn(5),
		HedgingAllowed:      w.drawBool(),
		CancelAllowed:       w.rng.Intn(3) > 0,
		HealthChecksAllowed: w.drawBool(),
		LoadReportSource:    balancer.LoadReportSource(w.rng.Intn(3)),
		GossipAllowed:       w.drawBool(),
		RetryAfterAllowed:   w.drawBool(),
		MaxRetryAfter:       time.Second,
		ConnectTimeout:      100 * time.Millisecond,
		MinEventInterval:    5 * time.Millisecond,
		EndpointsOnDemand:   w.drawBool(),
		ResponseSlack:       20 * time.Millisecond,
		PollInterval:        10 * time.Second,
		DrainGrace:          w.drawDuration(0, 1000),
		DrainCloseTimeout:   time.Duration(w.rng.Intn(2)) * w.drawDuration(20, 500),
		SlowStartCapacity:   0.3,
		SlowStartDuration:   w.drawDuration(3000, 9000),
		OverloadFactor:      2.5,
		OverloadDuration:    time.Second,
	}
}

func (w *world) drawClass(name string) balancer.Class {
	objective := w.drawDuration(100, 1500)
	zones := [][]string{nil, nil, {"z0"}, {"z1", "z0"}, {}}
	machineTypes := [][]string{nil, nil, nil, {"k1"}}
	return balancer.Class{
		Name:                name,
		PriorityWeight:      float64(w.rng.Intn(13)),
		LatencyObjective:    objective,
		Deadline:            2*objective + w.drawDuration(0, 2000),
		LateWeight:          float64(w.rng.Intn(2)) / 2,
		Idempotency:         balancer.Idempotency(w.rng.Intn(3)),
		DeduplicationScope:  balancer.DeduplicationScope(w.rng.Intn(3)),
		DeduplicationWindow: w.drawDuration(100, 4000),
		Streamed:            w.rng.Intn(4) == 0,
		AllowedZones:        zones[w.rng.Intn(5)],
		AllowedMachineTypes: machineTypes[w.rng.Intn(4)],
	}
}

// start starts the node, with the endpoint list as it last had it.
func (w *world) start() {
	w.balancer = balancer.New(w.settings, w.rng.Int63())
	w.requests = map[balancer.RequestID]*worldRequest{}
	w.queue = nil
	entries := w.listed()
	for len(entries) < 4 {
		entries = append(entries, w.newEndpoint(0))
	}
	w.endpoints = map[balancer.EndpointID]*worldEndpoint{}
	w.endpointIDs = nil
	w.update(balancer.CachedUpdate, entries)
}

// listed returns the endpoint list by the updates so far.
func (w *world) listed() []balancer.Endpoint {
	var entries []balancer.Endpoint
	for _, id := range w.endpointIDs {
		if endpoint := w.endpoints[id].Endpoint; endpoint.State != balancer.Removed {
			entries = append(entries, endpoint)
		}
	}
	return entries
}

func (w *world) newEndpoint(startedAt time.Duration) balancer.Endpoint {
	w.lastName++
	return balancer.Endpoint{
		ID:          balancer.EndpointID(w.lastName*2654435761 + 1),
		Zone:        fmt.Sprint("z", w.rng.Intn(2)),
		MachineType: fmt.Sprint("k", w.rng.Intn(2)),
		Cell:        w.rng.Intn(3),
		Weight:      1,
		StartedAt:   startedAt,
	}
}

// run plays some time with so many arrivals per second. The node may be restarted in between if restarts is set.
func (w *world) run(duration time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := w.now + duration; w.now < end; w.now += step {
		w.deliverDue()
		for n := rate * step.Seconds(); n > 0; n-- {
			if w.rng.Float64() < n {
				w.arrive()
			}
		}
		if w.rng.Intn(150) == 0 {
			w.changeEndpoints()
		}
		if restarts && w.rng.Intn(1500) == 0 {
			w.start()
		}
		w.checkConnectionsClosed()
		w.checkAnswered(step)
	}
}

// deliverDue hands over the events that are due, in order.
func (w *world) deliverDue() {
	slices.SortStableFunc(w.queue, func(x, y futureEvent) int {
		if x.at != y.at {
			return int(x.at - y.at)
		}
		return x.order - y.order
	})
	for len(w.queue) > 0 && w.queue[0].at <= w.now {
		next := w.queue[0]
		w.queue = w.queue[1:]
		w.deliver(next.event)
	}
}

// deliver hands an event over if it can still happen: one outcome for each attempt, none that a restarted node has
// forgotten, and nothing for a request that was answered.
func (w *world) deliver(event balancer.Event) {
	switch event := event.(type) {
	case balancer.AttemptEnded:
		request := w.requests[event.ID]
		if request == nil || request.attempts[event.Attempt].ended {
			return
		}
		attempt := &request.attempts[event.Attempt]
		attempt.ended = true
		attempt.outcome = event.Outcome
		w.endpoints[attempt.endpoint].usedAt = w.now
		request.answered = request.answered || event.Outcome == balancer.OK
		event.RequestDone = request.answered
		w.handle(event)
		return
	case balancer.StreamStarted:
		request := w.requests[event.ID]
		if request == nil || request.answered || request.attempts[event.Attempt].ended {
			return
		}
		request.streaming = true
	case balancer.RequestAbandoned:
		request := w.requests[event.ID]
		if request == nil || request.answered {
			return
		}
		request.answered = true
	}
	w.handle(event)
}

// handle hands an event over and carries out the actions.
func (w *world) handle(event balancer.Event) {
	actions := w.balancer.Handle(w.now, event)
	w.actions = append(w.actions, fmt.Sprintf("%#v", actions))
	if w.mutate != nil {
		actions = w.mutate(w, actions)
	}
	for _, action := range actions {
		w.carryOut(action)
	}
}

// schedule hands an event over later, no sooner than MinEventInterval.
func (w *world) schedule(after time.Duration, event balancer.Event) {
	w.order++
	at := w.now + max(after, w.settings.MinEventInterval)
	w.queue = append(w.queue, futureEvent{at: at, order: w.order, event: event})
}

// arrive hands over a new request.
func (w *world) arrive() {
	w.lastName++
	id := balancer.RequestID(fmt.Sprintf("%036d", w.lastName))
	class := w.settings.Classes[w.rng.Intn(len(w.settings.Classes))]
	timeout := time.Duration(float64(class.Deadline) * (0.3 + 0.7*w.rng.Float64()))
	if w.rng.Intn(50) == 0 {
		timeout = 0
	}
	w.requests[id] = &worldRequest{class: class, deadline: w.now + timeout}
	if w.rng.Intn(40) == 0 {
		w.schedule(timeout/2, balancer.RequestAbandoned{ID: id})
	}
	event := balancer.RequestArrived{ID: id, Class: class.Name, Timeout: timeout}
	if len(w.settings.Tenants) > 0 {
		event.Tenant = w.settings.Tenants[w.rng.Intn(len(w.settings.Tenants))].Name
	}
	w.handle(event)
}

// update hands over an update of the endpoint list and records what it says.
func (w *world) update(kind balancer.UpdateKind, entries []balancer.Endpoint) {
	named := map[balancer.EndpointID]bool{}
	for _, entry := range entries {
		named[entry.ID] = true
		w.recordEntry(entry)
	}
	if kind != balancer.IncrementalUpdate {
		for _, id := range w.endpointIDs {
			if endpoint := w.endpoints[id]; !named[id] && endpoint.notReadySince == 0 {
				endpoint.notReadySince = w.now
				endpoint.State = balancer.Removed
			}
		}
	}
	w.handle(balancer.EndpointUpdate{Kind: kind, Endpoints: entries})
}

func (w *world) recordEntry(entry balancer.Endpoint) {
	endpoint := w.endpoints[entry.ID]
	if endpoint == nil {
		endpoint = &worldEndpoint{}
		w.endpoints[entry.ID] = endpoint
		w.endpointIDs = append(w.endpointIDs, entry.ID)
	}
	endpoint.Endpoint = entry
	ready := entry.State == balancer.Ready
	endpoint.startKnown = ready && entry.StartedAt > 0
	switch {
	case ready:
		endpoint.notReadySince = 0
	case endpoint.notReadySince == 0:
		endpoint.notReadySince = w.now
		endpoint.usedAt = w.now
	}
}

// changeEndpoints hands over a random change of the endpoint list.
func (w *world) changeEndpoints() {
	entry := w.endpoints[w.endpointIDs[w.rng.Intn(len(w.endpointIDs))]].Endpoint
	switch w.rng.Intn(6) {
	case 0:
		entry.State = balancer.Draining
	case 1:
		entry.State = balancer.Removed
	case 2:
		entry.State = balancer.Ready
		entry.StartedAt = w.now
	case 3:
		entry = w.newEndpoint(w.now)
	case 4:
		w.update(balancer.FullUpdate, w.listed())
		return
	case 5:
		if w.settings.EndpointsOnDemand {
			w.handle(balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
		}
		return
	}
	w.update(balancer.IncrementalUpdate, []balancer.Endpoint{entry})
}
