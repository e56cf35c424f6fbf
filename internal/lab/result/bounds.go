package result

import (
	"fmt"

	"bankshift/internal/lab/scenario"
)

// CheckBounds adds a violation for each of the scenario's bounds that the run does
// not meet.
func (r *Run) CheckBounds(b scenario.Bounds) {
	violation := func(format string, args ...any) {
		r.Violations = append(r.Violations, "holds: "+fmt.Sprintf(format, args...))
	}
	if served := ratio(r.Requests.ServedWeight, r.Requests.Weight); b.Served > 0 && served < b.Served {
		violation("%.4f of the worth is served, want %.4f", served, b.Served)
	}
	if a := ratio(float64(r.Requests.Attempts), float64(r.Requests.Offered)); b.Attempts > 0 && a > b.Attempts {
		violation("%.3f attempts a request, want at most %.3f", a, b.Attempts)
	}
	if p := r.Latency["all"].P99; b.P99 > 0 && p > b.P99.Seconds() {
		violation("the 99th percentile of latency is %.4f s, want at most %v", p, b.P99)
	}
	if b.ListRate > 0 && r.ListTraffic.NodeRate > b.ListRate {
		violation("a node's list traffic is %.0f bytes/s, want at most %.0f", r.ListTraffic.NodeRate, b.ListRate)
	}
	if b.WorstListRate > 0 && r.ListTraffic.WorstRate > b.WorstListRate {
		violation("the worst node's list traffic is %.0f bytes/s, want at most %.0f", r.ListTraffic.WorstRate, b.WorstListRate)
	}
	if b.Recovery > 0 && (r.Recovery < 0 || r.Recovery > b.Recovery.Seconds()) {
		violation("recovery took %.0f s (-1: longer than the run), want at most %v", r.Recovery, b.Recovery)
	}
	if b.Crashes != nil && r.Crashes > *b.Crashes {
		violation("%d cold servers fell over, want at most %d", r.Crashes, *b.Crashes)
	}
}
