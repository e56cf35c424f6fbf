// Command bankshift-lab plays scale runs of the node on one machine: scenarios
// with hollow nodes or real processes, the agreement of the two, and the
// measurements behind docs/CAPACITY.md. Everything stays on loopback.
//
// It exits with 0 if all held, 1 if something did not, and 2 if it was used
// wrongly or could not run.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"bankshift/internal/lab/fleet"
	"bankshift/internal/lab/hollow"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scaling"
	"bankshift/internal/lab/scenario"
)

const (
	exitHeld  = 0
	exitBroke = 1
	exitUsage = 2
)

// errBroke says that something did not hold; it has been printed.
var errBroke = errors.New("did not hold")

type cli struct {
	Run    runCmd    `cmd:"" help:"Play a scenario and say whether it held."`
	Agree  agreeCmd  `cmd:"" help:"Play a scenario with hollow and with real nodes and compare."`
	Slopes slopesCmd `cmd:"" help:"Measure what the planned size costs: each figure at three sizes or more."`
}

type runCmd struct {
	Scenario string  `arg:"" type:"existingfile" help:"Scenario file."`
	Hollow   bool    `xor:"kind" help:"With hollow nodes on a virtual clock (the default)."`
	Real     bool    `xor:"kind" help:"With real processes on loopback."`
	Seed     *uint64 `help:"Instead of the scenario's."`
	JSON     string  `name:"json" placeholder:"FILE" help:"Write the result there too, - for standard output instead of the table."`
	Node     string  `type:"existingfile" placeholder:"PATH" help:"The node's program; built first if left out."`
}

type agreeCmd struct {
	Scenario string  `arg:"" type:"existingfile" help:"Scenario file."`
	Seed     *uint64 `help:"Instead of the scenario's."`
	Node     string  `type:"existingfile" placeholder:"PATH" help:"The node's program; built first if left out."`
}

type slopesCmd struct {
	What    []string      `arg:"" optional:"" help:"Measurements: ${measurements}. All if left out."`
	JSON    string        `name:"json" placeholder:"FILE" help:"Write every point there too, - for standard output instead of the table."`
	Node    string        `type:"existingfile" placeholder:"PATH" help:"The node's program; built first if left out."`
	Measure time.Duration `default:"10s" help:"For which a real node is watched at each size."`
}

const description = `Scale runs of the node on one machine, all on loopback.

Examples:

  bankshift-lab run scenarios/ordinary-small.toml

  bankshift-lab run scenarios/ordinary-small.toml --real --seed 7 --json run.json

  bankshift-lab agree scenarios/ordinary-small.toml

  bankshift-lab slopes --json slopes.json idle decide

Exit codes: 0 all held, 1 something did not, 2 wrong use or a run that could not be made.`

// out is where the commands write.
type out struct{ stdout, stderr io.Writer }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], out{os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

// run is the program, but for its exit.
func run(ctx context.Context, args []string, o out) (code int) {
	var c cli
	parser, err := kong.New(&c, kong.Name("bankshift-lab"), kong.Description(description), kong.Writers(o.stdout, o.stderr),
		kong.Vars{"measurements": strings.Join(scaling.Names(), ", ")}, kong.BindTo(ctx, (*context.Context)(nil)), kong.Bind(o),
		kong.Exit(func(code int) { panic(exit(code)) })) // after --help
	if err != nil {
		fmt.Fprintln(o.stderr, "bankshift-lab:", err)
		return exitUsage
	}
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exit:
			code = int(e)
		default:
			panic(e)
		}
	}()
	k, err := parser.Parse(args)
	if err == nil {
		err = k.Run()
	}
	switch {
	case err == nil:
		return exitHeld
	case errors.Is(err, errBroke):
		return exitBroke
	}
	fmt.Fprintln(o.stderr, "bankshift-lab:", err)
	return exitUsage
}

type exit int

func load(path string, seed *uint64) (*scenario.Scenario, error) {
	s, err := scenario.Load(path)
	if err == nil && seed != nil {
		s.Seed = *seed
	}
	return s, err
}

// write writes a result: its JSON to a file, or the table or the JSON to standard output.
func write(o out, file string, asJSON, asTable func(io.Writer) error) error {
	if file == "-" {
		return asJSON(o.stdout)
	}
	if file != "" {
		f, err := os.Create(file)
		if err != nil {
			return err
		}
		if err := errors.Join(asJSON(f), f.Close()); err != nil {
			return err
		}
	}
	return asTable(o.stdout)
}

func (c *runCmd) Run(ctx context.Context, o out) error {
	s, err := load(c.Scenario, c.Seed)
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
	if err := write(o, c.JSON, r.Write, r.Table); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errBroke
	}
	return nil
}

func (c *slopesCmd) Run(ctx context.Context, o out) error {
	dir, err := os.MkdirTemp("", "bankshift-lab-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	if c.Node == "" {
		if c.Node, err = fleet.Build(ctx, dir); err != nil {
			return err
		}
	}
	r, err := scaling.Run(ctx, &scaling.Env{Node: c.Node, Dir: dir, Measure: c.Measure,
		Log: func(format string, args ...any) { fmt.Fprintf(o.stderr, format+"\n", args...) }}, c.What...)
	if err != nil {
		return err
	}
	if err := write(o, c.JSON, r.Write, r.Table); err != nil {
		return err
	}
	if len(r.Violations) > 0 {
		return errBroke
	}
	for i := range r.Figures {
		if r.Figures[i].OverBudget() {
			return errBroke
		}
	}
	return nil
}
