package balancer

import (
	"math"
	"time"
)

const (
	minSlowStartRate = 4.0 // least requests per second of all nodes to an endpoint at full capacity, to derive rates from
	slowStartGrowth  = 0.5 // of the overload factor, times what an endpoint that warms up can do

	maxClockStep       = time.Hour // by which wall clocks are stepped at most
	unknownStartGrowth = 0.5       // of the least warmth, gained at most between a start and the update that tells of it
)

// slowStartState is the slow start of an endpoint: until it has warmed up, a budget limits what it is sent.
type slowStartState struct {
	warmingUp       bool
	warmupStartedAt Time
	slowStartBudget tokenBucket // sends; each send takes a token, also when the endpoint is warm
}

// startWarmup starts the slow start of an endpoint whose process started at the given time. The first tokens of the
// nodes come at different times.
func (b *Balancer) startWarmup(endpoint *endpoint, startedAt Time) {
	endpoint.warmingUp = true
	endpoint.warmupStartedAt = startedAt
	endpoint.slowStartBudget = tokenBucket{tokens: b.rng.float64(), refilledAt: b.now}
	endpoint.throughput.value = 0
}

// clockLag is how far this node's clock is behind the one that dates starts, as far as an update shows it: no endpoint
// has started later than now.
func (b *Balancer) clockLag(update EndpointUpdate) time.Duration {
	lag := time.Duration(0)
	for _, entry := range update.Endpoints {
		lag = max(lag, entry.StartedAt-b.now)
	}
	return lag
}

// endpointStartedAt is when an endpoint with a new start time has started, on the balancer's clock.
//
// Wall clocks, which date starts, may be stepped. If an update tells of a start that is new to this process, the start
// was recent: no longer ago than maxUnannouncedAge, which the budget of slow start allows for. The dates count where
// they cannot be checked so: in a process's first full list, and for a start so long ago that no step explains it. An
// endpoint that was listed with this start before and is back keeps its time.
func (b *Balancer) endpointStartedAt(entry Endpoint, kind UpdateKind, lag time.Duration) Time {
	removed, ok := b.recentlyRemoved[entry.ID]
	if ok && removed.startedAt == entry.StartedAt {
		return removed.warmupStartedAt
	}
	age := b.now - (entry.StartedAt - lag)
	recent := kind == IncrementalUpdate || b.endpointsFromDiscovery
	if recent && age < maxClockStep+b.settings.SlowStartDuration {
		age = min(age, b.maxUnannouncedAge())
	}
	return b.now - age
}

// maxUnannouncedAge is the time in which the warmth of an endpoint grows by unknownStartGrowth from its least.
func (b *Balancer) maxUnannouncedAge() time.Duration {
	least := b.settings.SlowStartCapacity
	part := unknownStartGrowth * least / math.Max(1-least, 1e-9)
	return time.Duration(math.Min(1, part) * float64(b.settings.SlowStartDuration))
}

// warmth is the part of its capacity that an endpoint has now. It ends the slow start of one that has all of it.
func (b *Balancer) warmth(endpoint *endpoint) float64 {
	elapsed := (b.now - endpoint.warmupStartedAt).Seconds() / math.Max(b.settings.SlowStartDuration.Seconds(), 1e-9)
	endpoint.warmingUp = endpoint.warmingUp && elapsed < 1
	if !endpoint.warmingUp {
		return 1
	}
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(0, elapsed)
}

// slowStartExhausted reports whether an endpoint that warms up may get nothing now. Only the nodes that have it in
// their subsets send to it: if many endpoints are ejected, every node would turn to one that has just restarted.
func (b *Balancer) slowStartExhausted(endpoint *endpoint) bool {
	warmth := b.warmth(endpoint)
	if !endpoint.warmingUp {
		return false
	}
	if !endpoint.inSubset {
		return true
	}
	rate := b.slowStartRate(endpoint, warmth)
	burst := 1 + 1/b.nodesPerEndpoint // what many nodes save up comes at once
	endpoint.slowStartBudget.refillExpiring(b.now, rate, burst, b.settings.OverloadDuration)
	return !endpoint.slowStartBudget.available()
}

// slowStartRate is the rate, per second, at which this node may send to an endpoint that warms up: by its warmth and
// the rate of warm endpoints or, if that is more, by the responses that it has given here.
func (b *Balancer) slowStartRate(endpoint *endpoint, warmth float64) float64 {
	byWarmth := warmth * math.Max(b.meanThroughput, minSlowStartRate/b.nodesPerEndpoint)
	byResponses := endpoint.throughput.current(b.now, throughputTau) - 1/throughputTau // one response may be chance
	return slowStartGrowth * b.settings.OverloadFactor * math.Max(byWarmth, byResponses)
}
