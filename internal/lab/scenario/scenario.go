// Package scenario describes a run of the lab: a fleet of nodes, the servers
// behind them, their discovery, the traffic and what goes wrong. One file
// serves runs with real processes and runs with hollow nodes.
//
// Load reads a file strictly. What it leaves out is filled in by defaults; who
// is where, which server is of which kind, and whom an event strikes when, are
// said by Node, Server and Strikes, alike for both kinds of run.
package scenario

import (
	"errors"
	"fmt"
	"time"
)

// Duration is a time in a scenario file, written as in Go: "250ms", "30s". It
// is never negative.
type Duration time.Duration

// UnmarshalText reads a time with its unit.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil || v < 0 {
		return errors.New(durationWanted)
	}
	*d = Duration(v)
	return nil
}

// MarshalText writes a time as UnmarshalText reads it.
func (d Duration) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

func (d Duration) String() string { return time.Duration(d).String() }

// Std is d for package time.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// Seconds is d as a number of seconds.
func (d Duration) Seconds() float64 { return time.Duration(d).Seconds() }

// Scenario is one file.
type Scenario struct {
	Name      string    `toml:"name"`      // default: the file's
	About     string    `toml:"about"`     // what the run shows
	Seed      uint64    `toml:"seed"`      // of everything that is drawn
	Length    Duration  `toml:"length"`    // of the traffic, warm-up included
	Warmup    Duration  `toml:"warm"`      // at the start, left out of the results
	Fleet     Fleet     `toml:"fleet"`     //
	Network   Network   `toml:"net"`       //
	Servers   Servers   `toml:"servers"`   //
	Discovery Discovery `toml:"discovery"` //
	Traffic   Traffic   `toml:"traffic"`   //
	Zones     []Zone    `toml:"zone"`      // default: one
	Classes   []Class   `toml:"class"`     // at least one
	Events    []Event   `toml:"event"`     // may overlap
	Bounds    Bounds    `toml:"holds"`     // what must hold at the end
}

// Zone is a place where servers and nodes fail together.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"` // zones of one region are near each other
}

// Fleet is the nodes. They are spread over the zones in turn.
type Fleet struct {
	Nodes             int      `toml:"nodes"`
	Cores             float64  `toml:"cores"`        // what a node may use of a core
	MemoryMB          int      `toml:"memory_mb"`    //
	Sockets           int      `toml:"sockets"`      //
	MaxOpenRequests   int      `toml:"max_open"`     // requests that a node can have open
	MaxAttempts       int      `toml:"max_attempts"` // for one request
	CancelAllowed     bool     `toml:"may_cancel"`   //
	HedgingAllowed    bool     `toml:"may_overlap"`  //
	RetryAfterAllowed bool     `toml:"retry_after"`  // refused clients are told when to come back
	StartSpread       Duration `toml:"start_spread"` // nodes start evenly over it, before the traffic
	RestartTime       Duration `toml:"restart"`      // how long a restarted node is away
}

// Net is the network between nodes and servers; times are one way, the mean of
// an exponential part on top is Jitter.
type Network struct {
	SameZone       Duration `toml:"same_zone"`
	SameRegion     Duration `toml:"same_region"`
	CrossRegion    Duration `toml:"cross_region"`
	Jitter         Duration `toml:"jitter"`
	ConnectTimeout Duration `toml:"connect_timeout"`
	LateDials      float64  `toml:"late_dials"` // part of new connections that come up late
	LateBy         Duration `toml:"late_by"`    // by up to so much
}

// Servers are the backends. They are spread over the zones in turn, and the
// kinds over each zone.
type Servers struct {
	Count          int           `toml:"count"`
	Services       int           `toml:"services"`     // they are spread over so many; today's nodes know one
	CellSize       int           `toml:"cell_size"`    //
	MachineTypes   []MachineType `toml:"kind"`         // default: one
	QueueLimit     int           `toml:"queue"`        // requests that wait, at most
	MaxConnections int           `toml:"connections"`  // that one holds, at most
	Handshake      Duration      `toml:"handshake"`    // work of a new connection
	IdleTimeout    Duration      `toml:"idle_close"`   // of connections
	ColdCapacity   float64       `toml:"cold_from"`    // part of its capacity at its start
	WarmupTime     Duration      `toml:"cold_time"`    // until it is warm, by time alone
	CrashFactor    float64       `toml:"fall_factor"`  // a cold one falls over when it gets more than
	CrashWindow    Duration      `toml:"fall_time"`    // this many times its capacity for so long
	CrashDowntime  Duration      `toml:"fall_rest"`    // and stays down for so long
	Deduplicate    bool          `toml:"dedup"`        // keys are known within their scope
	FailureRate    float64       `toml:"failing_part"` // of all answers, 500
}

// Kind is a kind of machine.
type MachineType struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"part"`  // of the servers, beside the other kinds' parts
	Cores int     `toml:"cores"` //
	Speed float64 `toml:"speed"` // of a core; work is in time on a core of speed 1
}

// Disco is the stand-in for discovery.
type Discovery struct {
	OnDemand     bool     `toml:"asked"`       // lists are asked for; else pushed to an agent beside each node
	Delay        Duration `toml:"delay"`       // from a change to the agents, or to the service
	DelaySpread  Duration `toml:"spread"`      // more, drawn for each node
	ResponseTime Duration `toml:"answer"`      // time to answer a call
	DrainGrace   Duration `toml:"drain_grace"` // after which nothing goes to a server told as draining or gone
	PollInterval Duration `toml:"ask_within"`  // asked lists: news so old count as told without a watch
}

// Traffic is what clients send. Arrivals are drawn ahead and wait for nothing.
type Traffic struct {
	Rate          float64  `toml:"rate"`         // requests a second, whole fleet
	Imbalance     float64  `toml:"uneven"`       // 0: even; else the standard deviation of the logarithm of a node's part
	Keys          int      `toml:"keys"`         // subjects of requests
	KeySkew       float64  `toml:"key_skew"`     // exponent of their Zipf law; over 1, or 0: all alike
	Tenants       int      `toml:"tenants"`      // 0: none
	TenantSkew    float64  `toml:"tenant_skew"`  // as key_skew
	Quota         float64  `toml:"quota"`        // of a tenant, requests a second over all nodes
	Retries       int      `toml:"retries"`      // tries that a client makes on top, where that does no harm
	Backoff       Duration `toml:"backoff"`      // mean wait before such a try where no time is told
	FailoverDelay Duration `toml:"front_notice"` // after which clients of a dead node are sent to others of its zone
	Connections   int      `toml:"connections"`  // of clients to a real node
}

// Class is a kind of request.
type Class struct {
	Name             string   `toml:"name"`
	Share            float64  `toml:"part"`       // of the requests, beside the other classes' parts
	Idempotency      string   `toml:"effect"`     // safe, keyed or unsafe
	KeyScope         string   `toml:"scope"`      // of keys: all, zone or cell
	KeyWindow        Duration `toml:"window"`     // in which keys are known
	Work             Duration `toml:"work"`       // mean, on a core of speed 1
	WorkVariation    float64  `toml:"work_var"`   // coefficient of variation: 0 constant, 1 exponential, else gamma
	PriorityWeight   float64  `toml:"worth"`      //
	LateWeight       float64  `toml:"late_worth"` // part of the worth of an answer after the aim
	LatencyObjective Duration `toml:"aim"`
	Deadline         Duration `toml:"deadline"` // over all tries
}

// Event is a trouble or a planned step.
type Event struct {
	At       Duration `toml:"at"`     // since the start of the traffic
	Duration Duration `toml:"for"`    // how long it lasts, where it ends by itself
	Spread   Duration `toml:"over"`   // its steps are spread evenly over so long
	Action   string   `toml:"do"`     // see Deeds
	Fraction float64  `toml:"part"`   // of the servers or nodes that it strikes; 0: all
	Zone     string   `toml:"zone"`   // only there
	Region   string   `toml:"region"` // only there
	Count    int      `toml:"count"`  // how many, instead of Part
	Factor   float64  `toml:"by"`     // a factor: slow, burst
}

// Deeds are what an Event can do. Each is meant alike in both kinds of run. A
// server that dies, hangs or vanishes stays listed as it was; its start, when
// it is back, is listed at once. A server that is only listed as draining still
// serves. Where an event is to end, the servers that it struck are meant, not
// their successors.
var Actions = []string{
	"restart-servers",  // die (connections reset), come back cold after For
	"replace-servers",  // drain, go after the drain grace x 2; successors under new names come cold
	"drain-servers",    // are listed as draining for For, then ready
	"hang-servers",     // take requests and answer nothing for For
	"slow-servers",     // are By times slower for For
	"fail-servers",     // answer 500 for For
	"lose-servers",     // vanish without a word for For, then come back cold
	"cut",              // nodes and servers of Zone (or Region) reach only each other for For, discovery included
	"kill-nodes",       // at once; they come back after fleet.restart
	"restart-nodes",    // the same, planned, over Over
	"change-lists",     // Count harmless changes (weights) over Over
	"discovery-down",   // refuses calls for For
	"discovery-silent", // takes calls and says nothing for For
	"watches-break",    // open watches are reset
	"burst",            // traffic is By times as much for For
}

// What a deed strikes, and which of an event's fields it needs besides At.
type actionRule struct {
	servers, nodes                   bool
	hasDuration, hasFactor, hasPlace bool // wants For, By, Zone or Region
}

var actionRules = map[string]actionRule{
	"restart-servers": {servers: true, hasDuration: true}, "replace-servers": {servers: true},
	"drain-servers": {servers: true, hasDuration: true}, "hang-servers": {servers: true, hasDuration: true},
	"slow-servers": {servers: true, hasDuration: true, hasFactor: true}, "fail-servers": {servers: true, hasDuration: true},
	"lose-servers": {servers: true, hasDuration: true}, "cut": {hasDuration: true, hasPlace: true},
	"kill-nodes": {nodes: true}, "restart-nodes": {nodes: true}, "change-lists": {servers: true},
	"discovery-down": {hasDuration: true}, "discovery-silent": {hasDuration: true}, "watches-break": {},
	"burst": {hasDuration: true, hasFactor: true},
}

// Holds are bounds that a run must keep; 0: not asked.
type Bounds struct {
	Served        float64  `toml:"served"`           // at least this part of the worth
	Attempts      float64  `toml:"attempts"`         // at most so many attempts a request
	P99           Duration `toml:"p99"`              // latency of the answers, at most
	ListRate      float64  `toml:"list_bytes"`       // list traffic of a node, bytes/s, mean over the run, at most
	WorstListRate float64  `toml:"worst_list_bytes"` // the same, of the worst node
	Recovery      Duration `toml:"recovery"`         // from the last event's end to nine tenths of the worth before
	Crashes       *int     `toml:"falls"`            // cold servers that fell over, at most
}

// defaults is what a file leaves out. Figures of servers and rules are the
// example settings' of the wire's page.
func defaults() Scenario {
	const ms, s = Duration(time.Millisecond), Duration(time.Second)
	return Scenario{
		Seed: 1, Length: 10 * s, Warmup: 2 * s,
		Fleet: Fleet{Nodes: 3, Cores: 1, MemoryMB: 192, Sockets: 1024, MaxOpenRequests: 20000, MaxAttempts: 3,
			CancelAllowed: true, RetryAfterAllowed: true, RestartTime: 2 * s},
		Network: Network{SameZone: ms / 4, SameRegion: ms, CrossRegion: 20 * ms, Jitter: ms / 10, ConnectTimeout: 150 * ms, LateBy: 100 * ms},
		Servers: Servers{Count: 12, Services: 1, CellSize: 4, QueueLimit: 64, MaxConnections: 1024, Handshake: ms,
			IdleTimeout: 60 * s, ColdCapacity: 0.12, WarmupTime: 23 * s, CrashFactor: 4, CrashWindow: s, CrashDowntime: 10 * s, Deduplicate: true},
		Discovery: Discovery{Delay: 100 * ms, DelaySpread: 100 * ms, ResponseTime: ms, DrainGrace: s, PollInterval: 10 * s},
		Traffic:   Traffic{Rate: 100, Keys: 1000, Quota: 5, Retries: 2, Backoff: 200 * ms, FailoverDelay: 2 * s, Connections: 64},
	}
}

// fill completes what defaults cannot: lists and their entries.
func (s *Scenario) fillDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []Zone{{Name: "a", Region: "a"}}
	}
	for i := range s.Zones {
		if s.Zones[i].Region == "" {
			s.Zones[i].Region = s.Zones[i].Name
		}
	}
	if len(s.Servers.MachineTypes) == 0 {
		s.Servers.MachineTypes = []MachineType{{Name: "m1", Share: 1, Cores: 2, Speed: 1}}
	}
	for i := range s.Servers.MachineTypes {
		k := &s.Servers.MachineTypes[i]
		if k.Share == 0 {
			k.Share = 1
		}
		if k.Cores == 0 {
			k.Cores = 1
		}
		if k.Speed == 0 {
			k.Speed = 1
		}
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Share == 0 {
			c.Share = 1
		}
		if c.PriorityWeight == 0 {
			c.PriorityWeight = 1
		}
		if c.KeyScope == "" && c.Idempotency == "keyed" {
			c.KeyScope = "all"
		}
		if c.KeyWindow == 0 && c.Idempotency == "keyed" {
			c.KeyWindow = Duration(5 * time.Second)
		}
	}
}

// End is when the last event has ended, 0 if there are none.
func (s *Scenario) LastEventEnd() time.Duration {
	var end time.Duration
	for _, e := range s.Events {
		last := (e.At + e.Spread + e.Duration).Std()
		if actionRules[e.Action].nodes {
			last += s.Fleet.RestartTime.Std()
		}
		if e.Action == "replace-servers" {
			last += 2 * s.Discovery.DrainGrace.Std()
		}
		end = max(end, last)
	}
	return end
}

// check finds what cannot be: each fault under the key that has it.
func (s *Scenario) validate(fault func(key, format string, args ...any)) {
	positive := func(key string, v float64) {
		if !(v > 0) {
			fault(key, "is %v, want over 0", v)
		}
	}
	part := func(key string, v float64) {
		if !(v >= 0 && v <= 1) {
			fault(key, "is %v, want a part from 0 to 1", v)
		}
	}
	notNegative := func(key string, v float64) {
		if !(v >= 0) {
			fault(key, "is %v, want 0 or more", v)
		}
	}
	skew := func(key string, v float64) {
		if v != 0 && !(v > 1) {
			fault(key, "is %v, want over 1, or 0 for all alike", v)
		}
	}
	if s.Length <= s.Warmup {
		fault("length", "is %v, want more than warm, %v", s.Length, s.Warmup)
	}
	f, sv, tr := s.Fleet, s.Servers, s.Traffic
	for key, v := range map[string]int{"fleet.nodes": f.Nodes, "fleet.memory_mb": f.MemoryMB, "fleet.max_open": f.MaxOpenRequests,
		"fleet.max_attempts": f.MaxAttempts, "servers.count": sv.Count, "servers.services": sv.Services,
		"servers.cell_size": sv.CellSize, "servers.connections": sv.MaxConnections, "traffic.keys": tr.Keys,
		"traffic.connections": tr.Connections} {
		positive(key, float64(v))
	}
	if f.Sockets < minSockets {
		fault("fleet.sockets", "is %d, want %d or more", f.Sockets, minSockets)
	}
	positive("fleet.cores", f.Cores)
	positive("net.connect_timeout", s.Network.ConnectTimeout.Seconds())
	part("net.late_dials", s.Network.LateDials)
	notNegative("servers.queue", float64(sv.QueueLimit))
	positive("servers.cold_from", sv.ColdCapacity)
	part("servers.cold_from", sv.ColdCapacity)
	positive("servers.idle_close", sv.IdleTimeout.Seconds())
	positive("servers.fall_factor", sv.CrashFactor)
	positive("servers.fall_time", sv.CrashWindow.Seconds())
	part("servers.failing_part", sv.FailureRate)
	positive("discovery.drain_grace", s.Discovery.DrainGrace.Seconds())
	positive("traffic.rate", tr.Rate)
	notNegative("traffic.uneven", tr.Imbalance)
	skew("traffic.key_skew", tr.KeySkew)
	skew("traffic.tenant_skew", tr.TenantSkew)
	notNegative("traffic.tenants", float64(tr.Tenants))
	notNegative("traffic.quota", tr.Quota)
	notNegative("traffic.retries", float64(tr.Retries))
	zones, regions := map[string]bool{}, map[string]bool{}
	for i, z := range s.Zones {
		name(fault, zones, fmt.Sprintf("zone[%d].name", i), z.Name)
		regions[z.Region] = true
	}
	names := map[string]bool{}
	for i, k := range sv.MachineTypes {
		at := fmt.Sprintf("servers.kind[%d].", i)
		name(fault, names, at+"name", k.Name)
		positive(at+"part", k.Share)
		positive(at+"cores", float64(k.Cores))
		positive(at+"speed", k.Speed)
	}
	if len(s.Classes) == 0 {
		fault("class", "is missing, want at least one")
	}
	names = map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("class[%d].", i)
		name(fault, names, at+"name", c.Name)
		if idempotencySettings[c.Idempotency] == "" {
			fault(at+"effect", "is %q, want safe, keyed or unsafe", c.Idempotency)
		}
		if c.Idempotency == "keyed" && c.KeyScope != "all" && c.KeyScope != "zone" && c.KeyScope != "cell" {
			fault(at+"scope", "is %q, want all, zone or cell", c.KeyScope)
		} else if c.Idempotency != "keyed" && (c.KeyScope != "" || c.KeyWindow != 0) {
			fault(at+"effect", "is %q, want keyed with scope or window", c.Idempotency)
		}
		positive(at+"part", c.Share)
		positive(at+"work", c.Work.Seconds())
		notNegative(at+"work_var", c.WorkVariation)
		positive(at+"worth", c.PriorityWeight)
		part(at+"late_worth", c.LateWeight)
		positive(at+"aim", c.LatencyObjective.Seconds())
		if c.Deadline < c.LatencyObjective {
			fault(at+"deadline", "is %v, want the aim, %v, or more", c.Deadline, c.LatencyObjective)
		}
	}
	for i, e := range s.Events {
		s.validateEvent(e, fmt.Sprintf("event[%d].", i), zones, regions, fault)
	}
	part("holds.served", s.Bounds.Served)
	if n := s.Bounds.Crashes; n != nil {
		notNegative("holds.falls", float64(*n))
	}
}

func (s *Scenario) validateEvent(e Event, at string, zones, regions map[string]bool, fault func(key, format string, args ...any)) {
	d, known := actionRules[e.Action]
	if !known {
		fault(at+"do", "is %q, want one of %q", e.Action, Actions)
		return
	}
	if e.At >= s.Length {
		fault(at+"at", "is %v, want before the end, %v", e.At, s.Length)
	}
	if d.hasDuration && e.Duration == 0 {
		fault(at+"for", "is 0s, want over 0 for %s", e.Action)
	} else if !d.hasDuration && e.Duration != 0 {
		fault(at+"for", "is %v, want none for %s", e.Duration, e.Action)
	}
	if d.hasFactor && !(e.Factor > 0) {
		fault(at+"by", "is %v, want over 0 for %s", e.Factor, e.Action)
	} else if !d.hasFactor && e.Factor != 0 {
		fault(at+"by", "is %v, want none for %s", e.Factor, e.Action)
	}
	if d.hasPlace && e.Zone == "" && e.Region == "" {
		fault(at+"zone", "is missing, want a zone or a region for %s", e.Action)
	}
	if e.Zone != "" && e.Region != "" {
		fault(at+"region", "is %q beside zone %q, want one of the two", e.Region, e.Zone)
	}
	if e.Zone != "" && !zones[e.Zone] {
		fault(at+"zone", "is %q, want the name of a zone", e.Zone)
	}
	if e.Region != "" && !regions[e.Region] {
		fault(at+"region", "is %q, want a region of a zone", e.Region)
	}
	strikes := d.servers || d.nodes
	if !(e.Fraction >= 0 && e.Fraction <= 1) || e.Fraction > 0 && !strikes {
		fault(at+"part", "is %v, want a part from 0 to 1 of servers or nodes", e.Fraction)
	}
	if e.Count < 0 || e.Count > 0 && (!strikes || e.Fraction > 0) {
		fault(at+"count", "is %d, want a number of servers or nodes, instead of part", e.Count)
	}
	if e.Action == "change-lists" && e.Count == 0 {
		fault(at+"count", "is 0, want the number of changes")
	}
	if strikes && len(s.candidates(e)) == 0 {
		fault(at+"do", "strikes nothing there")
	}
}

func name(fault func(key, format string, args ...any), seen map[string]bool, key, name string) {
	if name == "" || seen[name] {
		fault(key, "is %q, want a name of its own", name)
	}
	seen[name] = true
}
