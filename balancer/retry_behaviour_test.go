package balancer_test

import (
	"testing"
	"time"

	"bankshift/balancer"
)

// A request that is not idempotent, at a silent endpoint, is failed at its deadline: never sent again and never rejected.
func TestNonIdempotentTimeoutFails(t *testing.T) {
	h := newHarness(harnessSettings(), 3)
	h.respond = func(balancer.EndpointID) (time.Duration, balancer.Outcome) { return time.Hour, balancer.TimedOut }
	h.run(step, 200, "once")
	h.run(3*time.Second, 0, "once")
	if n := h.totalSent(); n != 1 || h.failed != 1 || h.rejected != 0 {
		t.Errorf("%d sends, %d failed, %d rejected; want 1, 1, 0", n, h.failed, h.rejected)
	}
}

// Retries by idempotency, after outcomes that prove nothing and after those that prove that the request never ran.
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
			t.Errorf("%s after outcome %v: %d sends, %d failed", c.class, c.outcome, n, h.failed)
		}
	}
}

// firstThen gives the first attempt this latency and outcome; those after it are served in 50 ms.
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

// An attempt that takes much longer than usual is given up for another. If there can be no other, because of the
// deduplication window or the number of attempts, and no rejection either after which the client could try again, then
// giving up is a plain loss.
func TestSlowResponseIsAwaitedIfNoRetryIsPossible(t *testing.T) {
	const slow = 900 * time.Millisecond // within every deadline and objective
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
