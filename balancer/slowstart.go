package balancer

import (
	"math"
	"time"
)

const (
	minSlowStartRate = 4.0 // requests per second from all nodes: least rate assumed for an endpoint at full capacity
	slowStartGrowth  = 0.5 // fraction of OverloadFactor by which the present capacity is multiplied to get a send rate

	maxClockStep         = time.Hour // largest step of a wall clock that is assumed
	maxUnannouncedGrowth = 0.5       // most warmth gained until a start is announced, as a fraction of the least warmth
)

// slowStartState is the slow start of an endpoint: until it has warmed up, a token bucket limits what is sent to it.
type slowStartState struct {
	warmingUp       bool
	warmupStartedAt Time
	slowStartBudget tokenBucket // each send takes a token, even if the endpoint is warm
}

// startWarmup starts the slow start of an endpoint whose process started at the given time. The initial fill of the
// bucket is random, so that the nodes get their first tokens at different times.
func (b *Balancer) startWarmup(endpoint *endpoint, startedAt Time) {
	endpoint.warmingUp = true
	endpoint.warmupStartedAt = startedAt
	endpoint.slowStartBudget = tokenBucket{tokens: b.rng.float64(), refilledAt: b.now}
	endpoint.throughput.value = 0
}

// clockLag estimates how far this node's clock is behind the one that start times come from. A start time later than
// now reveals a lag, as no endpoint can have started in the future.
func (b *Balancer) clockLag(update EndpointUpdate) time.Duration {
	lag := time.Duration(0)
	for _, entry := range update.Endpoints {
		lag = max(lag, entry.StartedAt-b.now)
	}
	return lag
}

// endpointStartedAt returns when an endpoint with a new start time has started, on the balancer's clock.
//
// Start times come from wall clocks, which may be stepped. If an update brings a start that is new to this process, the
// start was recent, whatever its time: no longer ago than maxUnannouncedAge, which the slow start budget allows for.
// The start time is trusted where it cannot be checked in this way: in the cached list and the first full list that
// this process gets, and if it is so long ago that no clock step explains it. An endpoint that was removed and is back
// with the same start time keeps the warm-up start that it had.
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

// maxUnannouncedAge is the time in which the warmth of an endpoint grows from its least value by the fraction
// maxUnannouncedGrowth of it.
func (b *Balancer) maxUnannouncedAge() time.Duration {
	least := b.settings.SlowStartCapacity
	part := maxUnannouncedGrowth * least / math.Max(1-least, 1e-9)
	return time.Duration(math.Min(1, part) * float64(b.settings.SlowStartDuration))
}

// warmth returns the fraction of its capacity that an endpoint has now, and ends its slow start once that is 1.
func (b *Balancer) warmth(endpoint *endpoint) float64 {
	elapsed := (b.now - endpoint.warmupStartedAt).Seconds() / math.Max(b.settings.SlowStartDuration.Seconds(), 1e-9)
	endpoint.warmingUp = endpoint.warmingUp && elapsed < 1
	if !endpoint.warmingUp {
		return 1
	}
	return b.settings.SlowStartCapacity + (1-b.settings.SlowStartCapacity)*max(0, elapsed)
}

// slowStartExhausted reports whether an endpoint is warming up and may get no request of this node now. Only nodes that
// have the endpoint in their subset send to it: otherwise, when many endpoints are ejected, every node would turn to
// one that has just restarted.
func (b *Balancer) slowStartExhausted(endpoint *endpoint) bool {
	warmth := b.warmth(endpoint)
	if !endpoint.warmingUp {
		return false
	}
	if !endpoint.inSubset {
		return true
	}
	rate := b.slowStartRate(endpoint, warmth)
	burst := 1 + 1/b.nodesPerEndpoint // low, as what many nodes save up may be sent at once
	endpoint.slowStartBudget.refillExpiring(b.now, rate, burst, b.settings.OverloadDuration)
	return !endpoint.slowStartBudget.available()
}

// slowStartRate is the rate, in requests per second, at which this node may send to an endpoint that warms up. It is
// based on the endpoint's warmth and the throughput of warm endpoints or, if that gives more, on the endpoint's
// responses to this node.
func (b *Balancer) slowStartRate(endpoint *endpoint, warmth float64) float64 {
	byWarmth := warmth * math.Max(b.meanThroughput, minSlowStartRate/b.nodesPerEndpoint)
	byResponses := endpoint.throughput.current(b.now, throughputTau) - 1/throughputTau // one response may be chance
	return slowStartGrowth * b.settings.OverloadFactor * math.Max(byWarmth, byResponses)
}
