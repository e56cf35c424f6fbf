package balancer

// two draws two random servers in reach that may get a request, of normal ones or else of overloaded ones.
func (m *Balancer) candidates(r *request, from []*endpoint) (a, b *endpoint, mode Mode) {
	var pools [2][]*endpoint
	g, seen := r.class.placement, 0
	m.aggregate(g)
	for _, s := range from {
		if seen >= int(g.subsetSize) {
			break
		}
		if s.ejected || !m.maySend(r, s) {
			continue
		}
		seen++
		mode, wait := m.endpointMode(g, s), (s.inFlight/m.concurrency+r.relativeWork*r.class.relativeWork)*m.serviceTime/m.warmth(s)
		if m.checksLoad && s.reportAt >= r.checkedAt && wait > waitShare*r.class.LatencyObjective.Seconds() {
			mode = max(mode, Overloaded) // for a request so heavy
		}
		if mode != Blocked && !m.slowStartExhausted(s) {
			pools[mode] = append(pools[mode], s)
		}
	}
	for mode, pool := range pools {
		if n := float64(len(pool)); n > 0 {
			i := int(m.random() * n)
			return pool[i], pool[(i+1+int(m.random()*(n-1)))%len(pool)], Mode(mode)
		}
	}
	return nil, nil, Blocked
}

// pick is the ordinary path: of two random normal servers, else overloaded ones, the lower delay wins. Where
// the node looks first, of those that have answered.
func (m *Balancer) pick(r *request) (*endpoint, Mode) {
	from := r.class.placement.endpoints
	if m.checksLoad {
		from = r.checked
	}
	best, other, mode := m.candidates(r, from)
	if mode != Blocked && (other.inFlight+1)*m.latencyOf(other) < (best.inFlight+1)*m.latencyOf(best) {
		best = other
	}
	return best, mode
}
