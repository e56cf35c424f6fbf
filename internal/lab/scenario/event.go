package scenario

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Event is a fault or a planned operation.
type Event struct {
	At       Duration `toml:"at"`     // since the start of the traffic
	Duration Duration `toml:"for"`    // until it ends by itself
	Spread   Duration `toml:"over"`   // over which its steps are spread evenly
	Action   Action   `toml:"do"`     //
	Fraction float64  `toml:"part"`   // of the servers or nodes, which it affects; 0: all
	Zone     string   `toml:"zone"`   // to which it is limited; "": no limit
	Region   string   `toml:"region"` // to which it is limited; "": no limit
	Count    int      `toml:"count"`  // of servers or nodes, instead of Fraction
	Factor   float64  `toml:"by"`     // of SlowServers and Burst
}

// Action is what an Event does.
type Action string

// The actions are the same in both kinds of run. A server that is killed, hangs
// or vanishes stays listed as it was; its start, when it is back, is listed at
// once. A server that is only listed as draining still serves. Where an event
// ends, it ends for the servers that it began with, not for their successors.
const (
	RestartServers  Action = "restart-servers"  // are killed, start again after Duration
	ReplaceServers  Action = "replace-servers"  // are drained, removed after twice the drain grace; successors with new names warm up
	DrainServers    Action = "drain-servers"    // are listed as draining for Duration, then as ready
	HangServers     Action = "hang-servers"     // accept requests and answer none for Duration
	SlowServers     Action = "slow-servers"     // are slower by Factor for Duration
	FailServers     Action = "fail-servers"     // answer 500 for Duration
	LoseServers     Action = "lose-servers"     // vanish from the network for Duration, then start again
	Cut             Action = "cut"              // nodes and servers of Zone or Region reach only each other for Duration, discovery included
	KillNodes       Action = "kill-nodes"       // at once; they start again after Fleet.RestartTime
	RestartNodes    Action = "restart-nodes"    // shut down in order, then as KillNodes
	ChangeLists     Action = "change-lists"     // Count changes of weights over Spread
	DiscoveryDown   Action = "discovery-down"   // refuses calls for Duration
	DiscoverySilent Action = "discovery-silent" // accepts calls and answers none for Duration
	WatchesBreak    Action = "watches-break"    // open watches are reset
	Burst           Action = "burst"            // Factor times the traffic for Duration
)

// Actions lists all actions.
var Actions = []Action{
	RestartServers, ReplaceServers, DrainServers, HangServers, SlowServers, FailServers, LoseServers, Cut,
	KillNodes, RestartNodes, ChangeLists, DiscoveryDown, DiscoverySilent, WatchesBreak, Burst,
}

// actionRule says what an action affects, and which fields of the event it
// requires besides At.
type actionRule struct {
	servers     bool // affects single servers
	nodes       bool // affects single nodes
	hasDuration bool
	hasFactor   bool
	hasLocation bool // Zone or Region
}

var actionRules = map[Action]actionRule{
	RestartServers:  {servers: true, hasDuration: true},
	ReplaceServers:  {servers: true},
	DrainServers:    {servers: true, hasDuration: true},
	HangServers:     {servers: true, hasDuration: true},
	SlowServers:     {servers: true, hasDuration: true, hasFactor: true},
	FailServers:     {servers: true, hasDuration: true},
	LoseServers:     {servers: true, hasDuration: true},
	Cut:             {hasDuration: true, hasLocation: true},
	KillNodes:       {nodes: true},
	RestartNodes:    {nodes: true},
	ChangeLists:     {servers: true},
	DiscoveryDown:   {hasDuration: true},
	DiscoverySilent: {hasDuration: true},
	WatchesBreak:    {},
	Burst:           {hasDuration: true, hasFactor: true},
}

// noIndex is the index of a Step that affects no single server or node.
const noIndex = -1

// Step is one step of an event.
type Step struct {
	At    time.Duration // since the start of the traffic
	Until time.Duration // when it ends by itself, 0 if it does not
	Index int           // of the server or node; -1: it affects no single one
}

// Steps returns the steps of event i, sorted by time. The servers or nodes that
// it affects are drawn from the seed.
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

// stepCount is how many steps the event has, given the number of servers or
// nodes in its place.
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

// candidates are the servers or nodes in an event's place.
func (s *Scenario) candidates(e Event) []int {
	count := s.Servers.Count
	if actionRules[e.Action].nodes {
		count = s.Fleet.Nodes
	}
	var indexes []int
	for i := range count { // node i and server i are in the same zone
		if e.Includes(s.Zones[i%len(s.Zones)]) {
			indexes = append(indexes, i)
		}
	}
	return indexes
}

// Includes reports whether the event's place contains a zone.
func (e Event) Includes(z Zone) bool {
	return (e.Zone == "" || z.Name == e.Zone) && (e.Region == "" || z.Region == e.Region)
}

// LastEventEnd is when the last event has ended, 0 if there are none.
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

// Describe says in one line when the event happened and how many servers or
// nodes it affected, for results. withLast adds the time of the last step where
// the steps are spread.
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
