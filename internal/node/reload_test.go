package node

import (
	"testing"

	"bankshift/internal/discovery"
)

// TestReloadMovesDiscovery: the old watch ends, and the list at the new
// address is taken whole though its versions are lower; what comes late from
// the old one does not count.
func TestReloadMovesDiscovery(t *testing.T) {
	n := startNode(t, refusingAddress(t))
	until := func(want string) { t.Helper(); n.awaitEndpoints(t, want) }
	first, firstWatched, firstGone := discoveryServer(t, 9, endpointJSON("a", "127.0.0.1:1", "ready"))
	second, _, _ := discoveryServer(t, 3, endpointJSON("b", "127.0.0.1:2", "ready"))
	cfg := n.cfg
	cfg.Discovery = first
	n.Reload(cfg)
	until("[a]")
	receive(t, firstWatched, "the old watch") // the list is known before it begins
	var late *discovery.Client
	n.post(func() { late = n.discovery })
	cfg.Discovery = second
	n.Reload(cfg)
	receive(t, firstGone, "the end of the old watch")
	until("[b]")
	late.OnUpdate(discovery.List{Version: 10, Snapshot: true})
	until("[b]")
	n.Reload(cfg) // the same again changes nothing
	until("[b]")
}
