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

// comparison is a quantity that hollow and real nodes must agree on.
type comparison struct {
	name         string
	hollow, real float64
	tolerance    float64 // of the difference
}

func (c comparison) holds() bool { return math.Abs(c.hollow-c.real) <= c.tolerance }

// Tolerances of an agreement.
const (
	servedWithin   = 0.01 // of all requests: chance alone moves some in a thousand
	attemptsWithin = 0.03 // a request
	listsWithin    = 0.15 // of the list bytes: heads differ in lengths, and calls in number by the phase they were cut at
)

// compare puts two runs of one scenario side by side.
func compare(h, r *result.Run) []comparison {
	part := func(a, b int) float64 { return float64(a) / float64(max(1, b)) }
	return []comparison{
		{"share served", part(h.Requests.Served, h.Requests.Offered), part(r.Requests.Served, r.Requests.Offered), servedWithin},
		{"attempts a request", part(h.Requests.Attempts, h.Requests.Offered), part(r.Requests.Attempts, r.Requests.Offered), attemptsWithin},
		{"list bytes a node and second", h.Control.NodeRate, r.Control.NodeRate, listsWithin * max(h.Control.NodeRate, r.Control.NodeRate)},
	}
}

func (c *agreeCmd) Run(ctx context.Context, o out) error {
	s, err := load(c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	if err := fleet.Check(s); err != nil {
		return err
	}
	h, err := hollow.Run(ctx, s)
	if err != nil {
		return err
	}
	r, err := fleet.Run(ctx, s, fleet.Options{Node: c.Node})
	if err != nil {
		return err
	}
	cs := compare(h, r)
	if err := printAgreement(o.stdout, cs, h, r); err != nil {
		return err
	}
	for _, c := range cs {
		if !c.holds() {
			return errBroke
		}
	}
	if len(h.Violations)+len(r.Violations) > 0 {
		return errBroke
	}
	return nil
}

func printAgreement(w io.Writer, cs []comparison, h, r *result.Run) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\thollow\treal\tdifference\ttolerance\t")
	for _, c := range cs {
		verdict := "agree"
		if !c.holds() {
			verdict = "DISAGREE"
		}
		fmt.Fprintf(t, "%s\t%.4f\t%.4f\t%+.4f\t%.4f\t%s\n", c.name, c.hollow, c.real, c.real-c.hollow, c.tolerance, verdict)
	}
	for _, run := range []*result.Run{h, r} {
		for _, b := range run.Violations {
			fmt.Fprintf(t, "BROKEN\t%s: %s\n", run.Kind, b)
		}
	}
	return t.Flush()
}
