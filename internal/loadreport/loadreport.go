// Package loadreport maps the value names in load reports of endpoints and the
// simulator to the fields of balancer.LoadReport.
package loadreport

import (
	"time"

	"bankshift/balancer"
)

// SetField sets the field of report that has this name in the load reports of
// endpoints or the simulator. It returns whether the name is known.
func SetField(report *balancer.LoadReport, name string, value float64) bool {
	switch name {
	case "active", "inflight":
		report.InFlight = value
		report.HasInFlight = true
	case "waiting", "queue":
		report.Queued = value
		report.HasQueued = true
	case "cpu", "util":
		report.Utilization = value
	case "avg_ms", "latency_ms":
		report.ServiceTime = time.Duration(value * float64(time.Millisecond))
	case "rps", "qps":
		report.Rate = value
	case "err_rps", "eps":
		report.ErrorRate = value
	default:
		return false
	}
	return true
}
