// Package setup holds what runs with hollow nodes and runs with real processes
// share: it turns a scenario into the models' configurations and discovery's
// entries, and plays the parts of the clients' side that are alike in both.
package setup

import (
	"fmt"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// Streams of randomness derived from a scenario's seed, as the second word of a
// PCG's seed. Server i uses StreamServers+i.
const (
	StreamNetwork  = 2 << 32
	StreamRegistry = 3 << 32
	StreamServers  = 4 << 32
)

// RegistryConfig is the model of a scenario's discovery.
func RegistryConfig(s *scenario.Scenario) model.RegistryConfig {
	return model.RegistryConfig{
		Nodes:        s.Fleet.Nodes,
		OnDemand:     s.Discovery.OnDemand,
		Delay:        s.Discovery.Delay.Std(),
		DelaySpread:  s.Discovery.DelaySpread.Std(),
		ResponseTime: s.Discovery.ResponseTime.Std(),
	}
}

// ServerConfig is the model of one of a scenario's servers.
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
		MeanCost:        s.MeanWork(),
		FailureRate:     c.FailureRate,
	}
	if c.Deduplicate {
		config.KeyStores = stores.forServer(server)
	}
	return config
}

// Entry is a server's entry in discovery, without a status.
func Entry(server scenario.Server, address string) model.Entry {
	return model.Entry{
		Name:    server.Name,
		Address: address,
		Zone:    server.Zone,
		Type:    server.MachineType.Name,
		Group:   server.Cell,
		Weight:  float64(server.MachineType.Cores) * server.MachineType.Speed,
	}
}

// UnusedAddress is an address for server i that nothing connects to.
func UnusedAddress(i int) string {
	return fmt.Sprintf("10.%d.%d.%d:5000", i>>16&255, i>>8&255, i&255)
}

// ChangedWeight is the weight of an entry after the n-th harmless change of the
// list.
func ChangedWeight(n int) float64 { return 1 + 0.01*float64(n%10) }

// KeyStores holds the idempotency keys of a run's servers, by scope. It is not
// safe for concurrent use, unlike the stores in it.
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
