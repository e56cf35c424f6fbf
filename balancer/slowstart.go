package balancer

// How cold servers are paced.

import (
	"math"
	"time"
)

const (
	slowStartRate   = 4.0 // 1/s, of all nodes to a cold server with no warm one to compare
	slowStartGrowth = 0.5 // of the overload factor, times what a cold server can do

	maxClockStep       = time.Hour // by which wall clocks are stepped at most
	unknownStartGrowth = 0.5       // of the least warmth, that a server may have gained before it is news
)

func (m *Balancer) startWarmup(s *endpoint, at Time) {
	s.warmingUp, s.startedWarmingAt, s.tokens, s.tokensAt, s.throughput = true, at, m.random(), m.now, 0
}

// clockLag is by how much this node's clock is behind that by which starts are dated, as far as a list shows it: no server
// has started later than now.
func (m *Balancer) clockLag(e EndpointUpdate) time.Duration {
	lag := time.Duration(0)
	for _, n := range e.Endpoints {
		lag = max(lag, n.StartedAt-m.now)
	}
	return lag
}

// startOf is when a server that a list names with another start has begun, on the module's clock. Wall clocks, by which
// starts are dated, may be stepped, so a start that is news was lately: no longer ago than it takes to be half as warm
// again, which the pace of cold servers bears. What a process finds in its first whole list, it has to date, and what
// was long ago in any case is. A process that was listed before and is back is no news.
func (m *Balancer) endpointStartedAt(n Endpoint, kind UpdateKind, lag time.Duration) Time {
	dated := n.StartedAt - lag
	if d, ok := m.recentlyRemoved[n.ID]; ok && d.startedAt == n.StartedAt {
		return d.startedWarmingAt
	}
	age, news := m.now-dated, kind == IncrementalUpdate || m.endpointsFromDiscovery
	if news && age < maxClockStep+m.settings.SlowStartDuration {
		age = min(age, m.unknownStartAge())
	}
	return m.now - age
}

// newsAge is the time in which a server that starts no warmer than it has to gets half as warm again.
func (m *Balancer) unknownStartAge() time.Duration {
	part := unknownStartGrowth * m.settings.SlowStartCapacity / math.Max(1-m.settings.SlowStartCapacity, 1e-9)
	return time.Duration(math.Min(1, part) * float64(m.settings.SlowStartDuration))
}

// warmth is the part of its capacity that a server has by now.
func (m *Balancer) warmth(s *endpoint) float64 {
	warm := (m.now - s.startedWarmingAt).Seconds() / math.Max(m.settings.SlowStartDuration.Seconds(), 1e-9)
	if s.warmingUp = s.warmingUp && warm < 1; !s.warmingUp {
		return 1
	}
	return m.settings.SlowStartCapacity + (1-m.settings.SlowStartCapacity)*max(0, warm)
}

// paced tells whether a cold server's budget is spent, or left to others. It is refilled with the part
// that it can do of the rate of warm ones here, and saves up little: the savings of many nodes are a burst.
func (m *Balancer) slowStartExhausted(s *endpoint) bool {
	warmth := m.warmth(s)
	if !s.warmingUp || !s.inSubset { // with suspects all around, every node would reach a restarted one
		return s.warmingUp
	}
	part := warmth * math.Max(m.meanThroughput, slowStartRate/m.nodesPerEndpoint)
	earned := s.throughput*decay(m.now-s.throughputAt, throughputTau) - 1/throughputTau // one answer is chance
	rate := slowStartGrowth * m.settings.OverloadFactor * math.Max(part, earned)
	s.tokens = m.lastingTokens(s.tokens+rate*(m.now-s.tokensAt).Seconds(), rate)
	s.tokensAt = m.now
	return s.tokens < 1
}

// lastingTokens is what holds of a node's tokens for a cold server, where it is given so many a second. It saves up hardly
// more than one; and where that takes longer than the time in which an overload tells, it lasts for that time only, from
// when it is whole: the nodes take turns. What they all hold is then no more than what they are given in that time.
func (m *Balancer) lastingTokens(tokens, rate float64) float64 {
	lasts := rate * m.settings.OverloadDuration.Seconds()
	if lasts >= 1 || tokens < 1 {
		return math.Min(1+1/m.nodesPerEndpoint, tokens)
	}
	next := math.Mod(tokens, 1) // the part of the next one that has come since
	if next > lasts {
		return next
	}
	return 1 + next
}
