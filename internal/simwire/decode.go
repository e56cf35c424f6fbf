package simwire

import (
	"encoding/json"
	"strconv"
	"time"

	"bankshift/balancer"
	"bankshift/internal/loadreport"
)

// eventDecoder decodes an event for a balancer.
type eventDecoder func(json.RawMessage) (balancer.Event, error)

// eventDecoders maps the name on the wire of each event for a balancer to the
// event's decoder.
var eventDecoders = map[string]eventDecoder{
	"submit":        decoder((*requestJSON).arrived),
	"attempt_end":   decoder((*attemptJSON).ended),
	"streaming":     decoder((*attemptJSON).streamStarted),
	"abandoned":     decoder((*abandonedJSON).event),
	"probe_result":  decoder((*attemptJSON).healthCheckEnded),
	"due":           decoder((*timerJSON).fired),
	"note_from":     decoder((*messageJSON).received),
	"roster_change": decoder((*endpointUpdateJSON).update),
}

// decoder returns an eventDecoder for JSON objects of type J, which convert turns into
// events.
func decoder[J any](convert func(*J) (balancer.Event, error)) eventDecoder {
	return func(raw json.RawMessage) (balancer.Event, error) {
		var in J
		if err := json.Unmarshal(raw, &in); err != nil {
			return nil, err
		}
		return convert(&in)
	}
}

// decodeInput decodes the event that has this name on the wire. The events up and
// retire start and end a node; the others are for its balancer.
func decodeInput(name string, raw json.RawMessage) (Input, error) {
	switch name {
	case "up":
		start, err := decodeStart(raw)
		return Input{Start: start}, err
	case "retire":
		return Input{Retire: true}, nil
	}
	decode, ok := eventDecoders[name]
	if !ok {
		return Input{}, ErrUnknownEvent
	}
	event, err := decode(raw)
	return Input{Event: event}, err
}

// Bits of requestJSON.Flags.
const (
	flagWorkHint = 1
	flagRetry    = 2
	flagWrite    = 4
)

// requestJSON has the keys of the event that a request has arrived.
type requestJSON struct {
	ID       *string `json:"req"`
	Class    string  `json:"band"`
	Tenant   any     `json:"user_group"` // any value but a string means no tenant
	Key      string  `json:"partition_key"`
	Timeout  *int64  `json:"patience_left_ns"`
	WorkHint int64   `json:"cost_guess_ns"`
	Flags    int     `json:"flags"`
}

func (in *requestJSON) arrived() (balancer.Event, error) {
	id, err := required("req", in.ID)
	if err != nil {
		return nil, err
	}
	timeout, err := required("patience_left_ns", in.Timeout)
	if err != nil {
		return nil, err
	}
	tenant, _ := in.Tenant.(string)
	return balancer.RequestArrived{
		ID:          balancer.RequestID(id),
		Class:       in.Class,
		Tenant:      tenant,
		Key:         in.Key,
		Timeout:     time.Duration(timeout),
		WorkHint:    time.Duration(in.WorkHint),
		HasWorkHint: in.Flags&flagWorkHint != 0,
		IsRetry:     in.Flags&flagRetry != 0,
		Write:       in.Flags&flagWrite != 0,
	}, nil
}

// attemptJSON has the keys of all events about attempts and health checks. Each
// of these events uses some of the keys.
type attemptJSON struct {
	ID          *string                    `json:"req"`
	Attempt     *int                       `json:"leg"`
	Endpoint    *uint32                    `json:"backend"`
	RequestDone bool                       `json:"over"`
	Elapsed     int64                      `json:"delay_seen_ns"`
	Outcome     *int                       `json:"disposition"`
	Report      map[string]json.RawMessage `json:"feedback"`
}

// attemptRef identifies the attempt that an event is about.
type attemptRef struct {
	id       balancer.RequestID
	number   int
	endpoint balancer.EndpointID
}

func (in *attemptJSON) ended() (balancer.Event, error) {
	attempt, err := in.attempt()
	if err != nil {
		return nil, err
	}
	outcome, err := in.outcome()
	if err != nil {
		return nil, err
	}
	return balancer.AttemptEnded{
		ID:          attempt.id,
		Attempt:     attempt.number,
		Endpoint:    attempt.endpoint,
		RequestDone: in.RequestDone,
		Elapsed:     time.Duration(in.Elapsed),
		Outcome:     outcome,
		Report:      decodeLoadReport(in.Report),
	}, nil
}

func (in *attemptJSON) streamStarted() (balancer.Event, error) {
	attempt, err := in.attempt()
	if err != nil {
		return nil, err
	}
	return balancer.StreamStarted{
		ID:       attempt.id,
		Attempt:  attempt.number,
		Endpoint: attempt.endpoint,
		Elapsed:  time.Duration(in.Elapsed),
	}, nil
}

func (in *attemptJSON) healthCheckEnded() (balancer.Event, error) {
	endpoint, err := required("backend", in.Endpoint)
	if err != nil {
		return nil, err
	}
	outcome, err := in.outcome()
	if err != nil {
		return nil, err
	}
	return balancer.HealthCheckEnded{
		Endpoint: balancer.EndpointID(endpoint),
		Outcome:  outcome,
		Elapsed:  time.Duration(in.Elapsed),
		Report:   decodeLoadReport(in.Report),
	}, nil
}

// attempt returns the attempt that the event is about. It returns a *MissingKeyError if backend, req or leg is
// absent.
func (in *attemptJSON) attempt() (attemptRef, error) {
	endpoint, err := required("backend", in.Endpoint)
	if err != nil {
		return attemptRef{}, err
	}
	id, err := required("req", in.ID)
	if err != nil {
		return attemptRef{}, err
	}
	number, err := required("leg", in.Attempt)
	if err != nil {
		return attemptRef{}, err
	}
	return attemptRef{id: balancer.RequestID(id), number: number, endpoint: balancer.EndpointID(endpoint)}, nil
}

// outcomes maps the codes that the key disposition holds to outcomes.
var outcomes = map[int]balancer.Outcome{
	0:  balancer.OK,
	1:  balancer.Canceled,
	4:  balancer.TimedOut,
	8:  balancer.Rejected,
	9:  balancer.NotSent,
	10: balancer.Reset,
	13: balancer.ServerError,
	14: balancer.ConnectFailed,
}

func (in *attemptJSON) outcome() (balancer.Outcome, error) {
	code, err := required("disposition", in.Outcome)
	if err != nil {
		return 0, err
	}
	outcome, ok := outcomes[code]
	if !ok {
		return 0, &UnknownValueError{Key: "disposition", Value: strconv.Itoa(code)}
	}
	return outcome, nil
}

// decodeLoadReport skips unknown names, values that are not numbers, and numbers
// outside the range of float64. It returns nil if nothing is left.
func decodeLoadReport(values map[string]json.RawMessage) *balancer.LoadReport {
	var report balancer.LoadReport
	anyKnown := false
	for name, raw := range values {
		value, err := strconv.ParseFloat(string(raw), 64)
		if err != nil {
			continue
		}
		if loadreport.SetField(&report, name, value) {
			anyKnown = true
		}
	}
	if !anyKnown {
		return nil
	}
	return &report
}

// abandonedJSON has the keys of the event that a request's client has left.
type abandonedJSON struct {
	ID *string `json:"req"`
}

func (in *abandonedJSON) event() (balancer.Event, error) {
	id, err := required("req", in.ID)
	if err != nil {
		return nil, err
	}
	return balancer.RequestAbandoned{ID: balancer.RequestID(id)}, nil
}

// timerJSON has the keys of the event that a timer has fired.
type timerJSON struct {
	Token *int64 `json:"label"`
}

func (in *timerJSON) fired() (balancer.Event, error) {
	token, err := required("label", in.Token)
	if err != nil {
		return nil, err
	}
	return balancer.TimerFired{Token: token}, nil
}

// messageJSON has the keys of the event that a message has arrived.
type messageJSON struct {
	From *int   `json:"from"`
	Data []byte `json:"bytes"`
}

func (in *messageJSON) received() (balancer.Event, error) {
	from, err := required("from", in.From)
	if err != nil {
		return nil, err
	}
	return balancer.MessageReceived{From: from, Data: in.Data}, nil
}
