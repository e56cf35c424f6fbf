package discovery

import (
	"log/slog"
	"maps"
	"slices"
	"strings"

	"bankshift/balancer"
)

// Directory holds the listed endpoints and their IDs. The zero value is empty
// and logs nothing. It is not safe for concurrent use.
type Directory struct {
	Log *slog.Logger // receives malformed entries; nil discards them

	ids    idTable
	listed map[string]balancer.EndpointID // by name
}

// EndpointChange describes one endpoint of a list, or its removal, for the
// connections to it.
type EndpointChange struct {
	ID          balancer.EndpointID
	Name        string
	Address     string // host:port; empty for a removed endpoint
	StartedAtMS int64  // last start, Unix time in ms; 0 means long ago
	State       balancer.EndpointState
}

// Apply applies a list. It returns the update for the balancer and the changes for
// the connections to endpoints. Endpoints that are removed, by their status or
// because a full list does not contain them, come last among the changes. Their IDs
// are free from then on.
func (d *Directory) Apply(list List, kind balancer.UpdateKind) (balancer.EndpointUpdate, []EndpointChange) {
	if d.listed == nil {
		d.listed = map[string]balancer.EndpointID{}
	}
	removed := map[string]bool{}
	if kind != balancer.IncrementalUpdate {
		for name := range d.listed {
			removed[name] = true // reset below if the list contains it
		}
	}
	update := balancer.EndpointUpdate{Kind: kind, Version: list.Version}
	var changes []EndpointChange
	for _, endpoint := range d.decode(list) {
		id := d.ids.idOf(endpoint.Name)
		entry := endpoint.balancerEndpoint(id)
		update.Endpoints = append(update.Endpoints, entry)
		removed[endpoint.Name] = entry.State == balancer.Removed
		if entry.State == balancer.Removed {
			continue
		}
		d.listed[endpoint.Name] = id
		changes = append(changes, EndpointChange{
			ID:          id,
			Name:        endpoint.Name,
			Address:     endpoint.Address,
			StartedAtMS: endpoint.StartedAtMS,
			State:       entry.State,
		})
	}
	return update, append(changes, d.remove(removed)...)
}

// decode returns the valid entries of a list, sorted by name: the IDs of names with
// the same hash depend on the order of the entries, which must not depend on the
// order of the list. The sort is stable, because the last of several entries for one
// name counts.
func (d *Directory) decode(list List) []Endpoint {
	log := d.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	endpoints := list.decode(log)
	slices.SortStableFunc(endpoints, func(a, b Endpoint) int { return strings.Compare(a.Name, b.Name) })
	return endpoints
}

// remove deletes the endpoints whose names are true in removed. It returns their
// changes, sorted by name.
func (d *Directory) remove(removed map[string]bool) []EndpointChange {
	var names []string
	for name, isRemoved := range removed {
		if isRemoved {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	var changes []EndpointChange
	for _, name := range names {
		changes = append(changes, EndpointChange{ID: d.ids.idOf(name), Name: name, State: balancer.Removed})
		d.ids.remove(name)
		delete(d.listed, name)
	}
	return changes
}

// Len returns the number of listed endpoints, draining ones included.
func (d *Directory) Len() int { return len(d.listed) }

// ID returns the ID of a listed endpoint.
func (d *Directory) ID(name string) (id balancer.EndpointID, listed bool) {
	id, listed = d.listed[name]
	return id, listed
}

// Names returns the names of the listed endpoints, sorted.
func (d *Directory) Names() []string {
	return slices.Sorted(maps.Keys(d.listed))
}
