package balancer

import (
	"slices"
	"time"
)

const (
	healthCheckToken      = 1                    // token of the timer that ends a round; the tick's timer has token 0
	maxHealthCheckPenalty = 0.005                // most points of ResultPenalties for the two checks before a send
	healthCheckTimeout    = 5 * time.Millisecond // several round trips, far below any latency objective
	maxHealthCheckRounds  = 3                    // of two endpoints each, before all endpoints count as full
)

// healthCheckRound is the state of a request that checks the load of two endpoints before it is sent.
type healthCheckRound struct {
	awaitingChecks    bool
	healthCheckRounds int         // rounds so far for the next attempt
	checkedAt         Time        // start of the last round
	checked           []*endpoint // endpoints of the last round; after it, only those that sent a load report
}

// shouldCheckLoad reports whether the load of endpoints is to be checked before each send: health checks must be the
// only source of load reports, and cheap. They are worth it because, among many nodes, a node's own counts are 0 or 1
// and say little about the load of an endpoint.
func (b *Balancer) shouldCheckLoad() bool {
	return b.settings.HealthChecksAllowed && b.settings.LoadReportSource == LoadReportsByHealthCheck &&
		2*b.settings.ResultPenalties.HealthCheck <= maxHealthCheckPenalty
}

// startHealthChecks starts health checks of two endpoints for a request and reports whether it did. The request then
// waits for the results, but no longer than healthCheckTimeout.
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

// healthCheckEnded records the result of a health check. A failed health check counts like a failed request.
func (b *Balancer) healthCheckEnded(event HealthCheckEnded) {
	if endpoint := b.endpointsByID[event.Endpoint]; endpoint != nil {
		b.applyLoadReport(endpoint, event.Report)
		if event.Outcome != OK {
			b.recordFailure(endpoint, event.Outcome)
		}
	}
	b.resumeChecked()
}

// resumeChecked dispatches the requests whose health checks have all brought a load report or have timed out. Only
// endpoints that sent a load report are considered for them.
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
