package main

import (
	"fmt"
	"time"
)

// The times and slacks that the operators' pages state.
const (
	deadlineSlack       = 150 * time.Millisecond // of the deadline sent to a backend
	responseSlack       = 500 * time.Millisecond // a response that comes later than this after its deadline is lost
	departureSlack      = 100 * time.Millisecond // an attempt may begin this much after its client has left
	drainGrace          = time.Second            // for the last requests to a draining backend, by the settings
	drainGraceSlack     = 50 * time.Millisecond  // what the pages add to each limit
	onDemandDelay       = 6 * time.Second        // a change of the list counts as known then, if it is polled on demand
	reloadDelay         = 4 * time.Second        // and then after SIGHUP
	maxNodePause        = 150 * time.Millisecond // for which a node may be held up
	lateConnectTime     = 400 * time.Millisecond // for which new connections arrive after SIGTERM
	killSlack           = 700 * time.Millisecond // SIGKILL may come this much after SIGTERM and the longest deadline
	deduplicationWindow = time.Second            // in which backends drop the repetition of a request with a key
)

// soakClasses are the classes of requests, each named after its effect in the
// settings: idempotent, not idempotent, and idempotent by key.
var soakClasses = []string{"retryable", "fragile", "dedup"}

// soakRequest is what is known of one request.
type soakRequest struct {
	class    string
	deadline time.Duration
	sentAt   time.Time // when its last byte had been written; zero: not yet
	leftAt   time.Time // when its client closed the connection; zero: it has not
	attempts []soakAttempt
}

// soakAttempt is an attempt as its backend received it.
type soakAttempt struct {
	backend     int
	firstByteAt time.Time
	lastByteAt  time.Time
	deadline    time.Duration // as sent to the backend
	rejected    bool          // with proof that it has not run
}

// recordViolation records a broken rule. It is excused where the machine has kept the
// node from running for longer than a node may be held up, as the kernel's account
// of its threads shows; that is counted. The caller holds s.mu.
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
		s.recordViolation("request %q, which no client sent, came to %s", id, s.backends[a.backend].name)
		return
	}
	s.checkTimes(id, r, a)
	s.checkDrain(id, a)
	s.checkRepetition(id, r, a)
	r.attempts = append(r.attempts, a)
}

// checkTimes checks the deadline that is sent with an attempt, and that none
// begins after its client has left. The caller holds s.mu.
func (s *soakRun) checkTimes(id string, r *soakRequest, a soakAttempt) {
	left := r.deadline
	if !r.sentAt.IsZero() {
		left -= a.lastByteAt.Sub(r.sentAt)
	}
	if a.deadline > left+deadlineSlack+s.timingError() {
		s.recordViolation("%s: sent with a deadline of %v where %v is left", id, a.deadline, left)
	}
	if !r.leftAt.IsZero() && a.firstByteAt.Sub(r.leftAt) > departureSlack+s.timingError() {
		s.recordViolation("%s: an attempt begins %v after its client has left", id, a.firstByteAt.Sub(r.leftAt))
	}
}

// checkDrain checks that no attempt goes to a backend that the node has to know as
// draining. The caller holds s.mu.
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
		s.recordViolation("%s: sent to %s %v after it was known as draining", id, backend.name, late)
	}
}

// checkRepetition checks an attempt against earlier ones that may have run. The
// caller holds s.mu.
func (s *soakRun) checkRepetition(id string, r *soakRequest, a soakAttempt) {
	for _, earlier := range r.attempts {
		if earlier.rejected {
			continue
		}
		sinceEarlier := a.firstByteAt.Sub(earlier.lastByteAt)
		switch {
		case r.class == "fragile":
			s.recordViolation("%s: a request that is not idempotent comes to %s after %s", id, s.backends[a.backend].name, s.backends[earlier.backend].name)
		case r.class == "dedup" && sinceEarlier > deduplicationWindow:
			s.recordViolation("%s: a request with a key comes again after %v", id, sinceEarlier)
		}
	}
}
