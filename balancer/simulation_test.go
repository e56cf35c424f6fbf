package balancer_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"bankshift/balancer"
)

// simulation feeds one Balancer events that are drawn at random, legal but adverse, and checks each action against the
// rules. Its checks do not rely on the balancer's own: it uses only the exported interface of the package.
type simulation struct {
	settings balancer.Settings
	capacity float64 // requests per second that this node may send to a warm endpoint
	rng      *rand.Rand
	balancer *balancer.Balancer
	mutate   func(*simulation, []balancer.Action) []balancer.Action // changes the balancer's actions; nil: no change

	now    time.Duration
	queue  []futureEvent
	order  int // number of the last event that was scheduled
	lastID int // last number used in the ID of a request or an endpoint

	requests    map[balancer.RequestID]*simulatedRequest
	endpoints   map[balancer.EndpointID]*simulatedEndpoint
	endpointIDs []balancer.EndpointID // in the order in which they were first listed
	sentAt      map[balancer.EndpointID][]time.Duration

	actions    []string // actions of each event, as text
	violations []string // violations of the rules, with their times
}

// simulatedRequest is what the simulation records of a request.
type simulatedRequest struct {
	class     balancer.Class
	deadline  time.Duration
	attempts  []simulatedAttempt
	answered  bool // it has its final answer, or needs none
	streaming bool
}

type simulatedAttempt struct {
	endpoint balancer.EndpointID
	sentAt   time.Duration
	ended    bool
	outcome  balancer.Outcome
}

// neverRan reports whether the outcome proves that the attempt did not execute the request.
func (a simulatedAttempt) neverRan() bool {
	return a.ended && (a.outcome == balancer.Rejected || a.outcome == balancer.ConnectFailed || a.outcome == balancer.NotSent)
}

// simulatedEndpoint is an endpoint as the node knows it from its last update.
type simulatedEndpoint struct {
	balancer.Endpoint
	notReadySince time.Duration // when an update first had it draining or removed; 0: it is ready
	startKnown    bool          // it is ready, and its last update gave its start time
	usedAt        time.Duration // last send, outcome or update to not ready; 0: none since its connections were closed
}

// futureEvent is an event that will be delivered to the node.
type futureEvent struct {
	at    time.Duration
	order int // lower numbers first among events at the same time
	event balancer.Event
}

// newSimulation draws the settings and starts the node.
func newSimulation(seed int64) *simulation {
	s := &simulation{
		rng:       rand.New(rand.NewSource(seed)),
		now:       time.Hour,
		endpoints: map[balancer.EndpointID]*simulatedEndpoint{},
		sentAt:    map[balancer.EndpointID][]time.Duration{},
	}
	s.settings = s.drawSettings()
	for range 1 + s.rng.Intn(4) {
		s.settings.Classes = append(s.settings.Classes, s.drawClass(fmt.Sprint("c", len(s.settings.Classes))))
	}
	if s.rng.Intn(3) == 0 {
		s.settings.Tenants = []balancer.Tenant{{Name: "a", Quota: 10}, {Name: "b", Quota: 100}}
	}
	s.start()
	return s
}

// drawDuration draws a whole number of milliseconds, at least low and less than high.
func (s *simulation) drawDuration(low, high int) time.Duration {
	return time.Duration(low+s.rng.Intn(high-low)) * time.Millisecond
}

func (s *simulation) drawBool() bool { return s.rng.Intn(2) == 0 }

// drawSettings draws random settings without classes and tenants.
func (s *simulation) drawSettings() balancer.Settings {
	return balancer.Settings{
		Nodes:               1 + s.rng.Intn(6),
		Zone:                "z0",
		MaxAttempts:         1 + s.rng.Intn(5),
		HedgingAllowed:      s.drawBool(),
		CancelAllowed:       s.rng.Intn(3) > 0,
		HealthChecksAllowed: s.drawBool(),
		LoadReportSource:    balancer.LoadReportSource(s.rng.Intn(3)),
		GossipAllowed:       s.drawBool(),
		RetryAfterAllowed:   s.drawBool(),
		MaxRetryAfter:       time.Second,
		ConnectTimeout:      100 * time.Millisecond,
		MinEventInterval:    5 * time.Millisecond,
		EndpointsOnDemand:   s.drawBool(),
		ResponseSlack:       20 * time.Millisecond,
		PollInterval:        10 * time.Second,
		DrainGrace:          s.drawDuration(0, 1000),
		DrainCloseTimeout:   time.Duration(s.rng.Intn(2)) * s.drawDuration(20, 500),
		SlowStartCapacity:   0.3,
		SlowStartDuration:   s.drawDuration(3000, 9000),
		OverloadFactor:      2.5,
		OverloadDuration:    time.Second,
	}
}

func (s *simulation) drawClass(name string) balancer.Class {
	objective := s.drawDuration(100, 1500)
	zones := [][]string{nil, nil, {"z0"}, {"z1", "z0"}, {}}
	machineTypes := [][]string{nil, nil, nil, {"k1"}}
	return balancer.Class{
		Name:                name,
		PriorityWeight:      float64(s.rng.Intn(13)),
		LatencyObjective:    objective,
		Deadline:            2*objective + s.drawDuration(0, 2000),
		LateWeight:          float64(s.rng.Intn(2)) / 2,
		Idempotency:         balancer.Idempotency(s.rng.Intn(3)),
		DeduplicationScope:  balancer.DeduplicationScope(s.rng.Intn(3)),
		DeduplicationWindow: s.drawDuration(100, 4000),
		Streamed:            s.rng.Intn(4) == 0,
		AllowedZones:        zones[s.rng.Intn(5)],
		AllowedMachineTypes: machineTypes[s.rng.Intn(4)],
	}
}

// start starts or restarts the node, with the endpoint list that it last knew, filled up to four endpoints.
func (s *simulation) start() {
	s.balancer = balancer.New(s.settings, s.rng.Int63())
	s.requests = map[balancer.RequestID]*simulatedRequest{}
	s.queue = nil
	entries := s.listed()
	for len(entries) < 4 {
		entries = append(entries, s.newEndpoint(0))
	}
	s.endpoints = map[balancer.EndpointID]*simulatedEndpoint{}
	s.endpointIDs = nil
	s.update(balancer.CachedUpdate, entries)
}

// listed returns the endpoint list that results from the updates so far.
func (s *simulation) listed() []balancer.Endpoint {
	var entries []balancer.Endpoint
	for _, id := range s.endpointIDs {
		if endpoint := s.endpoints[id].Endpoint; endpoint.State != balancer.Removed {
			entries = append(entries, endpoint)
		}
	}
	return entries
}

func (s *simulation) newEndpoint(startedAt time.Duration) balancer.Endpoint {
	s.lastID++
	return balancer.Endpoint{
		ID:          balancer.EndpointID(s.lastID*2654435761 + 1),
		Zone:        fmt.Sprint("z", s.rng.Intn(2)),
		MachineType: fmt.Sprint("k", s.rng.Intn(2)),
		Cell:        s.rng.Intn(3),
		Weight:      1,
		StartedAt:   startedAt,
	}
}

// run advances the simulation by the duration, with rate arrivals per second on average. If restarts is set, the node
// is restarted at random.
func (s *simulation) run(duration time.Duration, rate float64, restarts bool) {
	const step = 5 * time.Millisecond
	for end := s.now + duration; s.now < end; s.now += step {
		s.deliverDue()
		for n := rate * step.Seconds(); n > 0; n-- {
			if s.rng.Float64() < n {
				s.arrive()
			}
		}
		if s.rng.Intn(150) == 0 {
			s.changeEndpoints()
		}
		if restarts && s.rng.Intn(1500) == 0 {
			s.start()
		}
		s.checkConnectionsClosed()
		s.checkAnswered(step)
	}
}

// deliverDue delivers the events that are due, in order.
func (s *simulation) deliverDue() {
	slices.SortStableFunc(s.queue, func(x, y futureEvent) int {
		if x.at != y.at {
			return int(x.at - y.at)
		}
		return x.order - y.order
	})
	for len(s.queue) > 0 && s.queue[0].at <= s.now {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.deliver(next.event)
	}
}

// deliver delivers an event if it can still happen. Each attempt has one outcome, a restarted node gets no outcomes of
// requests from before its restart, and a request that was answered has no further stream start or abandonment.
func (s *simulation) deliver(event balancer.Event) {
	switch event := event.(type) {
	case balancer.AttemptEnded:
		request := s.requests[event.ID]
		if request == nil || request.attempts[event.Attempt].ended {
			return
		}
		attempt := &request.attempts[event.Attempt]
		attempt.ended = true
		attempt.outcome = event.Outcome
		s.endpoints[attempt.endpoint].usedAt = s.now
		request.answered = request.answered || event.Outcome == balancer.OK
		event.RequestDone = request.answered
		s.handle(event)
		return
	case balancer.StreamStarted:
		request := s.requests[event.ID]
		if request == nil || request.answered || request.attempts[event.Attempt].ended {
			return
		}
		request.streaming = true
	case balancer.RequestAbandoned:
		request := s.requests[event.ID]
		if request == nil || request.answered {
			return
		}
		request.answered = true
	}
	s.handle(event)
}

// handle passes an event to the balancer and carries out the resulting actions.
func (s *simulation) handle(event balancer.Event) {
	actions := s.balancer.Handle(s.now, event)
	s.actions = append(s.actions, fmt.Sprintf("%#v", actions))
	if s.mutate != nil {
		actions = s.mutate(s, actions)
	}
	for _, action := range actions {
		s.carryOut(action)
	}
}

// schedule queues an event for delivery after the given time, but no sooner than after MinEventInterval.
func (s *simulation) schedule(after time.Duration, event balancer.Event) {
	s.order++
	at := s.now + max(after, s.settings.MinEventInterval)
	s.queue = append(s.queue, futureEvent{at: at, order: s.order, event: event})
}

// arrive delivers a new request.
func (s *simulation) arrive() {
	s.lastID++
	id := balancer.RequestID(fmt.Sprintf("%036d", s.lastID))
	class := s.settings.Classes[s.rng.Intn(len(s.settings.Classes))]
	timeout := time.Duration(float64(class.Deadline) * (0.3 + 0.7*s.rng.Float64()))
	if s.rng.Intn(50) == 0 {
		timeout = 0
	}
	s.requests[id] = &simulatedRequest{class: class, deadline: s.now + timeout}
	if s.rng.Intn(40) == 0 {
		s.schedule(timeout/2, balancer.RequestAbandoned{ID: id})
	}
	event := balancer.RequestArrived{ID: id, Class: class.Name, Timeout: timeout}
	if len(s.settings.Tenants) > 0 {
		event.Tenant = s.settings.Tenants[s.rng.Intn(len(s.settings.Tenants))].Name
	}
	s.handle(event)
}

// update records and delivers an update of the endpoint list.
func (s *simulation) update(kind balancer.UpdateKind, entries []balancer.Endpoint) {
	named := map[balancer.EndpointID]bool{}
	for _, entry := range entries {
		named[entry.ID] = true
		s.recordEntry(entry)
	}
	if kind != balancer.IncrementalUpdate {
		for _, id := range s.endpointIDs {
			if endpoint := s.endpoints[id]; !named[id] && endpoint.notReadySince == 0 {
				endpoint.notReadySince = s.now
				endpoint.State = balancer.Removed
			}
		}
	}
	s.handle(balancer.EndpointUpdate{Kind: kind, Endpoints: entries})
}

func (s *simulation) recordEntry(entry balancer.Endpoint) {
	endpoint := s.endpoints[entry.ID]
	if endpoint == nil {
		endpoint = &simulatedEndpoint{}
		s.endpoints[entry.ID] = endpoint
		s.endpointIDs = append(s.endpointIDs, entry.ID)
	}
	endpoint.Endpoint = entry
	ready := entry.State == balancer.Ready
	endpoint.startKnown = ready && entry.StartedAt > 0
	switch {
	case ready:
		endpoint.notReadySince = 0
	case endpoint.notReadySince == 0:
		endpoint.notReadySince = s.now
		endpoint.usedAt = s.now
	}
}

// changeEndpoints delivers a random change of the endpoint list, or a failed update.
func (s *simulation) changeEndpoints() {
	entry := s.endpoints[s.endpointIDs[s.rng.Intn(len(s.endpointIDs))]].Endpoint
	switch s.rng.Intn(6) {
	case 0:
		entry.State = balancer.Draining
	case 1:
		entry.State = balancer.Removed
	case 2:
		entry.State = balancer.Ready
		entry.StartedAt = s.now
	case 3:
		entry = s.newEndpoint(s.now)
	case 4:
		s.update(balancer.FullUpdate, s.listed())
		return
	case 5:
		if s.settings.EndpointsOnDemand {
			s.handle(balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
		}
		return
	}
	s.update(balancer.IncrementalUpdate, []balancer.Endpoint{entry})
}
