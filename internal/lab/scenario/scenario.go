// Package scenario describes a run of the lab: a fleet of nodes, the servers
// behind them, their discovery, the traffic and the events, such as faults. The
// same file serves runs with real processes and runs with hollow nodes.
//
// [Load] rejects unknown keys and invalid values, and sets defaults for keys that
// a file leaves out. [Scenario.Node], [Scenario.Server] and [Scenario.Steps] give
// the zone of each node and server, and which of them an event affects when, the
// same for both kinds of run. [Scenario.NodeConfig] returns the configuration of
// a node.
package scenario

// Scenario is the content of a scenario file.
type Scenario struct {
	Name      string    `toml:"name"`   // default: the file's name without .toml
	About     string    `toml:"about"`  // description of what the run shows
	Seed      uint64    `toml:"seed"`   // of all random draws
	Length    Duration  `toml:"length"` // of the traffic, warm-up included
	Warmup    Duration  `toml:"warm"`   // at the start of the traffic, left out of the results
	Fleet     Fleet     `toml:"fleet"`
	Network   Network   `toml:"net"`
	Servers   Servers   `toml:"servers"`
	Discovery Discovery `toml:"discovery"`
	Traffic   Traffic   `toml:"traffic"`
	Zones     []Zone    `toml:"zone"`  // default: one
	Classes   []Class   `toml:"class"` // at least one
	Events    []Event   `toml:"event"` // may overlap
	Bounds    Bounds    `toml:"holds"` // checked at the end of the run
}

// Zone is a failure domain of servers and nodes.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"` // zones of one region are near each other; default: Name
}

// Fleet describes the nodes, which are assigned to the zones round-robin. Limits
// are per node.
type Fleet struct {
	Nodes             int      `toml:"nodes"`
	Cores             float64  `toml:"cores"` // cores that a node may use
	MemoryMB          int      `toml:"memory_mb"`
	Sockets           int      `toml:"sockets"`
	MaxOpenRequests   int      `toml:"max_open"`     // requests open at once
	MaxAttempts       int      `toml:"max_attempts"` // per request
	CancelAllowed     bool     `toml:"may_cancel"`
	HedgingAllowed    bool     `toml:"may_overlap"`
	RetryAfterAllowed bool     `toml:"retry_after"`  // rejections may carry Retry-After
	StartSpread       Duration `toml:"start_spread"` // time before the traffic over which node starts are spread evenly
	RestartTime       Duration `toml:"restart"`      // from the end of a node to its next start
}

// Network describes the network between nodes and servers. SameZone, SameRegion
// and CrossRegion are one-way delays; an exponentially distributed delay with mean
// Jitter is added to them.
type Network struct {
	SameZone       Duration `toml:"same_zone"`
	SameRegion     Duration `toml:"same_region"`
	CrossRegion    Duration `toml:"cross_region"`
	Jitter         Duration `toml:"jitter"`
	ConnectTimeout Duration `toml:"connect_timeout"`
	LateDials      float64  `toml:"late_dials"` // fraction of new connections that are established late
	LateBy         Duration `toml:"late_by"`    // maximum; the extra delay is uniformly distributed
}

// Servers describes the backends. They are assigned to the zones round-robin, and
// the machine types are spread over the servers of each zone.
type Servers struct {
	Count           int           `toml:"count"`
	Services        int           `toml:"services"`     // number of their services; unused: nodes support only one
	CellSize        int           `toml:"cell_size"`    // servers per cell
	MachineTypes    []MachineType `toml:"kind"`         // default: one
	QueueLimit      int           `toml:"queue"`        // requests that may wait at a server
	MaxConnections  int           `toml:"connections"`  // open at once to a server
	Handshake       Duration      `toml:"handshake"`    // work of a new connection, on a core of speed 1
	IdleTimeout     Duration      `toml:"idle_close"`   // after which a server closes an idle connection
	InitialCapacity float64       `toml:"cold_from"`    // fraction of its capacity with which a server starts
	WarmupTime      Duration      `toml:"cold_time"`    // from the start to full capacity
	CrashFactor     float64       `toml:"fall_factor"`  // multiple of its capacity over which a warming server crashes
	CrashWindow     Duration      `toml:"fall_time"`    // time over which the load for CrashFactor is measured
	CrashDowntime   Duration      `toml:"fall_rest"`    // from a crash to the next start
	Deduplicate     bool          `toml:"dedup"`        // servers remember idempotency keys within the class's KeyScope
	FailureRate     float64       `toml:"failing_part"` // fraction of all responses that are 500
}

// MachineType is a type of machine that servers run on.
type MachineType struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"part"` // of the servers, relative to the other types' shares
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core; Work and Handshake are times on a core of speed 1
}

// Discovery describes the emulated discovery service.
type Discovery struct {
	OnDemand     bool     `toml:"asked"`       // nodes request the list; else it is pushed to an agent beside each node
	Delay        Duration `toml:"delay"`       // from a change until the agents have it or, on demand, the service
	DelaySpread  Duration `toml:"spread"`      // maximum additional delay to an agent, drawn for each node
	ResponseTime Duration `toml:"answer"`      // on demand: time that the service takes for a response
	DrainGrace   Duration `toml:"drain_grace"` // after which no request goes to a server listed as draining or removed
	PollInterval Duration `toml:"ask_within"`  // on demand: without a watch, nodes must poll at least this often
}

// Traffic describes what clients send. It is open-loop: the arrival times are
// drawn ahead and do not depend on responses.
type Traffic struct {
	Rate          float64  `toml:"rate"`         // requests per second to the whole fleet
	Imbalance     float64  `toml:"uneven"`       // standard deviation of the log of a node's share; 0: equal shares
	Keys          int      `toml:"keys"`         // number of subjects that requests are about; not idempotency keys
	KeySkew       float64  `toml:"key_skew"`     // exponent of the subjects' Zipf distribution, over 1; 0: uniform
	Tenants       int      `toml:"tenants"`      // number of tenants; 0: requests have no tenant
	TenantSkew    float64  `toml:"tenant_skew"`  // as KeySkew, for tenants
	Quota         float64  `toml:"quota"`        // of each tenant, in requests per second over all nodes
	Retries       int      `toml:"retries"`      // maximum additional tries, where another execution does no harm
	Backoff       Duration `toml:"backoff"`      // mean wait before an additional try without Retry-After
	FailoverDelay Duration `toml:"front_notice"` // time until first tries go from a killed node to others of its zone
	Connections   int      `toml:"connections"`  // of clients to a node, with real processes only
}

// Idempotency says what a second execution of a request does.
type Idempotency string

// Values of Idempotency.
const (
	Idempotent      Idempotency = "safe"   // no harm
	IdempotentByKey Idempotency = "keyed"  // no harm at servers that remember its key
	NotIdempotent   Idempotency = "unsafe" // harm
)

// Values of Class.KeyScope: the set of servers that share remembered idempotency
// keys.
const (
	ScopeAll  = "all"
	ScopeZone = "zone"
	ScopeCell = "cell"
)

// Class describes one class of requests.
type Class struct {
	Name             string      `toml:"name"`
	Share            float64     `toml:"part"` // of the requests, relative to the other classes' shares
	Idempotency      Idempotency `toml:"effect"`
	KeyScope         string      `toml:"scope"`    // with IdempotentByKey
	KeyWindow        Duration    `toml:"window"`   // time for which keys are remembered; with IdempotentByKey
	Work             Duration    `toml:"work"`     // mean execution time on a core of speed 1
	WorkVariation    float64     `toml:"work_var"` // coefficient of variation: 0 constant, 1 exponential, else gamma
	PriorityWeight   float64     `toml:"worth"`
	LateWeight       float64     `toml:"late_worth"` // fraction of the weight that a response after the objective has
	LatencyObjective Duration    `toml:"aim"`
	Deadline         Duration    `toml:"deadline"` // of the client's request, over all tries
}

// RepeatableAnywhere reports whether any server may execute a request of the class
// again without harm; with IdempotentByKey, only within KeyWindow.
func (c *Class) RepeatableAnywhere() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll
}

// Bounds are limits that the results of a run must keep; 0: no bound. A run has
// recovered once it serves nine tenths of the fraction of the weight that it served
// before the first event.
type Bounds struct {
	Served        float64  `toml:"served"`           // minimum fraction of the weight that is served
	Attempts      float64  `toml:"attempts"`         // maximum mean number of attempts per request
	P99           Duration `toml:"p99"`              // maximum 99th percentile of the latency of served requests
	ListRate      float64  `toml:"list_bytes"`       // maximum list traffic in bytes/s, mean of the nodes
	WorstListRate float64  `toml:"worst_list_bytes"` // maximum list traffic in bytes/s of any node
	Recovery      Duration `toml:"recovery"`         // maximum time from the end of the last event to the recovery
	Crashes       *int     `toml:"falls"`            // maximum number of crashes of servers that warm up; nil: no bound
}
