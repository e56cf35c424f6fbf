package balancer_test

import (
	"testing"
	"time"

	"bankshift/balancer"
)

// Guards against running a request twice that is not idempotent: if its endpoint is silent, the request must fail at
// its deadline, and must be neither sent again nor rejected.
func TestNonIdempotentTimeoutFails(t *testing.T) {
	h := newHarness(harnessSettings(), 3)
	h.respond = func(balancer.EndpointID) (time.Duration, balancer.Outcome) { return time.Hour, balancer.TimedOut }
	h.run(step, 200, "once")
	h.run(3*time.Second, 0, "once")
	if n := h.totalSent(); n != 1 || h.failed != 1 || h.rejected != 0 {
		t.Errorf("%d sends, %d failed, %d rejected; want 1, 1, 0", n, h.failed, h.rejected)
	}
}

// Guards against retries that may run a request twice, and against failing requests that may be sent again: after an
// outcome that leaves open whether the request ran, only an idempotent one is sent again, and after an outcome that
// proves that it never ran, any request is.
func TestRetriesByIdempotency(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome balancer.Outcome
		retried bool
	}{
		{"ordinary", balancer.ServerError, true},
		{"ordinary", balancer.ConnectFailed, true},
		{"once", balancer.ServerError, false},
		{"once", balancer.Reset, false},
		{"once", balancer.ConnectFailed, true},
		{"once", balancer.Rejected, true},
	} {
		h := newHarness(harnessSettings(), 3)
		h.run(3*time.Second, 100, "ordinary")
		h.run(time.Second, 0, "ordinary")
		h.resetCounts()
		h.respond = firstThen(10*time.Millisecond, c.outcome)
		h.run(step, 200, c.class)
		h.run(time.Second, 0, c.class)
		if n := h.totalSent(); (n == 2) != c.retried || (h.failed == 1) == c.retried {
			t.Errorf("class %s after outcome %q: %d sends, %d failed, want a retry: %v",
				c.class, c.outcome, n, h.failed, c.retried)
		}
	}
}

// firstThen returns a respond function that gives the first attempt this latency and outcome and serves all others in
// 50 ms.
func firstThen(latency time.Duration, outcome balancer.Outcome) func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
	first := true
	return func(balancer.EndpointID) (time.Duration, balancer.Outcome) {
		if first {
			first = false
			return latency, outcome
		}
		return 50 * time.Millisecond, balancer.OK
	}
}

// Guards against giving up a slow attempt where that gains nothing. An attempt that takes much longer than usual is
// given up for another, but awaited if two things hold: the deduplication window or the number of attempts rules out
// another, and the request cannot be rejected, after which the client could try again.
func TestSlowResponseIsAwaitedIfNoRetryIsPossible(t *testing.T) {
	const slow = 900 * time.Millisecond // within the class's deadline and objective
	for _, c := range []struct {
		name        string
		idempotency balancer.Idempotency
		scope       balancer.DeduplicationScope
		window      time.Duration
		maxAttempts int
		awaited     bool
	}{
		{"idempotent", balancer.Idempotent, balancer.DeduplicatedByFleet, 0, 3, false},
		{"by key, long window", balancer.IdempotentByKey, balancer.DeduplicatedByCell, 5 * time.Second, 3, false},
		{"by key, short window", balancer.IdempotentByKey, balancer.DeduplicatedByCell, 300 * time.Millisecond, 3, true},
		{"by key, window just over", balancer.IdempotentByKey, balancer.DeduplicatedByZone, 760 * time.Millisecond, 3, false},
		{"by key, last attempt", balancer.IdempotentByKey, balancer.DeduplicatedByZone, 5 * time.Second, 1, true},
		{"by key everywhere, last attempt", balancer.IdempotentByKey, balancer.DeduplicatedByFleet, 5 * time.Second, 1, false},
	} {
		settings := harnessSettings()
		settings.MaxAttempts = c.maxAttempts
		settings.Classes = append(settings.Classes, balancer.Class{
			Name:                "c",
			PriorityWeight:      12,
			LatencyObjective:    1500 * time.Millisecond,
			Deadline:            2 * time.Second,
			Idempotency:         c.idempotency,
			DeduplicationScope:  c.scope,
			DeduplicationWindow: c.window,
		})
		h := newHarness(settings, 3)
		h.run(3*time.Second, 100, "ordinary")
		h.run(time.Second, 0, "ordinary")
		h.resetCounts()
		h.respond = firstThen(slow, balancer.OK)
		h.run(step, 200, "c")
		h.run(2*time.Second, 0, "c")
		retried := h.totalSent() > 1
		if c.awaited && (retried || h.failed+h.rejected > 0) || !c.awaited && !retried && h.rejected == 0 || h.failed > 0 {
			t.Errorf("%s: sent again %v, %d failed, %d rejected", c.name, retried, h.failed, h.rejected)
		}
	}
}
