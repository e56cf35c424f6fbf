package loadreport

import (
	"testing"
	"time"

	"bankshift/balancer"
)

// TestSetField guards against a value name that sets the wrong field, and against an
// unknown name that sets any.
func TestSetField(t *testing.T) {
	for _, c := range []struct {
		names []string
		want  balancer.LoadReport
	}{
		{[]string{"active", "inflight"}, balancer.LoadReport{InFlight: 1.5, HasInFlight: true}},
		{[]string{"waiting", "queue"}, balancer.LoadReport{Queued: 1.5, HasQueued: true}},
		{[]string{"cpu", "util"}, balancer.LoadReport{Utilization: 1.5}},
		{[]string{"avg_ms", "latency_ms"}, balancer.LoadReport{ServiceTime: 1500 * time.Microsecond}},
		{[]string{"rps", "qps"}, balancer.LoadReport{Rate: 1.5}},
		{[]string{"err_rps", "eps"}, balancer.LoadReport{ErrorRate: 1.5}},
	} {
		for _, name := range c.names {
			var got balancer.LoadReport
			if !SetField(&got, name, 1.5) || got != c.want {
				t.Errorf("%s: %+v, want %+v", name, got, c.want)
			}
		}
	}
	var got balancer.LoadReport
	if SetField(&got, "unheard_of", 1.5) || got != (balancer.LoadReport{}) {
		t.Errorf("an unknown name sets %+v", got)
	}
}
