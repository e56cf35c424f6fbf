package setup

import (
	"testing"
	"time"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

// TestKeyStoresAreSharedByScope guards against servers that do not remember each
// other's idempotency keys within a scope, or do so beyond it, as when a zone and
// a cell with the same name share a store.
func TestKeyStoresAreSharedByScope(t *testing.T) {
	var stores KeyStores
	a := stores.forServer(scenario.Server{Zone: "a", Cell: 1})
	sameZone := stores.forServer(scenario.Server{Zone: "a", Cell: 2})
	otherZone := stores.forServer(scenario.Server{Zone: "1", Cell: 3})
	if a[model.ScopeAll] != otherZone[model.ScopeAll] || a[model.ScopeZone] != sameZone[model.ScopeZone] {
		t.Error("servers of one scope do not share its store")
	}
	if a[model.ScopeZone] == otherZone[model.ScopeZone] || a[model.ScopeCell] == sameZone[model.ScopeCell] ||
		a[model.ScopeCell] == otherZone[model.ScopeZone] {
		t.Error("servers of different scopes share a store")
	}
}

// TestQuotas guards against a token bucket that holds or refills more or less than
// the quota, or that tenants share.
func TestQuotas(t *testing.T) {
	q := NewQuotas(2, 2)
	for i, want := range []bool{true, true, false} { // the bucket holds one second of the quota
		if got := q.Take(0, 0); got != want {
			t.Errorf("request %d of a tenant with a quota of 2/s: within quota %t, want the first two", i, got)
		}
	}
	if q.Take(0, 400*time.Millisecond) || !q.Take(0, 900*time.Millisecond) {
		t.Error("the bucket does not refill at 2 requests per second")
	}
	if !q.Take(1, 0) {
		t.Error("requests of tenant 0 count against the quota of tenant 1")
	}
}

// TestAlternativeNode guards against clients that are sent to an unavailable node,
// or to another zone although their own has an available node.
func TestAlternativeNode(t *testing.T) {
	available := func(n int) bool { return n > 0 }
	even := func(n int) bool { return n%2 == 0 }
	for _, c := range []struct {
		nodes []int
		pick  int
		want  int
	}{
		{[]int{0, 2, 3, 4}, 0, 2},
		{[]int{0, 2, 3, 4}, 3, 4},
		{[]int{0, 3, 5}, 1, 5}, // no node of the zone is available
	} {
		if got, ok := AlternativeNode(c.nodes, available, even, c.pick); !ok || got != c.want {
			t.Errorf("nodes %v, pick %d: node %d, %t, want %d, true", c.nodes, c.pick, got, ok, c.want)
		}
	}
	if _, ok := AlternativeNode([]int{0, 0}, available, even, 0); ok {
		t.Error("AlternativeNode returned a node although none is available")
	}
}
