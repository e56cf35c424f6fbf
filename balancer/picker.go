package balancer

// pick chooses an endpoint by the power of two choices: it draws two random endpoints that are normal or, if none is,
// overloaded, and returns the one with the lower expected delay. It returns nil and Blocked if no endpoint may get the
// request. Where the load is checked before each send, it considers only endpoints that answered the request's last
// health checks.
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

// expectedDelay scores an endpoint, for comparison only: the latency of a mean request there, in seconds, times the
// number of requests in flight there plus one.
func (b *Balancer) expectedDelay(endpoint *endpoint) float64 {
	return (endpoint.inFlight + 1) * b.latencyOf(endpoint)
}

// candidates draws two random endpoints from those that the request may be sent to: normal ones if there are any,
// otherwise overloaded ones. If only one qualifies, it is returned twice; if none does, the mode is Blocked. At most
// subsetSize endpoints that are not ejected and that the request may be sent to are considered.
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

// modeForRequest updates the endpoint's mode and returns the mode that applies to this request. Where the load is
// checked, that is at least Overloaded if the endpoint has reported its load since the request's last health checks
// began, and queueing and service there would take more than waitShare of the request's objective.
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
