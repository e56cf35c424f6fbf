package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"time"

	"bankshift/balancer"
)

// maxLoggedEntry limits how many bytes of a malformed entry are logged.
const maxLoggedEntry = 200

// List is a full endpoint list or a list of changes, as discovery sends it.
type List struct {
	Version   uint64            `json:"index"`     // valid only for the discovery service that sent it; may be 0
	Snapshot  bool              `json:"snapshot"`  // the list is full; otherwise it holds changes
	Endpoints []json.RawMessage `json:"endpoints"` // each an Endpoint
}

// Kind returns whether the list is full or holds only changes.
func (l List) Kind() balancer.UpdateKind {
	if l.Snapshot {
		return balancer.FullUpdate
	}
	return balancer.IncrementalUpdate
}

// decode returns the valid entries. A malformed entry is logged and skipped, so that
// the node still gets the others.
func (l List) decode(log *slog.Logger) []Endpoint {
	var endpoints []Endpoint
	for _, raw := range l.Endpoints {
		endpoint, err := decodeEndpoint(raw)
		if err != nil {
			log.Warn("list entry skipped", "entry", string(raw[:min(len(raw), maxLoggedEntry)]), "err", err)
			continue
		}
		endpoints = append(endpoints, endpoint)
	}
	return endpoints
}

// Endpoint is one entry of a list.
type Endpoint struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"` // host:port
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`   // a key of endpointStates
	Weight      float64 `json:"weight"`   // without a unit
	StartedAtMS int64   `json:"since_ms"` // last start, Unix time in ms; 0 means long ago
}

var endpointStates = map[string]balancer.EndpointState{
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
	"gone":     balancer.Removed,
}

// Errors of malformed entries.
var (
	errNoName        = errors.New("entry has no name")
	errNegativeValue = errors.New("negative since_ms or weight")
)

func decodeEndpoint(raw json.RawMessage) (Endpoint, error) {
	var e Endpoint
	if err := json.Unmarshal(raw, &e); err != nil {
		return Endpoint{}, err
	}
	if err := e.validate(); err != nil {
		return Endpoint{}, err
	}
	return e, nil
}

// validate checks an entry. The address of a removed endpoint may be missing and is
// not checked.
func (e Endpoint) validate() error {
	if e.Name == "" {
		return errNoName
	}
	state, ok := endpointStates[e.Status]
	if !ok {
		return fmt.Errorf("unknown status %q", e.Status)
	}
	_, _, err := net.SplitHostPort(e.Address)
	if err != nil && state != balancer.Removed {
		return fmt.Errorf("address: %w", err)
	}
	if e.StartedAtMS < 0 || e.Weight < 0 {
		return fmt.Errorf("%w: since_ms %d, weight %g", errNegativeValue, e.StartedAtMS, e.Weight)
	}
	return nil
}

// balancerEndpoint converts the entry to the balancer's type.
func (e Endpoint) balancerEndpoint(id balancer.EndpointID) balancer.Endpoint {
	return balancer.Endpoint{
		ID:          id,
		Zone:        e.Zone,
		MachineType: e.MachineType,
		Cell:        e.Cell,
		State:       endpointStates[e.Status],
		Weight:      e.Weight,
		StartedAt:   time.Duration(e.StartedAtMS) * time.Millisecond,
	}
}
