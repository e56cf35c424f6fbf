package balancer

import (
	"math"
	"slices"
)

// Each node sends only to a subset of the endpoints. Endpoints accept few connections, and a node that sends to an
// endpoint only every few seconds learns of an overload there only when it is over. The subsets of all nodes cover the
// endpoints evenly: see orderEndpoints.

const (
	minSubsetSize          = 4.0  // endpoints: some may fail together
	subsetOrders           = 8    // number of orders of the endpoints: neighbors in one are far apart in the others
	targetNodesPerEndpoint = 10.0 // nodes that share an endpoint, on average: each must often get responses from it
)

// placement is the state shared by the classes that may use the same endpoints. Overload is detected and requests are
// dropped per placement.
type placement struct {
	zones        []string // allowed zones; nil: all, empty: none
	machineTypes []string // allowed machine types; nil: all, empty: none
	topWeight    float64  // highest priority weight of its classes

	endpoints  []*endpoint // allowed endpoints, in this node's order
	subset     []*endpoint // the first subsetSize of them that are ready and not ejected
	subsetSize float64     // maximum size of the subset

	aggregateState
	shedding
}

// allows reports whether the placement's requests may go to an endpoint.
func (p *placement) allows(endpoint *endpoint) bool {
	return (p.zones == nil || slices.Contains(p.zones, endpoint.Zone)) &&
		(p.machineTypes == nil || slices.Contains(p.machineTypes, endpoint.MachineType))
}

// placementFor returns the placement that allows these zones and machine types, and adds it if there is none.
func (b *Balancer) placementFor(zones, machineTypes []string) *placement {
	for _, placement := range b.placements {
		if sameAllowList(placement.zones, zones) && sameAllowList(placement.machineTypes, machineTypes) {
			return placement
		}
	}
	added := &placement{zones: zones, machineTypes: machineTypes}
	b.placements = append(b.placements, added)
	return added
}

// sameAllowList reports whether two allow lists are equal. A nil list, which allows everything, differs from an empty
// one, which allows nothing.
func sameAllowList(a, b []string) bool { return (a == nil) == (b == nil) && slices.Equal(a, b) }

// subsetOrder is the number of the endpoint order that this node uses, from 0 to subsetOrders-1.
func (b *Balancer) subsetOrder() int { return b.settings.NodeIndex % subsetOrders }

// subsetStart is the position, in [0, 1), at which this node's subset starts in its order of the endpoints. The starts
// of the nodes with the same order are spread evenly over it. If all nodes had one order, nodes that share an endpoint
// would share most others, and the load of lost endpoints could only move on to the next few.
func (b *Balancer) subsetStart() float64 {
	inOrder := float64(b.settings.NodeIndex / subsetOrders)
	return math.Mod(inOrder*math.Phi+float64(b.subsetOrder())/subsetOrders, 1)
}

// assignSubsets sets the size of each placement's subset, marks the endpoints that are in a subset if none is ejected,
// and computes the mean number of nodes per endpoint.
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

// refreshSubsets recomputes the subsets and the estimates from which the overload thresholds of their endpoints are
// derived.
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

// refreshSubset recomputes a placement's subset and the overload thresholds of its endpoints. The next endpoints in
// order take the place of those that are ejected or not ready.
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
