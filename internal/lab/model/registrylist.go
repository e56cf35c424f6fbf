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

// maxCachedLists limits the number of encoded whole lists that are cached, and
// likewise of encoded lists of changes. A whole list of 4,500 entries takes
// 0.6 MB, and the versions of the nodes are seldom further apart than this.
const maxCachedLists = 32

// encodedEntry is an entry in JSON, as response bodies contain it.
type encodedEntry struct {
	name string
	json []byte // nil: the list has no entry of this name
}

// listVersion is one version of the list, as its difference from the version before.
type listVersion struct {
	at       time.Duration
	entries  []encodedEntry // changed entries, with their new values
	previous []encodedEntry // the same entries, with their values before the change
}

// versionRange is the key of a cached list of changes.
type versionRange struct {
	after, upTo uint64
}

// encodedList is an encoded response body and the number of entries in it.
type encodedList struct {
	json    []byte
	entries int
}

// oldestVersion returns the oldest version in the log, or latest+1 if the log is
// empty.
func (r *Registry) oldestVersion() uint64 { return r.latest - uint64(len(r.log)) + 1 }

// Change creates one new version of the list, in which entries are added or
// replaced by name; an entry with status Removed is deleted. It changes nothing
// and returns an error if an entry has no name or an unknown status.
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
		return encodedEntry{}, fmt.Errorf("model: entry %q has status %q: want a name and a status of ready, draining or gone", e.Name, e.Status)
	}
	text, err := json.Marshal(e)
	if err != nil {
		return encodedEntry{}, fmt.Errorf("model: encode entry %q: %w", e.Name, err)
	}
	return encodedEntry{name: e.Name, json: text}, nil
}

// rescheduleHeldCalls reschedules each held call for the time at which its node
// receives the newest version, if that is earlier.
func (r *Registry) rescheduleHeldCalls() {
	for _, c := range slices.Clone(r.pending) {
		n := &r.nodes[c.node]
		if c.response == nil && n.outages == 0 {
			r.reschedule(c, min(c.due, max(r.now, r.now+n.delay)))
		}
	}
}

// trimLog shortens the log to its configured length, but keeps the versions that
// some node has not received yet: the lists of older versions are derived from
// them.
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

// replaceEntry sets or removes an entry of the list, and returns its previous
// value.
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

// NodeVersion returns the version that a node's agent has or, with OnDemand, that
// the service has for the node. It is the version that a call would return now,
// if the call is answered at all.
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

// snapshotAt returns the encoded whole list of version v, which must be in the log
// or directly precede it. It starts with the newest version and reverts the later
// changes.
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

// revert undoes the changes of version v in entries, which it may modify, and
// returns the result.
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

// changesBetween returns the encoded changes of the versions above after, up to
// and including upTo: each changed entry once, with its last value, in the order
// of the last changes.
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

// encode encodes a list as a response body of the discovery protocol.
func (r *Registry) encode(version uint64, snapshot bool, entries []encodedEntry) *encodedList {
	r.listsEncoded++
	size := 64 // bytes for everything but the entries
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

// EncodeSnapshot encodes a whole list in the form of the discovery protocol, which
// is also its form in a node's configuration.
func EncodeSnapshot(version uint64, entries []Entry) json.RawMessage {
	list := struct {
		Index     uint64  `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{version, true, append([]Entry{}, entries...)}
	text, err := json.Marshal(list)
	if err != nil {
		panic(err) // cannot occur: entries consist of strings and finite numbers
	}
	return text
}
