package model

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"time"
)

// The states of an entry.
const (
	Ready    = "ready"
	Draining = "draining" // finishes its work and wants nothing new
	Removed  = "gone"     // among changes only: it leaves the list
)

// Entry is one server of a list, in the form of the protocol page.
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

// RegistryConfig is what a discovery is.
type RegistryConfig struct {
	Nodes int // that call it; they are numbered from 0

	// Pushed, changes travel to an agent beside each node, which answers its
	// node at once. Asked, the calls come to one service, which answers one
	// after the other.
	OnDemand     bool
	Delay        time.Duration // from a change to the agents, or to the service
	DelaySpread  time.Duration // pushed: more, drawn evenly for each node
	ResponseTime time.Duration // asked: work of an answer
	EntryTime    time.Duration // asked: more, for each entry of an answer

	LogLength int // versions whose changes are kept at least; who has an older one gets the whole list; 0: 1,024
}

const (
	defaultLogLength = 1024             // versions: a large release in one go, at some hundred bytes an entry
	maxHold          = 60 * time.Second // of a watch, by the protocol page
	maxCachedLists   = 32               // answers of each form; a whole list of 4,500 takes 0.6 MB, and nodes are seldom more versions apart
)

// RegistryStats counts since the registry was made, for all nodes or for one.
type RegistryStats struct {
	Calls      int
	Responses  int   // Served
	Snapshots  int   // of them, whole lists
	Empty      int   // of them, without an entry
	Entries    int   // entries in them
	Bytes      int64 // of their bodies
	Refused    int
	Reset      int
	Unanswered int // calls that got no answer, and never will
}

// Answer is how discovery ends a call.
type Response struct {
	CallID   uint64 // as Call named it
	Node     int
	Outcome  Outcome // Served, Refused or Broken; a call that ends with Nothing has no Answer
	At       time.Duration
	Version  uint64 // with Served: version of the list
	Snapshot bool   // the whole list, else changes
	Entries  int
	Body     []byte // shared by all who get the same; not to be written to
}

// Registry is discovery: the list of servers and who knows what of it.
//
// What is left out: an agent that restarts; lists that are told in the wrong
// order, or differ between nodes other than in time; the time for which a
// watch may pause between calls (what changed in between comes with the next
// call in any case).
type Registry struct {
	cfg RegistryConfig
	now time.Duration

	latest       uint64
	entries      []encodedEntry // the list now, by name
	log          []version      // the last versions, up to index
	snapshots    map[uint64]*encodedList
	deltas       map[[2]uint64]*encodedList
	listsEncoded int // bodies made

	nodes      []nodeState
	refusing   bool
	silent     bool
	busyUntil  time.Duration // asked: until when the service is
	lastCallID uint64
	pending    callQueue
	byID       map[uint64]*call
	stats      RegistryStats
}

// lineOf is an entry as it is written in lists.
type encodedEntry struct {
	name string
	json []byte // nil: gone
}

// change is one version.
type version struct {
	at       time.Duration
	entries  []encodedEntry // as they became
	previous []encodedEntry // as they were
}

type encodedList struct {
	json    []byte
	entries int
}

// node is what the way to a node is like.
type nodeState struct {
	delay         time.Duration
	outages       int    // reasons for which it learns nothing
	frozenVersion uint64 // the version it has meanwhile
	isolated      bool
	calls         map[uint64]*call // held or being answered
	stats         RegistryStats
}

// call is a call under way. It waits for news until hold, then for its turn.
type call struct {
	id          uint64
	node        int
	fromVersion uint64
	holdUntil   time.Duration
	due         time.Duration // when something has to be done about it
	response    *Response     // ready, to be given at due
	heapIndex   int           // in pending
}

// NewRegistry returns a discovery with an empty list, version 0. rng draws the
// delays of the nodes and may be nil where there is no spread.
func NewRegistry(cfg RegistryConfig, rng Rand) *Registry {
	if cfg.LogLength <= 0 {
		cfg.LogLength = defaultLogLength
	}
	r := &Registry{cfg: cfg, snapshots: map[uint64]*encodedList{}, deltas: map[[2]uint64]*encodedList{}, byID: map[uint64]*call{}, nodes: make([]nodeState, cfg.Nodes)}
	for i := range r.nodes {
		r.nodes[i].delay = cfg.Delay
		if !cfg.OnDemand && cfg.DelaySpread > 0 {
			r.nodes[i].delay += time.Duration(rng.Float64() * float64(cfg.DelaySpread))
		}
		r.nodes[i].calls = map[uint64]*call{}
	}
	return r
}

// Index is the newest version.
func (r *Registry) Version() uint64 { return r.latest }

// Stats counts over all nodes.
func (r *Registry) Stats() RegistryStats { return r.stats }

// NodeStats counts for one node.
func (r *Registry) NodeStats(node int) RegistryStats { return r.nodes[node].stats }

// Held is how many calls are held or being answered.
func (r *Registry) HeldCalls() int { return len(r.pending) }

// Delay is how long a change takes to a node's agent, or to the service.
func (r *Registry) Delay(node int) time.Duration { return r.nodes[node].delay }

// ChangedAt is when a version came about, if it is still in the log.
func (r *Registry) ChangedAt(index uint64) (time.Duration, bool) {
	if first := r.oldestVersion(); index < first || index > r.latest {
		return 0, false
	}
	return r.log[index-r.oldestVersion()].at, true
}

// first is the oldest version in the log, index+1 if there is none.
func (r *Registry) oldestVersion() uint64 { return r.latest - uint64(len(r.log)) + 1 }

// Change makes one new version in which the entries are as given; one that is
// Gone leaves the list. It fails, and changes nothing, for an entry without a
// name or with an unknown status.
func (r *Registry) Change(now time.Duration, entries ...Entry) error {
	r.advanceTo(now)
	c := version{at: r.now}
	for _, e := range entries {
		if e.Name == "" || e.Status != Ready && e.Status != Draining && e.Status != Removed {
			return fmt.Errorf("model: entry %q has status %q", e.Name, e.Status)
		}
		text, err := json.Marshal(e)
		if err != nil {
			return fmt.Errorf("model: entry %q: %w", e.Name, err)
		}
		c.entries = append(c.entries, encodedEntry{e.Name, text})
	}
	for i, e := range entries {
		before := r.replaceEntry(c.entries[i], e.Status == Removed)
		c.previous = append(c.previous, before)
	}
	r.latest++
	r.log = append(r.log, c)
	r.trimLog()
	for _, call := range slices.Clone(r.pending) {
		if call.response == nil && r.nodes[call.node].outages == 0 {
			r.reschedule(call, min(call.due, max(r.now, r.now+r.nodes[call.node].delay)))
		}
	}
	return nil
}

// trim shortens the log to its length, but for versions that nodes are still
// to be told of, or that are the last that they were told of.
func (r *Registry) trimLog() {
	over := len(r.log) - r.cfg.LogLength
	if over <= 0 {
		return
	}
	for _, n := range r.nodes {
		if n.outages > 0 {
			over = min(over, int(n.frozenVersion-min(n.frozenVersion, r.oldestVersion()-1)))
		}
	}
	cut := 0
	for cut < over && r.log[cut].at+r.cfg.Delay+r.cfg.DelaySpread <= r.now {
		cut++
	}
	r.log = slices.Delete(r.log, 0, cut)
}

// put sets a line of the list, and returns it as it was.
func (r *Registry) replaceEntry(l encodedEntry, gone bool) encodedEntry {
	i, ok := findEntry(r.entries, l.name)
	before := encodedEntry{name: l.name}
	switch {
	case ok && gone:
		before = r.entries[i]
		r.entries = slices.Delete(r.entries, i, i+1)
	case ok:
		before, r.entries[i] = r.entries[i], l
	case !gone:
		r.entries = slices.Insert(r.entries, i, l)
	}
	return before
}

func findEntry(lines []encodedEntry, name string) (int, bool) {
	return slices.BinarySearchFunc(lines, name, func(l encodedEntry, name string) int {
		switch {
		case l.name < name:
			return -1
		case l.name > name:
			return 1
		}
		return 0
	})
}

// Version is the version that a node's agent has, or that the service has for
// it: what a call would tell now, if it is answered at all.
func (r *Registry) NodeVersion(now time.Duration, node int) uint64 {
	r.advanceTo(now)
	return r.versionOf(node)
}

func (r *Registry) versionOf(n int) uint64 {
	if r.nodes[n].outages > 0 {
		return r.nodes[n].frozenVersion
	}
	arrived := sort.Search(len(r.log), func(i int) bool { return r.log[i].at+r.nodes[n].delay > r.now })
	return r.oldestVersion() + uint64(arrived) - 1
}

// Call brings a node's call: for the whole list with from 0, else a watch for
// what is newer than that version, held for at most so long. It returns the
// call's name; how it ends comes from Advance.
func (r *Registry) Call(now time.Duration, node int, from uint64, hold time.Duration) uint64 {
	r.advanceTo(now)
	r.lastCallID++
	c := &call{id: r.lastCallID, node: node, fromVersion: from, holdUntil: r.now + min(max(hold, 0), maxHold)}
	n := &r.nodes[node]
	r.stats.Calls++
	n.stats.Calls++
	switch {
	case r.cfg.OnDemand && n.isolated, r.silent:
		r.stats.Unanswered++
		n.stats.Unanswered++
		return c.id
	case r.refusing:
		r.addCall(c, r.now)
		r.endCall(c, ConnectionRefused)
		return c.id
	}
	r.addCall(c, r.now)
	r.evaluate(c)
	return c.id
}

// Hangup ends a call from the node's side. Work that the service had begun on
// it is not saved.
func (r *Registry) CancelCall(now time.Duration, id uint64) {
	r.advanceTo(now)
	if c := r.byID[id]; c != nil {
		r.removeCall(c)
	}
}

// Next is when the next thing happens by itself, and whether anything will.
func (r *Registry) Next() (time.Duration, bool) {
	if len(r.pending) == 0 {
		return 0, false
	}
	return max(r.pending[0].due, r.now), true
}

// Advance brings discovery to a time, and gives the answers due by then in
// their order.
func (r *Registry) Advance(now time.Duration) []Response {
	var out []Response
	for len(r.pending) > 0 && r.pending[0].due <= now {
		c := r.pending[0]
		r.now = max(r.now, c.due)
		if c.response == nil {
			r.evaluate(c)
			continue
		}
		r.removeCall(c)
		r.countResponse(c.response)
		out = append(out, *c.response)
	}
	r.now = max(r.now, now)
	return out
}

// run brings the time to now for another call. What is due stays for Advance.
func (r *Registry) advanceTo(now time.Duration) {
	for len(r.pending) > 0 && r.pending[0].due <= now && r.pending[0].response == nil {
		r.now = max(r.now, r.pending[0].due)
		r.evaluate(r.pending[0])
	}
	r.now = max(r.now, now)
}

// look answers a held call, or finds when to look again.
func (r *Registry) evaluate(c *call) {
	v := r.versionOf(c.node)
	if v == c.fromVersion && c.fromVersion != 0 && r.now < c.holdUntil {
		due := c.holdUntil
		if next := v + 1; r.nodes[c.node].outages == 0 && next <= r.latest && next >= r.oldestVersion() {
			due = min(due, r.log[next-r.oldestVersion()].at+r.nodes[c.node].delay)
		}
		r.reschedule(c, due)
		return
	}
	a := &Response{CallID: c.id, Node: c.node, Outcome: Served, At: r.now, Version: v}
	var b *encodedList
	if c.fromVersion == 0 || v < c.fromVersion || c.fromVersion+1 < r.oldestVersion() {
		a.Snapshot, b = true, r.snapshotAt(v)
	} else {
		b = r.changesBetween(c.fromVersion, v)
	}
	a.Body, a.Entries = b.json, b.entries
	if r.cfg.OnDemand {
		r.busyUntil = max(r.busyUntil, r.now) + r.cfg.ResponseTime + time.Duration(b.entries)*r.cfg.EntryTime
		a.At = r.busyUntil
	}
	c.response = a
	r.reschedule(c, a.At)
}

func (r *Registry) countResponse(a *Response) {
	for _, st := range []*RegistryStats{&r.stats, &r.nodes[a.Node].stats} {
		switch a.Outcome {
		case ConnectionRefused:
			st.Refused++
		case ConnectionReset:
			st.Reset++
		default:
			st.Responses++
			st.Entries += a.Entries
			st.Bytes += int64(len(a.Body))
			if a.Snapshot {
				st.Snapshots++
			}
			if a.Entries == 0 {
				st.Empty++
			}
		}
	}
}

// wholeAt is the body of the whole list at a version of the log, or at the one
// before it.
func (r *Registry) snapshotAt(v uint64) *encodedList {
	if b := r.snapshots[v]; b != nil {
		return b
	}
	lines := r.entries
	if v < r.latest {
		lines = slices.Clone(lines)
		for i := len(r.log) - 1; i >= 0 && r.oldestVersion()+uint64(i) > v; i-- {
			for _, l := range slices.Backward(r.log[i].previous) {
				at, ok := findEntry(lines, l.name)
				switch {
				case ok && l.json == nil:
					lines = slices.Delete(lines, at, at+1)
				case ok:
					lines[at] = l
				case l.json != nil:
					lines = slices.Insert(lines, at, l)
				}
			}
		}
	}
	b := r.encode(v, true, lines)
	if len(r.snapshots) >= maxCachedLists {
		clear(r.snapshots)
	}
	r.snapshots[v] = b
	return b
}

// changesOf is the body of what changed after a version up to another: each
// entry once, as it became last, in the order in which they did.
func (r *Registry) changesBetween(from, to uint64) *encodedList {
	key := [2]uint64{from, to}
	if b := r.deltas[key]; b != nil {
		return b
	}
	var lines []encodedEntry
	told := map[string]bool{}
	for v := to; v > from; v-- {
		for _, l := range slices.Backward(r.log[v-r.oldestVersion()].entries) {
			if !told[l.name] {
				told[l.name] = true
				lines = append(lines, l)
			}
		}
	}
	slices.Reverse(lines)
	b := r.encode(to, false, lines)
	if len(r.deltas) >= maxCachedLists {
		clear(r.deltas)
	}
	r.deltas[key] = b
	return b
}

// build writes a list in the form of the protocol page.
func (r *Registry) encode(index uint64, whole bool, lines []encodedEntry) *encodedList {
	r.listsEncoded++
	size := 64
	for _, l := range lines {
		size += len(l.json) + 1
	}
	text := make([]byte, 0, size)
	text = append(text, `{"index":`...)
	text = strconv.AppendUint(text, index, 10)
	text = append(text, `,"snapshot":`...)
	text = strconv.AppendBool(text, whole)
	text = append(text, `,"endpoints":[`...)
	for i, l := range lines {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, l.json...)
	}
	return &encodedList{append(text, "]}"...), len(lines)}
}

// Refuse makes discovery refuse calls, or take them again: a service whose
// process has ended. Open watches are reset at its start, and nodes learn
// nothing until its end.
func (r *Registry) SetRefusing(now time.Duration, on bool) {
	r.advanceTo(now)
	if r.refusing == on {
		return
	}
	r.refusing = on
	for i := range r.nodes {
		r.setOutage(i, on)
	}
	if on {
		r.resetCalls()
	}
}

// Silence makes discovery take calls and say nothing, or answer again. What it
// took until the end of the silence, open watches too, is never answered:
// also the outage of agents, which stay silent while discovery is down.
func (r *Registry) SetSilent(now time.Duration, on bool) {
	r.advanceTo(now)
	if r.silent == on {
		return
	}
	r.silent = on
	for i := range r.nodes {
		r.setOutage(i, on)
		if on {
			r.dropCalls(i)
		}
	}
}

// Cut cuts a node off from discovery, or ends it. Its agent answers on with
// what it had and learns nothing until the end. Where lists are asked for, its
// calls, also those under way, are never answered.
func (r *Registry) SetIsolated(now time.Duration, node int, on bool) {
	r.advanceTo(now)
	if r.nodes[node].isolated == on {
		return
	}
	r.nodes[node].isolated = on
	r.setOutage(node, on)
	if on && r.cfg.OnDemand {
		r.dropCalls(node)
	}
}

// BreakWatches resets all calls that are held.
func (r *Registry) ResetWatches(now time.Duration) {
	r.advanceTo(now)
	r.resetCalls()
}

// stop keeps a node from learning, or ends one reason for it. At the end of
// the last it has at once what it would have had.
func (r *Registry) setOutage(n int, on bool) {
	if on {
		v := r.versionOf(n)
		r.nodes[n].frozenVersion = v
		r.nodes[n].outages++
	} else {
		r.nodes[n].outages--
	}
	for _, c := range r.callsInOrder(n) {
		if c.response == nil {
			r.reschedule(c, min(c.holdUntil, r.now)) // look again
		}
	}
}

// ordered is a node's calls in the order in which they came.
func (r *Registry) callsInOrder(n int) []*call {
	var out []*call
	for _, c := range r.nodes[n].calls {
		out = append(out, c)
	}
	slices.SortFunc(out, func(a, b *call) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	return out
}

// mute takes a node's calls away without an answer.
func (r *Registry) dropCalls(n int) {
	for _, c := range r.callsInOrder(n) {
		if c.response != nil && c.response.At <= r.now {
			continue // on its way already
		}
		r.removeCall(c)
		r.stats.Unanswered++
		r.nodes[n].stats.Unanswered++
	}
}

func (r *Registry) resetCalls() {
	for n := range r.nodes {
		for _, c := range r.callsInOrder(n) {
			if c.response == nil || c.response.At > r.now {
				r.endCall(c, ConnectionReset)
			}
		}
	}
}

// ends ends a call now, without a list.
func (r *Registry) endCall(c *call, e Outcome) {
	c.response = &Response{CallID: c.id, Node: c.node, Outcome: e, At: r.now}
	r.reschedule(c, r.now)
}

func (r *Registry) addCall(c *call, due time.Duration) {
	c.due = due
	heap.Push(&r.pending, c)
	r.byID[c.id], r.nodes[c.node].calls[c.id] = c, c
}

func (r *Registry) removeCall(c *call) {
	heap.Remove(&r.pending, c.heapIndex)
	delete(r.byID, c.id)
	delete(r.nodes[c.node].calls, c.id)
}

func (r *Registry) reschedule(c *call, at time.Duration) {
	if c.due != at {
		c.due = at
		heap.Fix(&r.pending, c.heapIndex)
	}
}

// pending is a heap of calls by when they are due, then by their order.
type callQueue []*call

func (p callQueue) Len() int { return len(p) }
func (p callQueue) Less(i, j int) bool {
	if p[i].due != p[j].due {
		return p[i].due < p[j].due
	}
	return p[i].id < p[j].id
}
func (p callQueue) Swap(i, j int) {
	p[i], p[j] = p[j], p[i]
	p[i].heapIndex, p[j].heapIndex = i, j
}
func (p *callQueue) Push(x any) {
	c := x.(*call)
	c.heapIndex = len(*p)
	*p = append(*p, c)
}
func (p *callQueue) Pop() any {
	last := len(*p) - 1
	c := (*p)[last]
	(*p)[last] = nil
	*p = (*p)[:last]
	return c
}
