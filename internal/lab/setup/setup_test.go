package setup

import (
	"testing"
	"time"

	"bankshift/internal/lab/model"
	"bankshift/internal/lab/scenario"
)

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

func TestQuotas(t *testing.T) {
	q := NewQuotas(2, 2)
	for i, want := range []bool{true, true, false} { // a second of the quota at once
		if got := q.Take(0, 0); got != want {
			t.Errorf("request %d: within quota %t", i, got)
		}
	}
	if q.Take(0, 400*time.Millisecond) || !q.Take(0, 900*time.Millisecond) {
		t.Error("the bucket does not refill by the rate")
	}
	if !q.Take(1, 0) {
		t.Error("another tenant's requests count")
	}
}

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
		{[]int{0, 3, 5}, 1, 5}, // none of the zone is available
	} {
		if got, ok := AlternativeNode(c.nodes, available, even, c.pick); !ok || got != c.want {
			t.Errorf("of %v, pick %d: %d, %t, want %d", c.nodes, c.pick, got, ok, c.want)
		}
	}
	if _, ok := AlternativeNode([]int{0, 0}, available, even, 0); ok {
		t.Error("found a node where none is available")
	}
}
