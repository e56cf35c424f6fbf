// Package scaling measures the resource use and the latency of nodes, and the
// traffic of discovery, as functions of the deployment's size. It measures each
// figure at three sizes or more, fits a least-squares line, and compares the
// line's value at the planned size with the budget. The figures in
// docs/CAPACITY.md come from this package.
package scaling

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"bankshift/internal/lab/result"
)

// Env configures a run of measurements and collects its violations. A duration of
// 0 means its default.
type Env struct {
	Node       string                           // path of the node's executable
	Dir        string                           // directory for the nodes' configuration files
	SettleTime time.Duration                    // from a node's being ready to its measurement; default 2 s
	Measure    time.Duration                    // duration of each measurement of a node; default 10 s
	Bench      time.Duration                    // duration of each benchmark; default 500 ms
	Log        func(format string, args ...any) // receives progress messages; nil discards them

	small      bool // measure at small sizes, for tests
	violations []string
}

const (
	defaultSettleTime = 2 * time.Second
	defaultMeasure    = 10 * time.Second
	defaultBench      = 500 * time.Millisecond
)

func (e *Env) settleTime() time.Duration { return orDefault(e.SettleTime, defaultSettleTime) }
func (e *Env) measure() time.Duration    { return orDefault(e.Measure, defaultMeasure) }
func (e *Env) bench() time.Duration      { return orDefault(e.Bench, defaultBench) }

func orDefault(d, value time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return value
}

// servers returns the numbers of servers at which figures over servers are
// measured.
func (e *Env) servers() []int {
	return e.sizes([]int{60, 450, 1500, plannedServers}, []int{20, 40, 60})
}

// maxServers returns the largest number of servers that is measured.
func (e *Env) maxServers() int { return slices.Max(e.servers()) }

// tenants returns the numbers of tenants at which figures over tenants are
// measured.
func (e *Env) tenants() []int { return e.sizes([]int{0, 5000, plannedTenants}, []int{0, 10, 20}) }

func (e *Env) sizes(full, small []int) []int {
	if e.small {
		return small
	}
	return full
}

// recordViolation records why a measurement cannot be trusted.
func (e *Env) recordViolation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
	e.log("  BROKEN: "+format, args...)
}

func (e *Env) log(format string, args ...any) {
	if e.Log != nil {
		e.Log(format, args...)
	}
}

// Measurement is a group of figures that are measured together and selected by
// name.
type Measurement struct {
	Name  string
	About string // description for the log
	run   func(ctx context.Context, e *Env) ([]Figure, error)
}

// All lists the measurements, in the order of docs/CAPACITY.md.
var All = []Measurement{
	{"idle", "an idle node by servers, with lists pushed and requested on demand", idleByServers},
	{"tenants", "an idle node in front of 4,500 servers by tenants", idleByTenants},
	{"changes", "an idle node in front of 4,500 servers by list changes a second", idleByChanges},
	{"config", "size of a configuration and time to parse it, by servers and by tenants", configuration},
	{"sighup", "a node's processor time and list traffic for one SIGHUP that moves discovery, by servers", reload},
	{"decide", "time of the balancer for a tick, a list change and a request, and of discovery for a list change, by servers", decisions},
	{"list", "size of a whole list, its part of a node's traffic budget and the time to apply it, by servers; its bytes for all nodes", wholeList},
	{"added", "latency that one real node adds to a request, and its processor time, by requests a second", addedLatency},
	{"registry", "bytes that discovery sends and receives, by nodes times list changes a second", registryBytes},
}

// Names returns the names of all measurements.
func Names() []string {
	var names []string
	for _, m := range All {
		names = append(names, m.Name)
	}
	return names
}

// Run makes the measurements with the given names, or all if no name is given.
func Run(ctx context.Context, e *Env, names ...string) (*Report, error) {
	for _, n := range names {
		if !slices.Contains(Names(), n) {
			return nil, fmt.Errorf("scaling: unknown measurement %q, want %s", n, strings.Join(Names(), ", "))
		}
	}
	began := time.Now()
	e.violations = nil
	r := &Report{
		Started: began.UTC().Format(time.RFC3339),
		Machine: result.ThisMachine(),
		Threads: nodeThreads,
		Version: result.Version(),
		Figures: []Figure{},
	}
	for _, m := range All {
		if len(names) > 0 && !slices.Contains(names, m.Name) {
			continue
		}
		e.log("%s: %s", m.Name, m.About)
		figures, err := m.figures(ctx, e)
		if err != nil {
			return nil, err
		}
		r.Figures = append(r.Figures, figures...)
	}
	r.Violations = append([]string{}, e.violations...)
	r.Seconds = time.Since(began).Seconds()
	return r, nil
}

// figures makes the measurement and fits a line to each of its figures.
func (m Measurement) figures(ctx context.Context, e *Env) ([]Figure, error) {
	figures, err := m.run(ctx, e)
	if err != nil {
		return nil, fmt.Errorf("scaling: %s: %w", m.Name, err)
	}
	for i := range figures {
		figures[i].Command = "bankshift-lab slopes " + m.Name
		if err := figures[i].fit(); err != nil {
			return nil, err
		}
	}
	return figures, nil
}
