// Package memory divides a node's memory limit among the bytes that others can make
// the node hold: the messages and parts of messages of clients and endpoints. A node
// above its limit is killed, so each of these parts has a bound, and what is left of
// the limit for them depends on the size of the program and on the connections.
package memory

// Memory that is not available to messages, in bytes. The estimates include what the
// runtime needs for itself.
const (
	runtimeBytes          = 5 << 20  // an idle node without connections: runtime, settings, endpoints
	recentIDBytes         = 2 << 20  // the IDs that the node remembers
	clientConnBytes       = 16 << 10 // a client's connection with a request that fits UnreservedBytes
	endpointConnBytes     = 8 << 10  // a connection to an endpoint with an exchange of that size
	endpointBytes         = 3 << 10  // an endpoint of the list
	runtimeLimitNumerator = 3        // the runtime's soft limit is 3/4 of the node's limit; the
	runtimeLimitDivisor   = 4        // rest is for the program's own file and for peaks between two collections
)

// UnreservedBytes is the size up to which a message is part of what its connection
// costs in any case. A message of that size never waits for memory.
const UnreservedBytes = 4 << 10

// Smallest budgets, in bytes, for nodes whose limit is too low for their connections.
const (
	minMessageBytes = 512 << 10 // several messages of the largest size
	minSmallBytes   = 128 << 10
)

// Plan states how many bytes of each kind a node may hold.
type Plan struct {
	RuntimeLimit int64 // soft limit of the runtime: a collection starts well before the node's limit
	Requests     int64 // requests above UnreservedBytes, from the first byte until their attempts have ended
	Responses    int64 // responses above UnreservedBytes, until they are written
	Heads        int64 // parsed heads above HeadMeter's allowance
	ReadAhead    int64 // bytes read ahead of a client's next requests
}

// NewPlan divides a limit in MB for a node with at most these numbers of connections and
// about this number of endpoints.
func NewPlan(limitMB, clientConns, endpointConns, endpoints int) Plan {
	runtimeLimit := int64(limitMB) << 20 / runtimeLimitDivisor * runtimeLimitNumerator
	fixed := runtimeBytes + recentIDBytes + int64(clientConns)*clientConnBytes + int64(endpointConns)*endpointConnBytes + int64(endpoints)*endpointBytes
	// A third is left for buffers that have been released and are not collected yet.
	available := (runtimeLimit - fixed) / 3 * 2
	return Plan{
		RuntimeLimit: runtimeLimit,
		Requests:     max(available/2, minMessageBytes),
		Responses:    max(available/4, minMessageBytes),
		Heads:        max(available/8, minSmallBytes),
		ReadAhead:    max(available/8, minSmallBytes),
	}
}
