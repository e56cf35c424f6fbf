package upstream

import (
	"strings"
	"testing"

	"bankshift/balancer"
)

// TestParseLoadReport guards against accepting a load report with a malformed field,
// and against rejecting one because of unknown field names.
func TestParseLoadReport(t *testing.T) {
	for header, want := range map[string]*balancer.LoadReport{
		"inflight=7,queue=2,util=0.5": {InFlight: 7, HasInFlight: true, Queued: 2, HasQueued: true, Utilization: 0.5},
		"queue=0":                     {HasQueued: true},
		"active=3, waiting=1":         {InFlight: 3, HasInFlight: true, Queued: 1, HasQueued: true},
		"inflight=1,new=5":            {InFlight: 1, HasInFlight: true},
		"":                            nil,
		"new=5":                       nil,
		"inflight":                    nil,
		"inflight=x":                  nil,
		"inflight=NaN":                nil,
		"inflight=-1":                 nil,
		"inflight=1e999":              nil,
		"inflight=7,queue=":           nil,
		strings.Repeat("=,", 1<<10):   nil,
	} {
		got := parseLoadReport(header)
		if (got == nil) != (want == nil) || got != nil && *got != *want {
			t.Errorf("%q: %+v, want %+v", header, got, want)
		}
	}
}
