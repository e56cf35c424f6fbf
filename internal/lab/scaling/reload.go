package scaling

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"
)

// reloadsPerSize is the number of SIGHUPs measured at each size.
const reloadsPerSize = 6

// reload measures the processor time and the list traffic that a node needs for a
// SIGHUP which changes the address of discovery.
func reload(ctx context.Context, e *Env) ([]Figure, error) {
	cpu := Figure{
		Name: "SIGHUP: processor", Unit: "ms", Over: "servers", Planned: plannedServers, Mechanism: mechanismReload,
		Note: "the whole file is read and the whole list fetched, for discovery's address alone; all else wants a restart",
	}
	traffic := Figure{
		Name: "SIGHUP: list traffic", Unit: "KB", Over: "servers", Planned: plannedServers, Mechanism: mechanismReloadFetch,
	}
	daily := Figure{
		Name: "SIGHUP for each change of configuration: list traffic", Unit: "bytes/s", Over: "servers", Planned: plannedServers,
		Budget: budgetListRate, Mechanism: mechanismReloadFetch, Note: fmt.Sprintf("%d changes a day, spread evenly", plannedConfigChanges),
	}
	for _, servers := range e.servers() {
		use, err := e.measureReloads(ctx, servers)
		if err != nil {
			return nil, err
		}
		x := float64(servers)
		cpu.add(x, use.cpuMS)
		traffic.add(x, use.listKB)
		daily.add(x, use.listKB*1e3*plannedConfigChanges/(24*time.Hour).Seconds())
	}
	return []Figure{cpu, traffic, daily}, nil
}

// reloadUse is the mean resource use of one reload.
type reloadUse struct {
	cpuMS  float64
	listKB float64
}

// reloadTotals are a node's total processor time and list traffic since its start.
type reloadTotals struct {
	cpu       time.Duration
	listBytes int64
}

func (n *runningNode) totals() (reloadTotals, error) {
	usage, err := n.Usage()
	return reloadTotals{cpu: usage.CPU, listBytes: n.listBytes()}, err
}

// measureReloads moves discovery between two addresses and returns the mean use
// of one move. The use of the idle node over an equal time is subtracted.
func (e *Env) measureReloads(ctx context.Context, servers int) (reloadUse, error) {
	n, err := e.startNode(ctx, idleCase{servers: servers}, 2)
	if err != nil {
		return reloadUse{}, err
	}
	defer n.close()
	interval := max(e.measure()/20, 50*time.Millisecond)
	if err := sleep(ctx, e.settleTime()); err != nil {
		return reloadUse{}, err
	}
	start, err := n.totals()
	if err != nil {
		return reloadUse{}, err
	}
	if err := sleep(ctx, interval*reloadsPerSize); err != nil {
		return reloadUse{}, err
	}
	afterIdle, err := n.totals()
	if err != nil {
		return reloadUse{}, err
	}
	for i := range reloadsPerSize {
		if err := n.moveDiscovery(n.registries[(i+1)%len(n.registries)].Addr(0)); err != nil {
			return reloadUse{}, err
		}
		if err := sleep(ctx, interval); err != nil {
			return reloadUse{}, err
		}
	}
	end, err := n.totals()
	if err != nil {
		return reloadUse{}, err
	}
	cpu := (end.cpu - afterIdle.cpu) - (afterIdle.cpu - start.cpu)
	bytes := (end.listBytes - afterIdle.listBytes) - (afterIdle.listBytes - start.listBytes)
	return reloadUse{
		cpuMS:  cpu.Seconds() * 1e3 / reloadsPerSize,
		listKB: float64(bytes) / 1e3 / reloadsPerSize,
	}, nil
}

// moveDiscovery writes a configuration with another address of discovery, and
// sends the node SIGHUP to make it read the file.
func (n *runningNode) moveDiscovery(address string) error {
	config, err := n.config(address)
	if err != nil {
		return err
	}
	if err := os.WriteFile(n.configPath, config, 0o600); err != nil {
		return err
	}
	return n.Signal(syscall.SIGHUP)
}
