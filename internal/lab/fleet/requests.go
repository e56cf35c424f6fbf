package fleet

import (
	"fmt"
	"strconv"

	"bankshift/internal/lab/arrivals"
	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/load"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// loadIdempotency translates the scenario's kinds of idempotency for package
// load.
var loadIdempotency = map[scenario.Idempotency]load.Idempotency{
	scenario.Idempotent:      load.Idempotent,
	scenario.IdempotentByKey: load.IdempotentByKey,
	scenario.NotIdempotent:   load.NotIdempotent,
}

// drawRequests generates the scenario's requests from its seed, and adds a
// requestRecord for each to the measurement.
func (m *run) drawRequests(x *measurement) []load.Request {
	quotas := setup.NewQuotas(m.scenario.Traffic.Tenants, m.scenario.Traffic.Quota)
	var stream []load.Request
	for a := range arrivals.All(m.scenario) {
		stream = append(stream, m.request(a))
		withinQuota := a.Tenant >= 0 && quotas.Take(a.Tenant, a.At)
		x.requests = append(x.requests, requestRecord{class: a.Class, withinQuota: withinQuota})
	}
	return stream
}

// request converts an arrival into the request that package load sends.
func (m *run) request(a arrivals.Arrival) load.Request {
	class := m.scenario.Classes[a.Class]
	r := load.Request{
		At:             a.At,
		Node:           a.Node,
		ID:             fmt.Sprintf("%016x", a.Number),
		Class:          class.Name,
		Idempotency:    loadIdempotency[class.Idempotency],
		Subject:        strconv.Itoa(a.Key),
		Deadline:       class.Deadline.Std(),
		RetryOnFailure: class.RepeatableAnywhere(),
	}
	r.Headers = append(r.Headers, load.Header{Name: emulator.WorkHeader, Value: strconv.FormatInt(max(1, a.Work.Microseconds()), 10)})
	if class.Idempotency == scenario.IdempotentByKey {
		r.Key = fmt.Sprintf("%032x", a.Number)
		r.Headers = append(r.Headers,
			load.Header{Name: emulator.ScopeHeader, Value: class.KeyScope},
			load.Header{Name: emulator.WindowHeader, Value: strconv.FormatInt(class.KeyWindow.Std().Milliseconds(), 10)})
	}
	if a.Tenant >= 0 {
		r.Tenant = scenario.TenantName(a.Tenant)
	}
	return r
}
