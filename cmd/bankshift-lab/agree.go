package main

import (
	"context"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"bankshift/internal/lab/fleet"
	"bankshift/internal/lab/hollow"
	"bankshift/internal/lab/result"
)

type agreeCommand struct {
	Scenario string  `arg:"" type:"existingfile" help:"Scenario file."`
	Seed     *uint64 `help:"Seed to use instead of the scenario's."`
	Node     string  `type:"existingfile" placeholder:"PATH" help:"The node's executable; built first if omitted."`
}

// comparison holds the values of a quantity in a run with hollow nodes and in a run
// with real nodes.
type comparison struct {
	name      string
	hollow    float64
	real      float64
	tolerance float64 // largest accepted difference
}

func (c comparison) agrees() bool { return math.Abs(c.hollow-c.real) <= c.tolerance }

const (
	servedTolerance   = 0.01 // fraction of all requests: random variation alone changes a few per thousand
	attemptsTolerance = 0.03 // attempts per request
	listsTolerance    = 0.15 // fraction of list bytes: header lengths differ, poll counts depend on the polls' phase
)

// compare returns the quantities in which a hollow and a real run of one scenario
// must agree.
func compare(hollow, real *result.Run) []comparison {
	ratio := func(a, b int) float64 { return float64(a) / float64(max(1, b)) }
	h := hollow.Requests
	r := real.Requests
	lists := max(hollow.ListTraffic.NodeRate, real.ListTraffic.NodeRate)
	return []comparison{
		{"share served", ratio(h.Served, h.Offered), ratio(r.Served, r.Offered), servedTolerance},
		{"attempts a request", ratio(h.Attempts, h.Offered), ratio(r.Attempts, r.Offered), attemptsTolerance},
		{"list bytes a node and second", hollow.ListTraffic.NodeRate, real.ListTraffic.NodeRate, listsTolerance * lists},
	}
}

// Run runs a scenario with hollow and with real nodes and prints a comparison. It
// returns errViolation if a quantity differs too much or a run violated a rule.
func (c *agreeCommand) Run(ctx context.Context, o output) error {
	s, err := loadScenario(c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	if err := fleet.Check(s); err != nil {
		return err
	}
	hollowRun, err := hollow.Run(ctx, s)
	if err != nil {
		return err
	}
	realRun, err := fleet.Run(ctx, s, fleet.Options{Node: c.Node})
	if err != nil {
		return err
	}
	comparisons := compare(hollowRun, realRun)
	if err := printAgreement(o.stdout, comparisons, hollowRun, realRun); err != nil {
		return err
	}
	for _, c := range comparisons {
		if !c.agrees() {
			return errViolation
		}
	}
	if len(hollowRun.Violations)+len(realRun.Violations) > 0 {
		return errViolation
	}
	return nil
}

func printAgreement(w io.Writer, comparisons []comparison, runs ...*result.Run) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\thollow\treal\tdifference\ttolerance\t")
	for _, c := range comparisons {
		verdict := "agree"
		if !c.agrees() {
			verdict = "DISAGREE"
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\n", c.name, c.hollow, c.real, c.real-c.hollow, c.tolerance, verdict)
	}
	for _, run := range runs {
		for _, v := range run.Violations {
			fmt.Fprintf(t, "BROKEN\t%s: %s\n", run.Kind, v)
		}
	}
	return t.Flush()
}
