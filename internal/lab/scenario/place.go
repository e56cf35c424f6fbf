package scenario

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minSockets       = 64                      // below this no node starts
	minEventInterval = 5 * time.Millisecond    // of the settings; the wire's page has it
	responseSlack    = 20 * time.Millisecond   // past the deadline; likewise
	maxRetryAfter    = 1500 * time.Millisecond // that refused clients follow; likewise
	goldenRatio      = 0.6180339887498949      // multiples of it fill the unit interval evenly
)

// effects are the settings' words for those of a scenario.
var idempotencySettings = map[string]string{"safe": "retryable", "keyed": "dedup", "unsafe": "fragile"}

// Node is one node of the fleet.
type Node struct {
	Name, Zone string
}

// Node says who node i is. Nodes are spread over the zones in turn.
func (s *Scenario) Node(i int) Node {
	return Node{Name: fmt.Sprintf("n%d", i), Zone: s.Zones[i%len(s.Zones)].Name}
}

// Server is one backend.
type Server struct {
	Name        string
	Zone        string
	MachineType MachineType
	Cell        int
}

// Server says who server i is. Those from Servers.Count on are successors:
// that of server i is server i+Servers.Count, in the same place under a new
// name.
func (s *Scenario) Server(i int) Server {
	place := i % s.Servers.Count
	zone, row := place%len(s.Zones), place/len(s.Zones)
	total := 0.0
	for _, k := range s.Servers.MachineTypes {
		total += k.Share
	}
	kind, left := s.Servers.MachineTypes[len(s.Servers.MachineTypes)-1], total*math.Mod((float64(row)+0.5)*goldenRatio, 1)
	for _, k := range s.Servers.MachineTypes {
		if left -= k.Share; left < 0 {
			kind = k
			break
		}
	}
	return Server{Name: fmt.Sprintf("s-%08x", scramble(uint32(i)+uint32(s.Seed)*0x9e3779b9)), Zone: s.Zones[zone].Name,
		MachineType: kind, Cell: row/s.Servers.CellSize*len(s.Zones) + zone}
}

// scramble is one to one (the finaliser of MurmurHash3), so names are too.
func scramble(x uint32) uint32 {
	x = (x ^ x>>16) * 0x85ebca6b
	x = (x ^ x>>13) * 0xc2b2ae35
	return x ^ x>>16
}

// Region of a zone, "" if there is no such zone.
func (s *Scenario) Region(zone string) string {
	for _, z := range s.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// Delay is the network's one way between two zones, without jitter.
func (s *Scenario) Delay(from, to string) time.Duration {
	switch {
	case from == to:
		return s.Network.SameZone.Std()
	case s.Region(from) == s.Region(to):
		return s.Network.SameRegion.Std()
	}
	return s.Network.CrossRegion.Std()
}

// Strike is one step of an event.
type Step struct {
	At    time.Duration // since the start of the traffic
	Until time.Duration // when it ends by itself, 0 if it does not
	Index int           // of the server or node; -1: the event strikes no single ones
}

// Strikes gives the steps of event i, by time. Whom it strikes is drawn from
// the seed.
func (s *Scenario) Steps(i int) []Step {
	e, d := s.Events[i], actionRules[s.Events[i].Action]
	at, until := e.At.Std(), time.Duration(0)
	if d.hasDuration {
		until = at + e.Duration.Std()
	}
	if !d.servers && !d.nodes {
		return []Step{{At: at, Until: until, Index: -1}}
	}
	struck := s.candidates(e)
	rand.New(rand.NewPCG(s.Seed, uint64(i))).Shuffle(len(struck), func(a, b int) { struck[a], struck[b] = struck[b], struck[a] })
	n := len(struck)
	switch {
	case e.Count > 0:
		n = e.Count
	case e.Fraction > 0:
		n = max(1, int(math.Round(e.Fraction*float64(n))))
	}
	if e.Action != "change-lists" { // which may change one server more than once
		n = min(n, len(struck))
	}
	out := make([]Step, n)
	for j := range out {
		later := time.Duration(float64(e.Spread) * float64(j) / float64(n))
		out[j] = Step{At: at + later, Index: struck[j%len(struck)]}
		if d.hasDuration {
			out[j].Until = until + later
		}
	}
	slices.SortStableFunc(out, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return out
}

// candidates are the servers or nodes in an event's place.
func (s *Scenario) candidates(e Event) []int {
	var out []int
	count := s.Servers.Count
	if actionRules[e.Action].nodes {
		count = s.Fleet.Nodes
	}
	for i := range count { // node and server i are in the same zone
		z := s.Zones[i%len(s.Zones)]
		if (e.Zone == "" || z.Name == e.Zone) && (e.Region == "" || z.Region == e.Region) {
			out = append(out, i)
		}
	}
	return out
}

// TenantName of tenant i, and TenantShare its part of the requests.
func TenantName(i int) string { return fmt.Sprintf("t%05d", i) }

// Told is what a node is told besides the scenario.
type NodeStart struct {
	Incarnation int             // how often it has started before
	Listen      string          // where it takes clients
	Discovery   string          // where it finds discovery
	KnownList   json.RawMessage // the list as it last had it, in discovery's form
}

// Config is the configuration file of node i: what a node's deployment gives
// it, as JSON.
func (s *Scenario) NodeConfig(i int, told NodeStart) ([]byte, error) {
	type object = map[string]any
	classes := []object{}
	for _, c := range s.Classes {
		o := object{"name": c.Name, "effect": idempotencySettings[c.Idempotency], "aim_ns": c.LatencyObjective, "give_up_ns": c.Deadline,
			"importance": c.PriorityWeight, "late_worth": c.LateWeight, "streamed": false}
		if c.Idempotency == "keyed" {
			o["key_scope"], o["dedup_window_ns"] = c.KeyScope, c.KeyWindow
		}
		classes = append(classes, integers(o))
	}
	accounts := []object{}
	for t := range s.Traffic.Tenants {
		accounts = append(accounts, object{"name": TenantName(t), "quota_per_s": s.Traffic.Quota,
			"fraction": 1 / float64(s.Traffic.Tenants)})
	}
	zones, kinds := []string{}, []string{}
	for _, z := range s.Zones {
		zones = append(zones, z.Name)
	}
	for _, k := range s.Servers.MachineTypes {
		kinds = append(kinds, k.Name)
	}
	membership := "pushed"
	if s.Discovery.OnDemand {
		membership = "on_request"
	}
	settings := object{
		"accounts":  accounts,
		"balancers": s.Fleet.Nodes,
		"caps": integers(object{"cancel": s.Fleet.CancelAllowed, "conn_idle_ns": s.Servers.IdleTimeout,
			"connect_timeout_ns": s.Network.ConnectTimeout, "cpu_us_per_request": 0.0, "cpu_us_per_s": s.Fleet.Cores * 1e6,
			"max_attempts": s.Fleet.MaxAttempts, "max_retry_after_ns": maxRetryAfter, "may_duplicate": s.Fleet.HedgingAllowed,
			"most_held": s.Fleet.MaxOpenRequests, "multiplex": 1, "peers": false, "probes": false, "retry_after": s.Fleet.RetryAfterAllowed}),
		"charges":         object{},
		"classes":         classes,
		"client_habits":   object{"marks_retry": true},
		"failure_domains": zones,
		"family":          "proxy",
		"goal":            object{"whole": 1.0, "worst_class": 0.0, "worst_tenant": 0.0, "worst_window": 0.0},
		"invariants": integers(object{"answer_slack_ns": responseSlack, "ask_within_ns": s.Discovery.PollInterval,
			"cold_from": s.Servers.ColdCapacity, "cold_ns": s.Servers.WarmupTime, "drain_grace_ns": s.Discovery.DrainGrace,
			"overload_factor": s.Servers.CrashFactor, "tip_after_ns": s.Servers.CrashWindow}),
		"kinds":            kinds,
		"membership_mode":  membership,
		"over_share_worth": 0.1,
		"report":           object{"fields": []string{}, "how": "none"},
		"slot_no":          i,
		"specifics":        object{},
		"tick_ns":          int64(minEventInterval),
		"tier":             0,
		"tiers":            []string{"lab"},
		"weight_kind":      "rough",
		"worth_by":         "request",
		"zone":             s.Node(i).Zone,
	}
	if told.KnownList == nil {
		told.KnownList = json.RawMessage(`{"index":0,"snapshot":true,"endpoints":[]}`)
	}
	return json.Marshal(object{"name": s.Node(i).Name, "listen": told.Listen, "discovery": told.Discovery,
		"seed":   fmt.Sprintf("%016x", rand.New(rand.NewPCG(s.Seed, uint64(i)<<32|uint64(told.Incarnation))).Uint64()),
		"limits": object{"cores": s.Fleet.Cores, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets},
		"known":  told.KnownList, "settings": settings})
}

// integers turns times into nanoseconds, as the wire writes them.
func integers(o map[string]any) map[string]any {
	for key, v := range o {
		switch d := v.(type) {
		case Duration:
			o[key] = int64(d)
		case time.Duration:
			o[key] = int64(d)
		}
	}
	return o
}
