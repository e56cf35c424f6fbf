package discovery

import (
	"strings"
	"testing"
)

// TestIDTable guards against IDs that are not unique, change, or depend on the order
// in which names are seen.
func TestIDTable(t *testing.T) {
	var one, other idTable
	first := one.idOf("s-1")
	if one.idOf("s-1") != first {
		t.Error("one name has two IDs")
	}
	if one.idOf("s-2") == first {
		t.Error("two names have one ID")
	}
	if other.idOf("s-2") != one.idOf("s-2") {
		t.Error("IDs depend on the order of the names")
	}
}

// TestIDTableSaltsNamesWithOneHash guards against one ID for two names with the same
// hash.
func TestIDTableSaltsNamesWithOneHash(t *testing.T) {
	table := idTable{hash: func(s string) uint32 { return uint32(strings.Count(s, "\x00")) }}
	x := table.idOf("x")
	y := table.idOf("y")
	if x == y || table.idOf("x") != x || table.idOf("y") != y {
		t.Errorf("names with one hash get IDs %d and %d", x, y)
	}
	table.remove("x")
	if table.idOf("z") != x {
		t.Error("a removed ID stays taken")
	}
}
