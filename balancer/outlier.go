package balancer

import (
	"fmt"
	"math"
	"time"
)

const (
	failureGain            = 0.005                  // the same for the share of attempts that fail
	minConsecutiveFailures = 3                      // failures in a row: fewer are chance
	maxChanceOfFailures    = 1e-5                   // of a row of failures that makes a suspect, if all servers fail alike
	minUnansweredSends     = 4                      // sends without any answer, for the same reason
	silentFactor           = 4.0                    // multiple of the expected latency beyond which more tells no more
	conclusiveFactor       = 2.0                    // the same, before which no answer is chance: one in seven takes longer
	firstTrialBackoff      = 500 * time.Millisecond // s; wait before a suspect's first trial request; doubles
	maxTrialBackoff        = 4 * time.Second        // s; the longest such wait, well under what troubles last
	logInterval            = 5 * time.Second        // between two log actions about one endpoint
)

// judge takes the outcome of an attempt. A failure counts as a slow answer: failing fast must not attract
// work. A server that was silent and answers a trial may have restarted unannounced, so it is taken as cold.
func (m *Balancer) recordOutcome(s *endpoint, r *request, e AttemptEnded) {
	if e.Outcome == TimedOut && e.SinceSent > 0 && e.SinceSent.Seconds() < conclusiveFactor*m.expectedLatency(s, r.class) {
		return // what was left of a late request's time is no test of a server
	}
	switch e.Outcome {
	case Canceled:
	case NotSent: // not sent, so no answer is missing
		s.unansweredSends = max(0, s.unansweredSends-1)
	case BadRequest:
		s.unansweredSends = 0
	case Rejected:
		s.unansweredSends = 0
		m.impose(s, Blocked)
	case OK:
		s.throughput, s.throughputAt, s.unansweredSends = s.throughput*decay(m.now-s.throughputAt, throughputTau)+1/throughputTau, m.now, 0
		if !r.streaming {
			m.observeLatency(&r.attempts[e.Attempt], r, e.Elapsed)
		}
		if s.consecutiveFailures = 0; s.ejected {
			s.ejected = false
			if r.trial && s.mayHaveRestarted {
				m.startWarmup(s, m.now)
			}
			m.logRateLimited(s, EndpointRecovered{Endpoint: s.ID, SlowStart: s.warmingUp})
		}
		s.mayHaveRestarted = false
	default:
		if e.Outcome == TimedOut && m.now >= s.imposedUntil { // its queue is longer than requests can wait
			s.imposedMode, s.imposedUntil = Overloaded, m.now+crowdedRest
		}
		m.observeEndpointLatency(s, r.class, max(e.Elapsed, r.class.LatencyObjective))
		m.recordFailure(s, e.Outcome)
	}
}

func (m *Balancer) recordFailure(s *endpoint, code Outcome) {
	if s.consecutiveFailures++; code == ConnectFailed || code == Reset {
		s.consecutiveFailures++ // the process is gone, or out of reach
	}
	if s.mayHaveRestarted = s.mayHaveRestarted || code != ServerError; code == ServerError {
		s.unansweredSends = 0 // an error is an answer
	}
	// Where all servers fail now and then, as many in a row as before are chance.
	if float64(s.consecutiveFailures) >= math.Max(minConsecutiveFailures, math.Log(maxChanceOfFailures)/math.Log(m.failureShare)) {
		m.eject(s, fmt.Sprintf("consecutive failures, the last: %v", code))
	}
}

func (m *Balancer) eject(s *endpoint, why string) {
	if !s.ejected {
		s.ejected, s.trialBackoff, s.trialAt = true, firstTrialBackoff, m.now+m.jitter(firstTrialBackoff)
		m.logRateLimited(s, EndpointEjected{Endpoint: s.ID, Reason: why})
	}
}

// tryOut sends a request that may be repeated to a suspect whose turn it is, with time left to try again.
func (m *Balancer) sendTrial(r *request) bool {
	wait := max(m.settings.ConnectTimeout, time.Duration(silentFactor*m.meanLatency*r.class.relativeWork*float64(time.Second)))
	for _, s := range m.endpoints {
		if m.now >= s.trialAt && s.ejected && r.class.Idempotency != NotIdempotent && m.send(r, s, min(wait, r.class.LatencyObjective/3)) {
			s.trialBackoff = min(2*s.trialBackoff, maxTrialBackoff)
			r.trial, s.trialAt, m.trialBudget = true, m.now+m.jitter(s.trialBackoff), m.trialBudget-1
			return true
		}
	}
	return false
}

// logRateLimited passes on an action for the log, at most one about an endpoint in logInterval: one that fails and
// recovers all the time must not fill a disk.
func (m *Balancer) logRateLimited(s *endpoint, a Action) {
	if m.now >= s.logQuietUntil {
		s.logQuietUntil = m.now + logInterval
		m.emit(a)
	}
}
