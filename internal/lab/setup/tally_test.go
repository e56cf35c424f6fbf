package setup

import (
	"testing"
	"time"

	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// TestTally guards against requests that are added to the wrong counters: those of
// the warm-up must count in their second only, and late responses with a fraction
// of their weight.
func TestTally(t *testing.T) {
	class := scenario.Class{PriorityWeight: 4, LatencyObjective: scenario.Duration(time.Second), LateWeight: 0.25}
	for _, measured := range []bool{true, false} {
		var window result.Window
		var requests result.Requests
		tally := NewTally(&window, &requests, measured)
		for range 5 {
			tally.CountOffered(class, true)
		}
		tally.CountServed(class, time.Second, true)
		tally.CountServed(class, time.Second+1, false)
		tally.CountRejected()
		tally.CountFailed()
		tally.CountLost()
		wantWindow := result.Window{Offered: 5, Weight: 20, Served: 2, ServedWeight: 5, Rejected: 1, Failed: 2}
		if window != wantWindow {
			t.Errorf("measured %t: window %+v, want %+v", measured, window, wantWindow)
		}
		want := result.Requests{}
		if measured {
			want = result.Requests{Offered: 5, Weight: 20, WithinQuota: 5, Served: 2, ServedWeight: 5, WithinObjective: 1,
				WithinQuotaServed: 1, Rejected: 1, Failed: 1, Lost: 1}
		}
		if requests != want {
			t.Errorf("measured %t: requests %+v, want %+v", measured, requests, want)
		}
	}
}
