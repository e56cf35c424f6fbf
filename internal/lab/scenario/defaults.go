package scenario

import "time"

// defaults is what a file leaves out. The figures of servers and rules are those
// of the example settings on the wire's page.
func defaults() Scenario {
	const (
		ms = Duration(time.Millisecond)
		s  = Duration(time.Second)
	)
	return Scenario{
		Seed:   1,
		Length: 10 * s,
		Warmup: 2 * s,
		Fleet: Fleet{
			Nodes:             3,
			Cores:             1,
			MemoryMB:          192,
			Sockets:           1024,
			MaxOpenRequests:   20000,
			MaxAttempts:       3,
			CancelAllowed:     true,
			RetryAfterAllowed: true,
			RestartTime:       2 * s,
		},
		Network: Network{
			SameZone:       ms / 4,
			SameRegion:     ms,
			CrossRegion:    20 * ms,
			Jitter:         ms / 10,
			ConnectTimeout: 150 * ms,
			LateBy:         100 * ms,
		},
		Servers: Servers{
			Count:          12,
			Services:       1,
			CellSize:       4,
			QueueLimit:     64,
			MaxConnections: 1024,
			Handshake:      ms,
			IdleTimeout:    60 * s,
			ColdCapacity:   0.12,
			WarmupTime:     23 * s,
			CrashFactor:    4,
			CrashWindow:    s,
			CrashDowntime:  10 * s,
			Deduplicate:    true,
		},
		Discovery: Discovery{
			Delay:        100 * ms,
			DelaySpread:  100 * ms,
			ResponseTime: ms,
			DrainGrace:   s,
			PollInterval: 10 * s,
		},
		Traffic: Traffic{
			Rate:          100,
			Keys:          1000,
			Quota:         5,
			Retries:       2,
			Backoff:       200 * ms,
			FailoverDelay: 2 * s,
			Connections:   64,
		},
	}
}

// defaultKeyWindow is how long keys are remembered where a class does not say.
const defaultKeyWindow = Duration(5 * time.Second)

// fillDefaults fills in what defaults cannot: lists and their entries.
func (s *Scenario) fillDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []Zone{{Name: "a", Region: "a"}}
	}
	for i := range s.Zones {
		setDefault(&s.Zones[i].Region, s.Zones[i].Name)
	}
	if len(s.Servers.MachineTypes) == 0 {
		s.Servers.MachineTypes = []MachineType{{Name: "m1", Share: 1, Cores: 2, Speed: 1}}
	}
	for i := range s.Servers.MachineTypes {
		m := &s.Servers.MachineTypes[i]
		setDefault(&m.Share, 1)
		setDefault(&m.Cores, 1)
		setDefault(&m.Speed, 1)
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		setDefault(&c.Share, 1)
		setDefault(&c.PriorityWeight, 1)
		if c.Idempotency == IdempotentByKey {
			setDefault(&c.KeyScope, ScopeAll)
			setDefault(&c.KeyWindow, defaultKeyWindow)
		}
	}
}

// setDefault replaces a zero value.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
