package balancer

import (
	"math"
	"time"
)

const (
	modeValidity        = time.Second     // s; oc-validity of the paper: an imposed mode lapses after it
	crowdedRest         = 3 * time.Second // s; a crowded server needs some seconds of little work to recover
	objectiveShare      = 0.4             // part of an aim that the class's mean delay may take: tails are long
	queueFactor         = 1.3             // of the uncrowded latency: long queues harm where crowds slow servers,
	queueShare          = 1.5             // and this over the nodes at a server: own counts tell less among many
	lowRatio            = 0.75            // L as a part of H: the hysteresis; of small counts half is one or none
	blockRatio          = 1.2             // R as a multiple of H: refused clients soon fill what room there is
	reportedBlockRatio  = 1.3             // R as a multiple of H for reported counts: beyond it an answer is late
	waitShare           = 0.8             // part of the tightest aim that queueing and service may take
	aggregateBelow      = 0.33            // mean H of the servers in reach under which they are judged together
	aggregateSamples    = 10.0            // answers in the time over which their count is smoothed
	aggregateDeviations = 3.0             // times the root of H, by which a count may be above H for a moment
	minThreshold        = 2.0             // requests of all nodes at a server that all may send; twice at first
	fleetShare          = 0.3             // part of H drawn from the fleet: own noise must not starve a server
)

// Mode is the overload state of a server as this node sees it: the paper's s = 0, 1, 2.
type Mode int

const (
	// Normal endpoints are under their overload threshold.
	Normal Mode = iota
	// Overloaded endpoints get a request only where none is normal.
	Overloaded
	// Blocked endpoints get none.
	Blocked
)

// NextMode is the paper's hysteresis, at its exact edges.
func NextMode(m Mode, n, low, high, block float64) Mode {
	switch {
	case m != Blocked && n > block-1:
		return Blocked
	case m == Normal && n > high-1, m == Blocked && n < high+1:
		return Overloaded
	case m == Overloaded && n < low:
		return Normal
	}
	return m
}

func excessShare(n, h, r float64) float64 { return math.Min(1, math.Max(0, (n-h)/(r-h))) }

// high is H: by Little's law the requests this node may have at a server that answers as fast as aims want,
// part of the rate being the fleet's: chance must starve none. Queues stay short, as crowds slow servers; H
// stays at what keeps a server busy when all slow down at once and shedding could help no aim.
func (m *Balancer) endpointThreshold(s *endpoint) float64 {
	if !m.learned {
		return 2 * minThreshold / m.nodesPerEndpoint
	}
	rate := (1-fleetShare)*m.throughputOf(s) + fleetShare*m.meanThroughput
	base, mean := m.uncrowdedLatency, m.meanLatency
	if k := s.machineType; k.uncrowdedLatency > 0 {
		base, mean = k.uncrowdedLatency, k.meanLatency
	}
	want := math.Min((queueFactor+queueShare/m.nodesPerEndpoint)*base, objectiveShare*m.tightestObjective)
	h := rate * math.Max(base*m.peakThroughput/m.meanThroughput, want*math.Min(3, want/mean))
	return math.Max(h, minThreshold/m.nodesPerEndpoint)
}

// modeOf updates and gives a server's mode by the own count. H is rounded by chance, as all nodes
// together would crowd a server if they rounded up.
func (m *Balancer) endpointMode(g *placement, s *endpoint) Mode {
	if s.overloadThreshold == 0 {
		s.overloadThreshold = m.endpointThreshold(s) // beyond reach, tried as those in reach were
	}
	if m.checksLoad {
		s.mode = Normal
	} else if s.mode, s.excess = g.mode, g.excess; !g.aggregated {
		h := math.Floor(s.overloadThreshold + math.Mod(s.dither+m.periodStartedAt.Seconds()*math.Phi, 1))
		s.modeByCount, s.excess = NextMode(s.modeByCount, s.inFlight, lowRatio*h, h, blockRatio*h+1), excessShare(s.inFlight, h, blockRatio*h+1)
		s.mode = s.modeByCount
	}
	if m.now < s.imposedUntil {
		return max(s.mode, s.imposedMode)
	}
	return s.mode
}

// pool judges the servers in a group's reach together, by sums of counts and thresholds, where each has under
// a request of this node: 0 or 1 tells nothing. Smoothed, as a node's few requests come and go by chance.
func (m *Balancer) aggregate(g *placement) {
	n, h := 0.0, 0.0
	for _, s := range g.subset {
		n, h = n+s.inFlight, h+s.overloadThreshold
	}
	g.aggregated = h < aggregateBelow*float64(len(g.subset))
	tau := math.Min(throughputTau, aggregateSamples/math.Max(1e-9, m.meanThroughput*float64(len(g.subset))))
	g.smoothedCount, g.smoothedAt = n+(g.smoothedCount-n)*decay(m.now-g.smoothedAt, tau), m.now
	n = math.Max(g.smoothedCount, n-aggregateDeviations*math.Sqrt(h))
	g.mode = NextMode(g.mode, 100*n, 100*lowRatio*h, 100*h, 100*blockRatio*h) // its edges are a 100th
	g.excess = excessShare(n, h, blockRatio*h)
}

func (m *Balancer) impose(s *endpoint, mode Mode) {
	s.imposedMode, s.imposedUntil = mode, m.now+modeValidity
}

// reported lets a server's own count impose a mode until it lapses. H is this node's for all, or after a look
// what the server can hold and still keep the tightest aim. Late news never blocks: nodes would rush.
func (m *Balancer) applyLoadReport(s *endpoint, r *LoadReport) {
	if r == nil || !r.HasInFlight || !m.checksLoad {
		return
	}
	if s.reportAt = m.now; r.Queued > 0 {
		m.concurrency += endpointLatencyGain * (math.Max(1, r.InFlight-r.Queued) - m.concurrency)
	}
	if m.now >= s.imposedUntil {
		s.modeByReport = Normal
	}
	h := 2 * minThreshold
	if m.serviceTime > 0 {
		h = 1 + m.concurrency*waitShare*m.tightestObjective/m.serviceTime
	}
	s.inFlight, s.excess = r.InFlight, excessShare(r.InFlight, h, reportedBlockRatio*h)
	s.modeByReport = NextMode(s.modeByReport, s.inFlight, lowRatio*h, h, reportedBlockRatio*h)
	m.impose(s, s.modeByReport)
}
