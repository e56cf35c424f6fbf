package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	latencyNoise            = 0.15  // by how much chance alone takes a class's mean under its true value
	minResponses            = 2.0   // answers a server, on average, after which a node has learned
	machineTypeGain         = 0.006 // the same over a kind: its least is kept, so chance must be small
	machineTypeMinResponses = 50.0  // answers of a kind of machine after which its latency counts
	machineTypePrior        = 10.0  // answers of a kind that count as much as the mean of all
	throughputTau           = 3.0   // s; what a node has seen of a server holds about as long
	memoryTau               = 600.0 // s; to forget peak rates and uncrowded latency: longer than troubles
	endpointLatencyGain     = 0.1   // weight of a new latency in a server's smoothed one
	meanGain                = 0.02  // the same over all servers, where samples are many
)

// kind is a kind of machine: a wide and slow one answers later than a narrow and fast one that does as much.
type machineType struct {
	responses, meanLatency, uncrowdedLatency float64 // s, smoothed latency of a mean request; uncrowded
	recentLatency                            float64 // s, the latency smoothed over a shorter time
}

// kindOf knows the kinds that the settings name; all others are one kind, as lists may bring ever new ones.
func (m *Balancer) machineType(name string) *machineType {
	if !slices.Contains(m.settings.MachineTypes, name) {
		name = ""
	}
	if m.machineTypes[name] == nil {
		m.machineTypes[name] = &machineType{}
	}
	return m.machineTypes[name]
}

func (m *Balancer) throughputOf(s *endpoint) float64 {
	return s.throughput * decay(m.now-s.throughputAt, throughputTau) / (1 - decay(m.now-s.listedAt+tickInterval, throughputTau))
}

// latencyOf lets a value that is not renewed drift to that of the server's kind: the server is tried again.
func (m *Balancer) latencyOf(s *endpoint) float64 {
	return m.machineTypeLatency(s) + s.excessLatency*decay(m.now-s.latencyAt, throughputTau)
}

// expected is what an answer of the class takes there, in seconds; the fleet's mean at least.
func (m *Balancer) expectedLatency(s *endpoint, c *class) float64 {
	return math.Max(m.meanLatency, m.latencyOf(s)) * c.relativeWork
}

// usual is what a server of the kind takes, of which a node of many knows more than of any one server. The
// fleet's mean stands in for a few answers.
func (m *Balancer) machineTypeLatency(s *endpoint) float64 {
	return m.meanLatency + (s.machineType.recentLatency-m.meanLatency)*s.machineType.responses/(s.machineType.responses+machineTypePrior)
}

func (m *Balancer) observeLatency(a *attempt, r *request, took time.Duration) {
	c := r.class
	m.responses, c.responses = m.responses+1, c.responses+1
	t, gain, gainC := max(took.Seconds(), 1e-6), max(meanGain, 1/m.responses), max(meanGain, 1/c.responses)
	m.meanLatency += gain * (t - m.meanLatency)
	m.serviceTime += gain * (t/(r.relativeWork*c.relativeWork+a.inFlightBefore/m.concurrency) - m.serviceTime)
	c.meanLatency += gainC * (t - c.meanLatency)
	c.fleetLatency += gainC * (m.meanLatency - c.fleetLatency)
	c.relativeWork = c.meanLatency / c.fleetLatency // not to m.mean: a rare class must not keep a past trouble's latency
	k := a.endpoint.machineType
	k.responses++
	k.meanLatency += max(machineTypeGain, 1/k.responses) * (t/c.relativeWork - k.meanLatency)
	k.recentLatency += max(meanGain, 1/k.responses) * (t/c.relativeWork - k.recentLatency)
	m.observeEndpointLatency(a.endpoint, c, took)
}

// weigh takes a server's latency, capped, as a heavy request tells of itself and not of its server.
func (m *Balancer) observeEndpointLatency(s *endpoint, c *class, took time.Duration) {
	l := m.latencyOf(s)
	l += endpointLatencyGain * (math.Min(took.Seconds()/c.relativeWork, silentFactor*math.Max(l, m.meanLatency)) - l)
	s.excessLatency, s.latencyAt = l-m.machineTypeLatency(s), m.now
}
