package upstream

import (
	"math"
	"strconv"
	"strings"

	"bankshift/balancer"
	"bankshift/internal/loadreport"
)

// parseLoadReport parses the value of the load report header, a list like
// "inflight=7,queue=2". It returns nil if there is no valid report. Fields with
// unknown names are skipped. A report with any malformed field is ignored as a
// whole: its other fields are only a part of the counts, and would replace better ones.
func parseLoadReport(header string) *balancer.LoadReport {
	if header == "" {
		return nil
	}
	var report balancer.LoadReport
	anyKnown := false
	for field := range strings.SplitSeq(header, ",") {
		name, text, ok := strings.Cut(strings.TrimSpace(field), "=")
		if !ok {
			return nil
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return nil
		}
		if loadreport.SetField(&report, name, value) {
			anyKnown = true
		}
	}
	if !anyKnown {
		return nil
	}
	return &report
}
