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

// nodeThreads is GOMAXPROCS of the real nodes. On the platform, a node is given one
// core and sees no others.
const nodeThreads = 1

// nodesStarted counts the nodes started in this process, to give each a unique
// name.
var nodesStarted atomic.Int32

// runningNode is a node's process with its registries, the emulated discovery. It
// has no servers and no clients. Callers of startNode must call close.
type runningNode struct {
	*fleet.Process
	registries []*emulator.Registry
	entries    []model.Entry // as first published
	configPath string
	config     func(discovery string) ([]byte, error) // returns the configuration for an address of discovery
}

func (n *runningNode) close() {
	if n.Process != nil {
		n.Kill()
	}
	for _, r := range n.registries {
		r.Close()
	}
}

// listBytes returns the number of bytes that all registries have sent and
// received.
func (n *runningNode) listBytes() int64 {
	sum := int64(0)
	for _, r := range n.registries {
		stats := r.Stats()
		sum += stats.BytesIn + stats.BytesOut
	}
	return sum
}

// startNode starts a node of the planned deployment, for the numbers of servers
// and tenants in c, and waits until it is ready. All registries publish the same
// list; the node uses the first.
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

// startProcess starts the node's process, configured for its first registry, and
// waits until it is ready.
func (e *Env) startProcess(ctx context.Context, n *runningNode, s *scenario.Scenario) error {
	addresses, err := fleet.FreeAddresses(1)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("s%d", nodesStarted.Add(1))
	n.configPath = filepath.Join(e.Dir, name+".json")
	n.config = func(discovery string) ([]byte, error) {
		return s.NodeConfig(0, scenario.NodeStartParams{
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
