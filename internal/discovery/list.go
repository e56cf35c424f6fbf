// Package discovery follows the list of servers. A Watcher decides when to
// call, a Client makes the calls over HTTP, and a Directory turns the lists
// into what package balancer and the sockets need. Watcher and Directory are
// pure: many nodes can share a process and a clock of its own.
package discovery

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"log/slog"
	"net"
	"slices"
	"strings"
	"time"

	"bankshift/balancer"
)

// List is a list of servers in discovery's form.
type List struct {
	Index    uint64            `json:"index"` // version; those of another address mean nothing to it
	Snapshot bool              `json:"snapshot"`
	Entries  []json.RawMessage `json:"endpoints"`
}

// Kind tells whether the list is whole or only holds changes.
func (l List) Kind() balancer.ListKind {
	if l.Snapshot {
		return balancer.ListFull
	}
	return balancer.ListChanges
}

// Entry is one server of a list.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"type"`
	Cell    int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`   // no unit
	SinceMS int64   `json:"since_ms"` // last start, Unix time in ms; 0: long ago
}

var states = map[string]balancer.ServerState{"ready": balancer.Ready, "draining": balancer.Draining, "gone": balancer.Gone}

// entries decodes those that can be used. A malformed one must not cost the
// node the others, so it is logged and skipped.
func (l List) entries(log *slog.Logger) []Entry {
	var out []Entry
	for _, raw := range l.Entries {
		var e Entry
		err := json.Unmarshal(raw, &e)
		if err == nil {
			err = e.check()
		}
		if err != nil {
			log.Warn("list entry skipped", "entry", string(raw[:min(len(raw), 200)]), "err", err)
			continue
		}
		out = append(out, e)
	}
	return out
}

func (e Entry) check() error {
	if e.Name == "" {
		return errors.New("no name")
	}
	state, ok := states[e.Status]
	if !ok {
		return fmt.Errorf("unknown status %q", e.Status)
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && state != balancer.Gone {
		return fmt.Errorf("address: %w", err)
	}
	if e.SinceMS < 0 || e.Weight < 0 {
		return errors.New("negative since_ms or weight")
	}
	return nil
}

// ids gives servers their numbers: a hash of the name, so that every node and
// every restart agrees on them. The zero value is empty.
type ids struct {
	byName map[string]balancer.ServerID
	byID   map[balancer.ServerID]string
	hash   func(string) uint32 // nil: FNV-1a
}

func fnv1a(s string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, s) // never fails
	return h.Sum32()
}

// of finds the number of a name. Of two names with one hash the later listed
// is hashed again: two servers under one number would share their load and
// their drains.
func (d *ids) of(name string) balancer.ServerID {
	if id, ok := d.byName[name]; ok {
		return id
	}
	if d.byName == nil {
		d.byName, d.byID = map[string]balancer.ServerID{}, map[balancer.ServerID]string{}
	}
	hash := d.hash
	if hash == nil {
		hash = fnv1a
	}
	id := balancer.ServerID(hash(name))
	for salted := name; ; id = balancer.ServerID(hash(salted)) {
		if _, taken := d.byID[id]; !taken {
			break
		}
		salted += "\x00"
	}
	d.byName[name], d.byID[id] = id, name
	return id
}

func (d *ids) forget(name string) {
	delete(d.byID, d.byName[name])
	delete(d.byName, name)
}

// Directory holds the servers that are listed and their numbers. The zero
// value is empty and logs nothing. It is not safe for concurrent use.
type Directory struct {
	Log *slog.Logger // of entries that are skipped; nil: none

	ids    ids
	listed map[string]balancer.ServerID
}

// Change is what a list says of one server's address.
type Change struct {
	ID      balancer.ServerID
	Name    string
	Address string // host:port; empty once it is gone
	SinceMS int64  // its last start, Unix time in ms; 0: long ago
	State   balancer.ServerState
}

// Apply takes a list and gives what the module is to be told, and what the
// sockets are. Servers that a whole list leaves out are gone: they stand last
// among the changes, and their numbers are free from now on.
func (d *Directory) Apply(l List, kind balancer.ListKind) (balancer.ListUpdate, []Change) {
	log := d.Log
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	if d.listed == nil {
		d.listed = map[string]balancer.ServerID{}
	}
	entries := l.entries(log)
	// In one order whatever the list's, as the numbers of names that share a
	// hash depend on it; of entries for one name the last holds.
	slices.SortStableFunc(entries, func(a, b Entry) int { return strings.Compare(a.Name, b.Name) })
	u := balancer.ListUpdate{Kind: kind, Version: l.Index}
	missing := map[string]bool{}
	if kind != balancer.ListChanges {
		for name := range d.listed {
			missing[name] = true
		}
	}
	var changes []Change
	for _, e := range entries {
		id, state := d.ids.of(e.Name), states[e.Status]
		u.Entries = append(u.Entries, balancer.Server{ID: id, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: state,
			Size: e.Weight, StartedAt: time.Duration(e.SinceMS) * time.Millisecond})
		if missing[e.Name] = state == balancer.Gone; state != balancer.Gone {
			d.listed[e.Name] = id
			changes = append(changes, Change{ID: id, Name: e.Name, Address: e.Address, SinceMS: e.SinceMS, State: state})
		}
	}
	stay := len(changes)
	for name, gone := range missing {
		if gone {
			changes = append(changes, Change{ID: d.ids.of(name), Name: name, State: balancer.Gone})
			d.ids.forget(name)
			delete(d.listed, name)
		}
	}
	slices.SortFunc(changes[stay:], func(a, b Change) int { return strings.Compare(a.Name, b.Name) })
	return u, changes
}

// Len counts the servers that are listed, the draining ones among them.
func (d *Directory) Len() int { return len(d.listed) }

// ID gives the number of a listed server.
func (d *Directory) ID(name string) (id balancer.ServerID, listed bool) {
	id, listed = d.listed[name]
	return id, listed
}

// Names lists the listed servers in order.
func (d *Directory) Names() []string {
	var names []string
	for name := range d.listed {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
