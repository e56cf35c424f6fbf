package balancer

import (
	"math"
	"time"
)

// Overload control after "Analytical Modelling and Simulation for Performance Evaluation of SIP Server with Hysteretic
// Overload Control". The paper's thresholds L, H and R bound the requests that an endpoint may hold. This file derives
// them for each endpoint, and the mode from them; admission.go decides what is dropped on overload.

const (
	modeValidity        = time.Second     // how long an imposed mode lasts; the paper's oc-validity
	timeoutModeValidity = 3 * time.Second // the same after a request timed out: the queue needs seconds to drain
	objectiveShare      = 0.4             // fraction of an objective that the mean latency may take: tails are long
	queueFactor         = 1.3             // multiple of unloaded latency that H allows: long queues slow endpoints down
	extraQueueFactor    = 1.5             // plus this / nodesPerEndpoint: with more nodes, a node's own counts say less
	maxObjectiveStretch = 3.0             // maximum factor by which H grows while the latency is below the allowed one
	lowRatio            = 0.75            // L as a fraction of H
	blockRatio          = 1.2             // R as a multiple of H: rejected clients' retries soon fill any room above H
	reportedBlockRatio  = 1.3             // the same for reported counts: beyond it, responses are late
	waitShare           = 0.8             // fraction of an objective that queueing and service may take
	aggregateBelow      = 0.33            // a subset whose mean H is below this is evaluated as an aggregate
	aggregateSamples    = 10.0            // the aggregate's count is smoothed over the time of this many responses
	aggregateDeviations = 3.0             // multiple of sqrt(H) by which an aggregate's count may exceed H for a moment
	minThreshold        = 2.0             // least sum of H over an endpoint's nodes; double until a node has learned
	fleetShare          = 0.3             // weight of the mean throughput in H: chance must not starve an endpoint
)

// Mode is the overload state of an endpoint as this node sees it: the paper's s = 0, 1, 2.
type Mode int

const (
	// Normal endpoints are below their overload threshold.
	Normal Mode = iota
	// Overloaded endpoints get a request only if none is normal.
	Overloaded
	// Blocked endpoints get no requests.
	Blocked
)

// thresholds are the paper's bounds on the number of requests that an endpoint holds.
type thresholds struct {
	low   float64 // L: below it an overloaded endpoint becomes normal
	high  float64 // H: above H-1 a normal endpoint becomes overloaded; below H+1 a blocked one is no longer blocked
	block float64 // R: above R-1 an endpoint becomes blocked
}

// next returns the mode that follows the given one by the paper's hysteresis when count requests are held.
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

// excess returns the position of count between H (0) and R (1), limited to that range.
func (t thresholds) excess(count float64) float64 {
	return math.Min(1, math.Max(0, (count-t.high)/(t.block-t.high)))
}

// overloadState is the load of an endpoint, as this node sees it.
type overloadState struct {
	inFlight          float64 // attempts of this node in flight or, after a load report, all requests of the endpoint
	overloadThreshold float64 // H; 0: not computed yet
	thresholdDither   float64 // rounding offset of H, in [0, 1): see ownThresholds
	mode              Mode    // as of the last updateMode, without the imposed mode
	modeByCount       Mode    // from this node's attempts in flight
	modeByReport      Mode    // from load reports
	imposedMode       Mode    // lower bound on the mode, after a rejection, a timeout or a load report
	imposedUntil      Time    // when imposedMode expires
	excess            float64 // position of the endpoint's count between H (0) and R (1)
	reportedAt        Time    // time of the last load report
}

// aggregateState is the load of a placement's subset as a whole. Its mode applies to all endpoints of the subset if
// their mean H is below aggregateBelow: each then holds so few requests of this node that its count, of 0 or 1, says
// nothing.
type aggregateState struct {
	aggregated    bool          // the subset is evaluated as a whole
	smoothedCount decayingValue // smoothed sum of inFlight over the subset
	mode          Mode
	excess        float64 // position of the count between H (0) and R (1)
}

// overloadThreshold computes H by Little's law: the number of requests that this node may have in flight at an endpoint
// whose latency meets the objectives. Part of the rate is the mean over the endpoints, so that chance starves none.
// Queues are kept short, as endpoints under load slow down. If all endpoints slow down at once, H does not fall below
// what keeps an endpoint busy.
func (b *Balancer) overloadThreshold(endpoint *endpoint) float64 {
	if !b.learned {
		return 2 * minThreshold / b.nodesPerEndpoint
	}
	rate := (1-fleetShare)*b.throughputOf(endpoint) + fleetShare*b.meanThroughput
	unloaded, present := b.unloadedLatency, b.latency.mean
	if machine := endpoint.machineType; machine.unloadedLatency > 0 {
		unloaded, present = machine.unloadedLatency, machine.latency.mean
	}
	allowed := math.Min((queueFactor+extraQueueFactor/b.nodesPerEndpoint)*unloaded, objectiveShare*b.tightestObjective)
	busy := unloaded * b.peakThroughput / b.meanThroughput
	high := rate * math.Max(busy, allowed*math.Min(maxObjectiveStretch, allowed/present))
	return math.Max(high, minThreshold/b.nodesPerEndpoint)
}

// ownThresholds returns L, H and R for this node's attempts in flight. H is rounded up or down by a dither that changes
// with each shedPeriod: if all nodes rounded up at once, together they would overload an endpoint.
func (b *Balancer) ownThresholds(endpoint *endpoint) thresholds {
	dither := math.Mod(endpoint.thresholdDither+b.periodStartedAt.Seconds()*math.Phi, 1)
	high := math.Floor(endpoint.overloadThreshold + dither)
	return thresholds{low: lowRatio * high, high: high, block: blockRatio*high + 1}
}

// updateMode recomputes an endpoint's mode and returns it, or the imposed mode if that is higher.
func (b *Balancer) updateMode(placement *placement, endpoint *endpoint) Mode {
	if endpoint.overloadThreshold == 0 { // it has been in no subset yet
		endpoint.overloadThreshold = b.overloadThreshold(endpoint)
	}
	switch {
	case b.checksLoad: // only imposed modes apply, which follow from load reports, rejections and timeouts
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

// updateAggregate recomputes the mode of a placement's subset as a whole from the sums of its counts and thresholds.
// The count is smoothed, as the few requests of a node come and go by chance.
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
	// The sums are scaled by 100, as the hysteresis has steps of one request and they may be smaller than that.
	scaled := thresholds{low: 100 * lowRatio * high, high: 100 * high, block: 100 * blockRatio * high}
	placement.mode = scaled.next(placement.mode, 100*count)
	placement.excess = thresholds{high: high, block: blockRatio * high}.excess(count)
}

// updateModes recomputes the modes of all subsets and samples their endpoints' excess for admission control.
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

// impose sets a lower bound on an endpoint's mode for the given time.
func (b *Balancer) impose(endpoint *endpoint, mode Mode, duration time.Duration) {
	endpoint.imposedMode = mode
	endpoint.imposedUntil = b.now + duration
}

// applyLoadReport imposes the mode that follows from the count that an endpoint reports. Reports are ignored unless the
// load is checked before each send.
func (b *Balancer) applyLoadReport(endpoint *endpoint, report *LoadReport) {
	if report == nil || !report.HasInFlight || !b.checksLoad {
		return
	}
	endpoint.reportedAt = b.now
	if report.Queued > 0 { // requests wait, so the endpoint works on as many at once as it can
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

// reportedThresholds returns L, H and R for reported counts, which include the requests of all nodes. H is the number
// of requests that an endpoint can hold and still meet the tightest objective.
func (b *Balancer) reportedThresholds() thresholds {
	high := 2 * minThreshold
	if b.serviceTime.mean > 0 {
		high = 1 + b.concurrency*waitShare*b.tightestObjective/b.serviceTime.mean
	}
	return thresholds{low: lowRatio * high, high: high, block: reportedBlockRatio * high}
}
