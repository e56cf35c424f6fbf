// Package balancer makes the decisions of a load-balancing proxy node: which
// endpoint gets a request, when another attempt is made, when a request is
// rejected. It does no I/O, reads no clock and starts no goroutine: the caller
// feeds it events and carries out the actions it returns, in order.
//
// Settings, events and actions are in settings.go, event.go and action.go; the
// decisions stand in one file for each subject.
package balancer

import (
	"cmp"
	"math"
	"time"
)

const (
	tickInterval = 25 * time.Millisecond // s; the round of checks: well under any aim
)

// Balancer decides for one node. It is not safe for concurrent use.
type Balancer struct {
	settings                       Settings
	rng                            uint64
	now, periodStartedAt           Time
	startedAt                      Time // its first event
	actions                        []Action
	classes                        map[string]*class
	classOrder                     []*class
	tenants                        map[string]*tenant
	endpointsByID                  map[EndpointID]*endpoint
	recentlyRemoved                map[EndpointID]removal // those that have left the list of late
	placements                     []*placement
	machineTypes                   map[string]*machineType
	endpoints                      []*endpoint // those not gone, by their place on the ring, from this node's on
	nodesPerEndpoint               float64     // how many nodes a server is in reach of, on average
	awaitingChecks                 []*request  // that wait for answers to probes
	concurrency                    float64     // requests that a server works on at once, by its reports
	serviceTime, tightestObjective float64     // s: service time of a mean request; the tightest aim for one
	checksLoad                     bool        // it asks servers for their load before each send
	requests                       map[RequestID]*request
	open                           []*request // in order of arrival
	ticking, learned               bool
	endpointsFromDiscovery         bool // a list has come from discovery since this process began
	responses                      float64
	meanLatency, uncrowdedLatency  float64 // s: smoothed latency; uncrowded
	meanThroughput, peakThroughput float64 // answers each second from the mean server; the most that this has been
	failureShare                   float64 // smoothed share of attempts that fail
	trialBudget                    float64 // trial requests allowed
	retryBudget                    float64 // further attempts allowed
	poller                         poller
}

// New makes the module of a node that has just started.
func New(s Settings, seed int64) *Balancer {
	m := &Balancer{settings: s, rng: uint64(seed)*2 + 1, retryBudget: retryBudgetBurst, classes: map[string]*class{},
		tenants: map[string]*tenant{}, endpointsByID: map[EndpointID]*endpoint{}, recentlyRemoved: map[EndpointID]removal{}, machineTypes: map[string]*machineType{}, requests: map[RequestID]*request{}}
	m.settings.Nodes = max(1, s.Nodes)
	m.settings.OverloadDuration = cmp.Or(s.OverloadDuration, time.Second)
	m.concurrency, m.tightestObjective = 1, math.Inf(1)
	m.nodesPerEndpoint = float64(m.settings.Nodes)
	if !s.RetryAfterAllowed {
		m.settings.MaxRetryAfter = 0
	}
	for _, c := range s.Classes {
		k := &class{relativeWork: 1}
		m.classes[c.Name], m.classOrder = k, append(m.classOrder, k)
		k.Class, k.placement = c, m.placement(c.AllowedZones, c.AllowedMachineTypes)
		k.placement.topWeight = math.Max(k.placement.topWeight, c.PriorityWeight)
	}
	m.placement(nil, nil) // for classes that the settings lack
	for _, t := range s.Tenants {
		m.tenants[t.Name] = &tenant{perNode: t.Quota / float64(m.settings.Nodes), tokens: firstQuotaTokens * (0.5 + m.random())}
	}
	return m
}

// Handle takes an event and returns what is to be done about it, in order.
func (m *Balancer) Handle(now Time, e Event) []Action {
	m.now, m.actions = now, nil
	timer := SetTimer{After: max(tickInterval, m.settings.MinEventInterval)}
	if !m.ticking {
		m.ticking, m.startedAt, m.periodStartedAt = true, now, now
		m.startPolling()
		m.checksLoad = m.settings.HealthChecksAllowed && m.settings.LoadReportSource == LoadReportsByHealthCheck && 2*m.settings.Costs.HealthCheck <= maxHealthCheckCost
		m.emit(timer)
	}
	switch e := e.(type) {
	case RequestArrived:
		m.requestArrived(e)
	case EndpointUpdate:
		m.applyEndpoints(e)
	case AttemptEnded:
		m.attemptEnded(e)
	case StreamStarted:
		if r := m.requests[e.ID]; r != nil && e.Attempt >= 0 && e.Attempt < len(r.attempts) {
			r.streaming = true
			m.observeLatency(&r.attempts[e.Attempt], r, e.Elapsed)
		}
	case RequestAbandoned:
		m.closeRequest(m.requests[e.ID])
	case HealthCheckEnded:
		m.healthCheckEnded(e)
	case TimerFired:
		if e.Token != healthCheckToken {
			m.tick()
			m.emit(timer)
		}
		m.resumeChecked()
	}
	return m.actions
}

func (m *Balancer) tick() {
	m.refreshSubsets()
	for _, s := range m.endpoints {
		if s.unansweredSends >= minUnansweredSends && m.meanLatency > 0 &&
			(m.now-s.silentSince).Seconds() > silentFactor*math.Max(m.meanLatency, m.latencyOf(s)) {
			s.mayHaveRestarted = true
			m.eject(s, "no response") // to several sends, when the fleet's mean request is long done
		}
	}
	for _, g := range m.placements {
		m.aggregate(g)
		for _, s := range g.subset {
			m.endpointMode(g, s)
			g.excessSum, g.excessSamples = g.excessSum+s.excess, g.excessSamples+1
		}
	}
	open := m.open[:0]
	for _, r := range m.open {
		m.discountOverdue(r)
		if !r.done && !r.streaming && m.now >= r.deadline {
			m.giveUp(r) // guards against an outcome that never comes
		}
		if !r.done {
			open = append(open, r)
		}
	}
	m.open = open
	if m.now-m.periodStartedAt >= shedPeriod {
		m.periodStartedAt = m.now
		for _, g := range m.placements { // with none normal other requests go first, priority ones the nearer to R
			q := (g.otherArrivals + g.priorityArrivals*g.excessSum/math.Max(1, g.excessSamples)) / math.Max(1, g.priorityArrivals+g.otherArrivals)
			g.shedPriority, g.shedOther = ShedSplit(q, g.priorityArrivals, g.otherArrivals)
			g.priorityArrivals, g.otherArrivals, g.excessSum, g.excessSamples = 0, 0, 0, 0
		}
	}
	m.poll()
}

func (m *Balancer) emit(a Action) { m.actions = append(m.actions, a) }
