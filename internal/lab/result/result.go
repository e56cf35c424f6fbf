// Package result holds what a run of the lab measured, as one JSON file and a
// table.
package result

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"runtime/debug"
	"time"

	"bankshift/internal/lab/scenario"
)

// The kinds of a run.
const (
	Hollow = "hollow"
	Real   = "real"
)

// Run is the result of one run. All of it but Version, Machine and Cost is the
// same whenever a hollow run is repeated with its seed.
type Run struct {
	Scenario string  `json:"scenario"`
	Kind     string  `json:"kind"`    // Hollow or Real
	Version  string  `json:"version"` // of the project, as the build knows it
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"` // measured, without the warm-up
	Nodes    int     `json:"nodes"`
	Servers  int     `json:"servers"`

	Requests   Requests           `json:"requests"`
	Latency    map[string]Latency `json:"latency"` // by class, and "all"; of served requests, from the intended time of sending
	Added      Latency            `json:"added"`   // by nodes to served requests: latency less network and server
	Control    Control            `json:"control"`
	Peaks      map[string]Peak    `json:"sums"`       // sums over the fleet in their worst seconds
	Crashes    int                `json:"falls"`      // of servers that warm up
	Recovery   float64            `json:"recovery_s"` // seconds, see FindRecovery; -1: not within the run
	Windows    []Window           `json:"windows"`    // second by second, warm-up included
	Events     []string           `json:"events"`     // with their times
	Violations []string           `json:"broken"`     // rules that were broken

	Machine Machine `json:"machine"`
	Cost    Cost    `json:"cost"`
}

// Requests counts requests by how they ended. A client's request and all its
// tries are one; it counts if its first try was to be sent after the warm-up.
type Requests struct {
	Offered         int `json:"offered"`
	Served          int `json:"served"`
	WithinObjective int `json:"in_aim"`
	Rejected        int `json:"refused"`
	Failed          int `json:"failed"`
	Lost            int `json:"lost"` // no response by the deadline and its slack

	Weight       float64 `json:"worth"`
	ServedWeight float64 `json:"served_worth"`

	Tries       int     `json:"tries"` // as the nodes received them
	Attempts    int     `json:"attempts"`
	Retries     int     `json:"further"`      // attempts after a try's first
	CrossZone   int     `json:"cross_zone"`   // attempts to another zone of the region
	CrossRegion int     `json:"cross_region"` // attempts to another region
	Wasted      float64 `json:"wasted"`       // fraction of the servers' work that no client got

	WithinQuota       int `json:"inside_shares"` // within their tenants' quotas over the fleet
	WithinQuotaServed int `json:"inside_served"` // of these
}

// Control is the list traffic after the warm-up.
type Control struct {
	Calls        int     `json:"calls"`        // of all nodes to discovery
	Bytes        int64   `json:"bytes"`        // both ways, headers included
	NodeRate     float64 `json:"node_rate"`    // bytes/s, mean node
	WorstRate    float64 `json:"worst_rate"`   // bytes/s, worst node over the run
	WorstSecond  int64   `json:"worst_second"` // bytes of all nodes in their worst second
	Snapshots    int     `json:"lists"`        // whole lists
	Changes      int     `json:"changes"`      // versions of the list made by the scenario
	Notification Latency `json:"told"`         // from a change until a node applied it
}

// Peak is a sum over the fleet in its worst second, beside its bound.
type Peak struct {
	Worst float64 `json:"worst"`
	Bound float64 `json:"bound"` // of that second; 0: none
	At    float64 `json:"at"`    // seconds since the start of the traffic
}

// Take keeps a second's value if it is worse: further beyond its bound, or
// larger where there is none.
func (p *Peak) Take(worst, bound float64, at time.Duration) {
	const noBound = 1e-9 // in place of a bound of 0; products avoid the division by it
	if worst > 0 && (p.Worst == 0 || worst*max(p.Bound, noBound) > p.Worst*max(bound, noBound)) {
		*p = Peak{worst, bound, at.Seconds()}
	}
}

// Window is one second. Requests count where their first try was to be sent.
type Window struct {
	Offered      int     `json:"offered"`
	Served       int     `json:"served"`
	Rejected     int     `json:"refused"`
	Failed       int     `json:"failed"` // lost ones included
	Attempts     int     `json:"attempts"`
	Weight       float64 `json:"worth"`
	ServedWeight float64 `json:"served_worth"`
}

// Machine is the machine of a run.
type Machine struct {
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	OS   string `json:"os"`
}

// ThisMachine describes the machine of this process.
func ThisMachine() Machine {
	return Machine{CPUs: runtime.NumCPU(), Go: runtime.Version(), OS: runtime.GOOS + "/" + runtime.GOARCH}
}

// Cost is what the run took of the machine; it is never the same twice.
type Cost struct {
	Seconds    float64 `json:"seconds"`      // of real time
	NodeCPU    float64 `json:"node_cpu"`     // cores a node: of real processes, else of the balancers
	NodeMemory int64   `json:"node_memory"`  // bytes, peak of the largest real node; hollow: heap a node
	EventTime  float64 `json:"module_event"` // mean seconds of a balancer's event; hollow
}

// New starts the result of a run of a scenario.
func New(s *scenario.Scenario, kind string) *Run {
	return &Run{
		Scenario:   s.Name,
		Kind:       kind,
		Version:    Version(),
		Seed:       s.Seed,
		Seconds:    (s.Length - s.Warmup).Seconds(),
		Nodes:      s.Fleet.Nodes,
		Servers:    s.Servers.Count,
		Latency:    map[string]Latency{},
		Peaks:      map[string]Peak{},
		Events:     []string{},
		Violations: []string{},
		Recovery:   notRecovered,
		Machine:    ThisMachine(),
	}
}

// Version is the revision that the build was made from, if it is known.
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	revision := info.Main.Version
	suffix := ""
	for _, s := range info.Settings {
		switch {
		case s.Key == "vcs.revision":
			revision = s.Value
		case s.Key == "vcs.modified" && s.Value == "true":
			suffix = "+changed"
		}
	}
	return revision + suffix
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

// ratio is a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
