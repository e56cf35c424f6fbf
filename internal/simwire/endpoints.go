package simwire

import (
	"fmt"
	"strconv"
	"time"

	"bankshift/balancer"
)

var updateKinds = map[string]balancer.UpdateKind{
	"D": balancer.IncrementalUpdate,
	"F": balancer.FullUpdate,
	"C": balancer.CachedUpdate,
	"X": balancer.FailedUpdate,
}

var endpointStates = map[string]balancer.EndpointState{
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
	"gone":     balancer.Removed,
}

type endpointUpdateJSON struct {
	Kind      string         `json:"how"`
	Version   uint64         `json:"version"`
	Endpoints []endpointJSON `json:"items"`
}

type endpointJSON struct {
	ID          *uint32 `json:"backend"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"model"`
	Cell        int     `json:"pod"`
	State       string  `json:"state"`
	Weight      float64 `json:"nominal"`
	StartedAt   int64   `json:"ready_at_ns"`
}

func (in *endpointUpdateJSON) update() (balancer.Event, error) {
	kind, ok := updateKinds[in.Kind]
	if !ok {
		return nil, &UnknownValueError{Key: "how", Value: strconv.Quote(in.Kind)}
	}
	update := balancer.EndpointUpdate{Kind: kind, Version: in.Version}
	for i, entry := range in.Endpoints {
		endpoint, err := entry.decode()
		if err != nil {
			return nil, fmt.Errorf("entry %d: %w", i, err)
		}
		update.Endpoints = append(update.Endpoints, endpoint)
	}
	return update, nil
}

func (e *endpointJSON) decode() (balancer.Endpoint, error) {
	id, err := required("backend", e.ID)
	if err != nil {
		return balancer.Endpoint{}, err
	}
	state, ok := endpointStates[e.State]
	if !ok {
		return balancer.Endpoint{}, &UnknownValueError{Key: "state", Value: strconv.Quote(e.State)}
	}
	return balancer.Endpoint{
		ID:          balancer.EndpointID(id),
		Zone:        e.Zone,
		MachineType: e.MachineType,
		Cell:        e.Cell,
		State:       state,
		Weight:      e.Weight,
		StartedAt:   time.Duration(e.StartedAt),
	}, nil
}
