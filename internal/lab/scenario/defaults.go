package scenario

import "time"

const (
	millisecond = Duration(time.Millisecond)
	second      = Duration(time.Second)
)

// defaults returns the values of keys that a file leaves out. The values for the
// servers and for the rules that nodes must follow are those of the example
// settings in the documentation of the wire protocol.
func defaults() Scenario {
	return Scenario{
		Seed:   1,
		Length: 10 * second,
		Warmup: 2 * second,
		Fleet: Fleet{
			Nodes:             3,
			Cores:             1,
			MemoryMB:          192,
			Sockets:           1024,
			MaxOpenRequests:   20000,
			MaxAttempts:       3,
			CancelAllowed:     true,
			RetryAfterAllowed: true,
			RestartTime:       2 * second,
		},
		Network: Network{
			SameZone:       millisecond / 4,
			SameRegion:     millisecond,
			CrossRegion:    20 * millisecond,
			Jitter:         millisecond / 10,
			ConnectTimeout: 150 * millisecond,
			LateBy:         100 * millisecond,
		},
		Servers: defaultServers(),
		Discovery: Discovery{
			Delay:        100 * millisecond,
			DelaySpread:  100 * millisecond,
			ResponseTime: millisecond,
			DrainGrace:   second,
			PollInterval: 10 * second,
		},
		Traffic: Traffic{
			Rate:          100,
			Keys:          1000,
			Quota:         5,
			Retries:       2,
			Backoff:       200 * millisecond,
			FailoverDelay: 2 * second,
			Connections:   64,
		},
	}
}

func defaultServers() Servers {
	return Servers{
		Count:           12,
		Services:        1,
		CellSize:        4,
		QueueLimit:      64,
		MaxConnections:  1024,
		Handshake:       millisecond,
		IdleTimeout:     60 * second,
		InitialCapacity: 0.12,
		WarmupTime:      23 * second,
		CrashFactor:     4,
		CrashWindow:     second,
		CrashDowntime:   10 * second,
		Deduplicate:     true,
	}
}

// defaultKeyWindow is how long servers remember idempotency keys of a class
// without a window.
const defaultKeyWindow = Duration(5 * time.Second)

// fillDefaults sets the defaults of lists and of their entries, which are known
// only after the file is decoded.
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

// setDefault sets *v to value if it is zero, even if the file says zero.
func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
