package hollow

import (
	"fmt"
	"math"
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/result"
)

const (
	retryBudget            = 0.1  // further attempts for each arrival: the retry budget of package balancer
	nodeListBytesPerSecond = 3000 // of list traffic a second, by the operators' plan
	maxViolations          = 20   // broken rules that are told one by one
	socketSlack            = 50 * time.Millisecond
	notifiedFraction       = 2.0 / 3 // of what pushed a cold server over, from nodes told of its start, that breaks the rule
)

// second is what happened in one second of the traffic.
type second struct {
	tries, attempts, retries, handshakes, sendsToAbsent, ejections, deadlineAnswers int
	polls, snapshots, listBytes                                                     int
	coldLoad                                                                        float64
}

// measure is what a run keeps for its result.
type measurement struct {
	run_              *result.Run
	seconds           []second
	outsideTraffic    second // of what is outside the traffic
	windows           []result.Window
	latency           []result.Histogram // by class
	added             result.Histogram
	notificationTimes result.Histogram
	nodeBytes         []int64
	quotas            []quota // of the tenants
	eventLog          []string
	violations        int
	changes           int           // versions at the warm-up's end
	workAtWarm        time.Duration // by servers, by then
	wastedAtWarm      time.Duration
	heapBefore        int64

	balancerTime   time.Duration
	balancerEvents int
	atWarm         struct {
		time   time.Duration
		events int
	}

	meanCost   time.Duration
	keyStores  map[string]*model.KeyStore
	successors int
}

// bucket is a tenant's share over the fleet: its quota, a second of it saved
// up at most, or one request.
type quota struct {
	tokens float64
	at     time.Duration
}

func (x *measurement) init(m *sim) {
	x.run_ = result.New(m.scenario, result.Hollow)
	n := int((m.scenario.Length.Std() + time.Second - 1) / time.Second)
	x.seconds, x.windows = make([]second, n), make([]result.Window, n)
	for range m.scenario.Classes {
		x.latency = append(x.latency, result.NewHistogram())
	}
	x.added, x.notificationTimes = result.NewHistogram(), result.NewHistogram()
	x.nodeBytes = make([]int64, m.scenario.Fleet.Nodes)
	x.quotas = make([]quota, m.scenario.Traffic.Tenants)
	for i := range x.quotas {
		x.quotas[i].tokens = max(1, m.scenario.Traffic.Quota)
	}
}

// second is the one of the traffic that it is now.
func (m *sim) currentSecond() *second {
	if i := int((m.now - m.trafficStart) / time.Second); m.now >= m.trafficStart && i < len(m.seconds) {
		return &m.seconds[i]
	}
	return &m.outsideTraffic
}

// measured tells whether a time is after the warm-up and in the traffic.
func (m *sim) measured(t time.Duration) bool {
	return t >= m.trafficStart+m.scenario.Warmup.Std() && t < m.trafficStart+m.scenario.Length.Std()
}

func (m *sim) countListBytes(n *hollowNode, bytes int) {
	m.currentSecond().listBytes += bytes
	if m.measured(m.now) {
		m.nodeBytes[n.index] += int64(bytes)
	}
}

func (m *sim) window(c *client) *result.Window { return &m.windows[int(c.arrival.At/time.Second)] }

// offered counts a request as it is to be sent.
func (m *sim) recordOffered(c *client) {
	w := m.window(c)
	w.Offered++
	w.Weight += c.class.PriorityWeight
	if t := c.arrival.Tenant; t >= 0 {
		b := &m.quotas[t]
		b.tokens = min(max(1, m.scenario.Traffic.Quota), b.tokens+m.scenario.Traffic.Quota*(m.now-b.at).Seconds())
		b.at = m.now
		if c.withinQuota = b.tokens >= 1; c.withinQuota {
			b.tokens--
		}
	}
	if q := &m.run_.Requests; c.measured {
		q.Offered++
		q.Weight += c.class.PriorityWeight
		if c.withinQuota {
			q.WithinQuota++
		}
	}
}

// final counts how a request ended.
func (m *sim) recordFinal(c *client, o tryOutcome) {
	w, q := m.window(c), &m.run_.Requests
	if !c.measured {
		q = new(result.Requests)
	}
	switch o {
	case tryServed:
		worth, took := c.class.PriorityWeight, m.now-c.sentAt
		if took <= c.class.LatencyObjective.Std() {
			q.WithinObjective++
		} else {
			worth *= c.class.LateWeight
		}
		w.Served++
		q.Served++
		w.ServedWeight += worth
		q.ServedWeight += worth
		if c.withinQuota {
			q.WithinQuotaServed++
		}
		if c.measured {
			m.latency[c.arrival.Class].Add(took)
		}
	case tryRejected:
		w.Rejected++
		q.Rejected++
	default:
		w.Failed++
		q.Failed++
	}
}

// served takes what the node added to a try that has been served: its time
// there, less the way to the server, the server's work and the way back.
func (m *sim) recordAdded(a *attempt) {
	if a.request.client.measured {
		network := (a.arrivedAt - a.writtenAt) + (m.now - a.repliedAt)
		m.added.Add(m.now - a.request.arrived - network - (a.repliedAt - a.arrivedAt))
	}
}

// attempted counts a send.
func (m *sim) recordAttempt(a *attempt) {
	c, sv := a.request.client, a.node.pool.backends[a.endpoint]
	m.currentSecond().attempts++
	m.window(c).Attempts++
	if a.number > 0 && mayHaveRun(a.request.attempts[a.number-1]) {
		m.currentSecond().retries++
	}
	if !c.measured {
		return
	}
	q := &m.run_.Requests
	q.Attempts++
	if a.number > 0 {
		q.Retries++
	}
	if sv == nil || sv.server.zone == a.node.zone {
		return
	}
	if m.scenario.Zones[sv.server.zone].Region == m.scenario.Zones[a.node.zone].Region {
		q.CrossZone++
	} else {
		q.CrossRegion++
	}
}

// broke notes a rule that was broken.
func (m *sim) violation(format string, args ...any) {
	if m.violations++; m.violations <= maxViolations {
		m.run_.Violations = append(m.run_.Violations, fmt.Sprintf("%.3fs: ", (m.now-m.trafficStart).Seconds())+fmt.Sprintf(format, args...))
	}
}

// mayRun: an attempt that is out, or has ended without proof that it never ran.
func mayHaveRun(a *attempt) bool {
	return a.state != attemptOver || a.outcome != balancer.Rejected && a.outcome != balancer.ConnectFailed && a.outcome != balancer.NotSent
}

// judgeSend holds a send to the rules, given the request's earlier attempts.
func (m *sim) checkSend(a *attempt, earlier []*attempt) {
	k, b := a.request.class, a.node.pool.backends[a.endpoint]
	if a.request.answered {
		m.violation("node %d: a send for %s, which has its answer", a.node.index, a.request.id)
	}
	if most := m.scenario.Fleet.MaxAttempts; len(earlier) >= most {
		m.violation("node %d: attempt %d of %s, %d are allowed", a.node.index, len(earlier)+1, a.request.id, most)
	}
	for _, e := range earlier {
		switch {
		case e.state != attemptOver && !m.scenario.Fleet.HedgingAllowed:
			m.violation("node %d: two attempts of %s are out", a.node.index, a.request.id)
		case !mayHaveRun(e) || k.Idempotency == "safe":
		case k.Idempotency == "unsafe":
			m.violation("node %d: %s is unsafe, may have run, and is sent again", a.node.index, a.request.id)
		case b != nil && e.backend != nil && (k.KeyScope == "zone" && b.server.zone != e.backend.server.zone ||
			k.KeyScope == "cell" && b.server.Cell != e.backend.server.Cell):
			m.violation("node %d: %s may have run and leaves its %s", a.node.index, a.request.id, k.KeyScope)
		}
	}
}

// judgeWrite holds a request's first byte to the rules on time.
func (m *sim) checkFirstByte(a *attempt, sv *server) {
	k := a.request.class
	for _, e := range a.request.attempts[:a.number] {
		if k.Idempotency == "keyed" && mayHaveRun(e) && m.now > e.sentAt+k.KeyWindow.Std()+socketSlack {
			m.violation("node %d: %s goes out again %v after it may have run, its key is known for %v", a.node.index, a.request.id, m.now-e.sentAt, k.KeyWindow)
		}
	}
	if sv.leftVersion > 0 {
		if grace := m.scenario.Discovery.DrainGrace.Std() + socketSlack; m.now > m.versionTimes[sv.leftVersion]+grace && m.now > m.notifiedAt(a.node, sv.leftVersion)+grace {
			m.violation("node %d: %s goes to %s, told as %s %v ago", a.node.index, a.request.id, sv.Name, sv.entry.Status, m.now-m.notifiedAt(a.node, sv.leftVersion))
		}
	}
}

// judgeRefusal: a refusal promises that a new try does no harm.
func (m *sim) checkRejection(r *request) {
	if r.class.Idempotency == "safe" || r.class.Idempotency == "keyed" && r.class.KeyScope == "all" {
		return
	}
	for _, a := range r.attempts {
		if mayHaveRun(a) {
			m.violation("%s may have run and is refused", r.id)
			return
		}
	}
}

// judgeAnswer: an answer comes in time.
func (m *sim) checkAnswerTime(r *request) {
	if m.now > r.clientDeadline+responseSlack {
		m.violation("%s is answered %v late", r.id, m.now-r.clientDeadline)
	}
}

// pushed takes what reaches a cold server, and judges one that fell over.
func (m *sim) checkColdLoad(sv *server, n *hollowNode) {
	if sv.startVersion == 0 || m.now >= sv.startedAt+m.scenario.Servers.WarmupTime.Std() {
		return
	}
	from := 0
	for from < len(sv.coldSends) && sv.coldSends[from].at <= m.now-m.scenario.Servers.CrashWindow.Std() {
		from++
	}
	sv.coldSends = append(sv.coldSends[from:], coldSend{m.now, m.now >= m.notifiedAt(n, sv.startVersion)})
	st := sv.model.Stats()
	m.currentSecond().coldLoad = math.Max(m.currentSecond().coldLoad, st.WorstColdLoad)
	if st.Crashes == sv.crashes {
		return
	}
	sv.crashes = st.Crashes
	if m.measured(m.now) {
		m.run_.Crashes++
	}
	told := 0
	for _, p := range sv.coldSends {
		if p.notified {
			told++
		}
	}
	if float64(told) >= notifiedFraction*float64(len(sv.coldSends)) {
		m.violation("%s fell over %v after its start: %d of the last %d sends came from nodes that were told", sv.Name, m.now-sv.startedAt, told, len(sv.coldSends))
	}
}

// work sums what all servers have done.
func (m *sim) work() (done, wasted time.Duration) {
	for _, sv := range m.servers {
		st := sv.model.Stats()
		done, wasted = done+st.Work, wasted+st.Wasted
	}
	return done, wasted
}

// warmed begins what counts from the end of the warm-up.
func (m *sim) endWarmup() {
	m.changes = len(m.versionTimes)
	m.workAtWarm, m.wastedAtWarm = m.work()
	m.atWarm.time, m.atWarm.events = m.balancerTime, m.balancerEvents
}

// trafficEnded ends what counts up to the end of the traffic.
func (m *sim) endTraffic() {
	m.changes = len(m.versionTimes) - m.changes
	done, wasted := m.work()
	if done -= m.workAtWarm; done > 0 {
		m.run_.Requests.Wasted = float64(wasted-m.wastedAtWarm) / float64(done)
	}
	events := m.balancerEvents - m.atWarm.events
	spent := (m.balancerTime - m.atWarm.time).Seconds()
	m.run_.Cost.NodeCPU = spent / m.run_.Seconds / float64(len(m.nodes))
	m.run_.Cost.EventTime = spent / float64(max(1, events))
}

// result sums up. Requests that have no answer by now are lost.
func (m *sim) result() *result.Run {
	r := m.run_
	q := &r.Requests
	q.Lost = q.Offered - q.Served - q.Rejected - q.Failed
	if m.openClients > 0 {
		m.violation("%d requests got no answer", m.openClients)
	}
	all := result.NewHistogram()
	for i, h := range m.latency {
		r.Latency[m.classes[i].Name] = h.Latency()
		all.Merge(h)
	}
	r.Latency["all"], r.Added = all.Latency(), m.added.Latency()
	r.Windows, r.Events = m.windows, append(r.Events, m.eventLog...)
	m.findPeaks()
	for _, b := range m.nodeBytes {
		r.Control.Bytes += b
		r.Control.WorstRate = max(r.Control.WorstRate, float64(b)/r.Seconds)
	}
	r.Control.NodeRate = float64(r.Control.Bytes) / r.Seconds / float64(r.Nodes)
	r.Control.Changes, r.Control.Notification = m.changes, m.notificationTimes.Latency()
	if m.violations > maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf("and %d more", m.violations-maxViolations))
	}
	r.FindRecovery(m.scenario)
	r.CheckBounds(m.scenario.Bounds)
	return r
}

// sums finds the worst seconds after the warm-up.
func (m *sim) findPeaks() {
	take := map[string]result.Peak{}
	for i, s := range m.seconds {
		at := time.Duration(i) * time.Second
		if at < m.scenario.Warmup.Std() {
			continue
		}
		m.run_.Control.Calls += s.polls
		m.run_.Control.Snapshots += s.snapshots
		m.run_.Control.WorstSecond = max(m.run_.Control.WorstSecond, int64(s.listBytes))
		for _, v := range []struct {
			name         string
			worst, bound float64
		}{
			{"further_attempts", float64(s.retries), retryBudget * float64(s.tries)},
			{"handshakes", float64(s.handshakes), 0},
			{"sends_to_absent", float64(s.sendsToAbsent), 0}, // servers that are down, lost or cut off
			{"suspects", float64(s.ejections), 0},            // notes of the modules that a server is one, or answers again
			{"guard_answers", float64(s.deadlineAnswers), 0}, // that the module did not give in time
			{"list_calls", float64(s.polls), 0},
			{"list_bytes", float64(s.listBytes), nodeListBytesPerSecond * float64(m.scenario.Fleet.Nodes)},
			{"whole_lists", float64(s.snapshots), 0},
			{"cold_push", s.coldLoad, 1}, // of what a cold server stands, the worst one so far
		} {
			sum := take[v.name]
			sum.Take(v.worst, v.bound, at)
			take[v.name] = sum
		}
	}
	m.run_.Peaks = take
}
