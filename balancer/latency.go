package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	meanGain                = 0.02  // weight of a sample in averages over all endpoints
	machineTypeGain         = 0.006 // in a machine type's long average, whose minimum is kept: chance must be small
	endpointLatencyGain     = 0.1   // in an endpoint's latency and in the endpoints' concurrency
	throughputTau           = 3.0   // s; time constant with which observations of an endpoint lose their weight
	extremesTau             = 600.0 // s; time constant of peak throughput and unloaded latency: overloads are shorter
	latencyNoise            = 0.15  // fraction by which an average may be below its true value by chance alone
	minResponses            = 2.0   // responses per endpoint of the subsets, on average, after which a node has learned
	machineTypeMinResponses = 50.0  // responses of a machine type after which its unloaded latency is used
	machineTypePrior        = 10.0  // weight of the fleet's mean in a machine type's latency, in responses
	minLatency              = 1e-6  // s; minimum that is recorded, as a clock may measure 0
)

// latencyState is what a node knows of an endpoint's latency and throughput.
type latencyState struct {
	excessLatency decayingValue // s, by which a mean request takes longer than on the endpoint's machine type
	throughput    decayingValue // served requests of this node per second
	listedAt      Time          // when it was first listed: throughput has been observed since then
}

// machineType holds the latency estimates of a type of machine. A machine with many slow cores responds later than one
// with few fast cores, even if both have the same throughput.
type machineType struct {
	latency         ewma    // s, of a mean request
	recentLatency   ewma    // s, the same over fewer responses
	unloadedLatency float64 // s, the recent minimum of latency; 0: not known yet
}

// machineTypeByName returns the estimates of a machine type. All machine types that the settings do not name share one
// entry, as endpoint updates may bring any number of new names.
func (b *Balancer) machineTypeByName(name string) *machineType {
	if !slices.Contains(b.settings.MachineTypes, name) {
		name = ""
	}
	if b.machineTypes[name] == nil {
		b.machineTypes[name] = &machineType{}
	}
	return b.machineTypes[name]
}

// throughputOf estimates the requests per second that an endpoint serves for this node. If the endpoint was listed only
// recently, the estimate is corrected for the short time of observation.
func (b *Balancer) throughputOf(endpoint *endpoint) float64 {
	observed := 1 - decay(b.now-endpoint.listedAt+tickInterval, throughputTau)
	return endpoint.throughput.current(b.now, throughputTau) / observed
}

// latencyOf estimates the latency of a mean request at an endpoint, in seconds. Without responses the estimate decays
// to that of the machine type, so that the endpoint is tried again.
func (b *Balancer) latencyOf(endpoint *endpoint) float64 {
	return b.machineTypeLatency(endpoint.machineType) + endpoint.excessLatency.current(b.now, throughputTau)
}

// expectedLatency estimates the latency of a request of the class at an endpoint, in seconds. An endpoint with a
// latency below the fleet's mean counts as one at the mean.
func (b *Balancer) expectedLatency(endpoint *endpoint, class *class) float64 {
	return math.Max(b.latency.mean, b.latencyOf(endpoint)) * class.relativeWork
}

// machineTypeLatency estimates the latency of a mean request on a machine type, in seconds. One of many nodes sees more
// responses from a machine type than from any endpoint. After few responses the estimate is near the fleet's mean.
func (b *Balancer) machineTypeLatency(machine *machineType) float64 {
	responses := machine.recentLatency.samples
	return b.latency.mean + (machine.recentLatency.mean-b.latency.mean)*responses/(responses+machineTypePrior)
}

// observeLatency records the latency of a served attempt.
func (b *Balancer) observeLatency(attempt *attempt, request *request, elapsed time.Duration) {
	class := request.class
	seconds := max(elapsed.Seconds(), minLatency)
	b.latency.add(seconds, meanGain)
	workAhead := request.relativeWork*class.relativeWork + attempt.inFlightBefore/b.concurrency
	b.serviceTime.add(seconds/workAhead, meanGain)
	class.latency.add(seconds, meanGain)
	// fleetLatency is sampled at the same times as the class's latency: otherwise a class with few requests would seem
	// to need more work for as long as its mean includes a past overload.
	class.fleetLatency.add(b.latency.mean, meanGain)
	class.relativeWork = class.latency.mean / class.fleetLatency.mean
	machine := attempt.endpoint.machineType
	machine.latency.add(seconds/class.relativeWork, machineTypeGain)
	machine.recentLatency.add(seconds/class.relativeWork, meanGain)
	b.observeEndpointLatency(attempt.endpoint, class, elapsed)
}

// observeEndpointLatency updates an endpoint's latency with that of an attempt, which is capped, as a single slow
// response may be due to the request.
func (b *Balancer) observeEndpointLatency(endpoint *endpoint, class *class, elapsed time.Duration) {
	latency := b.latencyOf(endpoint)
	longest := silentFactor * math.Max(latency, b.latency.mean)
	latency = smooth(latency, math.Min(elapsed.Seconds()/class.relativeWork, longest), endpointLatencyGain)
	endpoint.excessLatency.set(latency-b.machineTypeLatency(endpoint.machineType), b.now)
}

// refreshThroughput recomputes the mean throughput of the endpoints in the subsets, except those that warm up, and
// whether this node has learned: had enough responses to derive thresholds from them.
func (b *Balancer) refreshThroughput() {
	throughput, warm, size := 0.0, 0.0, 0.0
	for _, placement := range b.placements {
		size += placement.subsetSize
		for _, endpoint := range placement.subset {
			if !endpoint.warmingUp {
				throughput += b.throughputOf(endpoint)
				warm++
			}
		}
	}
	b.meanThroughput = throughput / math.Max(1, warm)
	b.learned = throughput > 0 && b.latency.samples >= minResponses*size
}

// refreshTightestObjective recomputes the tightest latency objective, scaled to a mean request.
func (b *Balancer) refreshTightestObjective() {
	b.tightestObjective = math.Inf(1)
	for _, class := range b.classOrder {
		if class.LatencyObjective > 0 {
			objective := class.LatencyObjective.Seconds() / class.relativeWork
			b.tightestObjective = math.Min(b.tightestObjective, objective)
		}
	}
}

// refreshExtremes updates the peak throughput and the unloaded latencies, which are forgotten slowly.
func (b *Balancer) refreshExtremes() {
	growth := 1 + tickInterval.Seconds()/extremesTau
	b.peakThroughput = math.Max(b.peakThroughput/growth, b.meanThroughput)
	for _, machine := range b.machineTypes {
		machine.unloadedLatency *= growth
		if machine.latency.samples >= machineTypeMinResponses {
			machine.unloadedLatency = leastLatency(machine.unloadedLatency, machine.latency.mean)
		}
	}
	b.unloadedLatency = leastLatency(b.unloadedLatency*growth, b.latency.mean)
}

// leastLatency returns the unloaded latency after one more average. least is the present one, or 0 if there is none.
// An average that is lower than least by up to latencyNoise counts as chance and leaves it unchanged.
func leastLatency(least, average float64) float64 {
	if least == 0 || average < least*(1-latencyNoise) {
		return average / (1 - latencyNoise)
	}
	return least
}
