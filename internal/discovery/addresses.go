package discovery

// addressTable records which endpoint has started last at each address. Two processes
// cannot listen at one address, so of two endpoints with the same address the one that
// started earlier has gone, although discovery has not learned that yet. The zero value
// is empty.
type addressTable struct {
	latest map[string]addressOwner // by address
}

// addressOwner is the endpoint that has started last at an address.
type addressOwner struct {
	name        string
	startedAtMS int64 // Unix time in ms; 0 means long ago
}

// claim records that an endpoint is at its address. It returns the name of the endpoint
// that has gone, which may be e itself, or an empty string if both or neither may have.
func (t *addressTable) claim(e Endpoint) (gone string) {
	if t.latest == nil {
		t.latest = map[string]addressOwner{}
	}
	owner, taken := t.latest[e.Address]
	switch {
	case !taken || owner.name == e.Name:
	case owner.startedAtMS > e.StartedAtMS:
		return e.Name
	case owner.startedAtMS == e.StartedAtMS:
		return ""
	default:
		gone = owner.name
	}
	t.latest[e.Address] = addressOwner{name: e.Name, startedAtMS: e.StartedAtMS}
	return gone
}

// release records that an endpoint is no longer at an address.
func (t *addressTable) release(name, address string) {
	if t.latest[address].name == name {
		delete(t.latest, address)
	}
}
