package scaling

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"

	"bankshift/internal/lab/result"
)

// Report is the result of a run of measurements.
type Report struct {
	Started    string         `json:"started"` // date and time in UTC, RFC 3339
	Seconds    float64        `json:"seconds"` // duration of the run
	Version    string         `json:"version"`
	Machine    result.Machine `json:"machine"`
	Threads    int            `json:"node_gomaxprocs"` // GOMAXPROCS of the real nodes
	Figures    []Figure       `json:"figures"`
	Violations []string       `json:"broken"` // measurements that cannot be trusted, and why
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

// Table writes the report as a plain-text table.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "quantity\tunit\tover\tpoints\tslope\tintercept\tr²\tplanned\tthere\tbudget\tpart\tmechanism")
	for i := range r.Figures {
		fmt.Fprintln(t, r.Figures[i].row())
	}
	fmt.Fprintf(t, "\n%d CPUs, %s, %s; nodes with GOMAXPROCS=%d; version %s; %.0f s\n", r.Machine.CPUs, r.Machine.Go, r.Machine.OS, r.Threads,
		r.Version, r.Seconds)
	for _, v := range r.Violations {
		fmt.Fprintf(t, "BROKEN\t%s\n", v)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("scaling: %w", err)
	}
	return nil
}

// row returns the figure's row of the table, with tabs between the cells.
func (f *Figure) row() string {
	var points []string
	for _, p := range f.Points {
		points = append(points, formatNumber(p.X)+": "+formatNumber(p.Y))
	}
	budget := "-"
	part := "-"
	if f.Budget > 0 {
		budget = formatNumber(f.Budget)
		part = formatNumber(100*f.AtPlanned/f.Budget) + " %"
	}
	if f.OverBudget() {
		part += " OVER"
	}
	return strings.Join([]string{
		f.Name, f.Unit, f.Over, strings.Join(points, ", "),
		formatNumber(f.Slope), formatNumber(f.Intercept), strconv.FormatFloat(f.R2, 'f', 3, 64),
		formatNumber(f.Planned), formatNumber(f.AtPlanned), budget, part, f.Mechanism,
	}, "\t")
}

// formatNumber formats whole numbers, and all numbers from 100 on, without
// decimals, and others with three significant digits.
func formatNumber(v float64) string {
	const maxWhole = 1e6
	if math.Abs(v) >= 100 || v == math.Trunc(v) && math.Abs(v) < maxWhole {
		return strconv.FormatFloat(v, 'f', 0, 64)
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
