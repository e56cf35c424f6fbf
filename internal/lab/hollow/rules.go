package hollow

import (
	"fmt"
	"time"

	"bankshift/internal/lab/scenario"
)

const (
	maxViolations = 20                    // described in the result; further ones are only counted
	socketSlack   = 50 * time.Millisecond // tolerance for the time that messages take through sockets
	responseSlack = 70 * time.Millisecond // tolerance past a response's deadline: the settings' 20 ms plus socketSlack

	// A crash of a server that warms up is a violation if at least notifiedFraction of the messages that crashed it
	// came from nodes that had been notified of its start.
	notifiedFraction = 2.0 / 3
)

// recordViolation adds a broken rule to the report, with its time since the start of the traffic.
func (m *sim) recordViolation(format string, args ...any) {
	m.violations++
	if m.violations <= maxViolations {
		at := fmt.Sprintf("%.3fs: ", (m.now - m.trafficStart).Seconds())
		m.report.Violations = append(m.report.Violations, at+fmt.Sprintf(format, args...))
	}
}

// checkSend checks an attempt against the rules, given the request's earlier attempts.
func (m *sim) checkSend(a *attempt, earlier []*attempt) {
	r := a.request
	if r.answered {
		m.recordViolation("node %d: a send for %s, which has its answer", a.node.index, r.id)
	}
	if limit := m.scenario.Fleet.MaxAttempts; len(earlier) >= limit {
		m.recordViolation("node %d: attempt %d of %s, %d are allowed", a.node.index, len(earlier)+1, r.id, limit)
	}
	for _, e := range earlier {
		m.checkRepeat(a, e)
	}
}

// checkRepeat checks that an attempt may be made after an earlier one of the same request.
func (m *sim) checkRepeat(a, earlier *attempt) {
	r := a.request
	b := a.node.pool.backends[a.endpoint]
	switch {
	case earlier.state != attemptOver && !m.scenario.Fleet.HedgingAllowed:
		m.recordViolation("node %d: two attempts of %s are out", a.node.index, r.id)
	case !earlier.mayHaveRun() || r.class.Idempotency == scenario.Idempotent:
	case r.class.Idempotency == scenario.NotIdempotent:
		m.recordViolation("node %d: %s is unsafe, may have run, and is sent again", a.node.index, r.id)
	case b != nil && earlier.backend != nil && leavesScope(r.class.KeyScope, earlier.backend.server, b.server):
		m.recordViolation("node %d: %s may have run and leaves its %s", a.node.index, r.id, r.class.KeyScope)
	}
}

// leavesScope reports whether two servers do not share the idempotency keys of a scope.
func leavesScope(scope string, from, to *server) bool {
	switch scope {
	case scenario.ScopeZone:
		return from.zone != to.zone
	case scenario.ScopeCell:
		return from.Cell != to.Cell
	}
	return false
}

// checkFirstByte checks the time of a request's first byte: a repeat must be within the key's window, and a server
// that is listed as draining or removed gets no request after the drain grace.
func (m *sim) checkFirstByte(a *attempt, sv *server) {
	r := a.request
	window := r.class.KeyWindow
	for _, e := range r.attempts[:a.number] {
		if r.class.Idempotency == scenario.IdempotentByKey && e.mayHaveRun() && m.now > e.sentAt+window.Std()+socketSlack {
			m.recordViolation("node %d: %s goes out again %v after it may have run, its key is known for %v",
				a.node.index, r.id, m.now-e.sentAt, window)
		}
	}
	if sv.notReadyVersion == 0 {
		return
	}
	grace := m.scenario.Discovery.DrainGrace.Std() + socketSlack
	notifiedAt := m.notifiedAt(a.node, sv.notReadyVersion)
	if m.now > m.versionTimes[sv.notReadyVersion]+grace && m.now > notifiedAt+grace {
		m.recordViolation("node %d: %s goes to %s, told as %s %v ago", a.node.index, r.id, sv.Name, sv.entry.Status, m.now-notifiedAt)
	}
}

// checkRejection checks that another try of a rejected request does no harm: no attempt may have been executed
// unless the request may be repeated at any server.
func (m *sim) checkRejection(r *request) {
	if r.class.RepeatableAnywhere() {
		return
	}
	for _, a := range r.attempts {
		if a.mayHaveRun() {
			m.recordViolation("%s may have run and is refused", r.id)
			return
		}
	}
}

// checkResponseTime checks that a response comes by the client's deadline, with a tolerance.
func (m *sim) checkResponseTime(r *request) {
	if m.now > r.clientDeadline+responseSlack {
		m.recordViolation("%s is answered %v late", r.id, m.now-r.clientDeadline)
	}
}

// checkWarmupLoad records a message that reaches a server that warms up. If the server crashed under the message, it
// checks whether nodes that had been notified of the start caused the crash.
func (m *sim) checkWarmupLoad(sv *server, n *hollowNode) {
	if sv.startVersion == 0 || m.now >= sv.startedAt+m.scenario.Servers.WarmupTime.Std() {
		return
	}
	m.recordWarmupSend(sv, n)
	stats := sv.model.Stats()
	second := m.currentSecond()
	second.warmupLoad = max(second.warmupLoad, stats.WorstWarmupLoad)
	if stats.Crashes == sv.crashes {
		return
	}
	sv.crashes = stats.Crashes
	if m.isMeasured(m.now) {
		m.report.Crashes++
	}
	notified := 0
	for _, s := range sv.warmupSends {
		if s.notified {
			notified++
		}
	}
	if float64(notified) >= notifiedFraction*float64(len(sv.warmupSends)) {
		m.recordViolation("%s fell over %v after its start: %d of the last %d sends came from nodes that were told",
			sv.Name, m.now-sv.startedAt, notified, len(sv.warmupSends))
	}
}

// recordWarmupSend adds a message to the server's warmupSends and removes those before the last CrashWindow.
func (m *sim) recordWarmupSend(sv *server, n *hollowNode) {
	expired := 0
	for expired < len(sv.warmupSends) && sv.warmupSends[expired].at <= m.now-m.scenario.Servers.CrashWindow.Std() {
		expired++
	}
	notified := m.now >= m.notifiedAt(n, sv.startVersion)
	sv.warmupSends = append(sv.warmupSends[expired:], warmupSend{m.now, notified})
}
