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

	ids       idTable
	listed    map[string]listing // by name
	addresses addressTable       // of the listed endpoints
}

// listing is a listed endpoint.
type listing struct {
	id      balancer.EndpointID
	address string
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
// the connections to endpoints. Endpoints that are removed, by their status, because
// a full list does not contain them, or because another endpoint has started at their
// address since, come last among the changes. Their IDs are free from then on.
func (d *Directory) Apply(list List, kind balancer.UpdateKind) (balancer.EndpointUpdate, []EndpointChange) {
	if d.listed == nil {
		d.listed = map[string]listing{}
	}
	endpoints := d.decode(list)
	removed := map[string]bool{}
	if kind != balancer.IncrementalUpdate {
		removed = d.notNamed(endpoints)
	}
	update := balancer.EndpointUpdate{Kind: kind, Version: list.Version}
	var changes []EndpointChange
	for _, endpoint := range endpoints {
		id := d.ids.idOf(endpoint.Name)
		entry := endpoint.balancerEndpoint(id)
		update.Endpoints = append(update.Endpoints, entry)
		removed[endpoint.Name] = entry.State == balancer.Removed
		if entry.State == balancer.Removed {
			continue
		}
		changes = append(changes, EndpointChange{
			ID:          id,
			Name:        endpoint.Name,
			Address:     endpoint.Address,
			StartedAtMS: endpoint.StartedAtMS,
			State:       entry.State,
		})
		if gone := d.list(endpoint, id); gone != "" {
			removed[gone] = true
			update.Endpoints = append(update.Endpoints, balancer.Endpoint{ID: d.ids.idOf(gone), State: balancer.Removed})
		}
	}
	changes = slices.DeleteFunc(changes, func(c EndpointChange) bool { return removed[c.Name] })
	return update, append(changes, d.remove(removed)...)
}

// notNamed returns the names of the listed endpoints that a full list does not contain,
// and releases their addresses.
func (d *Directory) notNamed(endpoints []Endpoint) map[string]bool {
	removed := map[string]bool{}
	for name := range d.listed {
		removed[name] = true
	}
	for _, endpoint := range endpoints {
		delete(removed, endpoint.Name)
	}
	for name := range removed {
		d.addresses.release(name, d.listed[name].address)
	}
	return removed
}

// list lists an endpoint at its address. It returns the name of the endpoint that has
// gone because another one has started at its address since, or an empty string.
func (d *Directory) list(e Endpoint, id balancer.EndpointID) (gone string) {
	if before, ok := d.listed[e.Name]; ok && before.address != e.Address {
		d.addresses.release(e.Name, before.address)
	}
	d.listed[e.Name] = listing{id: id, address: e.Address}
	gone = d.addresses.claim(e)
	if gone != "" {
		d.logger().Info("endpoint replaced at its address", "endpoint", gone, "address", e.Address)
	}
	return gone
}

// logger returns the directory's log, or one that discards everything.
func (d *Directory) logger() *slog.Logger {
	if d.Log == nil {
		return slog.New(slog.DiscardHandler)
	}
	return d.Log
}

// decode returns the valid entries of a list, sorted by name: the IDs of names with
// the same hash depend on the order of the entries, which must not depend on the
// order of the list. The sort is stable, because the last of several entries for one
// name counts.
func (d *Directory) decode(list List) []Endpoint {
	endpoints := list.decode(d.logger())
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
		d.addresses.release(name, d.listed[name].address)
		delete(d.listed, name)
	}
	return changes
}

// Len returns the number of listed endpoints, draining ones included.
func (d *Directory) Len() int { return len(d.listed) }

// ID returns the ID of a listed endpoint.
func (d *Directory) ID(name string) (id balancer.EndpointID, listed bool) {
	entry, listed := d.listed[name]
	return entry.id, listed
}

// Names returns the names of the listed endpoints, sorted.
func (d *Directory) Names() []string {
	return slices.Sorted(maps.Keys(d.listed))
}
