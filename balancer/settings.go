package balancer

import "time"

// Idempotency says what a second execution of a request would do.
type Idempotency int

const (
	// NotIdempotent requests must never run twice.
	NotIdempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key, by which the endpoints of a deduplication scope drop
	// repeats.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// DeduplicationScope is the group of endpoints that share their knowledge of idempotency keys.
type DeduplicationScope int

const (
	// DeduplicatedByCell means that the endpoints of one cell share their keys.
	DeduplicatedByCell DeduplicationScope = iota
	// DeduplicatedByZone means that the endpoints of one zone share their keys.
	DeduplicatedByZone
	// DeduplicatedByFleet means that all endpoints share their keys.
	DeduplicatedByFleet
)

// Class describes one kind of request.
type Class struct {
	Name             string
	PriorityWeight   float64       // value of one response in time; any unit, comparable between classes
	LatencyObjective time.Duration // a response within this time has its full value; 0: no objective
	ObjectivePerWork float64       // the objective grows by this many times the request's work
	Deadline         time.Duration // the client's total patience, over all its tries
	LateWeight       float64       // part of the value, 0 to 1, that a response past the objective has
	Idempotency      Idempotency

	// DeduplicationScope and DeduplicationWindow hold for IdempotentByKey: which endpoints drop repeats, and for
	// how long after the first attempt.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration

	Streamed            bool     // the response is a stream
	AllowedZones        []string // where its requests may go; nil: everywhere, empty: nowhere
	AllowedMachineTypes []string // the same, by machine type
}

// Tenant is a customer with a guaranteed quota.
type Tenant struct {
	Name          string
	Quota         float64 // requests per second over all nodes
	QuotaFraction float64 // the quota as a part of all traffic, as the settings state it
}

// Settings describe the node, the service and the rules. Fields without a unit in their comment are counts, names or
// plain ratios.
type Settings struct {
	// The node.
	Nodes     int // nodes that balance over the same endpoints
	NodeIndex int // this node's number among them, from 0
	Zone      string

	// The service.
	ServiceFamily string // the kind of service
	Zones         []string
	MachineTypes  []string
	Tiers         []string
	Tier          int // the tier that this node sends to, as an index of Tiers
	Classes       []Class
	Tenants       []Tenant

	// What this node may do.
	MaxAttempts         int  // for one request
	HedgingAllowed      bool // two attempts of a request may be in flight at once
	CancelAllowed       bool // CancelAttempt is allowed
	HealthChecksAllowed bool // HealthCheck is allowed
	GossipAllowed       bool // SendMessage is allowed

	// Clients.
	RetryAfterAllowed  bool          // clients are given Reject.RetryAfter
	MaxRetryAfter      time.Duration // the longest Retry-After that clients follow
	ClientsMarkRetries bool          // RequestArrived.IsRetry is set

	// The value of requests.
	OverQuotaWeight float64 // value of a request over its tenant's quota, as a part of the class's
	PriorityByWork  bool    // priority weights count per unit of work, not per request
	Goal            Goal
	Costs           Costs

	// The endpoint list.
	EndpointsOnDemand bool // endpoint updates come only after Subscribe or FetchEndpoints
	WeightKnown       bool // Endpoint.Weight depends on the machine's capacity
	WeightApproximate bool // it is not exact
	WeightDynamic     bool // it falls as the endpoint fills up

	// Load reports.
	LoadReportSource LoadReportSource
	LoadReportFields []string // names of the values in them

	// Connections and calls.
	ConnectTimeout        time.Duration
	StreamsPerConnection  int           // attempts that one connection carries at once
	IdleConnectionTimeout time.Duration // endpoints close a connection that has been idle for this long
	KeyAffinity           bool          // an endpoint that has lately seen a key needs less work for it
	PropagatesDeadline    bool          // an endpoint's calls to the next tier carry what is left of the deadline

	// Limits of this node.
	MinEventInterval time.Duration // events come no closer together than this
	MaxOpenRequests  int           // requests that it may have open; 0: no limit
	CPUPerSecond     time.Duration // processor time for decisions in each second; 0: no limit
	CPUPerRequest    time.Duration // the same for one request with its outcomes; 0: no limit

	// Time limits.
	ResponseSlack     time.Duration // a final answer this long past the deadline still counts
	PollInterval      time.Duration // without a subscription, poll for the endpoint list at least this often
	DrainGrace        time.Duration // sends to a draining endpoint must have stopped by then
	DrainCloseTimeout time.Duration // idle connections to it must be closed by then; 0: no such rule

	// Slow start.
	SlowStartCapacity float64       // part of its capacity, 0 to 1, with which an endpoint starts at least
	SlowStartDuration time.Duration // a started endpoint has its full capacity after this time
	OverloadFactor    float64       // an endpoint that warms up collapses beyond this multiple of its capacity
	OverloadDuration  time.Duration // if that lasts for this long
}

// Goal weighs the parts of the result by which the operators judge a fleet.
type Goal struct {
	Whole       float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// Costs are points off the result, each for one unit of what it names.
type Costs struct {
	Connection     float64
	Handshake      float64
	CrossZone      float64
	Waste          float64
	LateFailure    float64
	HealthCheck    float64
	Gossip         float64
	Migration      float64
	Origin         float64
	EndpointUpdate float64
	Fleet          float64
}

// LoadReportSource is the way in which load reports reach a node.
type LoadReportSource int

const (
	// NoLoadReports means that there are none.
	NoLoadReports LoadReportSource = iota
	// LoadReportsByHealthCheck means that only the results of health checks carry them.
	LoadReportsByHealthCheck
	// LoadReportsByResponse means that the outcomes of attempts carry them too.
	LoadReportsByResponse
)
