package balancer

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// removalMemory is how long the start of a removed endpoint is remembered, should the endpoint be back.
const removalMemory = 10 * time.Minute

// endpoint is an entry of the endpoint list and what this node knows of it.
type endpoint struct {
	Endpoint
	machineType *machineType
	order       uint64 // position in this node's order of the endpoints
	inSubset    bool   // in this node's subset of a placement if none is ejected

	overloadState
	latencyState
	outlierState
	slowStartState
}

// removal is what is kept of a removed endpoint.
type removal struct {
	startedAt       Time // as discovery dated it
	warmupStartedAt Time // on the balancer's clock
	removedAt       Time
}

// endpointByID returns an endpoint, which it adds if it is new.
func (b *Balancer) endpointByID(id EndpointID) *endpoint {
	if b.endpointsByID[id] == nil {
		added := &endpoint{order: splitmix64(uint64(b.subsetOrder())<<32 | uint64(id))}
		added.listedAt = b.now
		added.logQuietUntil = b.now
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
	if update.Kind != IncrementalUpdate { // what it does not name has been removed
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
	// Another start is another process, even if it is dated before the last.
	if entry.State == Ready && entry.StartedAt != 0 && entry.StartedAt != endpoint.StartedAt {
		b.restarted(endpoint, b.endpointStartedAt(entry, kind, lag))
	}
	endpoint.Endpoint = entry
	endpoint.machineType = b.machineTypeByName(entry.MachineType)
	if entry.State != Ready {
		b.emit(CloseIdleConnections{Endpoint: entry.ID}) // those in use follow as they end
	}
}

// restarted forgets what held for an endpoint's earlier process.
func (b *Balancer) restarted(endpoint *endpoint, startedAt Time) {
	endpoint.ejected = false
	endpoint.consecutiveFailures = 0
	endpoint.unansweredSends = 0
	endpoint.imposedUntil = b.now
	b.startWarmup(endpoint, startedAt)
}

// forgetRemoved takes removed endpoints out of all state but that of their attempts, and keeps their start for a while.
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

// orderEndpoints puts the endpoints in this node's order, from its start on.
func (b *Balancer) orderEndpoints() {
	slices.SortFunc(b.endpoints, func(x, y *endpoint) int { return cmp.Compare(x.order, y.order) })
	start := int(float64(len(b.endpoints)) * b.subsetStart())
	b.endpoints = slices.Concat(b.endpoints[start:], b.endpoints[:start])
	for _, endpoint := range b.endpoints {
		endpoint.inSubset = false
	}
}
