// Package balancer makes the decisions of a load-balancing proxy node: which endpoint gets a request, when another
// attempt is made, when a request is rejected. It does no I/O, reads no clock and starts no goroutine: the caller feeds
// it events and carries out the actions it returns, in order.
//
// Settings, events and actions are in settings.go, event.go and action.go. Each kind of decision has its own file:
//
//	request.go      lifecycle of a request: arrival, attempts, final answer
//	endpoints.go    updates of the endpoint list
//	subset.go       which endpoints this node works with
//	overload.go     overload thresholds and modes: the hysteresis of the paper that it cites
//	admission.go    request priority, and which requests are dropped on overload
//	picker.go       choice of the endpoint: power of two choices
//	latency.go      estimates of latency and throughput
//	outlier.go      ejection of endpoints that fail, trial requests
//	slowstart.go    slow start of endpoints that warm up
//	retry.go        which requests may be sent again or rejected, attempt timeouts
//	quota.go        quotas of tenants
//	healthcheck.go  health checks that read the load of endpoints before a send
//	poll.go         polling for the endpoint list
package balancer

import (
	"cmp"
	"math"
	"time"
)

// tickInterval is the time between two rounds of periodic work: well under any latency objective.
const tickInterval = 25 * time.Millisecond

// Balancer makes the decisions of one node. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rng      random

	// State of the current call of Handle.
	now     Time
	actions []Action // emitted so far, in order

	started         bool // the first event has been handled
	startedAt       Time // time of the first event
	periodStartedAt Time // start of the current shedPeriod

	// Requests.
	requests       map[RequestID]*request // open, or with attempts in flight
	openRequests   []*request             // in order of arrival; may include requests done since the last tick
	awaitingChecks []*request             // waiting for health check results, in the order of their checks
	classes        map[string]*class
	classOrder     []*class // those of the settings in their order, then the others in order of first use
	quotas         map[string]*quota
	retryBudget    tokenBucket
	trialBudget    tokenBucket

	// Endpoints.
	poller                 poller
	endpointsByID          map[EndpointID]*endpoint
	endpoints              []*endpoint // in this node's order, starting at its subsetStart
	endpointsFromDiscovery bool        // discovery has sent an update since this process started
	recentlyRemoved        map[EndpointID]removal
	machineTypes           map[string]*machineType
	placements             []*placement
	nodesPerEndpoint       float64 // average number of nodes that have a given endpoint in their subset
	checksLoad             bool    // health checks read the load of endpoints before each send

	// Estimates over all endpoints.
	learned           bool    // enough responses were seen to derive overload thresholds from them
	latency           ewma    // s
	unloadedLatency   float64 // s, lowest recent average latency
	serviceTime       ewma    // s, of a mean request
	concurrency       float64 // requests that an endpoint works on at once, according to load reports
	meanThroughput    float64 // responses per second to this node, mean over the warm endpoints of its subsets
	peakThroughput    float64 // recent peak of meanThroughput
	failureShare      float64 // moving average of the share of attempts that fail
	tightestObjective float64 // s, lowest latency objective of all classes, scaled to a mean request
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
	b.placementFor(nil, nil) // for classes that are not in the settings
	for _, tenant := range settings.Tenants {
		first := tokenBucket{tokens: firstQuotaTokens * (0.5 + b.rng.float64())}
		b.quotas[tenant.Name] = &quota{rate: tenant.Quota / nodes, bucket: first}
	}
	return b
}

// withDefaults returns the settings with at least one node and an OverloadDuration, and without a MaxRetryAfter if
// RetryAfterAllowed is false.
func withDefaults(settings Settings) Settings {
	settings.Nodes = max(1, settings.Nodes)
	settings.OverloadDuration = cmp.Or(settings.OverloadDuration, time.Second)
	if !settings.RetryAfterAllowed {
		settings.MaxRetryAfter = 0
	}
	return settings
}

// Handle processes an event that happened now and returns the actions to carry out, in order. The caller owns the
// slice.
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

// emit appends an action to those that Handle returns.
func (b *Balancer) emit(action Action) { b.actions = append(b.actions, action) }

// start begins polling and the periodic work. It runs at the first event.
func (b *Balancer) start() {
	b.started = true
	b.startedAt = b.now
	b.periodStartedAt = b.now
	b.startPolling()
	b.checksLoad = b.shouldCheckLoad()
	b.setTick()
}

// setTick sets the timer of the next tick.
func (b *Balancer) setTick() {
	b.emit(SetTimer{After: max(tickInterval, b.settings.MinEventInterval)})
}

// timerFired does the periodic work unless the timer ends a round of health checks. Either way it dispatches the
// requests that need not wait for health checks any longer.
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
