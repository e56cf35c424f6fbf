package balancer

import "time"

// Time is a reading of the caller's monotonic clock, whose zero is arbitrary.
type Time = time.Duration

// EndpointID identifies an endpoint. It is opaque.
type EndpointID uint32

// RequestID identifies one try of a client's request. It is opaque.
type RequestID string

// EndpointState is the state of an endpoint according to discovery.
type EndpointState int

const (
	// Ready endpoints accept requests.
	Ready EndpointState = iota
	// Draining endpoints finish the requests that they hold and accept no others.
	Draining
	// Removed endpoints are no longer on the endpoint list.
	Removed
)

// Endpoint is an entry of the endpoint list: one process of a backend.
type Endpoint struct {
	ID          EndpointID
	Zone        string
	MachineType string
	Cell        int
	State       EndpointState
	Weight      float64 // capacity relative to other endpoints
	StartedAt   Time    // start of its process; 0: long ago, so that it needs no slow start
}

// UpdateKind is the form of an EndpointUpdate.
type UpdateKind int

const (
	// IncrementalUpdate contains only the entries that changed.
	IncrementalUpdate UpdateKind = iota
	// FullUpdate contains all entries; an endpoint that is not among them has been removed.
	FullUpdate
	// CachedUpdate contains all entries that this node last knew; they may be out of date.
	CachedUpdate
	// FailedUpdate contains no entries: a poll failed or the subscription broke.
	FailedUpdate
)

// Outcome is how an attempt or a health check ended.
type Outcome int

const (
	// OK means that the endpoint served the request.
	OK Outcome = iota
	// ServerError means that the endpoint failed to serve the request; the request may have run.
	ServerError
	// Rejected means that the endpoint rejected the request without executing it.
	Rejected
	// TimedOut means that no response came in time; the request may have run, or may still run.
	TimedOut
	// ConnectFailed means that the request was never sent.
	ConnectFailed
	// Reset means that the connection broke; the request may have run.
	Reset
	// Canceled means that this node canceled the attempt; the request may have run.
	Canceled
	// NotSent means that the request was never sent, and that the endpoint is not the cause: the request was over, or
	// this node lacked a resource.
	NotSent
	// BadRequest means that no endpoint could process the request, because of a fault of the client; the request may
	// have run.
	BadRequest
)

// String returns the outcome's name for logs.
func (o Outcome) String() string {
	names := [...]string{OK: "ok", ServerError: "server error", Rejected: "rejected", TimedOut: "timed out",
		ConnectFailed: "connect failed", Reset: "connection reset", Canceled: "canceled", NotSent: "not sent",
		BadRequest: "bad request"}
	if o < 0 || int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}

// mayHaveRun reports whether an attempt with this outcome may have executed the request.
func (o Outcome) mayHaveRun() bool {
	return o != Rejected && o != ConnectFailed && o != NotSent
}

// LoadReport is the load that an endpoint reports about itself. It arrives late and is not exact.
type LoadReport struct {
	InFlight    float64 // requests held; valid if HasInFlight
	Queued      float64 // the part of InFlight that waits to be processed; valid if HasQueued
	HasInFlight bool
	HasQueued   bool
	Utilization float64 // 0 if absent
	ServiceTime time.Duration
	Rate        float64 // requests per second
	ErrorRate   float64 // errors per second
}

// Event is something that happened outside the balancer. The types below are its only implementations.
type Event interface{ event() }

// Events.
type (
	// RequestArrived is a new request. The balancer must give it one final answer: a Send whose attempt is served,
	// Reject or Fail.
	RequestArrived struct {
		ID          RequestID
		Class       string
		Tenant      string
		Key         string        // affinity key: names what the request is about; empty if it carries none
		Timeout     time.Duration // until the client stops waiting for this try
		WorkHint    time.Duration // expected work; valid if HasWorkHint
		HasWorkHint bool
		IsRetry     bool // the client has tried before
		Write       bool
	}
	// EndpointUpdate is an update of the endpoint list, or a failure to get one.
	EndpointUpdate struct {
		Kind      UpdateKind
		Version   uint64
		Endpoints []Endpoint
	}
	// AttemptEnded is the outcome of an attempt. Each Send is followed by one.
	AttemptEnded struct {
		ID          RequestID
		Attempt     int
		Endpoint    EndpointID
		RequestDone bool // the request has had its final answer
		Elapsed     time.Duration
		SinceSent   time.Duration // the part of Elapsed since the request's last byte was sent; 0: all of it
		Outcome     Outcome
		Report      *LoadReport // nil if none came
	}
	// StreamStarted means that a streamed response has begun.
	StreamStarted struct {
		ID       RequestID
		Attempt  int
		Endpoint EndpointID
		Elapsed  time.Duration
	}
	// RequestAbandoned means that the request needs no answer from the balancer, for example because its client has
	// disconnected.
	RequestAbandoned struct{ ID RequestID }
	// DeadlineExceeded means that the request's final answer is due. Reject or Fail answers it at once, unless a
	// stream has begun. The event is not needed if timers and outcomes reach the Balancer in time: it then gives the
	// request up by itself.
	DeadlineExceeded struct{ ID RequestID }
	// HealthCheckEnded is the result of a HealthCheck.
	HealthCheckEnded struct {
		Endpoint EndpointID
		Outcome  Outcome
		Elapsed  time.Duration
		Report   *LoadReport // nil if none came
	}
	// MessageReceived is a message from another node. It is ignored.
	MessageReceived struct {
		From int
		Data []byte
	}
	// TimerFired means that the timer of a SetTimer with this token has expired.
	TimerFired struct{ Token int64 }
)

func (RequestArrived) event()   {}
func (EndpointUpdate) event()   {}
func (AttemptEnded) event()     {}
func (StreamStarted) event()    {}
func (RequestAbandoned) event() {}
func (DeadlineExceeded) event() {}
func (HealthCheckEnded) event() {}
func (MessageReceived) event()  {}
func (TimerFired) event()       {}
