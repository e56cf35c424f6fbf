package hollow

import "time"

// reachable reports whether no partition in force separates two zones.
func (m *sim) reachable(a, b int) bool {
	for _, inside := range m.partitions {
		if inside != nil && inside[a] != inside[b] {
			return false
		}
	}
	return true
}

// delay draws the one-way delay between two zones.
func (m *sim) delay(from, to int) time.Duration {
	return m.delays[from][to] + time.Duration(m.rng.ExpFloat64()*float64(m.scenario.Network.Jitter))
}

// dialDelay draws the delay of the answer to a connection request. The fraction LateDials of the answers is
// late, by up to LateBy.
func (m *sim) dialDelay(from, to int) time.Duration {
	network := m.scenario.Network
	delay := m.delay(from, to)
	if network.LateDials > 0 && m.rng.Float64() < network.LateDials {
		delay += time.Duration(m.rng.Float64() * float64(network.LateBy))
	}
	return delay
}

// outage is a period in which nodes learn of no changes to the list.
type outage struct {
	from   time.Duration
	to     time.Duration
	inside []bool // by zone: whether its nodes are affected; nil: all are
}

func (o outage) affects(zone int, at time.Duration) bool {
	return at >= o.from && at < o.to && (o.inside == nil || o.inside[zone])
}

// notifiedAt returns when a node counts as notified of a version: when the agent beside the node has it or, if nodes
// request lists on demand, when the node has applied it. On demand, a node that has not applied the version counts as
// notified failedPolls poll intervals after it was published.
func (m *sim) notifiedAt(n *hollowNode, version uint64) time.Duration {
	if m.scenario.Discovery.OnDemand {
		if n.version >= version {
			return n.observedAt(version)
		}
		const failedPolls = 4 // without a watch, so many polls may fail before one succeeds
		return m.versionTimes[version] + failedPolls*m.scenario.Discovery.PollInterval.Std()
	}
	return max(m.afterOutages(n.zone, m.versionTimes[version]+m.registry.Delay(n.index)), n.startedAt)
}

// afterOutages returns the first time from at on that is in no outage of the zone.
func (m *sim) afterOutages(zone int, at time.Duration) time.Duration {
	for again := true; again; {
		again = false
		for _, o := range m.outages {
			if o.affects(zone, at) {
				at = o.to
				again = true
			}
		}
	}
	return at
}
