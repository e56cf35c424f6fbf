package discovery

import (
	"hash/fnv"
	"io"

	"bankshift/balancer"
)

// idTable assigns endpoints their IDs: a hash of the name, so that all nodes
// agree on them, also after a restart. The zero value is empty.
type idTable struct {
	byName map[string]balancer.EndpointID
	byID   map[balancer.EndpointID]string
	hash   func(string) uint32 // nil: FNV-1a
}

// idOf returns the ID of a name, and assigns one to a new name. If another name has
// the same hash, the name is salted and hashed again: endpoints with the same ID
// would share their load and their drains.
func (t *idTable) idOf(name string) balancer.EndpointID {
	if id, ok := t.byName[name]; ok {
		return id
	}
	if t.byName == nil {
		t.byName = map[string]balancer.EndpointID{}
		t.byID = map[balancer.EndpointID]string{}
	}
	hash := t.hash
	if hash == nil {
		hash = fnv1a
	}
	salted := name
	id := balancer.EndpointID(hash(salted))
	for t.isTaken(id) {
		salted += "\x00"
		id = balancer.EndpointID(hash(salted))
	}
	t.byName[name] = id
	t.byID[id] = name
	return id
}

func (t *idTable) isTaken(id balancer.EndpointID) bool {
	_, taken := t.byID[id]
	return taken
}

// remove frees the ID of a name.
func (t *idTable) remove(name string) {
	delete(t.byID, t.byName[name])
	delete(t.byName, name)
}

func fnv1a(s string) uint32 {
	h := fnv.New32a()
	io.WriteString(h, s) // never fails
	return h.Sum32()
}
