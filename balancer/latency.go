package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	meanGain                = 0.02  // weight of a sample in averages over all endpoints
	machineTypeGain         = 0.006 // in a machine type's long average, whose least value is kept: chance must be small
	endpointLatencyGain     = 0.1   // in an endpoint's latency
	throughputTau           = 3.0   // s; what a node has seen of an endpoint holds for about so long
	memoryTau               = 600.0 // s; to forget peak throughput and uncrowded latency: longer than overloads last
	latencyNoise            = 0.15  // by which chance alone takes an average below its true value
	minResponses            = 2.0   // per endpoint of the subsets, on average, after which a node has learned
	machineTypeMinResponses = 50.0  // of a machine type, after which its uncrowded latency counts
	machineTypePrior        = 10.0  // responses of a machine type that count as much as the fleet's mean
	minLatency              = 1e-6  // s; a clock may show none
)

// latencyState is what a node knows of an endpoint's latency and throughput.
type latencyState struct {
	excessLatency decayingValue // s, of a mean request, over what its machine type takes
	throughput    decayingValue // served requests of this node per second
	listedAt      Time          // when it was first listed: what the throughput can be based on
}

// machineType holds the latencies of a type of machine: a wide and slow one responds later than a narrow and fast one
// that does as much.
type machineType struct {
	latency          ewma    // s, of a mean request
	recentLatency    ewma    // s, the same over fewer responses
	uncrowdedLatency float64 // s, the least latency of late; 0: not known yet
}

// machineTypeByName returns the state of a machine type. Those that the settings do not name are one type, as endpoint
// updates may bring ever new ones.
func (b *Balancer) machineTypeByName(name string) *machineType {
	if !slices.Contains(b.settings.MachineTypes, name) {
		name = ""
	}
	if b.machineTypes[name] == nil {
		b.machineTypes[name] = &machineType{}
	}
	return b.machineTypes[name]
}

// throughputOf is the rate of served requests per second that this node sees of an endpoint. One that was listed only
// lately is rated by the time since.
func (b *Balancer) throughputOf(endpoint *endpoint) float64 {
	observed := 1 - decay(b.now-endpoint.listedAt+tickInterval, throughputTau)
	return endpoint.throughput.current(b.now, throughputTau) / observed
}

// latencyOf is the latency of a mean request at an endpoint, in seconds. Without responses it drifts back to that of
// the machine type, so the endpoint is tried again.
func (b *Balancer) latencyOf(endpoint *endpoint) float64 {
	return b.machineTypeLatency(endpoint.machineType) + endpoint.excessLatency.current(b.now, throughputTau)
}

// expectedLatency is the latency of a request of the class at an endpoint, in seconds, and at least as on average.
func (b *Balancer) expectedLatency(endpoint *endpoint, class *class) float64 {
	return math.Max(b.latency.mean, b.latencyOf(endpoint)) * class.relativeWork
}

// machineTypeLatency is the latency of a mean request on a machine type, in seconds. One of many nodes knows more of it
// than of any endpoint. After few responses it is near the fleet's mean.
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
	// Compared at the same times: a class with few requests must not keep the latency of a past overload.
	class.fleetLatency.add(b.latency.mean, meanGain)
	class.relativeWork = class.latency.mean / class.fleetLatency.mean
	machine := attempt.endpoint.machineType
	machine.latency.add(seconds/class.relativeWork, machineTypeGain)
	machine.recentLatency.add(seconds/class.relativeWork, meanGain)
	b.observeEndpointLatency(attempt.endpoint, class, elapsed)
}

// observeEndpointLatency records the latency of an attempt in that of its endpoint. It is capped, as a single slow
// response may be due to the request.
func (b *Balancer) observeEndpointLatency(endpoint *endpoint, class *class, elapsed time.Duration) {
	latency := b.latencyOf(endpoint)
	longest := silentFactor * math.Max(latency, b.latency.mean)
	latency = smooth(latency, math.Min(elapsed.Seconds()/class.relativeWork, longest), endpointLatencyGain)
	endpoint.excessLatency.set(latency-b.machineTypeLatency(endpoint.machineType), b.now)
}

// refreshThroughput renews the mean throughput of the endpoints in the subsets, without those that warm up, and whether
// this node has learned enough to derive thresholds from it.
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

// refreshTightestObjective renews the tightest objective for a mean request.
func (b *Balancer) refreshTightestObjective() {
	b.tightestObjective = math.Inf(1)
	for _, class := range b.classOrder {
		if class.LatencyObjective > 0 {
			objective := class.LatencyObjective.Seconds() / class.relativeWork
			b.tightestObjective = math.Min(b.tightestObjective, objective)
		}
	}
}

// refreshExtremes renews the peak throughput and the uncrowded latencies, which are forgotten slowly.
func (b *Balancer) refreshExtremes() {
	growth := 1 + tickInterval.Seconds()/memoryTau
	b.peakThroughput = math.Max(b.peakThroughput/growth, b.meanThroughput)
	for _, machine := range b.machineTypes {
		machine.uncrowdedLatency *= growth
		if machine.latency.samples >= machineTypeMinResponses {
			machine.uncrowdedLatency = leastLatency(machine.uncrowdedLatency, machine.latency.mean)
		}
	}
	b.uncrowdedLatency = leastLatency(b.uncrowdedLatency*growth, b.latency.mean)
}

// leastLatency is the least latency after one more average. least is 0 if there is none yet.
func leastLatency(least, average float64) float64 {
	if least == 0 || average < least*(1-latencyNoise) {
		return average / (1 - latencyNoise)
	}
	return least
}
