package node

import "reflect"

// Reload applies a configuration that was read again while the node runs. Only the
// address of discovery takes effect: the node gets the endpoint list from there.
// All other changes need a restart.
func (n *Node) Reload(cfg Config) {
	n.post(func() { n.reload(cfg) })
}

func (n *Node) reload(cfg Config) {
	if n.cfg.needsRestart(cfg) {
		n.log.Warn("only the address of discovery is reloaded, other changes need a restart")
	}
	if cfg.Discovery == n.cfg.Discovery {
		return
	}
	n.log.Info("discovery has moved", "address", cfg.Discovery)
	n.cfg.Discovery = cfg.Discovery
	n.discovery.Close()
	n.discovery = n.newDiscoveryClient(cfg.Discovery)
	if n.cfg.Settings.EndpointsOnDemand {
		n.discovery.Request(true, true)
	}
	go n.discovery.Run(n.runContext)
}

// needsRestart reports whether an updated configuration has a change that takes
// effect only after a restart. Names and known endpoints are not compared.
func (c Config) needsRestart(updated Config) bool {
	return updated.Listen != c.Listen ||
		updated.Seed != c.Seed ||
		updated.MemoryMB != c.MemoryMB ||
		updated.Sockets != c.Sockets ||
		!reflect.DeepEqual(updated.Settings, c.Settings)
}
