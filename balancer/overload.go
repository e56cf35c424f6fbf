package balancer

import (
	"math"
	"time"
)

// Overload control after "Analytical Modelling and Simulation for Performance Evaluation of SIP Server with Hysteretic
// Overload Control". The paper's thresholds L, H and R bound the requests that an endpoint may hold. This file derives
// them for each endpoint, and the mode from them; admission.go decides what is dropped on overload.

const (
	modeValidity        = time.Second     // an imposed mode lapses after it; the paper's oc-validity
	timeoutRest         = 3 * time.Second // for an endpoint where a request timed out: its queue needs seconds to drain
	objectiveShare      = 0.4             // part of an objective that the mean latency may take: tails are long
	queueFactor         = 1.3             // of the uncrowded latency that H allows, as long queues slow endpoints down;
	queueShare          = 1.5             // plus this over the nodes of an endpoint: among many, own counts say less
	maxObjectiveStretch = 3.0             // most by which H grows as the allowed latency exceeds the present one
	lowRatio            = 0.75            // L as a part of H
	blockRatio          = 1.2             // R as a multiple of H: clients that were rejected soon fill the room there is
	reportedBlockRatio  = 1.3             // the same for reported counts: beyond it a response is late
	waitShare           = 0.8             // part of the tightest objective that queueing and service may take
	aggregateBelow      = 0.33            // mean H of a subset under which it is judged as an aggregate
	aggregateSamples    = 10.0            // responses in the time over which the aggregate's count is smoothed
	aggregateDeviations = 3.0             // multiple of the root of H by which a count may exceed H for a moment
	minThreshold        = 2.0             // least H over all nodes of an endpoint; twice that until a node has learned
	fleetShare          = 0.3             // part of H from the fleet's throughput: own chance must not starve an endpoint
)

// Mode is the overload state of an endpoint as this node sees it: the paper's s = 0, 1, 2.
type Mode int

const (
	// Normal endpoints are below their overload threshold.
	Normal Mode = iota
	// Overloaded endpoints get a request only if none is normal.
	Overloaded
	// Blocked endpoints get none.
	Blocked
)

// thresholds are the paper's bounds on the number of requests held.
type thresholds struct {
	low   float64 // L: below it an overloaded endpoint becomes normal
	high  float64 // H: above H-1 a normal endpoint becomes overloaded; below H+1 a blocked one is no longer blocked
	block float64 // R: above R-1 an endpoint becomes blocked
}

// next is the paper's hysteresis: the mode that follows the given one with count requests held.
func (t thresholds) next(mode Mode, count float64) Mode {
	switch {
	case mode != Blocked && count > t.block-1:
		return Blocked
	case mode == Normal && count > t.high-1, mode == Blocked && count < t.high+1:
		return Overloaded
	case mode == Overloaded && count < t.low:
		return Normal
	}
	return mode
}

// excess is where count stands between H, 0, and R, 1.
func (t thresholds) excess(count float64) float64 {
	return math.Min(1, math.Max(0, (count-t.high)/(t.block-t.high)))
}

// overloadState is the load of an endpoint, as this node sees it.
type overloadState struct {
	inFlight          float64 // own attempts in flight or, after a load report, all requests that it holds
	overloadThreshold float64 // H; 0: not known yet
	thresholdDither   float64 // in [0, 1): see ownThresholds
	mode              Mode    // the result of the ones below, as of the last updateMode
	modeByCount       Mode    // by own attempts in flight
	modeByReport      Mode    // by load reports
	imposedMode       Mode    // by a rejection, a timeout or a load report,
	imposedUntil      Time    // until it lapses
	excess            float64 // where its count stands between H, 0, and R, 1
	reportedAt        Time    // last load report
}

// aggregateState is the load of a placement's subset as a whole. Its mode counts for all endpoints in the subset if
// each has less than a request of this node, so that their own counts, of 0 or 1, say nothing.
type aggregateState struct {
	aggregated    bool          // the subset is judged as a whole
	smoothedCount decayingValue // requests in flight
	mode          Mode
	excess        float64 // where the count stands between H, 0, and R, 1
}

// overloadThreshold is H: by Little's law, the requests that this node may have at an endpoint whose latency is as the
// objectives require. Part of the rate is the fleet's, so that chance starves no endpoint. Queues stay short, as crowds
// slow endpoints down. If all endpoints slow down at once, H stays at what keeps an endpoint busy.
func (b *Balancer) overloadThreshold(endpoint *endpoint) float64 {
	if !b.learned {
		return 2 * minThreshold / b.nodesPerEndpoint
	}
	rate := (1-fleetShare)*b.throughputOf(endpoint) + fleetShare*b.meanThroughput
	uncrowded, present := b.uncrowdedLatency, b.latency.mean
	if machine := endpoint.machineType; machine.uncrowdedLatency > 0 {
		uncrowded, present = machine.uncrowdedLatency, machine.latency.mean
	}
	allowed := math.Min((queueFactor+queueShare/b.nodesPerEndpoint)*uncrowded, objectiveShare*b.tightestObjective)
	busy := uncrowded * b.peakThroughput / b.meanThroughput
	high := rate * math.Max(busy, allowed*math.Min(maxObjectiveStretch, allowed/present))
	return math.Max(high, minThreshold/b.nodesPerEndpoint)
}

// ownThresholds are L, H and R for own attempts in flight. H is rounded up or down by a dither that moves on with each
// period: if all nodes rounded up, together they would crowd an endpoint.
func (b *Balancer) ownThresholds(endpoint *endpoint) thresholds {
	dither := math.Mod(endpoint.thresholdDither+b.periodStartedAt.Seconds()*math.Phi, 1)
	high := math.Floor(endpoint.overloadThreshold + dither)
	return thresholds{low: lowRatio * high, high: high, block: blockRatio*high + 1}
}

// updateMode renews an endpoint's mode and returns it.
func (b *Balancer) updateMode(placement *placement, endpoint *endpoint) Mode {
	if endpoint.overloadThreshold == 0 { // outside the subsets so far
		endpoint.overloadThreshold = b.overloadThreshold(endpoint)
	}
	switch {
	case b.checksLoad: // only load reports count
		endpoint.mode = Normal
	case placement.aggregated:
		endpoint.mode = placement.mode
		endpoint.excess = placement.excess
	default:
		own := b.ownThresholds(endpoint)
		endpoint.modeByCount = own.next(endpoint.modeByCount, endpoint.inFlight)
		endpoint.excess = own.excess(endpoint.inFlight)
		endpoint.mode = endpoint.modeByCount
	}
	if b.now < endpoint.imposedUntil {
		return max(endpoint.mode, endpoint.imposedMode)
	}
	return endpoint.mode
}

// updateAggregate renews the mode of a placement's subset as a whole, by the sums of counts and thresholds. The count
// is smoothed, as the few requests of a node come and go by chance.
func (b *Balancer) updateAggregate(placement *placement) {
	count, high := 0.0, 0.0
	for _, endpoint := range placement.subset {
		count += endpoint.inFlight
		high += endpoint.overloadThreshold
	}
	size := float64(len(placement.subset))
	placement.aggregated = high < aggregateBelow*size
	tau := math.Min(throughputTau, aggregateSamples/math.Max(1e-9, b.meanThroughput*size))
	placement.smoothedCount.approach(count, b.now, tau)
	count = math.Max(placement.smoothedCount.value, count-aggregateDeviations*math.Sqrt(high))
	// Scaled, as the hysteresis has steps of one request and these sums may be below that.
	scaled := thresholds{low: 100 * lowRatio * high, high: 100 * high, block: 100 * blockRatio * high}
	placement.mode = scaled.next(placement.mode, 100*count)
	placement.excess = thresholds{high: high, block: blockRatio * high}.excess(count)
}

// updateModes renews the modes of all subsets and samples the excess for admission.
func (b *Balancer) updateModes() {
	for _, placement := range b.placements {
		b.updateAggregate(placement)
		for _, endpoint := range placement.subset {
			b.updateMode(placement, endpoint)
			placement.excessSum += endpoint.excess
			placement.excessSamples++
		}
	}
}

// impose sets the least mode of an endpoint for some time.
func (b *Balancer) impose(endpoint *endpoint, mode Mode, duration time.Duration) {
	endpoint.imposedMode = mode
	endpoint.imposedUntil = b.now + duration
}

// applyLoadReport imposes a mode by the count that an endpoint reports, where load is checked before each send.
func (b *Balancer) applyLoadReport(endpoint *endpoint, report *LoadReport) {
	if report == nil || !report.HasInFlight || !b.checksLoad {
		return
	}
	endpoint.reportedAt = b.now
	if report.Queued > 0 { // all that it can work on at once is busy
		working := math.Max(1, report.InFlight-report.Queued)
		b.concurrency = smooth(b.concurrency, working, endpointLatencyGain)
	}
	if b.now >= endpoint.imposedUntil {
		endpoint.modeByReport = Normal
	}
	reported := b.reportedThresholds()
	endpoint.inFlight = report.InFlight
	endpoint.excess = reported.excess(endpoint.inFlight)
	endpoint.modeByReport = reported.next(endpoint.modeByReport, endpoint.inFlight)
	b.impose(endpoint, endpoint.modeByReport, modeValidity)
}

// reportedThresholds are L, H and R for reported counts, which include the requests of all nodes: H is what an endpoint
// can hold and still keep the tightest objective.
func (b *Balancer) reportedThresholds() thresholds {
	high := 2 * minThreshold
	if b.serviceTime.mean > 0 {
		high = 1 + b.concurrency*waitShare*b.tightestObjective/b.serviceTime.mean
	}
	return thresholds{low: lowRatio * high, high: high, block: reportedBlockRatio * high}
}
