package hollow

import (
	"time"

	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

const (
	retryBudget            = 0.1  // retries allowed for each arriving try, as in package balancer
	nodeListBytesPerSecond = 3000 // bound for each node in the operators' plan
)

// second counts what happened in one second of the traffic.
type second struct {
	tries              int
	attempts           int
	retries            int // attempts whose predecessor may have been executed
	handshakes         int
	sendsToUnavailable int // requests to servers that are down, disconnected or behind a partition, or that reset them
	ejections          int
	deadlineResponses  int // responses by the node because the balancer had not decided in time

	polls     int
	snapshots int
	listBytes int

	warmupLoad float64 // highest load so far of a server that warms up, as a fraction of the load that it survives
}

// measurement holds what a run measures for its result.
type measurement struct {
	report            *result.Run
	seconds           []second
	outsideTraffic    second // before and after the traffic
	windows           []result.Window
	latency           []result.Histogram // of served requests, by class
	addedLatency      result.Histogram
	propagationDelays result.Histogram
	nodeBytes         []int64 // list traffic in bytes, by node
	quotas            *setup.Quotas
	eventLog          []string
	violations        int
	heapWithoutNodes  int64 // bytes, before the nodes are created

	// The time that the balancers took, on the wall clock, and the number of events that they handled.
	balancerTime   time.Duration
	balancerEvents int

	atWarmupEnd counters
}

// counters are totals since the start of the run. The result contains their increase from the end of the warm-up
// to the end of the traffic.
type counters struct {
	versions       int           // of the list
	work           time.Duration // done by all servers
	wasted         time.Duration // part of work whose result no client got
	balancerTime   time.Duration
	balancerEvents int
}

func newMeasurement(s *scenario.Scenario) measurement {
	seconds := int((s.Length.Std() + time.Second - 1) / time.Second)
	x := measurement{
		report:            result.New(s, result.Hollow),
		seconds:           make([]second, seconds),
		windows:           make([]result.Window, seconds),
		addedLatency:      result.NewHistogram(),
		propagationDelays: result.NewHistogram(),
		nodeBytes:         make([]int64, s.Fleet.Nodes),
		quotas:            setup.NewQuotas(s.Traffic.Tenants, s.Traffic.Quota),
	}
	for range s.Classes {
		x.latency = append(x.latency, result.NewHistogram())
	}
	return x
}

// currentSecond returns the counts of the present second of the traffic, or outsideTraffic.
func (m *sim) currentSecond() *second {
	if i := int((m.now - m.trafficStart) / time.Second); m.now >= m.trafficStart && i < len(m.seconds) {
		return &m.seconds[i]
	}
	return &m.outsideTraffic
}

// isMeasured reports whether a time is after the warm-up and before the end of the traffic.
func (m *sim) isMeasured(at time.Duration) bool {
	return at >= m.trafficStart+m.scenario.Warmup.Std() && at < m.trafficStart+m.scenario.Length.Std()
}

func (m *sim) countListBytes(n *hollowNode, bytes int) {
	m.currentSecond().listBytes += bytes
	if m.isMeasured(m.now) {
		m.nodeBytes[n.index] += int64(bytes)
	}
}

// windowOf returns the window of the second in which a client's first try was due.
func (m *sim) windowOf(c *client) *result.Window {
	return &m.windows[int(c.arrival.At/time.Second)]
}

// tally returns the tally that counts a client's request.
func (m *sim) tally(c *client) setup.Tally {
	return setup.NewTally(m.windowOf(c), &m.report.Requests, c.measured)
}

// recordOffered counts a request when its first try is due, and takes a token of its tenant's quota.
func (m *sim) recordOffered(c *client) {
	if tenant := c.arrival.Tenant; tenant >= 0 {
		c.withinQuota = m.quotas.Take(tenant, m.now)
	}
	m.tally(c).CountOffered(c.class.Class, c.withinQuota)
}

// recordFinal counts a request by its final outcome.
func (m *sim) recordFinal(c *client, outcome tryOutcome) {
	tally := m.tally(c)
	switch outcome {
	case tryServed:
		latency := m.now - c.sentAt
		tally.CountServed(c.class.Class, latency, c.withinQuota)
		if c.measured {
			m.latency[c.arrival.Class].Add(latency)
		}
	case tryRejected:
		tally.CountRejected()
	default:
		tally.CountFailed()
	}
}

// recordAddedLatency measures the latency that the node added to a served try: the time at the node, less the
// network delays to and from the server and the time at the server.
func (m *sim) recordAddedLatency(a *attempt) {
	if a.request.client.measured {
		network := (a.arrivedAt - a.writtenAt) + (m.now - a.repliedAt)
		m.addedLatency.Add(m.now - a.request.arrivedAt - network - (a.repliedAt - a.arrivedAt))
	}
}

// recordAttempt counts an attempt, also as a retry and as cross-zone or cross-region traffic.
func (m *sim) recordAttempt(a *attempt) {
	c := a.request.client
	m.currentSecond().attempts++
	m.windowOf(c).Attempts++
	if a.number > 0 && a.request.attempts[a.number-1].mayHaveRun() {
		m.currentSecond().retries++
	}
	if !c.measured {
		return
	}
	q := &m.report.Requests
	q.Attempts++
	if a.number > 0 {
		q.Retries++
	}
	b := a.node.pool.backends[a.endpoint]
	if b == nil || b.server.zone == a.node.zone {
		return
	}
	zones := m.scenario.Zones
	if zones[b.server.zone].Region == zones[a.node.zone].Region {
		q.CrossZone++
	} else {
		q.CrossRegion++
	}
}

// counters returns the present totals.
func (m *sim) counters() counters {
	c := counters{versions: len(m.versionTimes), balancerTime: m.balancerTime, balancerEvents: m.balancerEvents}
	for _, sv := range m.servers {
		stats := sv.model.Stats()
		c.work += stats.Work
		c.wasted += stats.Wasted
	}
	return c
}

// endWarmup saves the totals at the end of the warm-up.
func (m *sim) endWarmup() { m.atWarmupEnd = m.counters() }

// endTraffic reports the increase of the totals from the end of the warm-up to the end of the traffic.
func (m *sim) endTraffic() {
	from := m.atWarmupEnd
	to := m.counters()
	r := m.report
	r.ListTraffic.Changes = to.versions - from.versions
	if work := to.work - from.work; work > 0 {
		r.Requests.Wasted = float64(to.wasted-from.wasted) / float64(work)
	}
	spent := (to.balancerTime - from.balancerTime).Seconds()
	r.Cost.NodeCPU = spent / r.Seconds / float64(len(m.nodes))
	r.Cost.EventTime = spent / float64(max(1, to.balancerEvents-from.balancerEvents))
}

func (m *sim) reportLatency() {
	all := result.NewHistogram()
	for i, h := range m.latency {
		m.report.Latency[m.classes[i].Name] = h.Latency()
		all.Merge(h)
	}
	m.report.Latency["all"] = all.Latency()
	m.report.AddedLatency = m.addedLatency.Latency()
}

// reportListTraffic adds the list traffic to the report.
func (m *sim) reportListTraffic() {
	traffic := &m.report.ListTraffic
	for _, bytes := range m.nodeBytes {
		traffic.Bytes += bytes
		traffic.WorstRate = max(traffic.WorstRate, float64(bytes)/m.report.Seconds)
	}
	traffic.NodeRate = float64(traffic.Bytes) / m.report.Seconds / float64(m.report.Nodes)
	traffic.PropagationDelay = m.propagationDelays.Latency()
}

// reportPeaks finds the worst second after the warm-up for each quantity, and adds up the polls and snapshots.
func (m *sim) reportPeaks() {
	peaks := map[string]result.Peak{}
	for i, s := range m.seconds {
		at := time.Duration(i) * time.Second
		if at < m.scenario.Warmup.Std() {
			continue
		}
		traffic := &m.report.ListTraffic
		traffic.Calls += s.polls
		traffic.Snapshots += s.snapshots
		traffic.WorstSecond = max(traffic.WorstSecond, int64(s.listBytes))
		for _, q := range s.quantities(m.scenario.Fleet.Nodes) {
			peak := peaks[q.name]
			peak.Observe(q.value, q.bound, at)
			peaks[q.name] = peak
		}
	}
	m.report.Peaks = peaks
}

// quantity is a figure of the whole fleet for one second, with its bound; a bound of 0 means none.
type quantity struct {
	name  string // key in the JSON result
	value float64
	bound float64
}

func (s second) quantities(nodes int) []quantity {
	return []quantity{
		{"further_attempts", float64(s.retries), retryBudget * float64(s.tries)},
		{"handshakes", float64(s.handshakes), 0},
		{"sends_to_absent", float64(s.sendsToUnavailable), 0},
		{"suspects", float64(s.ejections), 0},
		{"guard_answers", float64(s.deadlineResponses), 0},
		{"list_calls", float64(s.polls), 0},
		{"list_bytes", float64(s.listBytes), nodeListBytesPerSecond * float64(nodes)},
		{"whole_lists", float64(s.snapshots), 0},
		{"cold_push", s.warmupLoad, 1},
	}
}
