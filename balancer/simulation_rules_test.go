package balancer_test

import (
	"fmt"
	"slices"
	"time"

	"bankshift/balancer"
)

// recordViolation records a violation of the rules with the current time.
func (s *simulation) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf("%v: ", s.now)+fmt.Sprintf(format, args...))
}

// carryOut checks an action and carries it out.
func (s *simulation) carryOut(action balancer.Action) {
	switch action := action.(type) {
	case balancer.Send:
		s.send(action)
	case balancer.Reject:
		s.reject(action)
	case balancer.Fail:
		s.answer(action.ID)
	case balancer.CancelAttempt:
		s.cancel(action)
	case balancer.HealthCheck:
		s.healthCheck(action)
	case balancer.CloseIdleConnections:
		if endpoint := s.endpoints[action.Endpoint]; endpoint == nil {
			s.recordViolation("connections of unknown endpoint %d closed", action.Endpoint)
		} else {
			endpoint.usedAt = 0
		}
	case balancer.SendMessage:
		if !s.settings.GossipAllowed || len(action.Data) > 256 {
			s.recordViolation("forbidden message")
		}
	case balancer.SetTimer:
		late := time.Duration(0)
		if s.rng.Intn(20) == 0 {
			late = s.drawDuration(0, 200)
		}
		s.schedule(action.After+late, balancer.TimerFired{Token: action.Token})
	case balancer.Subscribe, balancer.FetchEndpoints:
		if s.rng.Intn(3) == 0 {
			s.schedule(time.Second, balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
		} else {
			s.schedule(50*time.Millisecond, balancer.EndpointUpdate{Kind: balancer.IncrementalUpdate})
		}
	}
}

// answer records a final answer. It returns nil for an unknown request.
func (s *simulation) answer(id balancer.RequestID) *simulatedRequest {
	request := s.requests[id]
	if request == nil {
		s.recordViolation("answer to unknown request %s", id)
		return nil
	}
	if request.answered {
		s.recordViolation("second final answer")
	}
	request.answered = true
	return request
}

// reject checks a rejection, which promises that another try is safe.
func (s *simulation) reject(reject balancer.Reject) {
	request := s.answer(reject.ID)
	if request == nil {
		return
	}
	class := request.class
	repeatable := class.Idempotency == balancer.Idempotent ||
		class.Idempotency == balancer.IdempotentByKey && class.DeduplicationScope == balancer.DeduplicatedByFleet
	for _, attempt := range request.attempts {
		if !attempt.neverRan() && !repeatable {
			s.recordViolation("rejected although it may have run")
		}
	}
}

func (s *simulation) cancel(cancel balancer.CancelAttempt) {
	request := s.requests[cancel.ID]
	if !s.settings.CancelAllowed || request == nil || cancel.Attempt >= len(request.attempts) {
		s.recordViolation("forbidden or unknown cancel")
		return
	}
	s.schedule(time.Millisecond, balancer.AttemptEnded{
		ID:       cancel.ID,
		Attempt:  cancel.Attempt,
		Endpoint: request.attempts[cancel.Attempt].endpoint,
		Outcome:  balancer.Canceled,
	})
}

func (s *simulation) healthCheck(check balancer.HealthCheck) {
	if !s.settings.HealthChecksAllowed {
		s.recordViolation("forbidden health check")
	}
	outcomes := []balancer.Outcome{balancer.OK, balancer.OK, balancer.TimedOut}
	ended := balancer.HealthCheckEnded{Endpoint: check.Endpoint, Outcome: outcomes[s.rng.Intn(3)]}
	if ended.Outcome == balancer.OK {
		ended.Report = &balancer.LoadReport{
			InFlight:    float64(s.rng.Intn(9)),
			HasInFlight: true,
			Queued:      float64(s.rng.Intn(5)),
		}
	}
	s.schedule(s.drawDuration(0, 20), ended)
}

// send checks a new attempt and schedules its outcome.
func (s *simulation) send(send balancer.Send) {
	request := s.requests[send.ID]
	if request == nil {
		s.recordViolation("send for unknown request %s", send.ID)
		return
	}
	endpoint := s.endpoints[send.Endpoint]
	if endpoint == nil {
		s.recordViolation("send to endpoint %d, which was never listed", send.Endpoint)
		return
	}
	s.checkRequest(request)
	s.checkEndpoint(request, endpoint)
	for _, earlier := range request.attempts {
		s.checkRepeat(request, earlier, endpoint, send.StartWithin)
	}
	s.sentAt[send.Endpoint] = append(s.sentAt[send.Endpoint], s.now)
	s.checkSlowStart(endpoint)
	request.attempts = append(request.attempts, simulatedAttempt{endpoint: send.Endpoint, sentAt: s.now})
	endpoint.usedAt = s.now
	s.scheduleOutcome(send, request, len(request.attempts)-1)
}

// checkRequest checks the rules on sending a request that do not depend on the endpoint.
func (s *simulation) checkRequest(request *simulatedRequest) {
	if request.answered || request.streaming {
		s.recordViolation("send for a request that is over")
	}
	if s.now > request.deadline {
		s.recordViolation("send after the deadline")
	}
	if len(request.attempts) >= s.settings.MaxAttempts {
		s.recordViolation("more than %d attempts", s.settings.MaxAttempts)
	}
}

// checkEndpoint checks that the endpoint is allowed for the request's class and has not been draining or removed for
// longer than DrainGrace.
func (s *simulation) checkEndpoint(request *simulatedRequest, endpoint *simulatedEndpoint) {
	zones, machineTypes := request.class.AllowedZones, request.class.AllowedMachineTypes
	if zones != nil && !slices.Contains(zones, endpoint.Zone) ||
		machineTypes != nil && !slices.Contains(machineTypes, endpoint.MachineType) {
		s.recordViolation("send to zone %s, machine type %s, not allowed for %s",
			endpoint.Zone, endpoint.MachineType, request.class.Name)
	}
	if endpoint.notReadySince > 0 && s.now > endpoint.notReadySince+s.settings.DrainGrace {
		s.recordViolation("send to an endpoint that drains or was removed")
	}
}

// checkRepeat checks that the request may be sent to the endpoint after an earlier attempt.
func (s *simulation) checkRepeat(request *simulatedRequest, earlier simulatedAttempt, endpoint *simulatedEndpoint, startWithin time.Duration) {
	class := request.class
	if !earlier.ended && !s.settings.HedgingAllowed {
		s.recordViolation("two attempts in flight at once")
	}
	if earlier.neverRan() || class.Idempotency == balancer.Idempotent {
		return
	}
	windowEnd := earlier.sentAt + class.DeduplicationWindow
	switch {
	case class.Idempotency == balancer.NotIdempotent:
		s.recordViolation("request that is not idempotent sent again")
	case !sameScope(class.DeduplicationScope, endpoint, s.endpoints[earlier.endpoint]) || s.now > windowEnd:
		s.recordViolation("request with a key sent outside its scope or window")
	case startWithin <= 0 || s.now+startWithin > windowEnd:
		s.recordViolation("request with a key sent with %v to start in, which may be outside its window", startWithin)
	}
}

// sameScope reports whether two endpoints share the idempotency keys that they have seen.
func sameScope(scope balancer.DeduplicationScope, x, y *simulatedEndpoint) bool {
	return scope == balancer.DeduplicatedByFleet ||
		scope == balancer.DeduplicatedByZone && x.Zone == y.Zone ||
		scope == balancer.DeduplicatedByCell && x.Cell == y.Cell
}

// checkSlowStart checks that the sends to an endpoint that warms up stay within its budget.
func (s *simulation) checkSlowStart(endpoint *simulatedEndpoint) {
	age := (s.now - endpoint.StartedAt).Seconds() / s.settings.SlowStartDuration.Seconds()
	if !endpoint.startKnown || age >= 1 {
		return
	}
	warmth := s.settings.SlowStartCapacity + (1-s.settings.SlowStartCapacity)*max(0, age)
	sends := 0
	for _, at := range s.sentAt[endpoint.ID] {
		if at > s.now-s.settings.OverloadDuration && at >= endpoint.StartedAt {
			sends++
		}
	}
	budget := s.settings.OverloadFactor * warmth * s.capacity * s.settings.OverloadDuration.Seconds()
	if float64(sends) > budget+3 {
		s.recordViolation("endpoint %d, which warms up, was sent %d, its budget is %.1f", endpoint.ID, sends, budget)
	}
}

// scheduleOutcome draws the outcome of an attempt and schedules it, and may schedule the start of a stream before it.
func (s *simulation) scheduleOutcome(send balancer.Send, request *simulatedRequest, number int) {
	limit := request.deadline - s.now
	if send.Timeout != 0 {
		limit = min(limit, send.Timeout)
	}
	outcomes := []balancer.Outcome{
		balancer.OK, balancer.OK, balancer.OK, balancer.OK, balancer.OK,
		balancer.ServerError, balancer.Rejected, balancer.TimedOut, balancer.ConnectFailed, balancer.Reset, balancer.NotSent,
	}
	outcome := outcomes[s.rng.Intn(len(outcomes))]
	elapsed := s.drawDuration(1, 401)
	if uint32(send.Endpoint)%5 == uint32(s.now.Seconds()/7)%5 && s.rng.Intn(2) == 0 {
		outcome = balancer.TimedOut // an endpoint is silent for about half of its attempts in every fifth span of 7 s
	}
	if outcome == balancer.TimedOut || elapsed > limit {
		outcome, elapsed = balancer.TimedOut, limit
	}
	if request.class.Streamed && outcome == balancer.OK && elapsed > 10*time.Millisecond && s.rng.Intn(2) == 0 {
		s.schedule(elapsed/2, balancer.StreamStarted{
			ID:       send.ID,
			Attempt:  number,
			Endpoint: send.Endpoint,
			Elapsed:  elapsed / 2,
		})
	}
	var report *balancer.LoadReport
	if s.rng.Intn(3) == 0 {
		report = &balancer.LoadReport{InFlight: float64(s.rng.Intn(30)), HasInFlight: s.rng.Intn(4) > 0}
	}
	s.schedule(elapsed, balancer.AttemptEnded{
		ID:       send.ID,
		Attempt:  number,
		Endpoint: send.Endpoint,
		Elapsed:  elapsed,
		Outcome:  outcome,
		Report:   report,
	})
}

// checkConnectionsClosed checks that idle connections to draining endpoints are closed within DrainCloseTimeout.
func (s *simulation) checkConnectionsClosed() {
	if s.settings.DrainCloseTimeout == 0 {
		return
	}
	for _, id := range s.endpointIDs {
		endpoint := s.endpoints[id]
		idle := s.now - endpoint.usedAt
		if endpoint.State == balancer.Draining && endpoint.usedAt > 0 && idle > s.settings.DrainCloseTimeout {
			s.recordViolation("connections to endpoint %d, which drains, were left open", id)
			endpoint.usedAt = 0
		}
	}
}

// checkAnswered checks that requests have their final answers in time, with a tolerance of one step.
func (s *simulation) checkAnswered(step time.Duration) {
	for id, request := range s.requests {
		open := !request.answered && !request.streaming
		if open && s.now > request.deadline+s.settings.ResponseSlack+step {
			s.recordViolation("request %s has no answer in time", id)
			request.answered = true
		}
	}
}
