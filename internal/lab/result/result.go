// Package result keeps what a run of the lab measured, as one JSON file and a
// table.
package result

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"runtime"
	"runtime/debug"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"bankshift/internal/lab/scenario"
)

// The kinds of a run.
const (
	Hollow = "hollow"
	Real   = "real"
)

// Run is one run. All of it but Machine and Cost is the same whenever a hollow
// run is repeated with its seed.
type Run struct {
	Scenario string  `json:"scenario"`
	Kind     string  `json:"kind"`    // Hollow or Real
	Version  string  `json:"version"` // of the project, as the build knows it
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"` // measured, without the warm-up
	Nodes    int     `json:"nodes"`
	Servers  int     `json:"servers"`

	Requests   Requests           `json:"requests"`
	Latency    map[string]Latency `json:"latency"` // by class, and "all"; from the intended time of sending to the answer, if it was served
	Added      Latency            `json:"added"`   // what the node adds to served requests: latency less network and server
	Control    Control            `json:"control"`
	Peaks      map[string]Peak    `json:"sums"`       // over the fleet, worst second, beside their bounds
	Crashes    int                `json:"falls"`      // cold servers that fell over
	Recovery   float64            `json:"recovery_s"` // from the last event's end until served as before, see Recover; -1: not within the run
	Windows    []Window           `json:"windows"`    // second by second, warm-up included
	Events     []string           `json:"events"`     // as struck, with times
	Violations []string           `json:"broken"`     // what should have held and did not

	Machine Machine `json:"machine"`
	Cost    Cost    `json:"cost"`
}

// Requests counts by how they ended. A client's request and all its tries are
// one; it counts where its first try was to be sent, after the warm-up.
type Requests struct {
	Offered           int     `json:"offered"`
	Served            int     `json:"served"`
	WithinObjective   int     `json:"in_aim"`
	Rejected          int     `json:"refused"`
	Failed            int     `json:"failed"`
	Lost              int     `json:"lost"` // no answer by the deadline and its slack
	Weight            float64 `json:"worth"`
	ServedWeight      float64 `json:"served_worth"`
	Tries             int     `json:"tries"` // as the nodes got them
	Attempts          int     `json:"attempts"`
	Retries           int     `json:"further"`    // attempts after a try's first
	CrossZone         int     `json:"cross_zone"` // attempts to another zone of the region
	CrossRegion       int     `json:"cross_region"`
	Wasted            float64 `json:"wasted"`        // part of the servers' work that no client got
	WithinQuota       int     `json:"inside_shares"` // within their tenants' quotas over the fleet
	WithinQuotaServed int     `json:"inside_served"` // of these
}

// Latency is read off a Histogram; seconds.
type Latency struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean"`
	P50   float64 `json:"p50"`
	P90   float64 `json:"p90"`
	P99   float64 `json:"p99"`
	P999  float64 `json:"p99.9"`
	Max   float64 `json:"max"`
}

// Histogram takes times up to an hour, to three digits and a microsecond. It
// is not safe for concurrent use.
type Histogram struct{ h *hdrhistogram.Histogram }

// NewHistogram returns an empty one.
func NewHistogram() Histogram {
	return Histogram{hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

// Add counts a time; one below 0 counts as 0, and one over an hour as an hour.
func (h Histogram) Add(d time.Duration) {
	h.h.RecordValue(min(max(d, 0), time.Hour).Microseconds()) // no other value is an error
}

// Merge adds the counts of another.
func (h Histogram) Merge(from Histogram) { h.h.Merge(from.h) }

// Latency reads the histogram off.
func (h Histogram) Latency() Latency {
	at := func(p float64) float64 { return float64(h.h.ValueAtQuantile(p)) / 1e6 }
	l := Latency{Count: h.h.TotalCount(), P50: at(50), P90: at(90), P99: at(99), P999: at(99.9), Max: float64(h.h.Max()) / 1e6}
	if l.Count > 0 {
		l.Mean = h.h.Mean() / 1e6
	}
	return l
}

// Control is what it takes to know the servers, after the warm-up.
type Control struct {
	Calls        int     `json:"calls"`        // of all nodes to discovery
	Bytes        int64   `json:"bytes"`        // both ways, heads included
	NodeRate     float64 `json:"node_rate"`    // bytes/s, mean node
	WorstRate    float64 `json:"worst_rate"`   // bytes/s, worst node over the run
	WorstSecond  int64   `json:"worst_second"` // bytes of all nodes in their worst second
	Snapshots    int     `json:"lists"`        // whole ones
	Changes      int     `json:"changes"`      // versions of the list, struck by the scenario
	Notification Latency `json:"told"`         // from a change to a node's knowing of it
}

// Sum is a quantity that must be bounded over the fleet, in its worst second.
type Peak struct {
	Worst float64 `json:"worst"`
	Bound float64 `json:"bound"` // of that second; 0: none is stated
	At    float64 `json:"at"`    // s, since the start of the traffic
}

// Take keeps a second's value if it is worse: further beyond its bound, or
// larger where none is stated.
func (s *Peak) Take(worst, bound float64, at time.Duration) {
	// Products, as a bound may be 0.
	if worst > 0 && (s.Worst == 0 || worst*max(s.Bound, 1e-9) > s.Worst*max(bound, 1e-9)) {
		*s = Peak{worst, bound, at.Seconds()}
	}
}

// Window is one second. Requests count where their first try was to be sent.
type Window struct {
	Offered      int     `json:"offered"`
	Served       int     `json:"served"`
	Rejected     int     `json:"refused"`
	Failed       int     `json:"failed"` // lost ones too
	Attempts     int     `json:"attempts"`
	Weight       float64 `json:"worth"`
	ServedWeight float64 `json:"served_worth"`
}

// Machine is where it ran.
type Machine struct {
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	OS   string `json:"os"`
}

// ThisMachine describes the machine of this process.
func ThisMachine() Machine {
	return Machine{CPUs: runtime.NumCPU(), Go: runtime.Version(), OS: runtime.GOOS + "/" + runtime.GOARCH}
}

// Cost is what the run took of the machine: never the same twice.
type Cost struct {
	Seconds    float64 `json:"seconds"`      // of real time
	NodeCPU    float64 `json:"node_cpu"`     // seconds of processor time a node and second: real processes, else the module's events
	NodeMemory int64   `json:"node_memory"`  // bytes, peak of the largest real node; hollow: heap a node
	EventTime  float64 `json:"module_event"` // seconds a module event, mean; hollow
}

// New starts the result of a run of a scenario.
func New(s *scenario.Scenario, kind string) *Run {
	return &Run{Scenario: s.Name, Kind: kind, Version: version(), Seed: s.Seed, Seconds: (s.Length - s.Warmup).Seconds(),
		Nodes: s.Fleet.Nodes, Servers: s.Servers.Count, Latency: map[string]Latency{}, Peaks: map[string]Peak{},
		Events: []string{}, Violations: []string{}, Recovery: -1, Machine: ThisMachine()}
}

// version is the revision that the build was made from, if it knows.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v, changed := info.Main.Version, ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			v = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			changed = "+changed"
		}
	}
	return v + changed
}

// recovered is the part of the worth before the first event that counts as
// served as before.
const recoveredFraction = 0.9

// Recover finds Recovery in the windows: the first second, not before the last
// event's end, that and behind which another second serve nine tenths of the
// part of the worth that was served between warm-up and first event.
func (r *Run) FindRecovery(s *scenario.Scenario) {
	r.Recovery = -1
	if len(s.Events) == 0 {
		r.Recovery = 0
		return
	}
	first := s.Length.Std()
	for _, e := range s.Events {
		first = min(first, e.At.Std())
	}
	part := func(from, to int) float64 {
		worth, served := 0.0, 0.0
		for _, w := range r.Windows[max(0, from):min(to, len(r.Windows))] {
			worth, served = worth+w.Weight, served+w.ServedWeight
		}
		if worth == 0 {
			return 1
		}
		return served / worth
	}
	from, to := int(s.Warmup.Std()/time.Second), int(first/time.Second)
	if from >= to {
		from = 0 // an event in the warm-up leaves only what is before it
	}
	want, end := recoveredFraction*part(from, to), s.LastEventEnd()
	for i := int(end / time.Second); i+1 < len(r.Windows); i++ {
		if part(i, i+1) >= want && part(i+1, i+2) >= want {
			r.Recovery = max(0, (time.Duration(i)*time.Second - end).Seconds())
			return
		}
	}
}

// Check adds to Broken what the scenario wants to hold and does not.
func (r *Run) CheckBounds(h scenario.Bounds) {
	broken := func(format string, args ...any) {
		r.Violations = append(r.Violations, "holds: "+fmt.Sprintf(format, args...))
	}
	if part := ratio(r.Requests.ServedWeight, r.Requests.Weight); h.Served > 0 && part < h.Served {
		broken("%.4f of the worth is served, want %.4f", part, h.Served)
	}
	if a := ratio(float64(r.Requests.Attempts), float64(r.Requests.Offered)); h.Attempts > 0 && a > h.Attempts {
		broken("%.3f attempts a request, want at most %.3f", a, h.Attempts)
	}
	if p := r.Latency["all"].P99; h.P99 > 0 && p > h.P99.Seconds() {
		broken("the 99th percentile of latency is %.4f s, want at most %v", p, h.P99)
	}
	if h.ListRate > 0 && r.Control.NodeRate > h.ListRate {
		broken("a node's list traffic is %.0f bytes/s, want at most %.0f", r.Control.NodeRate, h.ListRate)
	}
	if h.WorstListRate > 0 && r.Control.WorstRate > h.WorstListRate {
		broken("the worst node's list traffic is %.0f bytes/s, want at most %.0f", r.Control.WorstRate, h.WorstListRate)
	}
	if h.Recovery > 0 && (r.Recovery < 0 || r.Recovery > h.Recovery.Seconds()) {
		broken("recovery took %.0f s (-1: longer than the run), want at most %v", r.Recovery, h.Recovery)
	}
	if h.Crashes != nil && r.Crashes > *h.Crashes {
		broken("%d cold servers fell over, want at most %d", r.Crashes, *h.Crashes)
	}
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}

// Write writes the run as JSON.
func (r *Run) Write(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	if err := e.Encode(r); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}

// Table writes the run for people to read.
func (r *Run) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	q, c := r.Requests, r.Control
	offered := float64(q.Offered)
	fmt.Fprintf(t, "%s\t%s, version %s, seed %d\n", r.Scenario, r.Kind, r.Version, r.Seed)
	fmt.Fprintf(t, "fleet\t%d nodes, %d servers, %.1f s\n", r.Nodes, r.Servers, r.Seconds)
	fmt.Fprintf(t, "requests\t%d: %.4f served, %.4f in aim, %.4f refused, %.4f failed, %d lost\n", q.Offered,
		ratio(float64(q.Served), offered), ratio(float64(q.WithinObjective), offered), ratio(float64(q.Rejected), offered),
		ratio(float64(q.Failed), offered), q.Lost)
	fmt.Fprintf(t, "worth\t%.4f served; %.4f of the servers' work wasted\n", ratio(q.ServedWeight, q.Weight), q.Wasted)
	fmt.Fprintf(t, "attempts\t%.4f a request, %.4f further; %.4f cross zones, %.4f regions\n", ratio(float64(q.Attempts), offered),
		ratio(float64(q.Retries), offered), ratio(float64(q.CrossZone), float64(q.Attempts)), ratio(float64(q.CrossRegion), float64(q.Attempts)))
	if q.WithinQuota > 0 {
		fmt.Fprintf(t, "tenants\t%.4f of requests inside shares, of these %.4f served\n", ratio(float64(q.WithinQuota), offered),
			ratio(float64(q.WithinQuotaServed), float64(q.WithinQuota)))
	}
	fmt.Fprintf(t, "lists\t%d calls, %.0f bytes/s a node, worst %.0f, worst second %d bytes in all; %d whole, %d changes\n",
		c.Calls, c.NodeRate, c.WorstRate, c.WorstSecond, c.Snapshots, c.Changes)
	fmt.Fprintf(t, "recovery\t%.0f s; %d cold servers fell over\n", r.Recovery, r.Crashes)
	fmt.Fprintf(t, "cost\t%.1f s, a node %.4f of a core and %.1f MB, %.1f µs an event\n", r.Cost.Seconds, r.Cost.NodeCPU,
		float64(r.Cost.NodeMemory)/1e6, r.Cost.EventTime*1e6)
	fmt.Fprintf(t, "\nms\tcount\tmean\t50 %%\t90 %%\t99 %%\t99.9 %%\tmost\n")
	line := func(name string, l Latency) {
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\t%.2f\n", name, l.Count, l.Mean*1e3, l.P50*1e3, l.P90*1e3, l.P99*1e3, l.P999*1e3, l.Max*1e3)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Latency)) {
		line(name, r.Latency[name])
	}
	line("added by nodes", r.Added)
	line("told of changes", c.Notification)
	if len(r.Peaks) > 0 {
		fmt.Fprintf(t, "\nworst second\tvalue\tbound\tat s\n")
		for _, name := range slices.Sorted(maps.Keys(r.Peaks)) {
			s := r.Peaks[name]
			fmt.Fprintf(t, "%s\t%.2f\t%.2f\t%.0f\n", name, s.Worst, s.Bound, s.At)
		}
	}
	for _, e := range r.Events {
		fmt.Fprintf(t, "event\t%s\n", e)
	}
	for _, b := range r.Violations {
		fmt.Fprintf(t, "BROKEN\t%s\n", b)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("result: %w", err)
	}
	return nil
}
