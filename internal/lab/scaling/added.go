package scaling

import (
	"context"

	"bankshift/internal/lab/fleet"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// addedRates are the measured rates, in requests/s: a third of the planned rate,
// the planned rate, and two and three times the planned rate.
var addedRates = []float64{60, plannedRate, 2 * plannedRate, 3 * plannedRate}

// addedLatency measures the latency that a node adds to requests, and the
// processor time of the node under traffic.
func addedLatency(ctx context.Context, e *Env) ([]Figure, error) {
	figure := func(name, unit, mechanism string, budget float64) Figure {
		return Figure{
			Name: name, Unit: unit, Over: "requests/s", Planned: plannedRate, Budget: budget, Mechanism: mechanism,
			Note: "one real node before 60 servers; from a request's handing out at its client, less its time at the server",
		}
	}
	p50 := figure("added by a node: 50 %", "ms", mechanismForward, 0)
	p99 := figure("added by a node: 99 %", "ms", mechanismForward, budgetAddedLatency)
	p999 := figure("added by a node: 99.9 %", "ms", mechanismForward, 0)
	cpu := figure("node under traffic: processor", "% of a core", mechanismForward+"; "+mechanismHandle, 0)
	rates := addedRates
	if e.small {
		rates = rates[:minPoints]
	}
	for _, rate := range rates {
		r, err := e.runTraffic(ctx, rate)
		if err != nil {
			return nil, err
		}
		p50.add(rate, r.AddedLatency.P50*1e3)
		p99.add(rate, r.AddedLatency.P99*1e3)
		p999.add(rate, r.AddedLatency.P999*1e3)
		cpu.add(rate, 100*r.Cost.NodeCPU)
	}
	return []Figure{p50, p99, p999, cpu}, nil
}

// runTraffic sends requests to one real node at a rate in requests/s, and
// returns the result of the run.
func (e *Env) runTraffic(ctx context.Context, rate float64) (*result.Run, error) {
	const connections = 400 // more than the requests in flight at the highest rate
	s := plannedScenario(1, smallFleetServers)
	s.Traffic.Rate = rate
	s.Traffic.Connections = connections
	s.Traffic.Retries = 0
	s.Servers.Handshake = 0
	s.Warmup = scenario.Duration(e.settleTime())
	s.Length = s.Warmup + scenario.Duration(e.measure())
	r, err := fleet.Run(ctx, s, fleet.Options{Node: e.Node})
	if err != nil {
		return nil, err
	}
	for _, v := range r.Violations {
		e.recordViolation("added, %v/s: %s", rate, v)
	}
	e.log("  %v/s: %+v, %.1f %% of a core", rate, r.AddedLatency, 100*r.Cost.NodeCPU)
	return r, nil
}
