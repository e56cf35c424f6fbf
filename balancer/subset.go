package balancer

import (
	"math"
	"slices"
)

const (
	minSubsetSize          = 4.0  // servers that a node works with, at least: some may fail together
	subsetOrders           = 8    // orders of the servers: neighbours in one are far apart in the others
	targetNodesPerEndpoint = 10.0 // nodes at a server, on average: each must often hear from it
)

// group holds the classes of one placement: thresholds and shedding are judged over the servers open to it.
type placement struct {
	zones, machineTypes                                      []string    // that are open to it; nil: all
	endpoints, subset                                        []*endpoint // of the fleet, by place on the ring; in reach
	subsetSize                                               float64     // how many servers are in reach
	aggregated                                               bool        // they are judged together, with the mode and fill below
	mode                                                     Mode
	smoothedCount, excess                                    float64 // their smoothed count; where it stands between H, 0, and R, 1
	topWeight                                                float64 // the highest worth of its classes
	smoothedAt, noneNormalAt                                 Time    // crowdedAt: when last no server was normal
	priorityArrivals, otherArrivals, shedPriority, shedOther float64 // priority and other arrivals of this period; drop probabilities
	excessSum, excessSamples                                 float64 // sum of how far the servers were above H, over this period's ticks
}

// open is the rule of placement, shared by the classes of a group.
func (g *placement) allows(s *endpoint) bool {
	return (g.zones == nil || slices.Contains(g.zones, s.Zone)) &&
		(g.machineTypes == nil || slices.Contains(g.machineTypes, s.MachineType))
}

// groupOf finds the group of a placement. No rule (nil) differs from none open (empty).
func (m *Balancer) placement(zones, kinds []string) *placement {
	same := func(a, b []string) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }
	for _, g := range m.placements {
		if same(g.zones, zones) && same(g.machineTypes, kinds) {
			return g
		}
	}
	m.placements = append(m.placements, &placement{zones: zones, machineTypes: kinds})
	return m.placements[len(m.placements)-1]
}

// survey renews what the thresholds need of the servers in reach: of those open to a group, the next on the
// ring that are no suspects. A node of many works with a part of the fleet: servers take few connections, and
// of a server that it meets every few seconds it learns of a crowd or a slowdown when that is over.
func (m *Balancer) refreshSubsets() {
	rate, count, reach := 0.0, 0.0, 0.0
	for _, g := range m.placements {
		reach, g.subset = reach+g.subsetSize, g.subset[:0]
		for _, s := range g.endpoints {
			if s.ejected || s.State != Ready || len(g.subset) >= int(g.subsetSize) {
				continue
			}
			if g.subset, s.overloadThreshold = append(g.subset, s), m.endpointThreshold(s); !s.warmingUp {
				rate, count = rate+m.throughputOf(s), count+1
			}
		}
	}
	m.meanThroughput, m.learned = rate/math.Max(1, count), rate > 0 && m.responses >= minResponses*reach
	m.tightestObjective = math.Inf(1)
	for _, c := range m.classOrder {
		if c.LatencyObjective > 0 {
			m.tightestObjective = math.Min(m.tightestObjective, c.LatencyObjective.Seconds()/c.relativeWork)
		}
	}
	if !m.learned {
		return
	}
	grow := 1 + tickInterval.Seconds()/memoryTau
	m.peakThroughput = math.Max(m.peakThroughput/grow, m.meanThroughput)
	for _, k := range m.machineTypes {
		if k.uncrowdedLatency *= grow; k.responses >= machineTypeMinResponses && (k.uncrowdedLatency == 0 || k.meanLatency < k.uncrowdedLatency*(1-latencyNoise)) {
			k.uncrowdedLatency = k.meanLatency / (1 - latencyNoise)
		}
	}
	if m.uncrowdedLatency *= grow; m.uncrowdedLatency == 0 || m.meanLatency < m.uncrowdedLatency*(1-latencyNoise) {
		m.uncrowdedLatency = m.meanLatency / (1 - latencyNoise)
	}
}

// ring is the order of the servers that this node goes by.
func (m *Balancer) subsetOrder() int { return m.settings.NodeIndex % subsetOrders }
