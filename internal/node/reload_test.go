package node

import (
	"testing"

	"bankshift/internal/discovery"
)

// TestReloadMovesDiscovery guards against a node that still uses the old discovery
// after a reload. The poll of the old one has to end, the list at the new address has
// to be fetched in full although its versions are lower, and an update that comes
// late from the old one has to be ignored.
func TestReloadMovesDiscovery(t *testing.T) {
	n := startNode(t, refusingAddress(t))
	first, firstPollStarted, firstPollEnded := startDiscovery(t, 9, endpointJSON("a", "127.0.0.1:1", "ready"))
	second, _, _ := startDiscovery(t, 3, endpointJSON("b", "127.0.0.1:2", "ready"))
	cfg := n.cfg
	cfg.Discovery = first
	n.Reload(cfg)
	n.awaitEndpoints(t, "[a]")
	receive(t, firstPollStarted, "the old long poll") // begins when the node knows the list
	var late *discovery.Client
	n.post(func() { late = n.discovery })
	cfg.Discovery = second
	n.Reload(cfg)
	receive(t, firstPollEnded, "the end of the old long poll")
	n.awaitEndpoints(t, "[b]")
	late.OnUpdate(discovery.List{Version: 10, Snapshot: true})
	n.awaitEndpoints(t, "[b]")
	n.Reload(cfg) // a reload without a change has no effect
	n.awaitEndpoints(t, "[b]")
}
