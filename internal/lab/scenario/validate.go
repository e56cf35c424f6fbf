package scenario

import "fmt"

// minSockets is the minimum number of sockets with which a node starts.
const minSockets = 64

// validator checks the values of a scenario. It reports each invalid value with
// its key in the file, such as class[0].aim.
type validator struct {
	scenario *Scenario
	report   func(key, format string, args ...any)
	zones    map[string]bool // names of the zones
	regions  map[string]bool // names of the regions
}

// validate calls report for each invalid value of a scenario.
func (s *Scenario) validate(report func(key, format string, args ...any)) {
	v := &validator{scenario: s, report: report, zones: map[string]bool{}, regions: map[string]bool{}}
	v.timingAndNetwork()
	v.fleet()
	v.servers()
	v.traffic()
	v.zonesAndRegions()
	v.machineTypes()
	v.classes()
	for i, e := range s.Events {
		v.event(fmt.Sprintf("event[%d].", i), e)
	}
	v.bounds()
}

func (v *validator) timingAndNetwork() {
	s := v.scenario
	if s.Length <= s.Warmup {
		v.report("length", "is %v, want more than warm, %v", s.Length, s.Warmup)
	}
	v.positive("net.connect_timeout", s.Network.ConnectTimeout.Seconds())
	v.fraction("net.late_dials", s.Network.LateDials)
	v.positive("discovery.drain_grace", s.Discovery.DrainGrace.Seconds())
}

func (v *validator) fleet() {
	f := v.scenario.Fleet
	v.positive("fleet.nodes", float64(f.Nodes))
	v.positive("fleet.cores", f.Cores)
	v.positive("fleet.memory_mb", float64(f.MemoryMB))
	v.positive("fleet.max_open", float64(f.MaxOpenRequests))
	v.positive("fleet.max_attempts", float64(f.MaxAttempts))
	if f.Sockets < minSockets {
		v.report("fleet.sockets", "is %d, want %d or more", f.Sockets, minSockets)
	}
}

func (v *validator) servers() {
	s := v.scenario.Servers
	v.positive("servers.count", float64(s.Count))
	v.positive("servers.services", float64(s.Services))
	v.positive("servers.cell_size", float64(s.CellSize))
	v.positive("servers.connections", float64(s.MaxConnections))
	v.notNegative("servers.queue", float64(s.QueueLimit))
	v.positive("servers.cold_from", s.InitialCapacity)
	v.fraction("servers.cold_from", s.InitialCapacity)
	v.positive("servers.idle_close", s.IdleTimeout.Seconds())
	v.positive("servers.fall_factor", s.CrashFactor)
	v.positive("servers.fall_time", s.CrashWindow.Seconds())
	v.fraction("servers.failing_part", s.FailureRate)
}

func (v *validator) traffic() {
	t := v.scenario.Traffic
	v.positive("traffic.keys", float64(t.Keys))
	v.positive("traffic.connections", float64(t.Connections))
	v.positive("traffic.rate", t.Rate)
	v.notNegative("traffic.uneven", t.Imbalance)
	v.skew("traffic.key_skew", t.KeySkew)
	v.skew("traffic.tenant_skew", t.TenantSkew)
	v.notNegative("traffic.tenants", float64(t.Tenants))
	v.notNegative("traffic.quota", t.Quota)
	v.notNegative("traffic.retries", float64(t.Retries))
}

func (v *validator) zonesAndRegions() {
	for i, z := range v.scenario.Zones {
		v.uniqueName(fmt.Sprintf("zone[%d].name", i), z.Name, v.zones)
		v.regions[z.Region] = true
	}
}

func (v *validator) machineTypes() {
	names := map[string]bool{}
	for i, m := range v.scenario.Servers.MachineTypes {
		prefix := fmt.Sprintf("servers.kind[%d].", i)
		v.uniqueName(prefix+"name", m.Name, names)
		v.positive(prefix+"part", m.Share)
		v.positive(prefix+"cores", float64(m.Cores))
		v.positive(prefix+"speed", m.Speed)
	}
}

func (v *validator) classes() {
	if len(v.scenario.Classes) == 0 {
		v.report("class", "is missing, want at least one class")
	}
	names := map[string]bool{}
	for i, c := range v.scenario.Classes {
		prefix := fmt.Sprintf("class[%d].", i)
		v.uniqueName(prefix+"name", c.Name, names)
		v.idempotency(prefix, c)
		v.positive(prefix+"part", c.Share)
		v.positive(prefix+"work", c.Work.Seconds())
		v.notNegative(prefix+"work_var", c.WorkVariation)
		v.positive(prefix+"worth", c.PriorityWeight)
		v.fraction(prefix+"late_worth", c.LateWeight)
		v.positive(prefix+"aim", c.LatencyObjective.Seconds())
		if c.Deadline < c.LatencyObjective {
			v.report(prefix+"deadline", "is %v, want at least aim, %v", c.Deadline, c.LatencyObjective)
		}
	}
}

func (v *validator) idempotency(prefix string, c Class) {
	switch c.Idempotency {
	case Idempotent, NotIdempotent, IdempotentByKey:
	default:
		v.report(prefix+"effect", "is %q, want safe, keyed or unsafe", c.Idempotency)
	}
	if c.Idempotency != IdempotentByKey {
		if c.KeyScope != "" || c.KeyWindow != 0 {
			v.report(prefix+"effect", "is %q, want keyed where scope or window is set", c.Idempotency)
		}
		return
	}
	switch c.KeyScope {
	case ScopeAll, ScopeZone, ScopeCell:
	default:
		v.report(prefix+"scope", "is %q, want all, zone or cell", c.KeyScope)
	}
}

func (v *validator) event(prefix string, e Event) {
	rule, known := actionRules[e.Action]
	if !known {
		v.report(prefix+"do", "is %q, want one of %q", e.Action, Actions)
		return
	}
	if e.At >= v.scenario.Length {
		v.report(prefix+"at", "is %v, want less than length, %v", e.At, v.scenario.Length)
	}
	switch {
	case rule.hasDuration && e.Duration == 0:
		v.report(prefix+"for", "is 0s, want over 0 for %s", e.Action)
	case !rule.hasDuration && e.Duration != 0:
		v.report(prefix+"for", "is %v, want none for %s", e.Duration, e.Action)
	}
	switch {
	case rule.hasFactor && !(e.Factor > 0):
		v.report(prefix+"by", "is %v, want over 0 for %s", e.Factor, e.Action)
	case !rule.hasFactor && e.Factor != 0:
		v.report(prefix+"by", "is %v, want none for %s", e.Factor, e.Action)
	}
	v.eventLocation(prefix, e, rule)
	v.eventTargets(prefix, e, rule)
}

func (v *validator) eventLocation(prefix string, e Event, rule actionRule) {
	if rule.hasLocation && e.Zone == "" && e.Region == "" {
		v.report(prefix+"zone", "is missing, want a zone or a region for %s", e.Action)
	}
	if e.Zone != "" && e.Region != "" {
		v.report(prefix+"region", "is %q together with zone %q, want only one of the two", e.Region, e.Zone)
	}
	if e.Zone != "" && !v.zones[e.Zone] {
		v.report(prefix+"zone", "is %q, want the name of a zone", e.Zone)
	}
	if e.Region != "" && !v.regions[e.Region] {
		v.report(prefix+"region", "is %q, want the region of a zone", e.Region)
	}
}

func (v *validator) eventTargets(prefix string, e Event, rule actionRule) {
	hasTargets := rule.servers || rule.nodes
	if !(e.Fraction >= 0 && e.Fraction <= 1) || e.Fraction > 0 && !hasTargets {
		v.report(prefix+"part", "is %v, want a fraction from 0 to 1, and only for actions on servers or nodes", e.Fraction)
	}
	if e.Count < 0 || e.Count > 0 && (!hasTargets || e.Fraction > 0) {
		v.report(prefix+"count", "is %d, want 0 or more, only for actions on servers or nodes, and only without part", e.Count)
	}
	if e.Action == ChangeLists && e.Count == 0 {
		v.report(prefix+"count", "is 0, want the number of list changes")
	}
	if hasTargets && len(v.scenario.candidates(e)) == 0 {
		v.report(prefix+"do", "is %q, but its zone or region has no server or node to affect", e.Action)
	}
}

func (v *validator) bounds() {
	b := v.scenario.Bounds
	v.fraction("holds.served", b.Served)
	if b.Crashes != nil {
		v.notNegative("holds.falls", float64(*b.Crashes))
	}
}

// The conditions below are negated so that they reject NaN too.

func (v *validator) positive(key string, x float64) {
	if !(x > 0) {
		v.report(key, "is %v, want over 0", x)
	}
}

func (v *validator) notNegative(key string, x float64) {
	if !(x >= 0) {
		v.report(key, "is %v, want 0 or more", x)
	}
}

func (v *validator) fraction(key string, x float64) {
	if !(x >= 0 && x <= 1) {
		v.report(key, "is %v, want a fraction from 0 to 1", x)
	}
}

func (v *validator) skew(key string, x float64) {
	if x != 0 && !(x > 1) {
		v.report(key, "is %v, want over 1, or 0 for a uniform distribution", x)
	}
}

// uniqueName reports a name that is empty or in seen, and adds it to seen.
func (v *validator) uniqueName(key, name string, seen map[string]bool) {
	if name == "" || seen[name] {
		v.report(key, "is %q, want a unique and non-empty name", name)
	}
	seen[name] = true
}
