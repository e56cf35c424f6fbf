package balancer

// How cold servers are paced.

import (
	"math"
	"time"
)

const (
	coldStart  = 4.0 // 1/s, of all nodes to a cold server with no warm one to compare
	coldGrowth = 0.5 // of the overload factor, times what a cold server can do

	clockStep   = time.Hour        // by which wall clocks are stepped at most
	departedFor = 10 * time.Minute // for so long is a server that has left the list known to be the same
	newsGrowth  = 0.5              // of the least warmth, that a server may have gained before it is news
)

func (m *Module) startCold(s *server, at Time) {
	s.cold, s.coldSince, s.tokens, s.tokensAt, s.rate = true, at, m.random(), m.now, 0
}

// clockLag is by how much this node's clock is behind that by which starts are dated, as far as a list shows it: no server
// has started later than now.
func (m *Module) clockLag(e ListUpdate) time.Duration {
	lag := time.Duration(0)
	for _, n := range e.Entries {
		lag = max(lag, n.StartedAt-m.now)
	}
	return lag
}

// startOf is when a server that a list names with another start has begun, on the module's clock. Wall clocks, by which
// starts are dated, may be stepped, so a start that is news was lately: no longer ago than it takes to be half as warm
// again, which the pace of cold servers bears. What a process finds in its first whole list, it has to date, and what
// was long ago in any case is. A process that was listed before and is back is no news.
func (m *Module) startOf(n Server, kind ListKind, lag time.Duration) Time {
	dated := n.StartedAt - lag
	if d, ok := m.departed[n.ID]; ok && d.startedAt == n.StartedAt {
		return d.coldSince
	}
	age, news := m.now-dated, kind == ListChanges || m.informed
	if news && age < clockStep+m.set.ColdTime {
		age = min(age, m.newsAge())
	}
	return m.now - age
}

// newsAge is the time in which a server that starts no warmer than it has to gets half as warm again.
func (m *Module) newsAge() time.Duration {
	part := newsGrowth * m.set.ColdFrom / math.Max(1-m.set.ColdFrom, 1e-9)
	return time.Duration(math.Min(1, part) * float64(m.set.ColdTime))
}

// warmth is the part of its capacity that a server has by now.
func (m *Module) warmth(s *server) float64 {
	warm := (m.now - s.coldSince).Seconds() / math.Max(m.set.ColdTime.Seconds(), 1e-9)
	if s.cold = s.cold && warm < 1; !s.cold {
		return 1
	}
	return m.set.ColdFrom + (1-m.set.ColdFrom)*max(0, warm)
}

// paced tells whether a cold server's budget is spent, or left to others. It is refilled with the part
// that it can do of the rate of warm ones here, and saves up little: the savings of many nodes are a burst.
func (m *Module) paced(s *server) bool {
	warmth := m.warmth(s)
	if !s.cold || !s.home { // with suspects all around, every node would reach a restarted one
		return s.cold
	}
	part := warmth * math.Max(m.fleetRate, coldStart/m.sharers)
	earned := s.rate*decay(m.now-s.rateAt, rateTau) - 1/rateTau // one answer is chance
	rate := coldGrowth * m.set.OverloadFactor * math.Max(part, earned)
	s.tokens = m.lastingTokens(s.tokens+rate*(m.now-s.tokensAt).Seconds(), rate)
	s.tokensAt = m.now
	return s.tokens < 1
}

// lastingTokens is what holds of a node's tokens for a cold server, where it is given so many a second. It saves up hardly
// more than one; and where that takes longer than the time in which an overload tells, it lasts for that time only, from
// when it is whole: the nodes take turns. What they all hold is then no more than what they are given in that time.
func (m *Module) lastingTokens(tokens, rate float64) float64 {
	lasts := rate * m.set.OverloadTime.Seconds()
	if lasts >= 1 || tokens < 1 {
		return math.Min(1+1/m.sharers, tokens)
	}
	next := math.Mod(tokens, 1) // the part of the next one that has come since
	if next > lasts {
		return next
	}
	return 1 + next
}
