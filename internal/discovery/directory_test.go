package discovery

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestDirectory guards against wrong IDs, states or order in the results of Apply.
// The zero value must work. Endpoints that a full list does not contain must come
// last among the changes, in order of their names, and must no longer be listed.
func TestDirectory(t *testing.T) {
	var d Directory
	makeList := func(full bool, entries ...string) List {
		list := List{Version: 5, Snapshot: full}
		for _, entry := range entries {
			list.Endpoints = append(list.Endpoints, json.RawMessage(entry))
		}
		return list
	}
	list := makeList(true, endpointJSON("b", "127.0.0.1:2", "draining"), `{}`, endpointJSON("a", "127.0.0.1:1", "ready"), endpointJSON("c", "127.0.0.1:3", "ready"))
	update, changes := d.Apply(list, list.Kind())
	if update.Kind != balancer.FullUpdate || update.Version != 5 || len(update.Endpoints) != 3 {
		t.Fatalf("update %+v, want a full update of version 5 with 3 endpoints", update)
	}
	if len(changes) != 3 || changes[0].Name != "a" || changes[1].State != balancer.Draining ||
		changes[2].Address != "127.0.0.1:3" || changes[2].StartedAtMS != 7 {
		t.Fatalf("changes %+v, want a, the draining b, and c", changes)
	}
	for i, endpoint := range update.Endpoints {
		id, ok := d.ID(changes[i].Name)
		if !ok || id != endpoint.ID || id != changes[i].ID {
			t.Errorf("%s has ID %d, %d in the update, %d in the change", changes[i].Name, id, endpoint.ID, changes[i].ID)
		}
		if endpoint.StartedAt != 7*time.Millisecond {
			t.Errorf("%s started at %v, want 7ms", changes[i].Name, endpoint.StartedAt)
		}
	}

	list = makeList(false, endpointJSON("b", "127.0.0.1:4", "ready"))
	update, changes = d.Apply(list, list.Kind())
	if update.Kind != balancer.IncrementalUpdate || len(changes) != 1 || d.Len() != 3 {
		t.Errorf("after changes to b: update %+v\nchanges %+v", update, changes)
	}

	list = makeList(true, endpointJSON("b", "127.0.0.1:4", "ready"))
	update, changes = d.Apply(list, list.Kind())
	if len(update.Endpoints) != 1 || len(changes) != 3 || changes[1].Name != "a" ||
		changes[1].State != balancer.Removed || changes[2].Name != "c" || fmt.Sprint(d.Names()) != "[b]" {
		t.Errorf("after a full list of b: update %+v\nchanges %+v", update, changes)
	}
	if _, ok := d.ID("a"); ok {
		t.Error("a removed endpoint is listed")
	}
}

// TestLastEntryOfANameCounts guards against an endpoint that is listed or removed by
// an earlier entry: the last of several entries for one name must count.
func TestLastEntryOfANameCounts(t *testing.T) {
	ready := json.RawMessage(endpointJSON("a", "127.0.0.1:1", "ready"))
	removed := json.RawMessage(endpointJSON("a", "", "gone"))
	for _, c := range []struct {
		entries []json.RawMessage
		names   string
	}{
		{[]json.RawMessage{ready, removed}, "[]"},
		{[]json.RawMessage{removed, ready}, "[a]"},
	} {
		var d Directory
		d.Apply(List{Snapshot: true, Endpoints: c.entries}, balancer.FullUpdate)
		if got := fmt.Sprint(d.Names()); got != c.names {
			t.Errorf("%s: listed %s, want %s", c.entries, got, c.names)
		}
	}
}

func BenchmarkDirectoryApply(b *testing.B) {
	list := List{Snapshot: true}
	for i := range 1000 {
		list.Endpoints = append(list.Endpoints, json.RawMessage(endpointJSON(fmt.Sprintf("s-%d", i), "127.0.0.1:1", "ready")))
	}
	var d Directory
	b.ReportAllocs()
	for b.Loop() {
		d.Apply(list, list.Kind())
	}
}
