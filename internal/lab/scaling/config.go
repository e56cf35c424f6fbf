package scaling

import (
	"context"
	"fmt"

	"bankshift/internal/node"
)

// configuration measures the size of a node's configuration and the time to
// parse it, by servers and by tenants.
func configuration(ctx context.Context, e *Env) ([]Figure, error) {
	byServers, err := e.configFigures(ctx, "servers", plannedServers, e.servers(), func(n int) ([]byte, error) { return configOf(n, 0) })
	if err != nil {
		return nil, err
	}
	byTenants, err := e.configFigures(ctx, "tenants", plannedTenants, e.tenants(), func(n int) ([]byte, error) { return configOf(e.maxServers(), n) })
	if err != nil {
		return nil, err
	}
	for i := range byTenants {
		byTenants[i].Note = fmt.Sprintf("before %d servers", e.maxServers())
	}
	return append(byServers, byTenants...), nil
}

func (e *Env) configFigures(ctx context.Context, over string, planned float64, sizes []int, configOf func(int) ([]byte, error)) ([]Figure, error) {
	size := Figure{Name: "configuration: size", Unit: "KB", Over: over, Planned: planned, Mechanism: mechanismParse}
	read := Figure{Name: "configuration: time to read", Unit: "ms", Over: over, Planned: planned, Budget: budgetPropagation, Mechanism: mechanismParse}
	for _, n := range sizes {
		raw, err := configOf(n)
		if err != nil {
			return nil, err
		}
		seconds, err := e.benchmark(ctx, func(int) error {
			_, err := node.ParseConfig(raw)
			return err
		})
		if err != nil {
			return nil, err
		}
		size.add(float64(n), float64(len(raw))/1e3)
		read.add(float64(n), seconds*1e3)
	}
	return []Figure{size, read}, nil
}
