// Package arrivals generates the requests of a scenario's clients: an open-loop
// stream that depends on the scenario and its seed, not on the outcomes of requests.
package arrivals

import (
	"iter"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"bankshift/internal/lab/scenario"
)

// Arrival is a request as a client sends it.
type Arrival struct {
	Number int           // number of the request, from 0
	At     time.Duration // intended time of sending, since the start of the traffic
	Node   int           // number of the node that the client is connected to
	Class  int           // index in Scenario.Classes
	Key    int           // number of the subject that the request is about; not an idempotency key
	Tenant int           // -1: none
	Work   time.Duration // execution time on a core of speed 1
}

// Random streams, one for each distribution, so that the draws of one do not
// change those of another.
const (
	streamWeights = 1<<32 + iota
	streamTimes
	streamNodes
	streamClasses
	streamKeys
	streamTenants
	streamWork
)

// All returns the requests of a scenario sorted by time. They arrive in a Poisson
// process over the whole fleet. A burst multiplies its rate; the factors of
// overlapping bursts multiply. Requests are generated on demand and not stored, so
// the stream may be of any length. Each iteration yields the same requests.
func All(s *scenario.Scenario) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		g := newGenerator(s)
		for n := 0; ; n++ {
			at := g.nextTime()
			if at >= s.Length.Seconds() || !yield(g.arrival(n, at)) {
				return
			}
		}
	}
}

// generator draws the times and attributes of arrivals.
type generator struct {
	scenario *scenario.Scenario
	at       float64 // of the last arrival, in seconds
	gaps     distuv.Exponential
	nodes    distuv.Categorical
	classes  distuv.Categorical
	keys     func() int
	tenants  func() int
	work     []distuv.Rander // by class, in seconds
}

func newGenerator(s *scenario.Scenario) *generator {
	source := func(stream uint64) rand.Source { return rand.NewPCG(s.Seed, stream) }
	g := &generator{
		scenario: s,
		gaps:     distuv.Exponential{Rate: 1, Src: source(streamTimes)},
		nodes:    distuv.NewCategorical(NodeWeights(s), source(streamNodes)),
		keys:     zipf(s.Traffic.Keys, s.Traffic.KeySkew, source(streamKeys)),
		tenants:  zipf(s.Traffic.Tenants, s.Traffic.TenantSkew, source(streamTenants)),
	}
	workSource := source(streamWork)
	var shares []float64
	for _, c := range s.Classes {
		shares = append(shares, c.Share)
		g.work = append(g.work, workDistribution(c, workSource))
	}
	g.classes = distuv.NewCategorical(shares, source(streamClasses))
	return g
}

// nextTime draws the time of the next arrival, in seconds. It draws a gap of a
// Poisson process of rate 1 and converts it to time piecewise, over the intervals
// of constant rate.
func (g *generator) nextTime() float64 {
	left := g.gaps.Rand()
	for {
		rate, until := rateAt(g.scenario, g.at)
		if end := g.at + left/rate; end < until {
			g.at = end
			return g.at
		}
		left -= (until - g.at) * rate
		g.at = until
	}
}

// arrival returns the arrival with a number and a time in seconds, and draws its
// other attributes.
func (g *generator) arrival(number int, at float64) Arrival {
	a := Arrival{
		Number: number,
		At:     time.Duration(at * float64(time.Second)),
		Node:   int(g.nodes.Rand()),
		Class:  int(g.classes.Rand()),
		Key:    g.keys(),
		Tenant: g.tenants(),
	}
	a.Work = max(1, time.Duration(g.work[a.Class].Rand()*float64(time.Second)))
	return a
}

// NodeWeights returns the relative share of each node in the traffic: 1, or with
// an imbalance, a value drawn from a log-normal distribution with median 1.
func NodeWeights(s *scenario.Scenario) []float64 {
	weights := make([]float64, s.Fleet.Nodes)
	distribution := distuv.LogNormal{Sigma: s.Traffic.Imbalance, Src: rand.NewPCG(s.Seed, streamWeights)}
	for i := range weights {
		weights[i] = 1
		if s.Traffic.Imbalance > 0 {
			weights[i] = distribution.Rand()
		}
	}
	return weights
}

// rateAt returns the rate of requests per second at a time, and the time until
// which it is constant. Both times are in seconds.
func rateAt(s *scenario.Scenario, at float64) (rate, until float64) {
	rate = s.Traffic.Rate
	until = math.Inf(1)
	for _, e := range s.Events {
		if e.Action != scenario.Burst {
			continue
		}
		from := e.At.Seconds()
		to := (e.At + e.Duration).Seconds()
		switch {
		case at < from:
			until = min(until, from)
		case at < to:
			rate *= e.Factor
			until = min(until, to)
		}
	}
	return rate, until
}

// workDistribution returns the distribution of a class's work, in seconds.
func workDistribution(c scenario.Class, src rand.Source) distuv.Rander {
	mean := c.Work.Seconds()
	switch c.WorkVariation {
	case 0:
		return constant(mean)
	case 1:
		return distuv.Exponential{Rate: 1 / mean, Src: src}
	}
	shape := 1 / (c.WorkVariation * c.WorkVariation)
	return distuv.Gamma{Alpha: shape, Beta: shape / mean, Src: src}
}

// constant is a distribution with a single value.
type constant float64

// Rand returns the value.
func (c constant) Rand() float64 { return float64(c) }

// zipf returns a function that draws a number from 0 to n-1 from a Zipf
// distribution, or from the uniform distribution with a skew of 0. If n is 0, it
// returns -1.
func zipf(n int, skew float64, src rand.Source) func() int {
	r := rand.New(src)
	switch {
	case n <= 0:
		return func() int { return -1 }
	case skew == 0:
		return func() int { return r.IntN(n) }
	}
	z := rand.NewZipf(r, skew, 1, uint64(n-1))
	return func() int { return int(z.Uint64()) }
}
