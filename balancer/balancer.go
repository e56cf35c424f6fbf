// Package balancer makes the decisions of a load-balancing proxy node: which endpoint gets a request, when another
// attempt is made, when a request is rejected. It does no I/O, reads no clock and starts no goroutine: the caller feeds
// it events and carries out the actions it returns, in order.
//
// Settings, events and actions are in settings.go, event.go and action.go. Each kind of decision has its own file:
//
//	request.go      the life of a request: arrival, attempts, final answer
//	endpoints.go    updates of the endpoint list
//	subset.go       which endpoints this node works with
//	overload.go     overload thresholds and modes: the paper's hysteresis
//	admission.go    priority, and what is dropped on overload
//	picker.go       choice of the endpoint: power of two choices
//	latency.go      estimates of latency and throughput
//	outlier.go      ejection of endpoints that fail, trial requests
//	slowstart.go    endpoints that warm up
//	retry.go        what may be sent again or rejected, attempt timeouts
//	quota.go        quotas of tenants
//	healthcheck.go  load checked before a send
//	poll.go         polling for the endpoint list
package balancer

import (
	"cmp"
	"math"
	"time"
)

// tickInterval is the time between two rounds of periodic work: well under any latency objective.
const tickInterval = 25 * time.Millisecond

// Balancer decides for one node. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      random

	// The event that is being handled.
	now     Time
	actions []Action // so far, in order

	started         bool // the first event has come
	startedAt       Time // its time
	periodStartedAt Time // of the current shedPeriod

	// Requests.
	requests       map[RequestID]*request // open, or with attempts in flight
	openRequests   []*request             // in order of arrival; some may be done since the last tick
	awaitingChecks []*request             // in order of their health checks
	classes        map[string]*class
	classOrder     []*class // by settings, then by first use
	quotas         map[string]*quota
	retryBudget    tokenBucket
	trialBudget    tokenBucket

	// Endpoints.
	poller                 poller
	endpointsByID          map[EndpointID]*endpoint
	endpoints              []*endpoint // in this node's order, from its start on
	endpointsFromDiscovery bool        // an update has come from discovery since this process began
	recentlyRemoved        map[EndpointID]removal
	machineTypes           map[string]*machineType
	placements             []*placement
	nodesPerEndpoint       float64 // nodes that have an endpoint in their subset, on average
	checksLoad             bool    // the load of endpoints is checked before each send

	// Estimates over all endpoints.
	learned           bool    // there were enough responses for thresholds
	latency           ewma    // s
	uncrowdedLatency  float64 // s, the least of late
	serviceTime       ewma    // s, of a mean request
	concurrency       float64 // requests that an endpoint works on at once, by its load reports
	meanThroughput    float64 // responses per second to this node from the mean endpoint
	peakThroughput    float64 // its peak of late
	failureShare      float64 // smoothed part of attempts that fail
	tightestObjective float64 // s, for a mean request
}

// New returns the balancer of a node that has just started. Balancers with the same settings and seed that handle the
// same events return the same actions.
func New(settings Settings, seed int64) *Balancer {
	b := &Balancer{
		settings:          withDefaults(settings),
		rng:               newRandom(seed),
		requests:          map[RequestID]*request{},
		classes:           map[string]*class{},
		quotas:            map[string]*quota{},
		retryBudget:       tokenBucket{tokens: retryBudgetBurst},
		endpointsByID:     map[EndpointID]*endpoint{},
		recentlyRemoved:   map[EndpointID]removal{},
		machineTypes:      map[string]*machineType{},
		concurrency:       1,
		tightestObjective: math.Inf(1),
	}
	nodes := float64(b.settings.Nodes)
	b.nodesPerEndpoint = nodes
	for _, class := range settings.Classes {
		b.addClass(class.Name, class)
	}
	b.placementFor(nil, nil) // for classes that the settings lack
	for _, tenant := range settings.Tenants {
		first := tokenBucket{tokens: firstQuotaTokens * (0.5 + b.rng.float64())}
		b.quotas[tenant.Name] = &quota{rate: tenant.Quota / nodes, bucket: first}
	}
	return b
}

// withDefaults returns the settings with values that the decisions can rely on.
func withDefaults(settings Settings) Settings {
	settings.Nodes = max(1, settings.Nodes)
	settings.OverloadDuration = cmp.Or(settings.OverloadDuration, time.Second)
	if !settings.RetryAfterAllowed {
		settings.MaxRetryAfter = 0
	}
	return settings
}

// Handle takes an event that happened now and returns what is to be done about it, in order. The caller owns the slice.
func (b *Balancer) Handle(now Time, event Event) []Action {
	b.now = now
	b.actions = nil
	if !b.started {
		b.start()
	}
	switch event := event.(type) {
	case RequestArrived:
		b.requestArrived(event)
	case EndpointUpdate:
		b.applyEndpoints(event)
	case AttemptEnded:
		b.attemptEnded(event)
	case StreamStarted:
		b.streamStarted(event)
	case RequestAbandoned:
		b.closeRequest(b.requests[event.ID])
	case DeadlineExceeded:
		b.deadlineExceeded(event)
	case HealthCheckEnded:
		b.healthCheckEnded(event)
	case TimerFired:
		b.timerFired(event)
	}
	return b.actions
}

// emit adds an action to those that Handle returns.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// start starts the clocks of the periodic work, at the first event.
func (b *Balancer) start() {
	b.started = true
	b.startedAt = b.now
	b.periodStartedAt = b.now
	b.startPolling()
	b.checksLoad = b.healthChecksPay()
	b.setTick()
}

// setTick sets the timer of the next tick.
func (b *Balancer) setTick() {
	b.emit(SetTimer{After: max(tickInterval, b.settings.MinEventInterval)})
}

// timerFired does the periodic work, or ends a wait for health checks.
func (b *Balancer) timerFired(event TimerFired) {
	if event.Token != healthCheckToken {
		b.tick()
		b.setTick()
	}
	b.resumeChecked()
}

// tick does the periodic work.
func (b *Balancer) tick() {
	b.refreshSubsets()
	b.ejectSilent()
	b.updateModes()
	b.checkOpenRequests()
	if b.now-b.periodStartedAt >= shedPeriod {
		b.periodStartedAt = b.now
		for _, placement := range b.placements {
			placement.startPeriod()
		}
	}
	b.poll()
}
