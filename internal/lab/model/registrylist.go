package model

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"sort"
	"strconv"
	"time"
)

// maxCachedLists bounds the encoded lists that are kept of each form. A whole
// list of 4,500 entries takes 0.6 MB, and nodes are seldom more versions apart.
const maxCachedLists = 32

// encodedEntry is an entry as lists contain it.
type encodedEntry struct {
	name string
	json []byte // nil: the entry is not in the list
}

// listVersion is one version, as the difference to the one before.
type listVersion struct {
	at       time.Duration
	entries  []encodedEntry // as they became
	previous []encodedEntry // as they were before
}

// versionRange is the key of a cached list of changes.
type versionRange struct {
	after, upTo uint64
}

// encodedList is the body of a response.
type encodedList struct {
	json    []byte
	entries int
}

// oldestVersion is the oldest version in the log, latest+1 if there is none.
func (r *Registry) oldestVersion() uint64 { return r.latest - uint64(len(r.log)) + 1 }

// Change makes one new version in which the entries are as given; one with
// status Removed leaves the list. It fails, and changes nothing, for an entry
// without a name or with an unknown status.
func (r *Registry) Change(now time.Duration, entries ...Entry) error {
	r.advanceTo(now)
	v := listVersion{at: r.now}
	for _, e := range entries {
		encoded, err := encodeEntry(e)
		if err != nil {
			return err
		}
		v.entries = append(v.entries, encoded)
	}
	for i, e := range entries {
		previous := r.replaceEntry(v.entries[i], e.Status == Removed)
		v.previous = append(v.previous, previous)
	}
	r.latest++
	r.log = append(r.log, v)
	r.trimLog()
	r.rescheduleHeldCalls()
	return nil
}

func encodeEntry(e Entry) (encodedEntry, error) {
	if e.Name == "" || e.Status != Ready && e.Status != Draining && e.Status != Removed {
		return encodedEntry{}, fmt.Errorf("model: entry %q has status %q", e.Name, e.Status)
	}
	text, err := json.Marshal(e)
	if err != nil {
		return encodedEntry{}, fmt.Errorf("model: entry %q: %w", e.Name, err)
	}
	return encodedEntry{name: e.Name, json: text}, nil
}

// rescheduleHeldCalls reschedules the held calls for when they learn of the newest
// version.
func (r *Registry) rescheduleHeldCalls() {
	for _, c := range slices.Clone(r.pending) {
		n := &r.nodes[c.node]
		if c.response == nil && n.outages == 0 {
			r.reschedule(c, min(c.due, max(r.now, r.now+n.delay)))
		}
	}
}

// trimLog shortens the log to its configured length, except for versions that
// nodes have not received yet or that are the last they received.
func (r *Registry) trimLog() {
	excess := len(r.log) - r.cfg.LogLength
	if excess <= 0 {
		return
	}
	for _, n := range r.nodes {
		if n.outages > 0 {
			excess = min(excess, int(n.frozenVersion-min(n.frozenVersion, r.oldestVersion()-1)))
		}
	}
	cut := 0
	for cut < excess && r.log[cut].at+r.cfg.Delay+r.cfg.DelaySpread <= r.now {
		cut++
	}
	r.log = slices.Delete(r.log, 0, cut)
}

// replaceEntry sets or removes an entry of the list, and returns it as it was.
func (r *Registry) replaceEntry(e encodedEntry, remove bool) encodedEntry {
	i, found := findEntry(r.entries, e.name)
	previous := encodedEntry{name: e.name}
	switch {
	case found && remove:
		previous = r.entries[i]
		r.entries = slices.Delete(r.entries, i, i+1)
	case found:
		previous = r.entries[i]
		r.entries[i] = e
	case !remove:
		r.entries = slices.Insert(r.entries, i, e)
	}
	return previous
}

func findEntry(entries []encodedEntry, name string) (int, bool) {
	return slices.BinarySearchFunc(entries, name, func(e encodedEntry, name string) int {
		return cmp.Compare(e.name, name)
	})
}

// NodeVersion is the version that a node's agent has, or that the service has
// for it: what a call would return now, if it is answered at all.
func (r *Registry) NodeVersion(now time.Duration, node int) uint64 {
	r.advanceTo(now)
	return r.versionOf(node)
}

func (r *Registry) versionOf(node int) uint64 {
	n := &r.nodes[node]
	if n.outages > 0 {
		return n.frozenVersion
	}
	arrived := sort.Search(len(r.log), func(i int) bool { return r.log[i].at+n.delay > r.now })
	return r.oldestVersion() + uint64(arrived) - 1
}

// snapshotAt is the whole list at a version of the log, or at the one before
// it. It goes back from the newest version.
func (r *Registry) snapshotAt(v uint64) *encodedList {
	if cached := r.snapshots[v]; cached != nil {
		return cached
	}
	entries := r.entries
	if v < r.latest {
		entries = slices.Clone(entries)
		for i := len(r.log) - 1; i >= 0 && r.oldestVersion()+uint64(i) > v; i-- {
			entries = revert(entries, r.log[i])
		}
	}
	list := r.encode(v, true, entries)
	if len(r.snapshots) >= maxCachedLists {
		clear(r.snapshots)
	}
	r.snapshots[v] = list
	return list
}

// revert undoes a version in a list of entries, which it may modify.
func revert(entries []encodedEntry, v listVersion) []encodedEntry {
	for _, e := range slices.Backward(v.previous) {
		i, found := findEntry(entries, e.name)
		switch {
		case found && e.json == nil:
			entries = slices.Delete(entries, i, i+1)
		case found:
			entries[i] = e
		case e.json != nil:
			entries = slices.Insert(entries, i, e)
		}
	}
	return entries
}

// changesBetween is what changed after a version up to another: each entry
// once, as it last became, in the order of the last changes.
func (r *Registry) changesBetween(after, upTo uint64) *encodedList {
	key := versionRange{after, upTo}
	if cached := r.deltas[key]; cached != nil {
		return cached
	}
	var entries []encodedEntry
	seen := map[string]bool{}
	for v := upTo; v > after; v-- {
		for _, e := range slices.Backward(r.log[v-r.oldestVersion()].entries) {
			if !seen[e.name] {
				seen[e.name] = true
				entries = append(entries, e)
			}
		}
	}
	slices.Reverse(entries)
	list := r.encode(upTo, false, entries)
	if len(r.deltas) >= maxCachedLists {
		clear(r.deltas)
	}
	r.deltas[key] = list
	return list
}

// encode writes a list in the form of the protocol page.
func (r *Registry) encode(version uint64, snapshot bool, entries []encodedEntry) *encodedList {
	r.listsEncoded++
	size := 64 // of all but the entries
	for _, e := range entries {
		size += len(e.json) + 1
	}
	text := make([]byte, 0, size)
	text = append(text, `{"index":`...)
	text = strconv.AppendUint(text, version, 10)
	text = append(text, `,"snapshot":`...)
	text = strconv.AppendBool(text, snapshot)
	text = append(text, `,"endpoints":[`...)
	for i, e := range entries {
		if i > 0 {
			text = append(text, ',')
		}
		text = append(text, e.json...)
	}
	text = append(text, "]}"...)
	return &encodedList{json: text, entries: len(entries)}
}

// EncodeSnapshot writes a whole list in the form of the protocol page, as a
// node's configuration contains it.
func EncodeSnapshot(version uint64, entries []Entry) json.RawMessage {
	list := struct {
		Index     uint64  `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{version, true, append([]Entry{}, entries...)}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // entries consist of strings and finite numbers
	}
	return text
}
