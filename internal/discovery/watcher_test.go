package discovery

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
)

// noJitter is a random source that leaves each wait as it is without jitter.
func noJitter() float64 { return 0.5 }

// TestWatcherPollsContinuously guards against a Watcher that polls for the wrong
// version, waits after a success or reports more than the first failure of an outage.
// The first poll is for the full list, and a long poll follows at once.
func TestWatcherPollsContinuously(t *testing.T) {
	w := NewWatcher(ScheduleFor(balancer.Settings{DrainGrace: time.Second}), noJitter)
	now := time.Hour
	poll, _, ok := w.Next(now)
	if !ok || !poll.Full || poll.Query() != "" || poll.Timeout <= 0 {
		t.Fatalf("first poll %+v, %v", poll, ok)
	}
	if _, at, ok := w.Next(now); ok || at != Never {
		t.Error("two polls at once")
	}
	if w.Succeeded(now, Poll{}, List{Version: 9}) || w.Failed(now, Poll{}) {
		t.Error("a poll that was never made counts")
	}
	if !w.Succeeded(now, poll, List{Version: 41}) {
		t.Error("the result does not count")
	}

	poll, _, ok = w.Next(now)
	if want := fmt.Sprintf("?from=41&hold_ms=%d", w.schedule.LongPollTimeout.Milliseconds()); !ok || poll.Query() != want {
		t.Errorf("second poll %+v, %v, want %s", poll, ok, want)
	}
	w.Succeeded(now, poll, List{Version: 41}) // was not held
	_, at, ok := w.Next(now)
	if ok || at != now+notHeldDelay {
		t.Errorf("after a long poll that was not held, the next poll is due after %v, %v, want 100ms, false", at-now, ok)
	}

	now = at
	poll, _, _ = w.Next(now)
	if !w.Failed(now, poll) {
		t.Error("the first failure is not reported")
	}
	if _, at, ok = w.Next(now); ok || at <= now {
		t.Error("the next poll does not wait after a failure")
	}
	now = at
	if poll, _, ok = w.Next(now); !ok || poll.FromVersion != 41 {
		t.Errorf("after a failure %+v, %v, want a poll from version 41", poll, ok)
	}
	if w.Failed(now, poll) {
		t.Error("the second failure of an outage is reported")
	}
}

// TestWatcherOnDemand guards against polls without a Request, and against results
// that count though Request has canceled their poll.
func TestWatcherOnDemand(t *testing.T) {
	w := NewWatcher(ScheduleFor(balancer.Settings{EndpointsOnDemand: true, DrainGrace: time.Second}), noJitter)
	now := time.Hour
	if _, at, ok := w.Next(now); ok || at != Never {
		t.Error("a poll is due without a Request")
	}
	w.Request(now, true, true)
	poll, _, _ := w.Next(now)
	if _, _, ok := w.Next(now); w.Request(now, false, true) || ok {
		t.Error("a poll in flight that brings what is wanted is canceled, or a second one is due")
	}
	if !w.Request(now, true, true) {
		t.Error("a poll whose result no longer counts is not canceled")
	}
	again, _, ok := w.Next(now)
	if w.Succeeded(now, poll, List{Version: 7}) || !ok || !again.Full {
		t.Errorf("the result of a canceled poll counts, or the new poll is %+v, %v", again, ok)
	}
	if !w.Succeeded(now, again, List{Version: 8}) {
		t.Error("the result does not count")
	}

	if poll, _, ok = w.Next(now); !ok || poll.FromVersion != 8 || !w.Failed(now, poll) {
		t.Errorf("long poll %+v, %v", poll, ok)
	}
	if _, at, ok := w.Next(now); ok || at != Never {
		t.Error("a poll is due after a failure without a new Request")
	}
	w.Request(now, false, true)
	if poll, _, ok = w.Next(now); !ok || poll.FromVersion != 8 || poll.isLong() {
		t.Errorf("after a new Request %+v, %v, want a short poll from version 8", poll, ok)
	}
	w.Succeeded(now, poll, List{Version: 8})
	if poll, _, ok = w.Next(now); !ok || !poll.isLong() {
		t.Errorf("after a success %+v, %v, want a long poll", poll, ok)
	}
	if !w.Request(now, false, false) {
		t.Error("the poll in flight is not canceled at the end of the subscription")
	}
	if _, _, ok = w.Next(now); ok {
		t.Error("a poll is due after the end of the subscription")
	}
}

// TestVersionZeroIsAVersion guards against requesting the full list again and again
// where the list has version 0. A list that has not changed yet may have that
// version and gets a long poll like any other.
func TestVersionZeroIsAVersion(t *testing.T) {
	for _, onDemand := range []bool{false, true} {
		w := NewWatcher(ScheduleFor(balancer.Settings{EndpointsOnDemand: onDemand, DrainGrace: time.Second}), noJitter)
		now := time.Hour
		w.Request(now, true, true)
		poll, _, ok := w.Next(now)
		if !ok || !poll.Full || !w.Succeeded(now, poll, List{Snapshot: true}) {
			t.Fatalf("on demand %v: no list: %+v, %v", onDemand, poll, ok)
		}
		if poll, _, ok = w.Next(now); !ok || !poll.isLong() || !strings.HasPrefix(poll.Query(), "?from=0&hold_ms=") {
			t.Errorf("on demand %v: after version 0 %+v, %v, want a long poll", onDemand, poll, ok)
		}
	}
}

// TestPollAfterARejectionIsLong guards against a short poll after a rejection and a
// long poll after any other failure. The poll after a rejection is held for a time
// that fits into 6 s, and the poll after its success for the usual time.
func TestPollAfterARejectionIsLong(t *testing.T) {
	schedule := ScheduleFor(balancer.Settings{EndpointsOnDemand: true, DrainGrace: time.Second})
	for _, rejected := range []bool{true, false} {
		w := NewWatcher(schedule, noJitter)
		now := time.Duration(0)
		w.Request(now, true, true)
		poll, _, _ := w.Next(now)
		w.Succeeded(now, poll, List{Version: 7, Snapshot: true})
		poll, _, _ = w.Next(now)
		if rejected {
			w.Rejected(now, poll)
		} else {
			w.Failed(now, poll)
		}
		w.Request(now, false, true) // as the balancer does after a failure
		poll, _, ok := w.Next(now)
		if !ok || poll.FromVersion != 7 || poll.isLong() != rejected {
			t.Errorf("rejected %v: the next poll is %+v", rejected, poll)
		}
		for _, at := range poll.RequestTimes()[1:] {
			if at > 6*time.Second-schedule.ShortPollTimeout {
				t.Errorf("rejected %v: a hedged request is sent after %v", rejected, at)
			}
		}
		now += poll.LongPollTimeout + time.Millisecond
		w.Succeeded(now, poll, List{Version: 7})
		if poll, _, ok = w.Next(now); !ok || poll.LongPollTimeout != schedule.LongPollTimeout {
			t.Errorf("rejected %v: the poll after its success is held %v, want %v", rejected, poll.LongPollTimeout, schedule.LongPollTimeout)
		}
	}
}
