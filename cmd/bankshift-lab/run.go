package main

import (
	"context"

	"bankshift/internal/lab/fleet"
	"bankshift/internal/lab/hollow"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

type runCommand struct {
	Scenario string  `arg:"" type:"existingfile" help:"Scenario file."`
	Hollow   bool    `xor:"kind" help:"With hollow nodes on a virtual clock (the default)."`
	Real     bool    `xor:"kind" help:"With real processes on loopback."`
	Seed     *uint64 `help:"Seed to use instead of the scenario's."`
	JSON     string  `name:"json" placeholder:"FILE" help:"Also write the result as JSON to this file; - writes it to standard output instead of the table."`
	Node     string  `type:"existingfile" placeholder:"PATH" help:"The node's executable; built first if omitted."`
}

// Run runs a scenario and writes its result. It returns errViolation if the run
// violated a rule.
func (c *runCommand) Run(ctx context.Context, o output) error {
	s, err := loadScenario(c.Scenario, c.Seed)
	if err != nil {
		return err
	}
	var r *result.Run
	if c.Real {
		r, err = fleet.Run(ctx, s, fleet.Options{Node: c.Node})
	} else {
		r, err = hollow.Run(ctx, s)
	}
	if err != nil {
		return err
	}
	if err := o.writeResult(c.JSON, r.Write, r.Table); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errViolation
	}
	return nil
}

// loadScenario reads a scenario file. A seed that is not nil replaces the file's.
func loadScenario(path string, seed *uint64) (*scenario.Scenario, error) {
	s, err := scenario.Load(path)
	if err == nil && seed != nil {
		s.Seed = *seed
	}
	return s, err
}
