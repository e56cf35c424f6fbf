// Package scenario describes a run of the lab: a fleet of nodes, the servers
// behind them, their discovery, the traffic and what goes wrong. The same file
// serves runs with real processes and runs with hollow nodes.
//
// [Load] reads a file strictly and fills in defaults for what it leaves out.
// [Scenario.Node], [Scenario.Server] and [Scenario.Steps] say where each node
// and server is and which of them an event affects when, alike for both kinds
// of run. [Scenario.NodeConfig] writes the configuration of a node.
package scenario

// Scenario is one file.
type Scenario struct {
	Name      string    `toml:"name"`   // default: that of the file
	About     string    `toml:"about"`  // what the run shows
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
	Bounds    Bounds    `toml:"holds"` // what must hold at the end
}

// Zone is a place where servers and nodes fail together.
type Zone struct {
	Name   string `toml:"name"`
	Region string `toml:"region"` // zones of one region are near each other
}

// Fleet describes the nodes, which are spread over the zones in turn.
type Fleet struct {
	Nodes             int      `toml:"nodes"`
	Cores             float64  `toml:"cores"` // that a node may use
	MemoryMB          int      `toml:"memory_mb"`
	Sockets           int      `toml:"sockets"`
	MaxOpenRequests   int      `toml:"max_open"`     // of a node
	MaxAttempts       int      `toml:"max_attempts"` // for one request
	CancelAllowed     bool     `toml:"may_cancel"`
	HedgingAllowed    bool     `toml:"may_overlap"`
	RetryAfterAllowed bool     `toml:"retry_after"`  // rejections may carry Retry-After
	StartSpread       Duration `toml:"start_spread"` // nodes start evenly over it, before the traffic
	RestartTime       Duration `toml:"restart"`      // for which a restarted node is away
}

// Network is the network between nodes and servers. Times are one way; an
// exponential part with mean Jitter is added to them.
type Network struct {
	SameZone       Duration `toml:"same_zone"`
	SameRegion     Duration `toml:"same_region"`
	CrossRegion    Duration `toml:"cross_region"`
	Jitter         Duration `toml:"jitter"`
	ConnectTimeout Duration `toml:"connect_timeout"`
	LateDials      float64  `toml:"late_dials"` // fraction of new connections that are established late
	LateBy         Duration `toml:"late_by"`    // at most
}

// Servers describes the backends. They are spread over the zones in turn, and
// the machine types over each zone.
type Servers struct {
	Count           int           `toml:"count"`
	Services        int           `toml:"services"` // over which they are spread; present nodes know one
	CellSize        int           `toml:"cell_size"`
	MachineTypes    []MachineType `toml:"kind"`         // default: one
	QueueLimit      int           `toml:"queue"`        // requests that may wait at one
	MaxConnections  int           `toml:"connections"`  // of one
	Handshake       Duration      `toml:"handshake"`    // work of a new connection
	IdleTimeout     Duration      `toml:"idle_close"`   // of connections
	InitialCapacity float64       `toml:"cold_from"`    // fraction of the capacity at the start
	WarmupTime      Duration      `toml:"cold_time"`    // until the capacity is complete
	CrashFactor     float64       `toml:"fall_factor"`  // a server that warms up crashes under more load than this multiple
	CrashWindow     Duration      `toml:"fall_time"`    // of its capacity for this long,
	CrashDowntime   Duration      `toml:"fall_rest"`    // and stays down for this long
	Deduplicate     bool          `toml:"dedup"`        // idempotency keys are remembered within their scope
	FailureRate     float64       `toml:"failing_part"` // fraction of all responses that are 500
}

// MachineType is a type of server machine.
type MachineType struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"part"` // of the servers, relative to the other types' shares
	Cores int     `toml:"cores"`
	Speed float64 `toml:"speed"` // of a core; work is measured on a core of speed 1
}

// Discovery describes the emulated discovery.
type Discovery struct {
	OnDemand     bool     `toml:"asked"`       // nodes request the list; else it is pushed to an agent beside each node
	Delay        Duration `toml:"delay"`       // from a change to the agents, or to the service
	DelaySpread  Duration `toml:"spread"`      // additional, drawn for each node
	ResponseTime Duration `toml:"answer"`      // work of a response
	DrainGrace   Duration `toml:"drain_grace"` // after which no request goes to a server listed as draining or removed
	PollInterval Duration `toml:"ask_within"`  // on demand: age at which a change counts as notified without a watch
}

// Traffic describes what clients send. Arrivals are drawn ahead and wait for
// nothing.
type Traffic struct {
	Rate          float64  `toml:"rate"`         // requests a second, whole fleet
	Imbalance     float64  `toml:"uneven"`       // standard deviation of the logarithm of a node's share; 0: all nodes alike
	Keys          int      `toml:"keys"`         // subjects of requests
	KeySkew       float64  `toml:"key_skew"`     // exponent of their Zipf distribution; over 1, or 0: uniform
	Tenants       int      `toml:"tenants"`      // 0: none
	TenantSkew    float64  `toml:"tenant_skew"`  // as KeySkew
	Quota         float64  `toml:"quota"`        // of a tenant, requests a second over all nodes
	Retries       int      `toml:"retries"`      // additional tries of a client, where they do no harm
	Backoff       Duration `toml:"backoff"`      // mean wait before such a try without Retry-After
	FailoverDelay Duration `toml:"front_notice"` // after which clients of a dead node are sent to others of its zone
	Connections   int      `toml:"connections"`  // of clients to a real node
}

// Idempotency says what a second execution of a request does.
type Idempotency string

// Values of Idempotency.
const (
	Idempotent      Idempotency = "safe"   // no harm
	IdempotentByKey Idempotency = "keyed"  // no harm where its key is remembered
	NotIdempotent   Idempotency = "unsafe" // harm
)

// Values of Class.KeyScope: the servers that share the keys they remember.
const (
	ScopeAll  = "all"
	ScopeZone = "zone"
	ScopeCell = "cell"
)

// Class is a class of requests.
type Class struct {
	Name             string      `toml:"name"`
	Share            float64     `toml:"part"` // of the requests, relative to the other classes' shares
	Idempotency      Idempotency `toml:"effect"`
	KeyScope         string      `toml:"scope"`    // with IdempotentByKey
	KeyWindow        Duration    `toml:"window"`   // for which keys are remembered; with IdempotentByKey
	Work             Duration    `toml:"work"`     // mean, on a core of speed 1
	WorkVariation    float64     `toml:"work_var"` // coefficient of variation: 0 constant, 1 exponential, else gamma
	PriorityWeight   float64     `toml:"worth"`
	LateWeight       float64     `toml:"late_worth"` // fraction of the weight that remains after the objective
	LatencyObjective Duration    `toml:"aim"`
	Deadline         Duration    `toml:"deadline"` // over all tries
}

// RepeatableAnywhere reports whether a request of the class may be executed
// again at any server, within its key's window.
func (c *Class) RepeatableAnywhere() bool {
	return c.Idempotency == Idempotent || c.Idempotency == IdempotentByKey && c.KeyScope == ScopeAll
}

// Bounds are what a run must keep; 0: no bound.
type Bounds struct {
	Served        float64  `toml:"served"`           // least fraction of the weight that is served
	Attempts      float64  `toml:"attempts"`         // most attempts a request
	P99           Duration `toml:"p99"`              // of the latency of served requests
	ListRate      float64  `toml:"list_bytes"`       // list traffic in bytes/s, mean node
	WorstListRate float64  `toml:"worst_list_bytes"` // list traffic in bytes/s, worst node
	Recovery      Duration `toml:"recovery"`         // from the last event's end to nine tenths of the weight served before
	Crashes       *int     `toml:"falls"`            // of servers that warm up
}
