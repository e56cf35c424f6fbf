// Command simhost runs balancers for the simulator. It reads one batch of events
// per line from standard input, and replies to each with one line of the
// balancers' actions on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"bankshift/balancer"
	"bankshift/internal/simwire"
)

// bufferSize is the size in bytes of the read buffer and of the write buffer.
const bufferSize = 1 << 20

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

// run replies to each line until the input ends. It stops with an error at the
// first line that cannot be decoded or has an event for a node that is not
// running.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, bufferSize)
	writer := bufio.NewWriterSize(out, bufferSize)
	nodes := host{}
	var reply []byte
	for number := 1; ; number++ {
		line, err := reader.ReadBytes('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		replies, err := nodes.handle(line)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply = simwire.AppendReply(reply[:0], replies)
		if _, err := writer.Write(reply); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// host holds the balancers of the running nodes, by the node's number.
type host map[int]*balancer.Balancer

// handle passes each node's inputs in a batch to the node, and returns the nodes' actions.
func (h host) handle(line []byte) ([]simwire.Reply, error) {
	batch, err := simwire.DecodeBatch(line)
	if err != nil {
		return nil, err
	}
	var replies []simwire.Reply
	for _, node := range batch.Nodes {
		actions, err := h.handleNode(batch.Now, node)
		if err != nil {
			return nil, fmt.Errorf("node %d, %w", node.Node, err)
		}
		replies = append(replies, simwire.Reply{Node: node.Node, Actions: actions})
	}
	return replies, nil
}

// handleNode handles a node's inputs in order: it starts or ends the node, or passes an event to its balancer.
func (h host) handleNode(now balancer.Time, node simwire.NodeInputs) ([]balancer.Action, error) {
	var actions []balancer.Action
	for i, input := range node.Inputs {
		switch {
		case input.Start != nil:
			h[node.Node] = balancer.New(input.Start.Settings, input.Start.Seed)
		case input.Retire:
			delete(h, node.Node)
			actions = nil // a node that has ended performs no actions, not even for earlier events of this batch
		default:
			b := h[node.Node]
			if b == nil {
				return nil, fmt.Errorf("event %d: the node is not running, want an up event first", i)
			}
			actions = append(actions, b.Handle(now, input.Event)...)
		}
	}
	return actions, nil
}
