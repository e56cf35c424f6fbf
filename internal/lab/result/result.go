// Package result defines what a run of the lab measures, and writes it as JSON and
// as a table.
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

// Values of Run.Kind: a run with hollow nodes on a virtual clock, or with real
// processes.
const (
	Hollow = "hollow"
	Real   = "real"
)

// Run is the result of one run. A hollow run that is repeated with the same seed
// gives the same result, except for Version, Machine and Cost.
type Run struct {
	Scenario string  `json:"scenario"`
	Kind     string  `json:"kind"`    // Hollow or Real
	Version  string  `json:"version"` // of the source; see func Version
	Seed     uint64  `json:"seed"`
	Seconds  float64 `json:"seconds"` // measured time, without the warm-up
	Nodes    int     `json:"nodes"`
	Servers  int     `json:"servers"`

	Requests Requests           `json:"requests"`
	Latency  map[string]Latency `json:"latency"` // of served requests, from the intended send time; by class, and "all"
	// AddedLatency is the latency that nodes added to served requests: their latency
	// less the time at the server and, in hollow runs, less the time in the network.
	AddedLatency Latency         `json:"added"`
	ListTraffic  ListTraffic     `json:"control"`
	Peaks        map[string]Peak `json:"sums"`       // sums over the fleet in their worst seconds, by name
	Crashes      int             `json:"falls"`      // of servers during their warm-up, by overload
	Recovery     float64         `json:"recovery_s"` // seconds; -1: not within the run; see FindRecovery
	Windows      []Window        `json:"windows"`    // one for each second, warm-up included
	Events       []string        `json:"events"`     // descriptions, with their times
	Violations   []string        `json:"broken"`     // descriptions of violated rules

	Machine Machine `json:"machine"`
	Cost    Cost    `json:"cost"`
}

// Requests counts requests by their outcome. All tries of a client's request count
// as one request; it counts if its first try was due after the warm-up.
type Requests struct {
	Offered         int `json:"offered"`
	Served          int `json:"served"`
	WithinObjective int `json:"in_aim"` // served within the latency objective of their class
	Rejected        int `json:"refused"`
	Failed          int `json:"failed"`
	Lost            int `json:"lost"` // no response by the deadline and a slack

	Weight       float64 `json:"worth"`        // sum of the offered requests' priority weights
	ServedWeight float64 `json:"served_worth"` // of served requests; past the objective, a fraction of the weight

	Tries       int     `json:"tries"`        // sent by clients; hollow: without those that found no node available
	Attempts    int     `json:"attempts"`     // from nodes to servers; real: only those that reached a server
	Retries     int     `json:"further"`      // attempts after the first of each try
	CrossZone   int     `json:"cross_zone"`   // attempts to another zone of the region
	CrossRegion int     `json:"cross_region"` // attempts to another region
	Wasted      float64 `json:"wasted"`       // fraction of the servers' work whose result no client got

	WithinQuota       int `json:"inside_shares"` // requests within their tenant's quota for the whole fleet
	WithinQuotaServed int `json:"inside_served"` // the served ones among WithinQuota
}

// ListTraffic describes the list traffic between nodes and discovery after the
// warm-up.
type ListTraffic struct {
	Calls            int     `json:"calls"`        // from all nodes to discovery
	Bytes            int64   `json:"bytes"`        // in both directions, headers included
	NodeRate         float64 `json:"node_rate"`    // bytes/s, mean of the nodes
	WorstRate        float64 `json:"worst_rate"`   // bytes/s, mean over the run of the node with the most
	WorstSecond      int64   `json:"worst_second"` // bytes of all nodes in their worst second
	Snapshots        int     `json:"lists"`        // responses with a whole list
	Changes          int     `json:"changes"`      // list versions that the scenario's events created
	PropagationDelay Latency `json:"told"`         // time from a change until a node applied it; hollow
}

// Peak is the value of a sum over the fleet in its worst second, and its bound.
type Peak struct {
	Worst float64 `json:"worst"`
	Bound float64 `json:"bound"` // in the same second; 0: none
	At    float64 `json:"at"`    // seconds since the start of the traffic
}

// Observe records the value and bound of a second if they are worse than the
// recorded ones: if the value is larger in proportion to its bound, or larger where
// there is no bound.
func (p *Peak) Observe(worst, bound float64, at time.Duration) {
	const noBound = 1e-9 // replaces a bound of 0; comparing products avoids a division
	if worst > 0 && (p.Worst == 0 || worst*max(p.Bound, noBound) > p.Worst*max(bound, noBound)) {
		*p = Peak{worst, bound, at.Seconds()}
	}
}

// Window counts the requests whose first try was due in one second of the traffic.
type Window struct {
	Offered      int     `json:"offered"`
	Served       int     `json:"served"`
	Rejected     int     `json:"refused"`
	Failed       int     `json:"failed"` // real: lost requests included
	Attempts     int     `json:"attempts"`
	Weight       float64 `json:"worth"`
	ServedWeight float64 `json:"served_worth"`
}

// Machine describes the machine on which a run was made.
type Machine struct {
	CPUs int    `json:"cpus"`
	Go   string `json:"go"`
	OS   string `json:"os"`
}

// ThisMachine describes the machine of this process.
func ThisMachine() Machine {
	return Machine{CPUs: runtime.NumCPU(), Go: runtime.Version(), OS: runtime.GOOS + "/" + runtime.GOARCH}
}

// Cost is what the run used of the machine. It differs from run to run.
type Cost struct {
	Seconds    float64 `json:"seconds"`      // wall-clock time
	NodeCPU    float64 `json:"node_cpu"`     // cores per node: used by the process; hollow: by the balancer alone
	NodeMemory int64   `json:"node_memory"`  // bytes: peak of the largest process; hollow: heap per node
	EventTime  float64 `json:"module_event"` // mean seconds per event of a balancer; hollow
}

// New returns the result of a run of a scenario before its measurements. kind is
// Hollow or Real.
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

// Version returns the revision from which this program was built, with the suffix
// "+changed" if the source had uncommitted changes; "unknown" without build
// information.
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

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
