// Command bankshift-lab plays scale runs of the node on one machine: scenarios
// with hollow nodes or real processes, the agreement of the two, and the
// measurements behind docs/CAPACITY.md. Everything stays on loopback.
//
// It exits with 0 if all rules held, 1 if one did not, and 2 if it was used
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

	"github.com/alecthomas/kong"

	"bankshift/internal/lab/scaling"
)

const (
	exitOK        = 0
	exitViolation = 1
	exitError     = 2
)

// errViolation means that a rule did not hold. It has been printed.
var errViolation = errors.New("did not hold")

// commandLine is what kong parses.
type commandLine struct {
	Run    runCommand    `cmd:"" help:"Play a scenario and say whether it held."`
	Agree  agreeCommand  `cmd:"" help:"Play a scenario with hollow and with real nodes and compare."`
	Slopes slopesCommand `cmd:"" help:"Measure what the planned size costs: each figure at three sizes or more."`
}

const description = `Scale runs of the node on one machine, all on loopback.

Examples:

  bankshift-lab run scenarios/ordinary-small.toml

  bankshift-lab run scenarios/ordinary-small.toml --real --seed 7 --json run.json

  bankshift-lab agree scenarios/ordinary-small.toml

  bankshift-lab slopes --json slopes.json idle decide

Exit codes: 0 all held, 1 something did not, 2 wrong use or a run that could not be made.`

// output is where the commands write.
type output struct {
	stdout io.Writer
	stderr io.Writer
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], output{os.Stdout, os.Stderr})
	stop()
	os.Exit(code)
}

// exitCode is the panic by which kong's --help leaves run.
type exitCode int

// run is the program without its exit.
func run(ctx context.Context, args []string, o output) (code int) {
	var c commandLine
	parser, err := kong.New(&c,
		kong.Name("bankshift-lab"),
		kong.Description(description),
		kong.Writers(o.stdout, o.stderr),
		kong.Vars{"measurements": strings.Join(scaling.Names(), ", ")},
		kong.BindTo(ctx, (*context.Context)(nil)),
		kong.Bind(o),
		kong.Exit(func(code int) { panic(exitCode(code)) }))
	if err != nil {
		return o.fail(err)
	}
	defer func() {
		switch e := recover().(type) {
		case nil:
		case exitCode:
			code = int(e)
		default:
			panic(e)
		}
	}()
	command, err := parser.Parse(args)
	if err == nil {
		err = command.Run()
	}
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errViolation):
		return exitViolation
	}
	return o.fail(err)
}

// fail prints an error and returns the exit code for it.
func (o output) fail(err error) int {
	fmt.Fprintln(o.stderr, "bankshift-lab:", err)
	return exitError
}

// writeResult writes a result: its JSON to a file and the table to standard
// output, or with the file "-" the JSON to standard output.
func (o output) writeResult(file string, asJSON, asTable func(io.Writer) error) error {
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
