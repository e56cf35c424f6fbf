package balancer

import "time"

// Idempotency says whether a request may be executed more than once.
type Idempotency int

const (
	// NotIdempotent requests must never run twice.
	NotIdempotent Idempotency = iota
	// IdempotentByKey requests carry an idempotency key. The endpoints of a deduplication scope share the keys that
	// they have seen and do not execute a repeated request.
	IdempotentByKey
	// Idempotent requests may run any number of times.
	Idempotent
)

// DeduplicationScope is the group of endpoints that share the idempotency keys that they have seen.
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
	PriorityWeight   float64       // value of one response within the objective, in a unit that all classes share
	LatencyObjective time.Duration // a response within this time has its full value; 0: no objective
	ObjectivePerWork float64       // the objective grows by this many times the request's work
	Deadline         time.Duration // how long the client waits in total, over all its tries
	LateWeight       float64       // fraction of the value, 0 to 1, that a response past the objective keeps
	Idempotency      Idempotency

	// DeduplicationScope and DeduplicationWindow apply to IdempotentByKey: which endpoints recognize a repeated
	// request, and for how long after the first attempt.
	DeduplicationScope  DeduplicationScope
	DeduplicationWindow time.Duration

	Streamed            bool     // the response is a stream
	AllowedZones        []string // zones to which its requests may be sent; nil: all, empty: none
	AllowedMachineTypes []string // machine types to which its requests may be sent; nil: all, empty: none
}

// Tenant is a customer with a guaranteed quota.
type Tenant struct {
	Name          string
	Quota         float64 // requests per second over all nodes
	QuotaFraction float64 // the quota as a fraction of all traffic, as stated in the settings
}

// Settings describe the node, the service and the rules. Fields whose comments state no unit are counts, names or
// ratios.
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
	MaxAttempts         int  // per request
	HedgingAllowed      bool // two attempts of a request may be in flight at once
	CancelAllowed       bool // CancelAttempt is allowed
	HealthChecksAllowed bool // HealthCheck is allowed
	GossipAllowed       bool // SendMessage is allowed

	// Clients.
	RetryAfterAllowed  bool          // clients are given Reject.RetryAfter
	MaxRetryAfter      time.Duration // the longest Retry-After that clients follow
	ClientsMarkRetries bool          // RequestArrived.IsRetry is set

	// The value of requests.
	OverQuotaWeight float64 // value of a request over its tenant's quota, as a fraction of its class's PriorityWeight
	PriorityByWork  bool    // PriorityWeight is the value per unit of work, not per request
	ResultWeights   ResultWeights
	ResultPenalties ResultPenalties

	// The endpoint list.
	EndpointsOnDemand bool // endpoint updates come only after Subscribe or FetchEndpoints
	WeightKnown       bool // Endpoint.Weight depends on the machine's capacity
	WeightApproximate bool // Endpoint.Weight is not exact
	WeightDynamic     bool // Endpoint.Weight falls as the endpoint's load grows

	// Load reports.
	LoadReportSource LoadReportSource
	LoadReportFields []string // names of the values in load reports

	// Connections and calls.
	ConnectTimeout        time.Duration
	StreamsPerConnection  int           // attempts that one connection carries at once
	IdleConnectionTimeout time.Duration // endpoints close a connection that has been idle for this long
	KeyAffinity           bool          // a request takes less work at an endpoint that has recently seen its key
	PropagatesDeadline    bool          // an endpoint's calls to the next tier carry the time left until the deadline

	// Limits of this node.
	MinEventInterval time.Duration // events come no closer together than this
	MaxOpenRequests  int           // requests that the node may have open at once; 0: no limit
	CPUPerSecond     time.Duration // processor time for decisions in each second; 0: no limit
	CPUPerRequest    time.Duration // processor time for decisions on one request and its outcomes; 0: no limit

	// Time limits.
	ResponseSlack     time.Duration // a final answer up to this long past the deadline still counts
	PollInterval      time.Duration // without a subscription, poll for the endpoint list at least this often
	DrainGrace        time.Duration // sends to an endpoint must stop within this time of its draining or removal
	DrainCloseTimeout time.Duration // close idle connections to a draining endpoint within this time; 0: no such rule

	// Slow start.
	SlowStartCapacity float64       // least fraction of its full capacity, 0 to 1, that an endpoint has at its start
	SlowStartDuration time.Duration // an endpoint has its full capacity this long after its start
	OverloadFactor    float64       // multiple of its capacity above which an endpoint that warms up collapses
	OverloadDuration  time.Duration // how long its load must exceed that for it to collapse
}

// ResultWeights are the weights of the parts of the result by which the operators rate a fleet.
type ResultWeights struct {
	Whole       float64
	WorstWindow float64
	WorstClass  float64
	WorstTenant float64
}

// ResultPenalties are the points deducted from the result, each for one unit of what the field names.
type ResultPenalties struct {
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

// LoadReportSource is the way by which load reports reach a node.
type LoadReportSource int

const (
	// NoLoadReports means that endpoints send no load reports.
	NoLoadReports LoadReportSource = iota
	// LoadReportsByHealthCheck means that only the results of health checks carry load reports.
	LoadReportsByHealthCheck
	// LoadReportsByResponse means that the outcomes of attempts carry load reports too.
	LoadReportsByResponse
)
