package node

import (
	"math/rand/v2"

	"bankshift/balancer"
	"bankshift/internal/discovery"
)

// newDiscoveryClient returns a client of discovery at an address, which the
// caller runs. What it reports counts for as long as it is n.discovery.
func (n *Node) newDiscoveryClient(address string) *discovery.Client {
	n.discoveryClients++
	jitter := rand.New(rand.NewPCG(uint64(n.cfg.Seed), n.discoveryClients)) // each client has its own
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

// applyEndpoints takes an endpoint list: the addresses go to the connection pool,
// the rest to the balancer. The pool learns of new endpoints before the balancer
// can send to them, and of removed ones after it has ended its use of them.
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
