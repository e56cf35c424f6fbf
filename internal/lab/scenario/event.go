package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Event is an injected fault or a planned operation.
type Event struct {
	At       Duration `toml:"at"`   // since the start of the traffic
	Duration Duration `toml:"for"`  // time after which it ends by itself
	Spread   Duration `toml:"over"` // time over which its steps are spread evenly
	Action   Action   `toml:"do"`
	Fraction float64  `toml:"part"`   // fraction of the servers or nodes that it affects; 0: all
	Zone     string   `toml:"zone"`   // zone that it is limited to; "": no limit
	Region   string   `toml:"region"` // region that it is limited to; "": no limit
	Count    int      `toml:"count"`  // number of servers or nodes, instead of Fraction; with ChangeLists, of changes
	Factor   float64  `toml:"by"`     // multiplier of SlowServers and Burst
}

// Action is what an Event does.
type Action string

// Actions have the same effect with real processes and with hollow nodes; only
// PartitionNetwork works with hollow nodes alone. A server that is killed, hangs
// or is disconnected stays in the endpoint list unchanged; when it starts again,
// the start is published at once. A server that DrainServers lists as draining
// still serves. The end of an event applies to the servers that it began with, not
// to their successors.
const (
	RestartServers Action = "restart-servers" // servers are killed and start again after Duration
	// Servers are drained and, after twice the drain grace, removed; successors
	// with new names start in their place and warm up.
	ReplaceServers    Action = "replace-servers"
	DrainServers      Action = "drain-servers" // servers are listed as draining for Duration, then as ready
	HangServers       Action = "hang-servers"  // servers accept requests but answer none for Duration
	SlowServers       Action = "slow-servers"  // servers take Factor times as long for Duration
	FailServers       Action = "fail-servers"  // servers answer 500 for Duration
	DisconnectServers Action = "lose-servers"  // servers are disconnected for Duration, then start again
	// For Duration, nodes and servers in Zone or Region reach only each other, and
	// the nodes do not reach discovery.
	PartitionNetwork Action = "cut"
	KillNodes        Action = "kill-nodes"       // nodes are killed and start again after Fleet.RestartTime
	RestartNodes     Action = "restart-nodes"    // nodes shut down gracefully and start again after Fleet.RestartTime
	ChangeLists      Action = "change-lists"     // Count changes of listed weights, spread over Spread
	DiscoveryDown    Action = "discovery-down"   // discovery refuses calls for Duration
	DiscoverySilent  Action = "discovery-silent" // discovery accepts calls but answers none for Duration
	ResetWatches     Action = "watches-break"    // discovery resets all open watches
	Burst            Action = "burst"            // the traffic rate is multiplied by Factor for Duration
)

// Actions lists all actions.
var Actions = []Action{
	RestartServers, ReplaceServers, DrainServers, HangServers, SlowServers, FailServers, DisconnectServers, PartitionNetwork,
	KillNodes, RestartNodes, ChangeLists, DiscoveryDown, DiscoverySilent, ResetWatches, Burst,
}

// actionRule says what an action affects, and which fields of the event it
// requires besides At.
type actionRule struct {
	servers     bool // each step affects one server
	nodes       bool // each step affects one node
	hasDuration bool
	hasFactor   bool
	hasLocation bool // Zone or Region
}

var actionRules = map[Action]actionRule{
	RestartServers:    {servers: true, hasDuration: true},
	ReplaceServers:    {servers: true},
	DrainServers:      {servers: true, hasDuration: true},
	HangServers:       {servers: true, hasDuration: true},
	SlowServers:       {servers: true, hasDuration: true, hasFactor: true},
	FailServers:       {servers: true, hasDuration: true},
	DisconnectServers: {servers: true, hasDuration: true},
	PartitionNetwork:  {hasDuration: true, hasLocation: true},
	KillNodes:         {nodes: true},
	RestartNodes:      {nodes: true},
	ChangeLists:       {servers: true},
	DiscoveryDown:     {hasDuration: true},
	DiscoverySilent:   {hasDuration: true},
	ResetWatches:      {},
	Burst:             {hasDuration: true, hasFactor: true},
}

// noIndex is the index of a Step that affects no single server or node.
const noIndex = -1

// Step is one step of an event.
type Step struct {
	At    time.Duration // since the start of the traffic
	Until time.Duration // when it ends by itself, 0 if it does not
	Index int           // of the affected server or node; -1: the step affects no single one
}

// Steps returns the steps of event i, sorted by time. The scenario's seed
// determines which servers or nodes it affects.
func (s *Scenario) Steps(i int) []Step {
	e := s.Events[i]
	rule := actionRules[e.Action]
	at := e.At.Std()
	until := time.Duration(0)
	if rule.hasDuration {
		until = at + e.Duration.Std()
	}
	if !rule.servers && !rule.nodes {
		return []Step{{At: at, Until: until, Index: noIndex}}
	}
	affected := s.candidates(e)
	rng := rand.New(rand.NewPCG(s.Seed, uint64(i)))
	rng.Shuffle(len(affected), func(a, b int) { affected[a], affected[b] = affected[b], affected[a] })
	steps := make([]Step, e.stepCount(len(affected)))
	for j := range steps {
		delay := time.Duration(float64(e.Spread) * float64(j) / float64(len(steps)))
		steps[j] = Step{At: at + delay, Index: affected[j%len(affected)]}
		if rule.hasDuration {
			steps[j].Until = until + delay
		}
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// stepCount returns the number of steps of the event. candidates is the number
// of servers or nodes in its zone or region.
func (e Event) stepCount(candidates int) int {
	n := candidates
	switch {
	case e.Count > 0:
		n = e.Count
	case e.Fraction > 0:
		n = max(1, int(math.Round(e.Fraction*float64(n))))
	}
	if e.Action == ChangeLists {
		return n // one server may change more than once
	}
	return min(n, candidates)
}

// candidates returns the indexes of the servers or nodes in an event's zone or
// region.
func (s *Scenario) candidates(e Event) []int {
	count := s.Servers.Count
	if actionRules[e.Action].nodes {
		count = s.Fleet.Nodes
	}
	var indexes []int
	for i := range count { // node i and server i are both in zone i modulo the number of zones
		if e.Includes(s.Zones[i%len(s.Zones)]) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Includes reports whether the event affects a zone: its Zone and Region, if
// set, match.
func (e Event) Includes(z Zone) bool {
	return (e.Zone == "" || z.Name == e.Zone) && (e.Region == "" || z.Region == e.Region)
}

// LastEventEnd returns the time, since the start of the traffic, at which all
// events have ended, or 0 if there are none.
func (s *Scenario) LastEventEnd() time.Duration {
	var end time.Duration
	for _, e := range s.Events {
		last := (e.At + e.Spread + e.Duration).Std()
		if actionRules[e.Action].nodes {
			last += s.Fleet.RestartTime.Std()
		}
		if e.Action == ReplaceServers {
			last += 2 * s.Discovery.DrainGrace.Std()
		}
		end = max(end, last)
	}
	return end
}

// Describe returns a line for results: when the event begins, its action, the
// number of steps if each affects one server or node, and its duration. withLast
// adds the time of the last step if the steps are spread.
func (e Event) Describe(steps []Step, withLast bool) string {
	line := fmt.Sprintf("%v %s", e.At, e.Action)
	if steps[0].Index != noIndex {
		line += fmt.Sprintf(": %d", len(steps))
	}
	if withLast && e.Spread > 0 {
		line += fmt.Sprintf(", the last at %v", steps[len(steps)-1].At)
	}
	if e.Duration > 0 {
		line += fmt.Sprintf(", for %v", e.Duration)
	}
	return line
}
