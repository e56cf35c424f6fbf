// Package simwire translates between the simulator's JSON lines and the
// balancer's events and actions. The simulator sends one batch of events a line
// and reads one line of actions for it. The simulator's words stay within this
// package.
package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"bankshift/balancer"
)

// Batch is one line from the simulator.
type Batch struct {
	Now   balancer.Time
	Nodes []NodeInputs
}

// NodeInputs holds the inputs of one node in their order.
type NodeInputs struct {
	Node   int
	Inputs []Input
}

// Input is one of three things: the start of a node, its end, or an event for
// its balancer.
type Input struct {
	Start  *Start         // nil: not a start
	Retire bool           // the node ends, and sends nothing more
	Event  balancer.Event // nil: a start or an end
}

// Start says that a node begins, in place of any earlier one with its number.
type Start struct {
	Settings balancer.Settings
	Seed     int64
}

// batchJSON is the form of a Batch on the wire. Each event is an object with its
// name as the only key.
type batchJSON struct {
	Now    *int64 `json:"sim_time_ns"`
	Groups []struct {
		Node   *int                         `json:"node_id"`
		Events []map[string]json.RawMessage `json:"happened"`
	} `json:"groups"`
}

// DecodeBatch reads one line. An absent key is a *MissingKeyError and a value
// that is not known is an *UnknownValueError, both wrapped with their place.
func DecodeBatch(line []byte) (Batch, error) {
	var in batchJSON
	if err := json.Unmarshal(line, &in); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	now, err := required("sim_time_ns", in.Now)
	if err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	batch := Batch{Now: time.Duration(now)}
	for i, group := range in.Groups {
		node, err := required("node_id", group.Node)
		if err != nil {
			return Batch{}, fmt.Errorf("group %d: %w", i, err)
		}
		inputs, err := decodeInputs(group.Events)
		if err != nil {
			return Batch{}, fmt.Errorf("node %d, %w", node, err)
		}
		batch.Nodes = append(batch.Nodes, NodeInputs{Node: node, Inputs: inputs})
	}
	return batch, nil
}

func decodeInputs(events []map[string]json.RawMessage) ([]Input, error) {
	var inputs []Input
	for i, event := range events {
		if len(event) != 1 {
			return nil, fmt.Errorf("event %d: want one key, have %d", i, len(event))
		}
		for name, raw := range event {
			input, err := decodeInput(name, raw)
			if err != nil {
				return nil, fmt.Errorf("event %d, %s: %w", i, name, err)
			}
			inputs = append(inputs, input)
		}
	}
	return inputs, nil
}
