// Package scaling measures what the planned size costs: each figure at three
// sizes or more, with a line through them by least squares and the line's value
// at the planned size, beside its budget. The figures of docs/CAPACITY.md come
// from it.
package scaling

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"

	"bankshift/internal/lab/result"
)

// Env is what measurements need. The zero value of each time means its default.
type Env struct {
	Node       string        // path of the node's program
	Dir        string        // for configurations
	SettleTime time.Duration // from a node's start to its measurement; default 2 s
	Measure    time.Duration // for which a node is measured; default 10 s
	Bench      time.Duration // of each benchmark; default 500 ms
	Log        func(format string, args ...any)

	small      bool // sizes for tests
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

// servers are the sizes at which figures over servers are measured.
func (e *Env) servers() []int {
	return e.sizes([]int{60, 450, 1500, plannedServers}, []int{20, 40, 60})
}

// maxServers is the largest of servers.
func (e *Env) maxServers() int { return slices.Max(e.servers()) }

// tenants are the sizes at which figures over tenants are measured.
func (e *Env) tenants() []int { return e.sizes([]int{0, 5000, plannedTenants}, []int{0, 10, 20}) }

func (e *Env) sizes(full, small []int) []int {
	if e.small {
		return small
	}
	return full
}

// violation records why a measurement cannot be trusted.
func (e *Env) violation(format string, args ...any) {
	e.violations = append(e.violations, fmt.Sprintf(format, args...))
	e.log("  BROKEN: "+format, args...)
}

func (e *Env) log(format string, args ...any) {
	if e.Log != nil {
		e.Log(format, args...)
	}
}

// Measurement is one that can be requested by name.
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
	{"sighup", "a node's work and list traffic for one SIGHUP that moves discovery, by servers", reload},
	{"decide", "the decisions alone, by servers: tick, list change, request; and a list change before them", decisions},
	{"list", "a whole list by servers, and what it takes of the traffic budget of all nodes", wholeList},
	{"added", "what one real node adds to a request, by requests a second", addedLatency},
	{"registry", "what discovery sends, by nodes times list changes a second", registryBytes},
}

// Names of all measurements.
func Names() []string {
	var names []string
	for _, m := range All {
		names = append(names, m.Name)
	}
	return names
}

// Run makes the measurements of the given names, or all.
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

// figures makes the measurement and fits its lines.
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
