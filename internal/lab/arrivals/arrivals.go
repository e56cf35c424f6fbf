// Package arrivals draws the requests of a scenario's clients: an open-loop
// stream, the same for a seed whatever becomes of the requests.
package arrivals

import (
	"iter"
	"math"
	"math/rand/v2"
	"time"

	"gonum.org/v1/gonum/stat/distuv"

	"bankshift/internal/lab/scenario"
)

// Arrival is a client's request.
type Arrival struct {
	Number int           // counts from 0
	At     time.Duration // since the start of the traffic: when it is to be sent
	Node   int           // that its client is connected to
	Class  int
	Key    int // its subject
	Tenant int // -1: none
	Work   time.Duration
}

// The streams of chance, so that what one law takes moves no other.
const (
	streamWeights = 1<<32 + iota
	streamTimes
	streamNodes
	streamClasses
	streamKeys
	streamTenants
	streamWork
)

// All gives the requests of a scenario in order of time. They arrive by a
// Poisson process over the whole fleet; a burst multiplies its rate, and
// overlapping bursts multiply each other. Nothing is kept, so the stream may
// be of any length, and it may be drawn again.
func All(s *scenario.Scenario) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		src := func(stream uint64) rand.Source { return rand.NewPCG(s.Seed, stream) }
		gaps := distuv.Exponential{Rate: 1, Src: src(streamTimes)}
		nodes := distuv.NewCategorical(NodeWeights(s), src(streamNodes))
		parts, work, workSrc := make([]float64, len(s.Classes)), make([]distuv.Rander, len(s.Classes)), src(streamWork)
		for i, c := range s.Classes {
			parts[i], work[i] = c.Share, workDistribution(c, workSrc)
		}
		classes := distuv.NewCategorical(parts, src(streamClasses))
		keys := zipf(s.Traffic.Keys, s.Traffic.KeySkew, src(streamKeys))
		tenants := zipf(s.Traffic.Tenants, s.Traffic.TenantSkew, src(streamTenants))
		at := 0.0
		for n := 0; ; n++ {
			// A step of a process of rate 1, spread over the pieces of constant rate.
			for left := gaps.Rand(); ; {
				rate, until := rateAt(s, at)
				if end := at + left/rate; end < until {
					at = end
					break
				}
				left -= (until - at) * rate
				at = until
			}
			if at >= s.Length.Seconds() {
				return
			}
			a := Arrival{Number: n, At: time.Duration(at * float64(time.Second)), Node: int(nodes.Rand()),
				Class: int(classes.Rand()), Key: keys(), Tenant: tenants()}
			a.Work = max(1, time.Duration(work[a.Class].Rand()*float64(time.Second)))
			if !yield(a) {
				return
			}
		}
	}
}

// Weights is each node's part of the traffic, 1 in the median: drawn from a
// log-normal law where the scenario wants it uneven.
func NodeWeights(s *scenario.Scenario) []float64 {
	w := make([]float64, s.Fleet.Nodes)
	law := distuv.LogNormal{Sigma: s.Traffic.Imbalance, Src: rand.NewPCG(s.Seed, streamWeights)}
	for i := range w {
		if w[i] = 1; s.Traffic.Imbalance > 0 {
			w[i] = law.Rand()
		}
	}
	return w
}

// rateAt gives the rate at a time, in seconds, and until when it holds.
func rateAt(s *scenario.Scenario, at float64) (rate, until float64) {
	rate, until = s.Traffic.Rate, math.Inf(1)
	for _, e := range s.Events {
		if e.Action != "burst" {
			continue
		}
		from, to := e.At.Seconds(), (e.At + e.Duration).Seconds()
		switch {
		case at < from:
			until = min(until, from)
		case at < to:
			rate, until = rate*e.Factor, min(until, to)
		}
	}
	return rate, until
}

// workOf is the law of a class's work, in seconds.
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

type constant float64

func (c constant) Rand() float64 { return float64(c) }

// subjects draws one of n by Zipf's law, or all alike with a skew of 0; of
// none it draws -1.
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
