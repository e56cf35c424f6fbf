package scaling

import (
	"context"
	"fmt"
	"path/filepath"
	"sync/atomic"
	"time"

	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/fleet"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// nodeThreads is GOMAXPROCS of the real nodes: on the platform a node sees the
// one core that it is given.
const nodeThreads = 1

// nodesStarted numbers the names of the nodes.
var nodesStarted atomic.Int32

// runningNode is a node's process with its discovery, without servers or
// clients. The owner calls close.
type runningNode struct {
	*fleet.Process
	registries []*emulator.Registry
	entries    []model.Entry // as published at first
	configPath string
	config     func(discovery string) ([]byte, error) // with discovery at an address
}

func (n *runningNode) close() {
	if n.Process != nil {
		n.Kill()
	}
	for _, r := range n.registries {
		r.Close()
	}
}

// listBytes is what all registries have sent and received.
func (n *runningNode) listBytes() int64 {
	sum := int64(0)
	for _, r := range n.registries {
		stats := r.Stats()
		sum += stats.BytesIn + stats.BytesOut
	}
	return sum
}

// startNode starts a node of a fleet, with a number of registries of the same
// content, and waits until it is ready.
func (e *Env) startNode(ctx context.Context, c idleCase, registries int) (_ *runningNode, err error) {
	s := plannedScenario(nodesFor(c.servers), c.servers)
	s.Traffic.Tenants = c.tenants
	s.Discovery.OnDemand = c.onDemand
	n := &runningNode{entries: entriesOf(s)}
	defer func() {
		if err != nil {
			n.close()
		}
	}()
	for range registries {
		if err := n.addRegistry(c.onDemand); err != nil {
			return nil, err
		}
	}
	if err := e.startProcess(ctx, n, s); err != nil {
		return nil, err
	}
	return n, nil
}

func (n *runningNode) addRegistry(onDemand bool) error {
	registry, err := emulator.NewRegistry(emulator.RegistryConfig{
		RegistryConfig: model.RegistryConfig{Nodes: 1, OnDemand: onDemand},
	})
	if err != nil {
		return err
	}
	n.registries = append(n.registries, registry)
	return registry.Change(n.entries...)
}

// startProcess starts the node's process with its first registry.
func (e *Env) startProcess(ctx context.Context, n *runningNode, s *scenario.Scenario) error {
	addresses, err := fleet.FreeAddresses(1)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("s%d", nodesStarted.Add(1))
	n.configPath = filepath.Join(e.Dir, name+".json")
	n.config = func(discovery string) ([]byte, error) {
		return s.NodeConfig(0, scenario.NodeStart{
			Listen:    addresses[0],
			Discovery: discovery,
			KnownList: model.EncodeSnapshot(1, n.entries),
		})
	}
	config, err := n.config(n.registries[0].Addr(0))
	if err != nil {
		return err
	}
	began := time.Now()
	n.Process, err = fleet.Start(ctx, e.Node, e.Dir, name, addresses[0], config, nodeThreads)
	if err != nil {
		return err
	}
	return n.AwaitReady(ctx, began)
}

// sleep waits for d, or returns ctx's error if ctx ends first.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
