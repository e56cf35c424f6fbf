package setup

import (
	"time"

	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// Tally holds the counters that a request is added to: those of the second in
// which its first try was to be sent, and the totals of the run after the warm-up.
type Tally struct {
	Window   *result.Window
	Requests *result.Requests
}

// NewTally returns the tally of a request. A request that is not measured, because
// it was to be sent during the warm-up, is added to the counters of its second only.
func NewTally(window *result.Window, requests *result.Requests, measured bool) Tally {
	if !measured {
		requests = new(result.Requests) // discarded
	}
	return Tally{Window: window, Requests: requests}
}

// CountOffered counts a request that a client was to send.
func (t Tally) CountOffered(class scenario.Class, withinQuota bool) {
	t.Window.Offered++
	t.Window.Weight += class.PriorityWeight
	t.Requests.Offered++
	t.Requests.Weight += class.PriorityWeight
	if withinQuota {
		t.Requests.WithinQuota++
	}
}

// CountServed counts a request that was served, with its latency over all tries.
// After the latency objective, a response has only the fraction LateWeight of the
// class's weight.
func (t Tally) CountServed(class scenario.Class, latency time.Duration, withinQuota bool) {
	weight := class.PriorityWeight
	if latency <= class.LatencyObjective.Std() {
		t.Requests.WithinObjective++
	} else {
		weight *= class.LateWeight
	}
	t.Window.Served++
	t.Requests.Served++
	t.Window.ServedWeight += weight
	t.Requests.ServedWeight += weight
	if withinQuota {
		t.Requests.WithinQuotaServed++
	}
}

// CountRejected counts a request whose last try was rejected.
func (t Tally) CountRejected() {
	t.Window.Rejected++
	t.Requests.Rejected++
}

// CountFailed counts a request that failed.
func (t Tally) CountFailed() {
	t.Window.Failed++
	t.Requests.Failed++
}

// CountLost counts a request whose client got no response. It counts as
// failed in its second.
func (t Tally) CountLost() {
	t.Window.Failed++
	t.Requests.Lost++
}
