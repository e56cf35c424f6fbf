// Command bankshift-lab tests fleets of nodes on one machine. It runs scenarios with
// hollow nodes or with real processes, compares the two, and makes the measurements
// for docs/CAPACITY.md. All network traffic stays on loopback.
//
// The exit code is 0 if everything held, 1 if a rule, a tolerance or a budget was
// violated or a measurement cannot be trusted, and 2 for wrong usage or a run that
// could not be made.
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

// errViolation means that a rule, a tolerance or a budget was violated, or that a
// measurement cannot be trusted. The command has already printed which.
var errViolation = errors.New("a rule, a tolerance or a budget was violated, or a measurement cannot be trusted")

// commandLine defines the commands and flags for kong.
type commandLine struct {
	Run    runCommand    `cmd:"" help:"Run a scenario and check its rules."`
	Agree  agreeCommand  `cmd:"" help:"Run a scenario with hollow and with real nodes and compare the results."`
	Slopes slopesCommand `cmd:"" help:"Measure resource use and latency at three sizes or more, and extrapolate to the planned size."`
}

const description = `Tests fleets of nodes on one machine, all on loopback.

Examples:

  bankshift-lab run scenarios/ordinary-small.toml

  bankshift-lab run scenarios/ordinary-small.toml --real --seed 7 --json run.json

  bankshift-lab agree scenarios/ordinary-small.toml

  bankshift-lab slopes --json slopes.json idle decide

Exit codes: 0 everything held, 1 a rule, a tolerance or a budget was violated or a measurement cannot be trusted,
2 wrong usage or a run that could not be made.`

// output holds the streams to which the commands write.
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

// exitCode is the value of the panic by which kong's exit, as after --help, leaves
// run.
type exitCode int

// run executes the program with the given arguments and returns its exit code.
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

// fail prints an error to standard error and returns exitError.
func (o output) fail(err error) int {
	fmt.Fprintln(o.stderr, "bankshift-lab:", err)
	return exitError
}

// writeResult writes a result's table to standard output and, unless file is empty,
// its JSON to file. With the file "-", it writes only the JSON, to standard output.
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
