package fleet

import "bankshift/internal/lab/load"

// recordAttempts counts the attempts from the servers' execution logs. It checks
// that no request that is not idempotent was executed more than once over all
// tries of its client, and returns how many copies overlapped.
func (x *measurement) recordAttempts(stream []load.Request) (overlaps int) {
	m := x.run
	zones := m.loggedZones()
	for i := range stream {
		r := &stream[i]
		executions := 0
		for try := range x.requests[i].tries {
			counts := x.recordTry(r, load.TryID(r.ID, try), zones)
			executions += counts.executions
			overlaps += counts.overlaps
		}
		if r.Idempotency == load.NotIdempotent && executions > 1 {
			m.recordViolation("%s is unsafe and ran %d times", r.ID, executions)
		}
	}
	return overlaps
}

// tryCounts sums up what the servers recorded of one try; see
// emulator.RequestLog.
type tryCounts struct {
	copies     int
	executions int
	overlaps   int
}

// recordTry counts the attempts of one try, which id names, at the servers of the
// given zones, and checks their number against the scenario's limit.
func (x *measurement) recordTry(r *load.Request, id string, zones []string) tryCounts {
	m := x.run
	var counts tryCounts
	for _, zone := range zones {
		seen, ok := m.executionLogs[zone].Request(id)
		if !ok {
			continue
		}
		counts.copies += seen.Copies
		counts.executions += seen.Executions
		counts.overlaps += seen.Overlaps
		if x.isMeasured(r) {
			x.recordCrossings(m.nodes[r.Node].zone, zone, seen.Copies)
		}
	}
	x.windowOf(r).Attempts += counts.copies
	if x.isMeasured(r) {
		q := &x.result.Requests
		q.Attempts += counts.copies
		q.Retries += max(0, counts.copies-1)
	}
	if limit := m.scenario.Fleet.MaxAttempts; counts.copies > limit {
		m.recordViolation("%s: %d attempts, %d are allowed", id, counts.copies, limit)
	}
	return counts
}

// recordCrossings counts copies that were sent to another zone or region.
func (x *measurement) recordCrossings(from, to string, copies int) {
	q := &x.result.Requests
	switch {
	case from == to:
	case x.run.scenario.Region(from) == x.run.scenario.Region(to):
		q.CrossZone += copies
	default:
		q.CrossRegion += copies
	}
}

// loggedZones returns the names of the zones that have servers, and so an
// execution log, in the scenario's order.
func (m *run) loggedZones() []string {
	var zones []string
	for _, z := range m.scenario.Zones {
		if m.executionLogs[z.Name] != nil {
			zones = append(zones, z.Name)
		}
	}
	return zones
}
