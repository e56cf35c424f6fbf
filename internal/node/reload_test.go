package node

import (
	"testing"

	"bankshift/internal/discovery"
)

// TestReloadMovesDiscovery: the poll of the old discovery ends, and the list at
// the new address is fetched in full though its versions are lower. What comes
// late from the old one does not count.
func TestReloadMovesDiscovery(t *testing.T) {
	n := startNode(t, refusingAddress(t))
	first, firstWatched, firstGone := startDiscovery(t, 9, endpointJSON("a", "127.0.0.1:1", "ready"))
	second, _, _ := startDiscovery(t, 3, endpointJSON("b", "127.0.0.1:2", "ready"))
	cfg := n.cfg
	cfg.Discovery = first
	n.Reload(cfg)
	n.awaitEndpoints(t, "[a]")
	receive(t, firstWatched, "the old long poll") // it begins after the list is known
	var late *discovery.Client
	n.post(func() { late = n.discovery })
	cfg.Discovery = second
	n.Reload(cfg)
	receive(t, firstGone, "the end of the old long poll")
	n.awaitEndpoints(t, "[b]")
	late.OnUpdate(discovery.List{Version: 10, Snapshot: true})
	n.awaitEndpoints(t, "[b]")
	n.Reload(cfg) // the same again changes nothing
	n.awaitEndpoints(t, "[b]")
}
