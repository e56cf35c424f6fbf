package balancer

import (
	"slices"
	"time"
)

const (
	healthCheckToken     = 1                    // of the timer that ends a round; the tick's timer has 0
	maxHealthCheckCost   = 0.005                // points off the result that the checks before one send may cost
	healthCheckTimeout   = 5 * time.Millisecond // some round trips, far under any latency objective
	maxHealthCheckRounds = 3                    // of two endpoints each, before all count as full
)

// healthCheckRound is the state of a request that checks the load of two endpoints before it is sent.
type healthCheckRound struct {
	awaitingChecks    bool
	healthCheckRounds int         // for the next attempt, so far
	checkedAt         Time        // start of the last round
	checked           []*endpoint // in the last round
}

// healthChecksPay reports whether the load of endpoints is checked before each send: if load reports come by health
// checks only, and these are cheap. A node's own counts, of 0 or 1 where there are many nodes, say little.
func (b *Balancer) healthChecksPay() bool {
	return b.settings.HealthChecksAllowed && b.settings.LoadReportSource == LoadReportsByHealthCheck &&
		2*b.settings.Costs.HealthCheck <= maxHealthCheckCost
}

// startHealthChecks checks the load of two more endpoints and reports whether it did. The request then waits for the
// results, or for healthCheckTimeout.
func (b *Balancer) startHealthChecks(request *request) bool {
	first, second, mode := b.candidates(request, request.class.placement.endpoints)
	if !b.checksLoad || request.healthCheckRounds >= maxHealthCheckRounds || mode == Blocked {
		return false
	}
	request.awaitingChecks = true
	request.healthCheckRounds++
	request.checkedAt = b.now
	request.checked = slices.Compact([]*endpoint{first, second})
	b.awaitingChecks = append(b.awaitingChecks, request)
	for _, endpoint := range request.checked {
		b.emit(HealthCheck{Endpoint: endpoint.ID})
	}
	b.emit(SetTimer{After: max(healthCheckTimeout, b.settings.MinEventInterval), Token: healthCheckToken})
	return true
}

// healthCheckEnded records a result. A failed health check counts like a failed request.
func (b *Balancer) healthCheckEnded(event HealthCheckEnded) {
	if endpoint := b.endpointsByID[event.Endpoint]; endpoint != nil {
		b.applyLoadReport(endpoint, event.Report)
		if event.Outcome != OK {
			b.recordFailure(endpoint, event.Outcome)
		}
	}
	b.resumeChecked()
}

// resumeChecked dispatches the requests that have all their results or have waited long enough. They choose among the
// endpoints that have answered.
func (b *Balancer) resumeChecked() {
	waiting := b.awaitingChecks
	b.awaitingChecks = nil
	for _, request := range waiting {
		unanswered := func(endpoint *endpoint) bool { return endpoint.reportedAt < request.checkedAt }
		if b.now < request.checkedAt+healthCheckTimeout && slices.ContainsFunc(request.checked, unanswered) {
			b.awaitingChecks = append(b.awaitingChecks, request)
			continue
		}
		request.awaitingChecks = false
		request.checked = slices.DeleteFunc(request.checked, unanswered)
		if !request.done {
			b.dispatch(request)
		}
	}
}
