package model

import (
	"time"
)

// Status values of an Entry.
const (
	Ready    = "ready"
	Draining = "draining" // finishes its work and wants no new requests
	Removed  = "gone"     // in changes only: the entry leaves the list
)

// Entry is one server of the list, in the form of the protocol page.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"` // Unix time of the last start in milliseconds; 0: long ago
}

const (
	defaultLogLength = 1024             // versions: a large release at once, at some hundred bytes an entry
	maxHold          = 60 * time.Second // of a watch, by the protocol page
)

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	Nodes int // that call it, numbered from 0

	// Without OnDemand, changes are pushed to an agent beside each node, which
	// answers its node at once. With OnDemand, the calls go to one service,
	// which answers one after the other.
	OnDemand     bool
	Delay        time.Duration // from a change to the agents, or to the service
	DelaySpread  time.Duration // pushed: additional, drawn uniformly for each node
	ResponseTime time.Duration // on demand: work of a response
	EntryTime    time.Duration // on demand: additional, for each entry of a response

	LogLength int // versions whose changes are kept at least; a node with an older one gets the whole list; 0: 1,024
}

// RegistryStats counts since the registry was made, for all nodes or for one.
type RegistryStats struct {
	Calls      int
	Responses  int   // Served
	Snapshots  int   // of them, whole lists
	Empty      int   // of them, without an entry
	Entries    int   // in all responses
	Bytes      int64 // of all bodies
	Refused    int
	Reset      int
	Unanswered int // calls that got no response, and never will
}

// Response is how discovery ends a call.
type Response struct {
	CallID   uint64 // as returned by Call
	Node     int
	Outcome  Outcome // Served, ConnectionRefused or ConnectionReset; a call without any response has no Response
	At       time.Duration
	Version  uint64 // with Served: of the list
	Snapshot bool   // the whole list, else changes
	Entries  int
	Body     []byte // shared by all that get the same; must not be modified
}

// Registry is discovery: the list of servers, and which node has which version
// of it.
//
// Not modelled: an agent that restarts; lists that arrive in the wrong order,
// or differ between nodes other than in time; the time for which a watch may
// pause between calls (changes in between come with the next call).
type Registry struct {
	cfg RegistryConfig
	now time.Duration

	// The list
	latest       uint64         // newest version
	entries      []encodedEntry // of the newest version, sorted by name
	log          []listVersion  // the last versions, up to the newest
	snapshots    map[uint64]*encodedList
	deltas       map[versionRange]*encodedList
	listsEncoded int

	// The nodes and their calls
	nodes      []nodeState
	refusing   bool
	silent     bool
	busyUntil  time.Duration // on demand: when the service is free
	lastCallID uint64
	pending    callQueue
	byID       map[uint64]*call
	stats      RegistryStats
}

// nodeState is what a node learns, and its calls.
type nodeState struct {
	delay         time.Duration
	outages       int    // reasons for which it learns nothing
	frozenVersion uint64 // the version that it has during outages
	isolated      bool
	calls         map[uint64]*call // held or being answered
	stats         RegistryStats
}

// NewRegistry returns a registry with an empty list, version 0. rng draws the
// delays of the nodes and may be nil without a DelaySpread.
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

// Version is the newest version of the list.
func (r *Registry) Version() uint64 { return r.latest }

// Stats counts over all nodes.
func (r *Registry) Stats() RegistryStats { return r.stats }

// NodeStats counts for one node.
func (r *Registry) NodeStats(node int) RegistryStats { return r.nodes[node].stats }

// HeldCalls is how many calls are held or being answered.
func (r *Registry) HeldCalls() int { return len(r.pending) }

// Delay is how long a change takes to a node's agent, or to the service.
func (r *Registry) Delay(node int) time.Duration { return r.nodes[node].delay }

// Next is the time of the next event that happens by itself, and whether there
// is one.
func (r *Registry) Next() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return max(r.pending[0].due, r.now), true
}

// Advance brings the registry to a time and returns the responses due by then,
// in their order.
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

// advanceTo brings the time to now for another method. Responses that are due
// stay for Advance.
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
