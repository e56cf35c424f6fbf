package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"bankshift/internal/lab/fleet"
	"bankshift/internal/lab/scaling"
)

type slopesCommand struct {
	What    []string      `arg:"" optional:"" help:"Measurements: ${measurements}. All if omitted."`
	JSON    string        `name:"json" placeholder:"FILE" help:"Also write the report as JSON to this file; - writes it to standard output instead of the table."`
	Node    string        `type:"existingfile" placeholder:"PATH" help:"The node's executable; built first if omitted."`
	Measure time.Duration `default:"10s" help:"How long a real node is measured at each size."`
}

// Run makes the measurements and writes their report. It returns errViolation if a
// measurement cannot be trusted or a figure is over its budget.
func (c *slopesCommand) Run(ctx context.Context, o output) error {
	dir, err := os.MkdirTemp("", "bankshift-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	program := c.Node
	if program == "" {
		program, err = fleet.Build(ctx, dir)
		if err != nil {
			return err
		}
	}
	env := &scaling.Env{Node: program, Dir: dir, Measure: c.Measure, Log: o.logf}
	r, err := scaling.Run(ctx, env, c.What...)
	if err != nil {
		return err
	}
	if err := o.writeResult(c.JSON, r.Write, r.Table); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errViolation
	}
	for i := range r.Figures {
		if r.Figures[i].OverBudget() {
			return errViolation
		}
	}
	return nil
}

// logf prints a line about the progress of measurements to standard error.
func (o output) logf(format string, args ...any) {
	fmt.Fprintf(o.stderr, format+"\n", args...)
}
