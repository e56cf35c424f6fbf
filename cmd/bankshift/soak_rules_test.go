package main

import (
	"fmt"
	"time"
)

// Limits and tolerances that the operators' documentation states.
const (
	deadlineSlack       = 150 * time.Millisecond // a deadline sent to a backend may exceed the time left by this much
	responseSlack       = 500 * time.Millisecond // a response later than this after its deadline is lost
	disconnectSlack     = 100 * time.Millisecond // an attempt may begin up to this long after its client disconnected
	drainGrace          = time.Second            // a setting: a draining backend may get last requests for this long
	drainGraceSlack     = 50 * time.Millisecond  // tolerance that the documentation adds to each limit
	onDemandDelay       = 6 * time.Second        // with polls on demand, a list change counts as known after this time
	reloadDelay         = 4 * time.Second        // the new discovery's list counts as known this long after SIGHUP
	maxNodePause        = 150 * time.Millisecond // the longest time that the machine may keep a node from running
	lateConnectTime     = 400 * time.Millisecond // new connections arrive for this long after SIGTERM
	killSlack           = 700 * time.Millisecond // SIGKILL may come at SIGTERM + longest deadline (3 s at most) + this
	deduplicationWindow = time.Second            // within this time, backends drop a repeated request with the same key
)

// soakClasses are the request classes, each named after its effect in the settings:
// idempotent, not idempotent, and idempotent by its key.
var soakClasses = []string{"retryable", "fragile", "dedup"}

// soakRequest records one request of a client and the attempts that backends have
// received for it.
type soakRequest struct {
	class          string
	deadline       time.Duration
	sentAt         time.Time // when its last byte was written; zero: not yet
	disconnectedAt time.Time // when its client disconnected before the response; zero: it has not
	attempts       []soakAttempt
}

// soakAttempt records an attempt as its backend received it.
type soakAttempt struct {
	backend     int // index in soakRun.backends
	firstByteAt time.Time
	lastByteAt  time.Time
	deadline    time.Duration // in the X-Deadline header
	rejected    bool          // the response says by X-Not-Run that the request has not run
}

// recordViolation records a broken rule. If one of the node's threads has recently
// waited for a CPU for longer than maxNodePause, by the kernel's scheduling
// statistics, the machine was too busy: the violation is excused and only counted.
// The caller holds s.mu.
func (s *soakRun) recordViolation(format string, args ...any) {
	if s.nodeDelay.longestRecent(time.Now()) > maxNodePause {
		s.counts["excused: the machine was too busy"]++
		return
	}
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// checkAttempt records an attempt and checks it against the rules.
func (s *soakRun) checkAttempt(id string, a soakAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts["attempts"]++
	r := s.requests[id]
	if r == nil {
		s.recordViolation("request %q, which no client sent, reached %s", id, s.backends[a.backend].name)
		return
	}
	s.checkTimes(id, r, a)
	s.checkDrain(id, a)
	s.checkRepetition(id, r, a)
	r.attempts = append(r.attempts, a)
}

// checkTimes checks that the deadline sent with an attempt is no longer than the
// time that its request has left, and that the attempt does not begin after its
// client has disconnected. Both checks allow for a slack and for the timing error of
// the test process. The caller holds s.mu.
func (s *soakRun) checkTimes(id string, r *soakRequest, a soakAttempt) {
	left := r.deadline
	if !r.sentAt.IsZero() {
		left -= a.lastByteAt.Sub(r.sentAt)
	}
	if a.deadline > left+deadlineSlack+s.timingError() {
		s.recordViolation("%s: attempt sent with a deadline of %v, but only %v of the client's is left", id, a.deadline, left)
	}
	if !r.disconnectedAt.IsZero() && a.firstByteAt.Sub(r.disconnectedAt) > disconnectSlack+s.timingError() {
		s.recordViolation("%s: attempt begins %v after its client disconnected", id, a.firstByteAt.Sub(r.disconnectedAt))
	}
}

// checkDrain checks that no attempt reaches a draining backend later than drainGrace
// after the time at which the node has to know of the drain. That is when the list
// of discovery shows the drain and discovery answers polls, and onDemandDelay later
// if the node polls on demand. If the node was sent SIGHUP before that time, it is
// not earlier than reloadDelay after the signal. The caller holds s.mu.
func (s *soakRun) checkDrain(id string, a soakAttempt) {
	backend := s.backends[a.backend]
	if backend.drainedAt.IsZero() {
		return
	}
	knownAt := backend.drainedAt
	if s.discoveryBackAt.After(knownAt) {
		knownAt = s.discoveryBackAt
	}
	if s.onDemand {
		knownAt = knownAt.Add(onDemandDelay)
	}
	reloadKnownAt := s.reloadedAt.Add(reloadDelay)
	if s.reloadedAt.Before(knownAt) && reloadKnownAt.After(knownAt) {
		knownAt = reloadKnownAt
	}
	late := a.firstByteAt.Sub(knownAt)
	if late > drainGrace+drainGraceSlack+s.timingError() {
		s.recordViolation("%s: attempt sent to %s %v after the node had to know that it is draining", id, backend.name, late)
	}
}

// checkRepetition checks an attempt against earlier attempts of the same request
// that may have run: a fragile request must not be repeated, and one with a key only
// within the deduplication window. The caller holds s.mu.
func (s *soakRun) checkRepetition(id string, r *soakRequest, a soakAttempt) {
	for _, earlier := range r.attempts {
		if earlier.rejected {
			continue
		}
		sinceEarlier := a.firstByteAt.Sub(earlier.lastByteAt)
		switch {
		case r.class == "fragile":
			s.recordViolation("%s: a request that is not idempotent reached %s after %s", id, s.backends[a.backend].name, s.backends[earlier.backend].name)
		case r.class == "dedup" && sinceEarlier > deduplicationWindow:
			s.recordViolation("%s: a request with a key is repeated after %v, outside the deduplication window", id, sinceEarlier)
		}
	}
}
