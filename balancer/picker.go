package balancer

// pick chooses an endpoint by the power of two choices: of two random endpoints that are normal, or else overloaded,
// the one with the lower expected latency. It returns nil and Blocked if there is none. Where the load is checked
// before a send, only endpoints that have answered are considered.
func (b *Balancer) pick(request *request) (*endpoint, Mode) {
	from := request.class.placement.endpoints
	if b.checksLoad {
		from = request.checked
	}
	best, other, mode := b.candidates(request, from)
	if mode != Blocked && b.expectedDelay(other) < b.expectedDelay(best) {
		best = other
	}
	return best, mode
}

// expectedDelay is the latency expected of one more request at the endpoint, in seconds; for comparison only.
func (b *Balancer) expectedDelay(endpoint *endpoint) float64 {
	return (endpoint.inFlight + 1) * b.latencyOf(endpoint)
}

// candidates draws two random endpoints of those to which the request may be sent, normal ones if there are any, else
// overloaded ones. If there is only one, it is both. No more are considered than the placement's subset has.
func (b *Balancer) candidates(request *request, from []*endpoint) (first, second *endpoint, mode Mode) {
	var byMode [2][]*endpoint // normal, overloaded
	placement := request.class.placement
	considered := 0
	b.updateAggregate(placement)
	for _, endpoint := range from {
		if considered >= int(placement.subsetSize) {
			break
		}
		if endpoint.ejected || !b.maySend(request, endpoint) {
			continue
		}
		considered++
		mode := b.modeForRequest(request, endpoint)
		if mode != Blocked && !b.slowStartExhausted(endpoint) {
			byMode[mode] = append(byMode[mode], endpoint)
		}
	}
	for mode, endpoints := range byMode {
		if len(endpoints) > 0 {
			first, second = b.drawTwo(endpoints)
			return first, second, Mode(mode)
		}
	}
	return nil, nil, Blocked
}

// drawTwo draws two different endpoints, or the only one twice.
func (b *Balancer) drawTwo(endpoints []*endpoint) (first, second *endpoint) {
	n := float64(len(endpoints))
	i := int(b.rng.float64() * n)
	offset := 1 + int(b.rng.float64()*(n-1))
	return endpoints[i], endpoints[(i+offset)%len(endpoints)]
}

// modeForRequest updates the endpoint's mode and returns it for this request: where the load has been checked, an
// endpoint is overloaded for one that would wait there for too much of its objective.
func (b *Balancer) modeForRequest(request *request, endpoint *endpoint) Mode {
	mode := b.updateMode(request.class.placement, endpoint)
	work := request.relativeWork * request.class.relativeWork
	wait := (endpoint.inFlight/b.concurrency + work) * b.serviceTime.mean / b.warmth(endpoint)
	checked := b.checksLoad && endpoint.reportedAt >= request.checkedAt
	if checked && wait > waitShare*request.objective().Seconds() {
		return max(mode, Overloaded)
	}
	return mode
}
