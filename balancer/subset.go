package balancer

import (
	"math"
	"slices"
)

// Each node works with a subset of the endpoints, as these accept few connections, and as a node that meets an endpoint
// only every few seconds learns of an overload there when it is over. The subsets of all nodes cover the endpoints
// evenly: see orderEndpoints.

const (
	minSubsetSize          = 4.0  // endpoints: some may fail together
	subsetOrders           = 8    // orders of the endpoints: neighbours in one are far apart in the others
	targetNodesPerEndpoint = 10.0 // on average: each must often have responses from it
)

// placement holds the classes that may use the same endpoints. Overload is judged, and requests are dropped, by
// placement.
type placement struct {
	zones        []string // allowed; nil: all, empty: none
	machineTypes []string // the same, by machine type
	topWeight    float64  // highest priority weight of its classes

	endpoints  []*endpoint // allowed ones, in subset order
	subset     []*endpoint // the first of them that are ready and not ejected
	subsetSize float64     // the most that the subset has

	aggregateState
	shedding
}

// allows reports whether the placement's requests may go to an endpoint.
func (p *placement) allows(endpoint *endpoint) bool {
	return (p.zones == nil || slices.Contains(p.zones, endpoint.Zone)) &&
		(p.machineTypes == nil || slices.Contains(p.machineTypes, endpoint.MachineType))
}

// placementFor returns the placement with these rules, which it adds if there is none.
func (b *Balancer) placementFor(zones, machineTypes []string) *placement {
	for _, placement := range b.placements {
		if sameRule(placement.zones, zones) && sameRule(placement.machineTypes, machineTypes) {
			return placement
		}
	}
	added := &placement{zones: zones, machineTypes: machineTypes}
	b.placements = append(b.placements, added)
	return added
}

// sameRule compares two lists of what is allowed. No rule (nil) differs from nothing allowed (empty).
func sameRule(a, b []string) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }

// subsetOrder is the order of the endpoints that this node uses, one of subsetOrders.
func (b *Balancer) subsetOrder() int { return b.settings.NodeIndex % subsetOrders }

// subsetStart is where this node's subset starts in its order of the endpoints, from 0 to 1. The nodes of one order
// start evenly spread over it. With one order for all, nodes that share an endpoint would share most others, and the
// load of endpoints lost could only move on to the next few.
func (b *Balancer) subsetStart() float64 {
	inOrder := float64(b.settings.NodeIndex / subsetOrders)
	return math.Mod(inOrder*math.Phi+float64(b.subsetOrder())/subsetOrders, 1)
}

// assignSubsets sets the size of the placements' subsets, and which endpoints are in one if none is ejected.
func (b *Balancer) assignSubsets() {
	nodes := float64(b.settings.Nodes)
	b.nodesPerEndpoint = 0
	for _, placement := range b.placements {
		placement.endpoints = slices.DeleteFunc(slices.Clone(b.endpoints), func(endpoint *endpoint) bool {
			return !placement.allows(endpoint)
		})
		size := float64(len(placement.endpoints))
		wanted := math.Max(minSubsetSize, targetNodesPerEndpoint*size/nodes)
		placement.subsetSize = math.Min(size, math.Ceil(wanted))
		for _, endpoint := range placement.endpoints[:int(placement.subsetSize)] {
			endpoint.inSubset = true
		}
		b.nodesPerEndpoint += nodes * placement.subsetSize / math.Max(1, size)
	}
	b.nodesPerEndpoint = math.Max(1, b.nodesPerEndpoint)
}

// refreshSubsets renews the subsets, and what the overload thresholds need to know of the endpoints in them.
func (b *Balancer) refreshSubsets() {
	for _, placement := range b.placements {
		b.refreshSubset(placement)
	}
	b.refreshThroughput()
	b.refreshTightestObjective()
	if b.learned {
		b.refreshExtremes()
	}
}

// refreshSubset fills a placement's subset. The next endpoints in order take the place of those that are ejected.
func (b *Balancer) refreshSubset(placement *placement) {
	placement.subset = placement.subset[:0]
	for _, endpoint := range placement.endpoints {
		if len(placement.subset) >= int(placement.subsetSize) {
			return
		}
		if endpoint.ejected || endpoint.State != Ready {
			continue
		}
		placement.subset = append(placement.subset, endpoint)
		endpoint.overloadThreshold = b.overloadThreshold(endpoint)
	}
}
