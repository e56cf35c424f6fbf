package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// removalMemory is how long the start time of a removed endpoint is kept, in case the endpoint is listed again.
const removalMemory = 10 * time.Minute

// endpoint is an entry of the endpoint list, with what this node has learned about the endpoint.
type endpoint struct {
	Endpoint
	machineType *machineType
	order       uint64 // sort key for this node's order of the endpoints
	inSubset    bool   // in this node's subset of some placement as long as no endpoint is ejected

	overloadState
	latencyState
	outlierState
	slowStartState
}

// location is where an endpoint is.
type location struct {
	zone string
	cell int
}

// location returns where the endpoint is now.
func (e *endpoint) location() location { return location{zone: e.Zone, cell: e.Cell} }

// removal is what is kept of a removed endpoint.
type removal struct {
	startedAt       Time // start time as given by discovery
	warmupStartedAt Time // start of its slow start, on the balancer's clock
	removedAt       Time
}

// endpointByID returns the endpoint with the given ID, which it adds if it is new.
func (b *Balancer) endpointByID(id EndpointID) *endpoint {
	if b.endpointsByID[id] == nil {
		added := &endpoint{order: splitmix64(uint64(b.subsetOrder())<<32 | uint64(id))}
		added.listedAt = b.now
		added.nextLogAt = b.now
		added.thresholdDither = b.rng.float64()
		b.endpointsByID[id] = added
	}
	return b.endpointsByID[id]
}

// applyEndpoints applies an update of the endpoint list.
func (b *Balancer) applyEndpoints(update EndpointUpdate) {
	if update.Kind == FailedUpdate {
		b.pollFailed()
		return
	}
	if update.Kind != CachedUpdate {
		b.pollAnswered()
	}
	if update.Kind != IncrementalUpdate { // endpoints that the update does not name have been removed
		for _, endpoint := range b.endpoints {
			endpoint.State = Removed
		}
	}
	lag := b.clockLag(update)
	for _, entry := range update.Endpoints {
		b.applyEntry(entry, update.Kind, lag)
	}
	b.endpointsFromDiscovery = b.endpointsFromDiscovery || update.Kind != CachedUpdate
	b.forgetRemoved()
	b.orderEndpoints()
	b.assignSubsets()
	b.refreshSubsets()
}

// applyEntry applies one entry of an update.
func (b *Balancer) applyEntry(entry Endpoint, kind UpdateKind, lag time.Duration) {
	endpoint := b.endpointByID(entry.ID)
	// A different start time means another process, even if it is earlier than the last one.
	if entry.State == Ready && entry.StartedAt != 0 && entry.StartedAt != endpoint.StartedAt {
		b.restarted(endpoint, b.endpointStartedAt(entry, kind, lag))
	}
	endpoint.Endpoint = entry
	endpoint.machineType = b.machineTypeByName(entry.MachineType)
	if entry.State != Ready {
		b.emit(CloseIdleConnections{Endpoint: entry.ID}) // connections in use are closed as their attempts end
	}
}

// restarted drops the state that belongs to an endpoint's earlier process, and begins its slow start.
func (b *Balancer) restarted(endpoint *endpoint, startedAt Time) {
	endpoint.ejected = false
	endpoint.consecutiveFailures = 0
	endpoint.unansweredSends = 0
	endpoint.imposedUntil = b.now
	b.startWarmup(endpoint, startedAt)
}

// forgetRemoved drops removed endpoints from all state except that of their attempts, and keeps their start times for
// removalMemory.
func (b *Balancer) forgetRemoved() {
	b.endpoints = b.endpoints[:0]
	for id, endpoint := range b.endpointsByID {
		if endpoint.State != Removed {
			b.endpoints = append(b.endpoints, endpoint)
			continue
		}
		delete(b.endpointsByID, id)
		b.recentlyRemoved[id] = removal{
			startedAt:       endpoint.StartedAt,
			warmupStartedAt: endpoint.warmupStartedAt,
			removedAt:       b.now,
		}
	}
	maps.DeleteFunc(b.recentlyRemoved, func(_ EndpointID, removed removal) bool {
		return b.now-removed.removedAt > removalMemory
	})
}

// orderEndpoints sorts the endpoints into this node's order, rotated to begin at its subsetStart, and clears inSubset.
func (b *Balancer) orderEndpoints() {
	slices.SortFunc(b.endpoints, func(x, y *endpoint) int { return cmp.Compare(x.order, y.order) })
	start := int(float64(len(b.endpoints)) * b.subsetStart())
	b.endpoints = slices.Concat(b.endpoints[start:], b.endpoints[:start])
	for _, endpoint := range b.endpoints {
		endpoint.inSubset = false
	}
}
