package balancer

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	removalMemory = 10 * time.Minute // for so long is a server that has left the list known to be the same
)

type endpoint struct {
	Endpoint
	machineType                                  *machineType
	mode, modeByCount, modeByReport, imposedMode Mode // as judged; by own count; by reports; by a full answer or a report, until it lapses
	imposedUntil                                 Time
	inFlight, overloadThreshold                  float64 // own attempts in flight or, after a look, all that it holds; H
	dither                                       float64 // in [0,1), moves on each period: H is rounded by it
	excessLatency, throughput                    float64 // s, smoothed latency of a mean request over m.mean; own answers each second, smoothed
	latencyAt, throughputAt                      Time
	listedAt, reportAt                           Time    // first listed; last report
	consecutiveFailures, unansweredSends         int     // failures since the last success; sends since the last answer
	silentSince                                  Time    // the first of those sends
	ejected, warmingUp, inSubset                 bool    // home: in reach if none were suspects
	mayHaveRestarted                             bool    // silent or out of reach since its last answer: it may have restarted
	order                                        uint64  // its place on the ring
	excess                                       float64 // where its count stands between H, 0, and R, 1
	trialAt, startedWarmingAt                    Time
	trialBackoff                                 time.Duration
	tokens                                       float64 // sends that its budget allows while cold
	tokensAt                                     Time
	logQuietUntil                                Time // no log line about it until then
}

// departure is what is kept of a server that has left the list. It may be back.
type removal struct {
	startedAt, startedWarmingAt Time
	removedAt                   Time // when it left
}

func (m *Balancer) endpoint(id EndpointID) *endpoint {
	if m.endpointsByID[id] == nil {
		m.endpointsByID[id] = &endpoint{listedAt: m.now, logQuietUntil: m.now, dither: m.random(),
			order: splitmix64(uint64(m.subsetOrder())<<32 | uint64(id))}
	}
	return m.endpointsByID[id]
}

func (m *Balancer) applyEndpoints(e EndpointUpdate) {
	if e.Kind == FailedUpdate {
		m.pollFailed()
		return
	}
	if e.Kind != CachedUpdate {
		m.pollAnswered()
	}
	if e.Kind != IncrementalUpdate {
		for _, s := range m.endpoints {
			s.State = Removed
		}
	}
	lag := m.clockLag(e)
	for _, n := range e.Endpoints {
		s := m.endpoint(n.ID)
		// Another start is another process, also where it is dated before the last: nothing learned of that holds.
		if n.State == Ready && n.StartedAt != 0 && n.StartedAt != s.StartedAt {
			s.ejected, s.consecutiveFailures, s.unansweredSends, s.imposedUntil = false, 0, 0, m.now
			m.startWarmup(s, m.endpointStartedAt(n, e.Kind, lag))
		}
		if s.Endpoint, s.machineType = n, m.machineType(n.MachineType); n.State != Ready {
			m.emit(CloseIdleConnections{Endpoint: s.ID}) // those in use follow as they end
		}
	}
	m.endpointsFromDiscovery = m.endpointsFromDiscovery || e.Kind != CachedUpdate
	m.endpoints = m.endpoints[:0]
	for id, s := range m.endpointsByID {
		if s.inSubset = false; s.State != Removed {
			m.endpoints = append(m.endpoints, s)
			continue
		}
		delete(m.endpointsByID, id) // its attempts still know it; ids change for months
		m.recentlyRemoved[id] = removal{s.Endpoint.StartedAt, s.startedWarmingAt, m.now}
	}
	maps.DeleteFunc(m.recentlyRemoved, func(_ EndpointID, d removal) bool { return m.now-d.removedAt > removalMemory })
	slices.SortFunc(m.endpoints, func(a, b *endpoint) int { return cmp.Compare(a.order, b.order) })
	// Nodes of one ring start evenly spread over it. Were there but one ring, nodes that share a server would
	// share most others: a crowd there, or the load of servers lost, could only move on to the next few.
	start := int(float64(len(m.endpoints)) * math.Mod(float64(m.settings.NodeIndex/subsetOrders)*math.Phi+float64(m.subsetOrder())/subsetOrders, 1))
	m.endpoints = append(append([]*endpoint{}, m.endpoints[start:]...), m.endpoints[:start]...)
	m.nodesPerEndpoint = 0
	for _, g := range m.placements {
		g.endpoints = slices.DeleteFunc(slices.Clone(m.endpoints), func(s *endpoint) bool { return !g.allows(s) })
		size := float64(len(g.endpoints))
		g.subsetSize = math.Min(size, math.Ceil(math.Max(minSubsetSize, targetNodesPerEndpoint*size/float64(m.settings.Nodes))))
		for _, s := range g.endpoints[:int(g.subsetSize)] {
			s.inSubset = true
		}
		m.nodesPerEndpoint += float64(m.settings.Nodes) * g.subsetSize / math.Max(1, size)
	}
	m.nodesPerEndpoint = math.Max(1, m.nodesPerEndpoint)
	m.refreshSubsets()
}
