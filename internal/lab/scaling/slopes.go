// Package scaling measures what the planned size costs: each figure at three
// sizes or more, with a line through them by least squares and what that gives
// at the planned size, beside its budget. It is where the figures of
// docs/CAPACITY.md come from.
package scaling

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"

	"bankshift/internal/lab/result"
)

// The operators' plan, and what it grants a node.
const (
	plannedNodes   = 450
	plannedServers = 4500
	plannedTenants = 20000
	plannedRate    = 180  // requests a second at a node: 81,000 over 450
	plannedChanges = 1000 // of the configuration, a day

	budgetCPU    = 3.1  // % of a core
	budgetMemory = 256  // MB
	budgetBytes  = 3000 // a second
	budgetAdded  = 4.6  // ms, for 99 in 100
	budgetForce  = 4000 // ms until a configuration is in force everywhere
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Figure is a quantity measured at several sizes.
type Figure struct {
	Name      string  `json:"name"`
	Unit      string  `json:"unit"`
	Over      string  `json:"over"`      // what X is
	Planned   float64 `json:"planned"`   // of X
	Budget    float64 `json:"budget"`    // of Y at the planned size; 0: none is stated
	Mechanism string  `json:"mechanism"` // file and function that carry it
	Note      string  `json:"note,omitempty"`
	Command   string  `json:"command"` // that measures it again
	Points    []Point `json:"points"`

	// The line through the points, and what it gives at the planned size.
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"` // of 1: all points on the line; 1 where they do not differ
	AtPlanned float64 `json:"at_planned"`
}

// leastPoints is how many sizes a slope takes.
const minPoints = 3

// fit draws the line.
func (f *Figure) fit() error {
	xs, ys := map[float64]bool{}, []float64{}
	var x []float64
	for _, p := range f.Points {
		if math.IsNaN(p.Y) || math.IsInf(p.Y, 0) {
			return fmt.Errorf("scaling: %s: no value at %v", f.Name, p.X)
		}
		xs[p.X] = true
		x, ys = append(x, p.X), append(ys, p.Y)
	}
	if len(xs) < minPoints {
		return fmt.Errorf("scaling: %s: measured at %d sizes, want %d", f.Name, len(xs), minPoints)
	}
	f.Intercept, f.Slope = stat.LinearRegression(x, ys, nil, false)
	f.R2 = 1
	if slices.Min(ys) < slices.Max(ys) {
		f.R2 = stat.RSquared(x, ys, nil, f.Intercept, f.Slope)
	}
	f.AtPlanned = f.Intercept + f.Slope*f.Planned
	return nil
}

// OverBudget tells whether the line passes the budget at the planned size.
func (f *Figure) OverBudget() bool { return f.Budget > 0 && f.AtPlanned > f.Budget }

// Env is what measurements need.
type Env struct {
	Node    string        // the node's program
	Dir     string        // for configurations
	Rest    time.Duration // that a node gets after its start; 0: 2 s
	Measure time.Duration // for which a node is watched; 0: 10 s
	Bench   time.Duration // that each benchmark takes; 0: 500 ms
	Log     func(format string, args ...any)
	small   bool // a test's sizes

	violations []string
}

// broke notes that a measurement cannot be trusted.
func (e *Env) violation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
	e.log("  BROKEN: "+format, args...)
}

func (e *Env) log(format string, args ...any) {
	if e.Log != nil {
		e.Log(format, args...)
	}
}

// Measurement is one that can be asked for by name.
type Measurement struct {
	Name  string
	About string
	run   func(ctx context.Context, e *Env) ([]Figure, error)
}

// All measurements, in the order of the page.
var All = []Measurement{
	{"idle", "an idle node by servers, lists pushed and asked for", idleByServers},
	{"tenants", "an idle node before 4,500 servers by tenants", idleByTenants},
	{"changes", "an idle node before 4,500 servers by list changes a second", idleByChanges},
	{"config", "size of a configuration and time to read it, by servers and by tenants", configuration},
	{"sighup", "a node's work and list traffic for one SIGHUP that moves discovery, by servers", sighup},
	{"decide", "the decisions alone, by servers: tick, list change, request; and a list change before them", decisions},
	{"list", "a whole list by servers, and what it takes of the traffic budget of all nodes", wholeList},
	{"added", "what one real node adds to a request, by requests a second", addedLatency},
	{"registry", "what discovery sends, by nodes times list changes a second", registryBytes},
}

// Report is what a run of measurements found.
type Report struct {
	Started    string         `json:"started"` // time of day, RFC 3339
	Seconds    float64        `json:"seconds"`
	Version    string         `json:"version"`
	Machine    result.Machine `json:"machine"`
	Threads    int            `json:"node_gomaxprocs"` // of the real nodes
	Figures    []Figure       `json:"figures"`
	Violations []string       `json:"broken"` // measurements that cannot be trusted, and why
}

// Run makes the measurements of the given names, or all.
func Run(ctx context.Context, e *Env, names ...string) (*Report, error) {
	for _, n := range names {
		if !slices.ContainsFunc(All, func(m Measurement) bool { return m.Name == n }) {
			return nil, fmt.Errorf("scaling: unknown measurement %q, want %s", n, strings.Join(Names(), ", "))
		}
	}
	began := time.Now()
	e.violations = nil
	base := plannedScenario(plannedNodes, plannedServers)
	r := &Report{Started: began.UTC().Format(time.RFC3339), Machine: result.ThisMachine(), Threads: nodeThreads,
		Version: result.New(base, result.Real).Version, Figures: []Figure{}}
	for _, m := range All {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		e.log("%s: %s", m.Name, m.About)
		figures, err := m.run(ctx, e)
		if err != nil {
			return nil, fmt.Errorf("scaling: %s: %w", m.Name, err)
		}
		for _, f := range figures {
			f.Command = "bankshift-lab slopes " + m.Name
			if err := f.fit(); err != nil {
				return nil, err
			}
			r.Figures = append(r.Figures, f)
		}
	}
	r.Violations = append([]string{}, e.violations...)
	r.Seconds = time.Since(began).Seconds()
	return r, nil
}

// Names of all measurements.
func Names() []string {
	var out []string
	for _, m := range All {
		out = append(out, m.Name)
	}
	return out
}

// Write writes the report as JSON.
func (r *Report) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("scaling: %w", err)
	}
	return nil
}

// Table writes the report for people to read.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tunit\tover\tpoints\tslope\tintercept\tr²\tplanned\tthere\tbudget\tpart\tmechanism")
	for _, f := range r.Figures {
		var points []string
		for _, p := range f.Points {
			points = append(points, formatNumber(p.X)+": "+formatNumber(p.Y))
		}
		budget, part := "-", "-"
		if f.Budget > 0 {
			budget, part = formatNumber(f.Budget), formatNumber(100*f.AtPlanned/f.Budget)+" %"
		}
		if f.OverBudget() {
			part += " OVER"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t%s\t%s\t%s\t%s\n", f.Name, f.Unit, f.Over, strings.Join(points, ", "),
			formatNumber(f.Slope), formatNumber(f.Intercept), f.R2, formatNumber(f.Planned), formatNumber(f.AtPlanned), budget, part, f.Mechanism)
	}
	fmt.Fprintf(t, "\n%d CPUs, %s, %s; nodes with GOMAXPROCS=%d; version %s; %.0f s\n", r.Machine.CPUs, r.Machine.Go, r.Machine.OS, r.Threads,
		r.Version, r.Seconds)
	for _, b := range r.Violations {
		fmt.Fprintf(t, "BROKEN\t%s\n", b)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("scaling: %w", err)
	}
	return nil
}

// number writes three digits, and whole ones where there are more.
func formatNumber(v float64) string {
	if math.Abs(v) >= 100 || v == math.Trunc(v) && math.Abs(v) < 1e6 {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
