package balancer

import "time"

// Action is something that the caller must do. The types below are its only implementations.
type Action interface{ action() }

// Actions.
type (
	// Send starts an attempt. A request's attempts are numbered 0, 1, 2 and so on, in the order of their sends.
	Send struct {
		ID          RequestID
		Endpoint    EndpointID
		Timeout     time.Duration // longest duration of the attempt; 0: until the client stops waiting
		StartWithin time.Duration // the request's first byte must be sent within this time; 0: any time in the attempt
	}
	// Reject is a final answer: no endpoint served the request, and the client may safely try again.
	Reject struct {
		ID         RequestID
		RetryAfter time.Duration // how long the client should wait before it tries again; 0: the client is not told
	}
	// Fail is a final answer that does not promise that another try is safe: the request may have run.
	Fail struct{ ID RequestID }
	// CancelAttempt stops waiting for an attempt.
	CancelAttempt struct {
		ID      RequestID
		Attempt int
	}
	// SetTimer requests a TimerFired with this token.
	SetTimer struct {
		After time.Duration
		Token int64
	}
	// HealthCheck requests an endpoint's load report.
	HealthCheck struct{ Endpoint EndpointID }
	// SendMessage sends data to one node, or to all.
	SendMessage struct {
		To    int
		ToAll bool
		Data  []byte
	}
	// Subscribe starts or ends the subscription to changes of the endpoint list.
	Subscribe struct{ On bool }
	// FetchEndpoints polls discovery for the full endpoint list once.
	FetchEndpoints struct{}
	// CloseIdleConnections closes this node's idle connections to an endpoint.
	CloseIdleConnections struct{ Endpoint EndpointID }
	// EndpointEjected asks for a log entry: an endpoint gets only trial requests from now on.
	EndpointEjected struct {
		Endpoint EndpointID
		Reason   string
	}
	// EndpointRecovered asks for a log entry: an ejected endpoint has served a request.
	EndpointRecovered struct {
		Endpoint  EndpointID
		SlowStart bool // the endpoint warms up, as it may have restarted
	}
)

func (Send) action()                 {}
func (Reject) action()               {}
func (Fail) action()                 {}
func (CancelAttempt) action()        {}
func (SetTimer) action()             {}
func (HealthCheck) action()          {}
func (SendMessage) action()          {}
func (Subscribe) action()            {}
func (FetchEndpoints) action()       {}
func (CloseIdleConnections) action() {}
func (EndpointEjected) action()      {}
func (EndpointRecovered) action()    {}
