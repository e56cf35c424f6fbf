package model

import (
	"time"
)

// Status values of an Entry.
const (
	Ready    = "ready"
	Draining = "draining" // the server finishes its requests and should get no new ones
	Removed  = "gone"     // only in changes: the entry is removed from the list
)

// Entry describes one server of the list. Its JSON form is that of the discovery
// protocol.
type Entry struct {
	Name        string  `json:"name"`
	Address     string  `json:"address"`
	Zone        string  `json:"zone"`
	MachineType string  `json:"type"`
	Cell        int     `json:"group"`
	Status      string  `json:"status"`
	Weight      float64 `json:"weight"`
	StartedAtMS int64   `json:"since_ms"` // Unix time of the last start in milliseconds; 0: long ago
}

const (
	defaultLogLength = 1024             // in versions: covers a large release at once; an entry takes about 100 bytes
	maxHold          = 60 * time.Second // longest time to hold a watch, according to the discovery protocol
)

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Nodes int // number of nodes that call it; they are numbered from 0

	// Without OnDemand, changes are pushed to an agent beside each node, which
	// answers the calls of its node at once. With OnDemand, all calls go to one
	// service, which handles them one after the other.
	OnDemand     bool
	Delay        time.Duration // from a change until the agents, or the service, have it
	DelaySpread  time.Duration // without OnDemand: upper bound of an additional delay, drawn uniformly for each node
	ResponseTime time.Duration // with OnDemand: service time of a response
	EntryTime    time.Duration // with OnDemand: additional service time for each entry of a response

	// LogLength is the minimum number of versions whose changes are kept; 0
	// stands for 1,024. A node with an older version gets the whole list.
	LogLength int
}

// RegistryStats counts the calls since the registry was created, of all nodes or
// of one.
type RegistryStats struct {
	Calls      int
	Responses  int   // calls that ended Served
	Snapshots  int   // Responses with the whole list
	Empty      int   // Responses without an entry
	Entries    int   // entries in all Responses
	Bytes      int64 // body bytes of all Responses
	Refused    int   // calls that ended ConnectionRefused
	Reset      int   // calls that ended ConnectionReset
	Unanswered int   // calls that never get a response
}

// Response is how discovery ended a call.
type Response struct {
	CallID   uint64 // as returned by Call
	Node     int
	Outcome  Outcome // Served, ConnectionRefused or ConnectionReset; an unanswered call has no Response
	At       time.Duration
	Version  uint64 // if Served: version of the list
	Snapshot bool   // Body is the whole list, otherwise the changes
	Entries  int
	Body     []byte // shared by all responses with the same list; must not be modified
}

// Registry is the model of discovery: it holds the list of servers and which
// version of the list each node has.
//
// It does not model agents that restart, lists that arrive out of order, nodes
// that get different lists for the same version, or a limit on the time between
// two calls of a watch: changes made in between come with the next call.
type Registry struct {
	cfg RegistryConfig
	now time.Duration

	// List
	latest       uint64         // newest version
	entries      []encodedEntry // of the newest version, sorted by name
	log          []listVersion  // the most recent versions, oldest first, up to latest
	snapshots    map[uint64]*encodedList
	deltas       map[versionRange]*encodedList
	listsEncoded int

	// Nodes and their calls
	nodes      []nodeState
	refusing   bool
	silent     bool
	busyUntil  time.Duration // with OnDemand: when the service is free again
	lastCallID uint64
	pending    callQueue
	byID       map[uint64]*call
	stats      RegistryStats
}

// nodeState holds what decides when a node receives changes, and the node's calls.
type nodeState struct {
	delay         time.Duration // from a change until the node's agent or the service has it
	outages       int           // number of current faults that keep changes from the node
	frozenVersion uint64        // the version the node has while outages is above 0
	isolated      bool
	calls         map[uint64]*call // held or being answered
	stats         RegistryStats
}

// NewRegistry returns a registry with an empty list of version 0. rng is used to
// draw the delays of the nodes and may be nil if DelaySpread is 0.
func NewRegistry(cfg RegistryConfig, rng Rand) *Registry {
	if cfg.LogLength <= 0 {
		cfg.LogLength = defaultLogLength
	}
	r := &Registry{
		cfg:       cfg,
		snapshots: map[uint64]*encodedList{},
		deltas:    map[versionRange]*encodedList{},
		byID:      map[uint64]*call{},
		nodes:     make([]nodeState, cfg.Nodes),
	}
	for i := range r.nodes {
		n := &r.nodes[i]
		n.delay = cfg.Delay
		if !cfg.OnDemand && cfg.DelaySpread > 0 {
			n.delay += time.Duration(rng.Float64() * float64(cfg.DelaySpread))
		}
		n.calls = map[uint64]*call{}
	}
	return r
}

// Version returns the newest version of the list.
func (r *Registry) Version() uint64 { return r.latest }

// Stats returns the counts for all nodes together.
func (r *Registry) Stats() RegistryStats { return r.stats }

// NodeStats returns the counts for one node.
func (r *Registry) NodeStats(node int) RegistryStats { return r.nodes[node].stats }

// HeldCalls returns how many calls are held or being answered.
func (r *Registry) HeldCalls() int { return len(r.pending) }

// Delay returns how long a change takes to reach a node's agent or, with
// OnDemand, the service.
func (r *Registry) Delay(node int) time.Duration { return r.nodes[node].delay }

// Next returns the time of the next event that occurs without a further call,
// and whether there is one.
func (r *Registry) Next() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return max(r.pending[0].due, r.now), true
}

// Advance moves the registry's time forward to now and returns the responses due
// by then, in order of their times.
func (r *Registry) Advance(now time.Duration) []Response {
	var responses []Response
	for len(r.pending) > 0 && r.pending[0].due <= now {
		c := r.pending[0]
		r.now = max(r.now, c.due)
		if c.response == nil {
			r.evaluate(c)
			continue
		}
		r.removeCall(c)
		r.countResponse(c.response)
		responses = append(responses, *c.response)
	}
	r.now = max(r.now, now)
	return responses
}

// advanceTo moves the registry's time forward to now on behalf of the methods
// other than Advance. Responses that are due remain for Advance to return.
func (r *Registry) advanceTo(now time.Duration) {
	for len(r.pending) > 0 && r.pending[0].due <= now && r.pending[0].response == nil {
		r.now = max(r.now, r.pending[0].due)
		r.evaluate(r.pending[0])
	}
	r.now = max(r.now, now)
}

func (r *Registry) countResponse(response *Response) {
	for _, stats := range []*RegistryStats{&r.stats, &r.nodes[response.Node].stats} {
		stats.count(response)
	}
}

func (s *RegistryStats) count(response *Response) {
	switch response.Outcome {
	case ConnectionRefused:
		s.Refused++
	case ConnectionReset:
		s.Reset++
	default:
		s.Responses++
		s.Entries += response.Entries
		s.Bytes += int64(len(response.Body))
		if response.Snapshot {
			s.Snapshots++
		}
		if response.Entries == 0 {
			s.Empty++
		}
	}
}
