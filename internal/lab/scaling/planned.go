package scaling

import (
	_ "embed"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// Size and load of the deployment that the operators plan.
const (
	plannedNodes         = 450
	plannedServers       = 4500
	plannedTenants       = 20000
	plannedRate          = 180  // requests/s per node: 81,000 over 450 nodes
	plannedConfigChanges = 1000 // per day
)

// Limits that the operators' plan sets for a node.
const (
	budgetCPU          = 3.1  // % of a core
	budgetMemory       = 256  // MB
	budgetListRate     = 3000 // bytes/s of list traffic
	budgetAddedLatency = 4.6  // ms, 99th percentile
	budgetPropagation  = 4000 // ms until a configuration is in effect on all nodes
)

// serversPerNode is the planned ratio of servers to nodes. nodesFor keeps it at
// all sizes.
const serversPerNode = plannedServers / plannedNodes

// smallFleetServers is the number of servers in measurements that send requests.
const smallFleetServers = 60

//go:embed planned.toml
var plannedTOML []byte

// plannedScenario returns the planned deployment, with the given numbers of nodes
// and servers.
func plannedScenario(nodes, servers int) *scenario.Scenario {
	s, err := scenario.Parse("planned.toml", plannedTOML)
	if err != nil {
		panic(err) // planned.toml is embedded in the program
	}
	s.Fleet.Nodes = nodes
	s.Servers.Count = servers
	return s
}

// nodesFor returns the planned number of nodes for a number of servers, at least
// one.
func nodesFor(servers int) int { return max(1, servers/serversPerNode) }

// entriesOf returns discovery's entries for a scenario's servers, with addresses
// where nothing listens.
func entriesOf(s *scenario.Scenario) []model.Entry {
	entries := make([]model.Entry, s.Servers.Count)
	for i := range entries {
		entries[i] = setup.Entry(s.Server(i), setup.UnusedAddress(i))
		entries[i].Status = model.Ready
	}
	return entries
}

// changedEntry returns the entry that the n-th list change modifies, with its new
// weight.
func changedEntry(entries []model.Entry, n int) model.Entry {
	e := entries[scatteredIndex(n, len(entries))]
	e.Weight = setup.ChangedWeight(n)
	return e
}

// scatteredIndex maps consecutive values of i to scattered indexes of n elements.
func scatteredIndex(i, n int) int {
	const prime = 7919
	return i * prime % n
}

// configOf returns the configuration of a node for the given numbers of servers
// and tenants.
func configOf(servers, tenants int) ([]byte, error) {
	s := plannedScenario(nodesFor(servers), servers)
	s.Traffic.Tenants = tenants
	return s.NodeConfig(0, scenario.NodeStartParams{
		Listen:    "127.0.0.1:1",
		Discovery: "127.0.0.1:2",
		KnownList: model.EncodeSnapshot(1, entriesOf(s)),
	})
}
