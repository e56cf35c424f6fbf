// Package setup holds code that runs with hollow nodes and runs with real
// processes share: it derives model configurations and endpoint list entries from
// a scenario, checks quotas, selects nodes for clients of unavailable nodes, and
// counts the outcomes of requests.
package setup

import (
	"fmt"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// Random streams of a scenario: the second word of the seed of a PCG, whose first
// word is the scenario's seed. Server i uses StreamServers+i.
const (
	StreamNetwork  = 2 << 32
	StreamRegistry = 3 << 32
	StreamServers  = 4 << 32
)

// RegistryConfig returns the configuration of the discovery model.
func RegistryConfig(s *scenario.Scenario) model.RegistryConfig {
	return model.RegistryConfig{
		Nodes:        s.Fleet.Nodes,
		OnDemand:     s.Discovery.OnDemand,
		Delay:        s.Discovery.Delay.Std(),
		DelaySpread:  s.Discovery.DelaySpread.Std(),
		ResponseTime: s.Discovery.ResponseTime.Std(),
	}
}

// ServerConfig returns the configuration of the model of a server. stores must be
// the same for all servers of a run, which share idempotency keys through it.
func ServerConfig(s *scenario.Scenario, server scenario.Server, stores *KeyStores) model.ServerConfig {
	c := s.Servers
	config := model.ServerConfig{
		Cores:           server.MachineType.Cores,
		Speed:           server.MachineType.Speed,
		QueueLimit:      c.QueueLimit,
		MaxConnections:  c.MaxConnections,
		Handshake:       c.Handshake.Std(),
		IdleTimeout:     c.IdleTimeout.Std(),
		InitialCapacity: c.InitialCapacity,
		WarmupTime:      c.WarmupTime.Std(),
		CrashFactor:     c.CrashFactor,
		CrashWindow:     c.CrashWindow.Std(),
		CrashDowntime:   c.CrashDowntime.Std(),
		MeanWork:        s.MeanWork(),
		FailureRate:     c.FailureRate,
	}
	if c.Deduplicate {
		config.KeyStores = stores.forServer(server)
	}
	return config
}

// Entry returns the endpoint list entry of a server, without a status.
func Entry(server scenario.Server, address string) model.Entry {
	return model.Entry{
		Name:        server.Name,
		Address:     address,
		Zone:        server.Zone,
		MachineType: server.MachineType.Name,
		Cell:        server.Cell,
		Weight:      float64(server.MachineType.Cores) * server.MachineType.Speed,
	}
}

// UnusedAddress returns an address for server i that nothing connects to, distinct
// for i below 2^24.
func UnusedAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.%d:5000", i>>16&255, i>>8&255, i&255)
}

// ChangedWeight returns the listed weight, from 1 to 1.09, that the n-th change of
// the list gives an entry. The change is harmless: the server stays as it is.
func ChangedWeight(n int) float64 { return 1 + 0.01*float64(n%10) }

// KeyStores holds the stores of remembered idempotency keys of a run's servers: one
// for all servers, one per zone and one per cell. KeyStores is not safe for
// concurrent use; the stores in it are.
type KeyStores struct {
	stores map[string]*model.KeyStore
}

// forServer returns the store of each scope for a server. Servers in the same
// zone or cell share the store of that scope.
func (k *KeyStores) forServer(server scenario.Server) [model.ScopeCell + 1]*model.KeyStore {
	return [...]*model.KeyStore{
		model.ScopeAll:  k.store("all"),
		model.ScopeZone: k.store("zone " + server.Zone),
		model.ScopeCell: k.store(fmt.Sprint("cell ", server.Cell)),
	}
}

func (k *KeyStores) store(name string) *model.KeyStore {
	if k.stores == nil {
		k.stores = map[string]*model.KeyStore{}
	}
	if k.stores[name] == nil {
		k.stores[name] = &model.KeyStore{}
	}
	return k.stores[name]
}
