package node

import (
	"math/rand/v2"

	"bankshift/balancer"
	"bankshift/internal/discovery"
)

// newDiscoveryClient returns a client of the discovery at address; the caller runs
// it. Its reports are ignored unless it is n.discovery, the current client, which a
// reload replaces.
func (n *Node) newDiscoveryClient(address string) *discovery.Client {
	n.discoveryClients++
	jitter := rand.New(rand.NewPCG(uint64(n.cfg.Seed), n.discoveryClients)) // each client has its own sequence
	client := discovery.NewClient(address, discovery.ScheduleFor(n.cfg.Settings), jitter.Float64, n.log)
	postIfCurrent := func(f func()) {
		n.post(func() {
			if n.discovery == client {
				f()
			}
		})
	}
	client.OnUpdate = func(list discovery.List) {
		postIfCurrent(func() { n.applyEndpoints(list, list.Kind()) })
	}
	client.OnFailure = func() {
		postIfCurrent(func() { n.handle(balancer.EndpointUpdate{Kind: balancer.FailedUpdate}) })
	}
	return client
}

// applyEndpoints applies an endpoint list: the addresses go to the connection pool,
// the rest to the balancer. New endpoints are set in the pool before the balancer
// can send to them, and removed ones are taken out of the pool after the balancer
// has stopped using them.
func (n *Node) applyEndpoints(list discovery.List, kind balancer.UpdateKind) {
	update, changes := n.directory.Apply(list, kind)
	for _, c := range changes {
		if c.State != balancer.Removed {
			n.pool.Set(c.ID, c.Address, c.StartedAtMS, c.State != balancer.Ready)
		}
	}
	n.handle(update)
	for _, c := range changes {
		if c.State == balancer.Removed {
			n.pool.Remove(c.ID)
		}
	}
	n.frontend.ready.Store(n.directory.Len() > 0)
}
