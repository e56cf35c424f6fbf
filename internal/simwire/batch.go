// Package simwire translates between the simulator's JSON lines and the
// balancer's events and actions. The simulator sends each batch of events as one
// line, and reads one line of actions in reply. The balancer does not depend on
// the simulator's names for them.
package simwire

import (
	"encoding/json"
	"fmt"
	"time"

	"bankshift/balancer"
)

// Batch is one line from the simulator: what the nodes in it receive at one time.
type Batch struct {
	Now   balancer.Time
	Nodes []NodeInputs
}

// NodeInputs holds the inputs of one node in the order in which it must handle them.
type NodeInputs struct {
	Node   int
	Inputs []Input
}

// Input is one of three things: the start of a node, its end, or an event for
// its balancer.
type Input struct {
	Start  *Start         // nil: the input is not a start
	Retire bool           // the node ends, and performs no more actions
	Event  balancer.Event // nil: the input is a start or an end
}

// Start is the start of a node. The node replaces any earlier one with the same number.
type Start struct {
	Settings balancer.Settings
	Seed     int64
}

// batchJSON is the form of a Batch on the wire. Each event is an object whose only
// key is the event's name.
type batchJSON struct {
	Now    *int64 `json:"sim_time_ns"`
	Groups []struct {
		Node   *int                         `json:"node_id"`
		Events []map[string]json.RawMessage `json:"happened"`
	} `json:"groups"`
}

// DecodeBatch decodes one line. Its error says where in the line the fault is, and
// wraps a *MissingKeyError for an absent key, an *UnknownValueError for a value
// that is not defined for its key, ErrUnknownEvent for an unknown event, and the
// errors of package settings and encoding/json.
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
			return nil, fmt.Errorf("event %d: want one key, the event's name, but have %d", i, len(event))
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
