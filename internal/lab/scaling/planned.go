package scaling

import (
	_ "embed"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// The operators' plan.
const (
	plannedNodes         = 450
	plannedServers       = 4500
	plannedTenants       = 20000
	plannedRate          = 180  // requests a second at a node: 81,000 over 450
	plannedConfigChanges = 1000 // a day
)

// What the plan grants a node.
const (
	budgetCPU          = 3.1  // % of a core
	budgetMemory       = 256  // MB
	budgetListRate     = 3000 // of list traffic, a second
	budgetAddedLatency = 4.6  // ms, for 99 in 100 requests
	budgetPropagation  = 4000 // ms until a configuration is in force everywhere
)

// serversPerNode is the plan's ratio, which all sizes keep.
const serversPerNode = plannedServers / plannedNodes

// smallFleetServers is the number of servers at which the figures of requests are
// measured.
const smallFleetServers = 60

//go:embed planned.toml
var plannedTOML []byte

// plannedScenario is a fleet as the operators plan it, of the given size.
func plannedScenario(nodes, servers int) *scenario.Scenario {
	s, err := scenario.Parse("planned.toml", plannedTOML)
	if err != nil {
		panic(err) // the file is part of the program
	}
	s.Fleet.Nodes = nodes
	s.Servers.Count = servers
	return s
}

// nodesFor is the number of nodes in front of a number of servers.
func nodesFor(servers int) int { return max(1, servers/serversPerNode) }

// entriesOf lists a scenario's servers, at addresses where nothing listens.
func entriesOf(s *scenario.Scenario) []model.Entry {
	entries := make([]model.Entry, s.Servers.Count)
	for i := range entries {
		entries[i] = setup.Entry(s.Server(i), setup.UnusedAddress(i))
		entries[i].Status = model.Ready
	}
	return entries
}

// changedEntry is the entry that the n-th change of a list changes, as it
// becomes.
func changedEntry(entries []model.Entry, n int) model.Entry {
	e := entries[scatteredIndex(n, len(entries))]
	e.Weight = setup.ChangedWeight(n)
	return e
}

// scatteredIndex scatters consecutive numbers over the indexes of n elements.
func scatteredIndex(i, n int) int {
	const prime = 7919
	return i * prime % n
}

// configOf is the configuration of a node in front of a number of servers.
func configOf(servers, tenants int) ([]byte, error) {
	s := plannedScenario(nodesFor(servers), servers)
	s.Traffic.Tenants = tenants
	return s.NodeConfig(0, scenario.NodeStart{
		Listen:    "127.0.0.1:1",
		Discovery: "127.0.0.1:2",
		KnownList: model.EncodeSnapshot(1, entriesOf(s)),
	})
}
