package balancer

import (
	"fmt"
	"math"
	"time"
)

const (
	failureGain            = 0.005                  // weight of one attempt in the moving average failureShare
	minConsecutiveFailures = 3                      // to eject an endpoint: fewer may be chance
	maxChanceOfFailures    = 1e-5                   // highest probability of a run of failures that ejects
	minUnansweredSends     = 4                      // to eject a silent endpoint: fewer may be chance
	silentFactor           = 4.0                    // multiple of the expected latency that is no longer due to chance
	conclusiveFactor       = 2.0                    // multiple of that latency before which silence proves nothing
	firstTrialBackoff      = 500 * time.Millisecond // wait before the first trial request, before jitter
	maxTrialBackoff        = 4 * time.Second        // longest wait between two trial requests, before jitter
	logInterval            = 5 * time.Second        // least time between two log actions about one endpoint
)

// outlierState is the state of outlier detection for an endpoint. An ejected endpoint gets only trial requests, until
// it serves a request.
type outlierState struct {
	ejected             bool
	consecutiveFailures int  // since the last success; failed and broken connections count twice
	unansweredSends     int  // since the last response
	silentSince         Time // time of the first unanswered send
	mayHaveRestarted    bool // it was silent or unreachable since its last success
	nextTrialAt         Time // no trial request before this time
	trialBackoff        backoff
	nextLogAt           Time // no log action before this time
}

// countSend records a send that has no response yet.
func (o *outlierState) countSend(now Time) {
	o.unansweredSends++
	if o.unansweredSends == 1 {
		o.silentSince = now
	}
}

// recordOutcome updates the state of an endpoint from the outcome of an attempt there.
func (b *Balancer) recordOutcome(endpoint *endpoint, request *request, event AttemptEnded) {
	if b.inconclusive(endpoint, request.class, event) {
		return
	}
	switch event.Outcome {
	case Canceled:
	case NotSent: // the send cannot have a response
		endpoint.unansweredSends = max(0, endpoint.unansweredSends-1)
	case BadRequest:
		endpoint.unansweredSends = 0
	case Rejected:
		endpoint.unansweredSends = 0
		b.impose(endpoint, Blocked, modeValidity)
	case OK:
		b.recordSuccess(endpoint, request, event)
	default:
		if event.Outcome == TimedOut && b.now >= endpoint.imposedUntil { // its queue is too long for requests to wait
			b.impose(endpoint, Overloaded, timeoutModeValidity)
		}
		// A failure counts as a slow response, so that an endpoint that fails fast does not attract requests.
		b.observeEndpointLatency(endpoint, request.class, max(event.Elapsed, request.objective()))
		b.recordFailure(endpoint, event.Outcome)
	}
}

// inconclusive reports whether an attempt timed out before a response could be expected, because earlier attempts or a
// slow connection left it too little time.
func (b *Balancer) inconclusive(endpoint *endpoint, class *class, event AttemptEnded) bool {
	if event.Outcome != TimedOut || event.SinceSent <= 0 {
		return false
	}
	return event.SinceSent.Seconds() < conclusiveFactor*b.expectedLatency(endpoint, class)
}

// recordSuccess records a served attempt. An ejected endpoint that was silent or unreachable may have restarted without
// an endpoint update, so its slow start begins when it serves a trial request.
func (b *Balancer) recordSuccess(endpoint *endpoint, request *request, event AttemptEnded) {
	endpoint.throughput.countEvent(b.now, throughputTau)
	endpoint.unansweredSends = 0
	if !request.streaming {
		b.observeLatency(&request.attempts[event.Attempt], request, event.Elapsed)
	}
	endpoint.consecutiveFailures = 0
	if endpoint.ejected {
		endpoint.ejected = false
		if request.trial && endpoint.mayHaveRestarted {
			b.startWarmup(endpoint, b.now)
		}
		b.emitRateLimited(endpoint, EndpointRecovered{Endpoint: endpoint.ID, SlowStart: endpoint.warmingUp})
	}
	endpoint.mayHaveRestarted = false
}

// recordFailure records a failed attempt or health check, and ejects the endpoint after too many in a row.
func (b *Balancer) recordFailure(endpoint *endpoint, outcome Outcome) {
	endpoint.consecutiveFailures++
	if outcome == ConnectFailed || outcome == Reset { // its process has ended or is unreachable
		endpoint.consecutiveFailures++
	}
	if outcome == ServerError { // an error is a response, so the endpoint is not silent
		endpoint.unansweredSends = 0
	} else {
		endpoint.mayHaveRestarted = true
	}
	if float64(endpoint.consecutiveFailures) >= b.failuresToEject() {
		b.eject(endpoint, fmt.Sprintf("consecutive failures, the last: %v", outcome))
	}
}

// failuresToEject returns the number of consecutive failures that ejects an endpoint: at least minConsecutiveFailures,
// and so many that their probability is at most maxChanceOfFailures if all endpoints fail alike.
func (b *Balancer) failuresToEject() float64 {
	return math.Max(minConsecutiveFailures, math.Log(maxChanceOfFailures)/math.Log(b.failureShare))
}

// observeFailureShare updates the share of attempts that fail over all endpoints.
func (b *Balancer) observeFailureShare(outcome Outcome) {
	switch outcome {
	case OK:
		b.failureShare = smooth(b.failureShare, 0, failureGain)
	case ServerError, TimedOut, Reset:
		b.failureShare = smooth(b.failureShare, 1, failureGain)
	}
}

// eject stops all requests to an endpoint except trial requests.
func (b *Balancer) eject(endpoint *endpoint, reason string) {
	if endpoint.ejected {
		return
	}
	endpoint.ejected = true
	endpoint.trialBackoff = newBackoff(firstTrialBackoff, maxTrialBackoff)
	b.scheduleTrial(endpoint)
	b.emitRateLimited(endpoint, EndpointEjected{Endpoint: endpoint.ID, Reason: reason})
}

// ejectSilent ejects the endpoints that silent reports.
func (b *Balancer) ejectSilent() {
	for _, endpoint := range b.endpoints {
		if b.silent(endpoint) {
			endpoint.mayHaveRestarted = true
			b.eject(endpoint, "no response")
		}
	}
}

// silent reports whether an endpoint has answered none of several sends within silentFactor times the latency of a mean
// request at this endpoint or over all endpoints, whichever is longer.
func (b *Balancer) silent(endpoint *endpoint) bool {
	if endpoint.unansweredSends < minUnansweredSends || b.latency.mean <= 0 {
		return false
	}
	longest := silentFactor * math.Max(b.latency.mean, b.latencyOf(endpoint))
	return (b.now - endpoint.silentSince).Seconds() > longest
}

// sendTrial sends a request that may be repeated to an ejected endpoint whose next trial is due, and reports whether it
// did. The attempt's timeout leaves time to try another endpoint.
func (b *Balancer) sendTrial(request *request) bool {
	if request.class.Idempotency == NotIdempotent {
		return false
	}
	usual := silentFactor * b.latency.mean * request.class.relativeWork
	timeout := max(b.settings.ConnectTimeout, time.Duration(usual*float64(time.Second)))
	timeout = min(timeout, request.objective()/3)
	for _, endpoint := range b.endpoints {
		if !endpoint.ejected || b.now < endpoint.nextTrialAt || !b.send(request, endpoint, timeout) {
			continue
		}
		request.trial = true
		b.trialBudget.take()
		b.scheduleTrial(endpoint)
		return true
	}
	return false
}

// scheduleTrial sets the time of the next trial request to an ejected endpoint.
func (b *Balancer) scheduleTrial(endpoint *endpoint) {
	endpoint.nextTrialAt = b.now + b.rng.jitter(endpoint.trialBackoff.next())
}

// emitRateLimited emits an action for the log, at most one per endpoint in logInterval: an endpoint that fails and
// recovers all the time must not fill a disk.
func (b *Balancer) emitRateLimited(endpoint *endpoint, action Action) {
	if b.now >= endpoint.nextLogAt {
		endpoint.nextLogAt = b.now + logInterval
		b.emit(action)
	}
}
