package balancer_test

import (
	"fmt"
	"slices"
	"time"

	"bankshift/balancer"
)

// violated records a violation of the rules.
func (w *world) violated(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now)+fmt.Sprintf(format, args...))
}

// carryOut checks an action and carries it out.
func (w *world) carryOut(action balancer.Action) {
	switch action := action.(type) {
	case balancer.Send:
		w.send(action)
	case balancer.Reject:
		w.reject(action)
	case balancer.Fail:
		w.answer(action.ID)
	case balancer.CancelAttempt:
		w.cancel(action)
	case balancer.HealthCheck:
		w.healthCheck(action)
	case balancer.CloseIdleConnections:
		if endpoint := w.endpoints[action.Endpoint]; endpoint == nil {
			w.violated("connections of an unknown endpoint closed")
		} else {
			endpoint.usedAt = 0
		}
	case balancer.SendMessage:
		if !w.settings.GossipAllowed || len(action.Data) > 256 {
			w.violated("forbidden message")
		}
	case balancer.SetTimer:
		late := time.Duration(0)
		if w.rng.Intn(20) == 0 {
			late = w.drawDuration(0, 200)
		}
		w.schedule(action.After+late, balancer.TimerFired{Token: action.Token})
	case balancer.Subscribe, balancer.FetchEndpoints:
		if w.rng.Intn(3) == 0 {
			w.schedule(time.Second, balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
		} else {
			w.schedule(50*time.Millisecond, balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate})
		}
	}
}

// answer records a final answer. It returns nil for an unknown request.
func (w *world) answer(id balancer.RequestID) *worldRequest {
	request := w.requests[id]
	if request == nil {
		w.violated("answer to an unknown request")
		return nil
	}
	if request.answered {
		w.violated("second final answer")
	}
	request.answered = true
	return request
}

// reject checks a rejection: it promises that another try does no harm.
func (w *world) reject(reject balancer.Reject) {
	request := w.answer(reject.ID)
	if request == nil {
		return
	}
	class := request.class
	repeatable := class.Idempotency == balancer.Idempotent ||
		class.Idempotency == balancer.IdempotentByKey && class.DeduplicationScope == balancer.DeduplicatedByFleet
	for _, attempt := range request.attempts {
		if !attempt.neverRan() && !repeatable {
			w.violated("rejected although it may have run")
		}
	}
}

func (w *world) cancel(cancel balancer.CancelAttempt) {
	request := w.requests[cancel.ID]
	if !w.settings.CancelAllowed || request == nil || cancel.Attempt >= len(request.attempts) {
		w.violated("forbidden or unknown cancel")
		return
	}
	w.schedule(time.Millisecond, balancer.AttemptEnded{
		ID:       cancel.ID,
		Attempt:  cancel.Attempt,
		Endpoint: request.attempts[cancel.Attempt].endpoint,
		Outcome:  balancer.Canceled,
	})
}

func (w *world) healthCheck(check balancer.HealthCheck) {
	if !w.settings.HealthChecksAllowed {
		w.violated("forbidden health check")
	}
	outcomes := []balancer.Outcome{balancer.OK, balancer.OK, balancer.TimedOut}
	ended := balancer.HealthCheckEnded{Endpoint: check.Endpoint, Outcome: outcomes[w.rng.Intn(3)]}
	if ended.Outcome == balancer.OK {
		ended.Report = &balancer.LoadReport{
			InFlight:    float64(w.rng.Intn(9)),
			HasInFlight: true,
			Queued:      float64(w.rng.Intn(5)),
		}
	}
	w.schedule(w.drawDuration(0, 20), ended)
}

// send checks an attempt and schedules its outcome.
func (w *world) send(send balancer.Send) {
	request := w.requests[send.ID]
	if request == nil {
		w.violated("send for an unknown request")
		return
	}
	endpoint := w.endpoints[send.Endpoint]
	if endpoint == nil {
		w.violated("send to endpoint %d, which was never listed", send.Endpoint)
		return
	}
	w.checkRequest(request)
	w.checkEndpoint(request, endpoint)
	for _, earlier := range request.attempts {
		w.checkRepeat(request, earlier, endpoint, send.StartWithin)
	}
	w.sentAt[send.Endpoint] = append(w.sentAt[send.Endpoint], w.now)
	w.checkSlowStart(endpoint)
	request.attempts = append(request.attempts, worldAttempt{endpoint: send.Endpoint, sentAt: w.now})
	endpoint.usedAt = w.now
	w.scheduleOutcome(send, request, len(request.attempts)-1)
}

// checkRequest checks that a request may be sent at all.
func (w *world) checkRequest(request *worldRequest) {
	if request.answered || request.streaming {
		w.violated("send for a request that is over")
	}
	if w.now > request.deadline {
		w.violated("send after the deadline")
	}
	if len(request.attempts) >= w.settings.MaxAttempts {
		w.violated("more than %d attempts", w.settings.MaxAttempts)
	}
}

// checkEndpoint checks that the request may be sent to the endpoint.
func (w *world) checkEndpoint(request *worldRequest, endpoint *worldEndpoint) {
	zones, machineTypes := request.class.AllowedZones, request.class.AllowedMachineTypes
	if zones != nil && !slices.Contains(zones, endpoint.Zone) ||
		machineTypes != nil && !slices.Contains(machineTypes, endpoint.MachineType) {
		w.violated("send to zone %s, machine type %s, not allowed for %s",
			endpoint.Zone, endpoint.MachineType, request.class.Name)
	}
	if endpoint.notReadySince > 0 && w.now > endpoint.notReadySince+w.settings.DrainGrace {
		w.violated("send to an endpoint that drains or was removed")
	}
}

// checkRepeat checks that the request may be sent to the endpoint after an earlier attempt.
func (w *world) checkRepeat(request *worldRequest, earlier worldAttempt, endpoint *worldEndpoint, startWithin time.Duration) {
	class := request.class
	if !earlier.ended && !w.settings.HedgingAllowed {
		w.violated("two attempts in flight at once")
	}
	if earlier.neverRan() || class.Idempotency == balancer.Idempotent {
		return
	}
	windowEnd := earlier.sentAt + class.DeduplicationWindow
	switch {
	case class.Idempotency == balancer.NotIdempotent:
		w.violated("request that is not idempotent sent again")
	case !sameScope(class.DeduplicationScope, endpoint, w.endpoints[earlier.endpoint]) || w.now > windowEnd:
		w.violated("request with a key sent outside its scope or window")
	case startWithin <= 0 || w.now+startWithin > windowEnd:
		w.violated("request with a key sent with %v to start in, which may be outside its window", startWithin)
	}
}

// sameScope reports whether two endpoints share their idempotency keys.
func sameScope(scope balancer.DeduplicationScope, x, y *worldEndpoint) bool {
	return scope == balancer.DeduplicatedByFleet ||
		scope == balancer.DeduplicatedByZone && x.Zone == y.Zone ||
		scope == balancer.DeduplicatedByCell && x.Cell == y.Cell
}

// checkSlowStart checks the sends to an endpoint that warms up against its budget.
func (w *world) checkSlowStart(endpoint *worldEndpoint) {
	age := (w.now - endpoint.StartedAt).Seconds() / w.settings.SlowStartDuration.Seconds()
	if !endpoint.startKnown || age >= 1 {
		return
	}
	warmth := w.settings.SlowStartCapacity + (1-w.settings.SlowStartCapacity)*max(0, age)
	sends := 0
	for _, at := range w.sentAt[endpoint.ID] {
		if at > w.now-w.settings.OverloadDuration && at >= endpoint.StartedAt {
			sends++
		}
	}
	budget := w.settings.OverloadFactor * warmth * w.capacity * w.settings.OverloadDuration.Seconds()
	if float64(sends) > budget+3 {
		w.violated("endpoint %d, which warms up, was sent %d, its budget is %.1f", endpoint.ID, sends, budget)
	}
}

// scheduleOutcome draws how an attempt ends.
func (w *world) scheduleOutcome(send balancer.Send, request *worldRequest, number int) {
	limit := request.deadline - w.now
	if send.Timeout != 0 {
		limit = min(limit, send.Timeout)
	}
	outcomes := []balancer.Outcome{
		balancer.OK, balancer.OK, balancer.OK, balancer.OK, balancer.OK,
		balancer.ServerError, balancer.Rejected, balancer.TimedOut, balancer.ConnectFailed, balancer.Reset, balancer.NotSent,
	}
	outcome := outcomes[w.rng.Intn(len(outcomes))]
	elapsed := w.drawDuration(1, 401)
	if uint32(send.Endpoint)%5 == uint32(w.now.Seconds()/7)%5 && w.rng.Intn(2) == 0 {
		outcome = balancer.TimedOut // some endpoints are silent for a while
	}
	if outcome == balancer.TimedOut || elapsed > limit {
		outcome, elapsed = balancer.TimedOut, limit
	}
	if request.class.Streamed && outcome == balancer.OK && elapsed > 10*time.Millisecond && w.rng.Intn(2) == 0 {
		w.schedule(elapsed/2, balancer.StreamStarted{
			ID:       send.ID,
			Attempt:  number,
			Endpoint: send.Endpoint,
			Elapsed:  elapsed / 2,
		})
	}
	var report *balancer.LoadReport
	if w.rng.Intn(3) == 0 {
		report = &balancer.LoadReport{InFlight: float64(w.rng.Intn(30)), HasInFlight: w.rng.Intn(4) > 0}
	}
	w.schedule(elapsed, balancer.AttemptEnded{
		ID:       send.ID,
		Attempt:  number,
		Endpoint: send.Endpoint,
		Elapsed:  elapsed,
		Outcome:  outcome,
		Report:   report,
	})
}

// checkConnectionsClosed checks that idle connections to draining endpoints are closed in time.
func (w *world) checkConnectionsClosed() {
	if w.settings.DrainCloseTimeout == 0 {
		return
	}
	for _, id := range w.endpointIDs {
		endpoint := w.endpoints[id]
		idle := w.now - endpoint.usedAt
		if endpoint.State == balancer.Draining && endpoint.usedAt > 0 && idle > w.settings.DrainCloseTimeout {
			w.violated("connections to endpoint %d, which drains, were left open", id)
			endpoint.usedAt = 0
		}
	}
}

// checkAnswered checks that requests have their final answers in time, to within one step.
func (w *world) checkAnswered(step time.Duration) {
	for id, request := range w.requests {
		open := !request.answered && !request.streaming
		if open && w.now > request.deadline+w.settings.ResponseSlack+step {
			w.violated("request %s has no answer in time", id)
			request.answered = true
		}
	}
}
