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
	furtherPart   = 0.1  // further attempts for each arrival: the retry budget of package balancer
	nodeListBytes = 3000 // of list traffic a second, by the operators' plan
	mostBroken    = 20   // broken rules that are told one by one
	socketSlack   = 50 * time.Millisecond
	toldPart      = 2.0 / 3 // of what pushed a cold server over, from nodes told of its start, that breaks the rule
)

// second is what happened in one second of the traffic.
type second struct {
	tries, attempts, further, handshakes, absent, suspects, guarded int
	calls, whole, listBytes                                         int
	push                                                            float64
}

// measure is what a run keeps for its result.
type measure struct {
	r          *result.Run
	seconds    []second
	spare      second // of what is outside the traffic
	windows    []result.Window
	latency    []result.Histogram // by class
	added      result.Histogram
	toldTimes  result.Histogram
	nodeBytes  []int64
	shares     []bucket // of the tenants
	struck     []string
	broken     int
	changes    int           // versions at the warm-up's end
	worked     time.Duration // by servers, by then
	wasted     time.Duration
	heapBefore int64

	moduleTime   time.Duration
	moduleEvents int
	atWarm       struct {
		time   time.Duration
		events int
	}

	meanCost    time.Duration
	keys        map[string]*model.KeyStore
	generations int
}

// bucket is a tenant's share over the fleet: its quota, a second of it saved
// up at most, or one request.
type bucket struct {
	tokens float64
	at     time.Duration
}

func (x *measure) init(m *sim) {
	x.r = result.New(m.s, result.Hollow)
	n := int((m.s.Length.Std() + time.Second - 1) / time.Second)
	x.seconds, x.windows = make([]second, n), make([]result.Window, n)
	for range m.s.Classes {
		x.latency = append(x.latency, result.NewHistogram())
	}
	x.added, x.toldTimes = result.NewHistogram(), result.NewHistogram()
	x.nodeBytes = make([]int64, m.s.Fleet.Nodes)
	x.shares = make([]bucket, m.s.Traffic.Tenants)
	for i := range x.shares {
		x.shares[i].tokens = max(1, m.s.Traffic.Quota)
	}
}

// second is the one of the traffic that it is now.
func (m *sim) second() *second {
	if i := int((m.now - m.t0) / time.Second); m.now >= m.t0 && i < len(m.seconds) {
		return &m.seconds[i]
	}
	return &m.spare
}

// measured tells whether a time is after the warm-up and in the traffic.
func (m *sim) measured(t time.Duration) bool {
	return t >= m.t0+m.s.Warm.Std() && t < m.t0+m.s.Length.Std()
}

func (m *sim) listBytes(n *hnode, bytes int) {
	m.second().listBytes += bytes
	if m.measured(m.now) {
		m.nodeBytes[n.index] += int64(bytes)
	}
}

func (m *sim) window(c *client) *result.Window { return &m.windows[int(c.arrival.At/time.Second)] }

// offered counts a request as it is to be sent.
func (m *sim) offered(c *client) {
	w := m.window(c)
	w.Offered++
	w.Worth += c.class.Worth
	if t := c.arrival.Tenant; t >= 0 {
		b := &m.shares[t]
		b.tokens = min(max(1, m.s.Traffic.Quota), b.tokens+m.s.Traffic.Quota*(m.now-b.at).Seconds())
		b.at = m.now
		if c.inside = b.tokens >= 1; c.inside {
			b.tokens--
		}
	}
	if q := &m.r.Requests; c.counts {
		q.Offered++
		q.Worth += c.class.Worth
		if c.inside {
			q.InsideShares++
		}
	}
}

// final counts how a request ended.
func (m *sim) final(c *client, o outcome) {
	w, q := m.window(c), &m.r.Requests
	if !c.counts {
		q = new(result.Requests)
	}
	switch o {
	case served:
		worth, took := c.class.Worth, m.now-c.sent
		if took <= c.class.Aim.Std() {
			q.InAim++
		} else {
			worth *= c.class.Late
		}
		w.Served++
		q.Served++
		w.ServedWorth += worth
		q.ServedWorth += worth
		if c.inside {
			q.InsideServed++
		}
		if c.counts {
			m.latency[c.arrival.Class].Add(took)
		}
	case refused:
		w.Refused++
		q.Refused++
	default:
		w.Failed++
		q.Failed++
	}
}

// served takes what the node added to a try that has been served: its time
// there, less the way to the server, the server's work and the way back.
func (m *sim) served(a *attempt) {
	if a.r.client.counts {
		network := (a.arrived - a.wrote) + (m.now - a.replied)
		m.added.Add(m.now - a.r.arrived - network - (a.replied - a.arrived))
	}
}

// attempted counts a send.
func (m *sim) attempted(a *attempt) {
	c, sv := a.r.client, a.n.pool.backends[a.id]
	m.second().attempts++
	m.window(c).Attempts++
	if a.number > 0 && mayRun(a.r.attempts[a.number-1]) {
		m.second().further++
	}
	if !c.counts {
		return
	}
	q := &m.r.Requests
	q.Attempts++
	if a.number > 0 {
		q.Further++
	}
	if sv == nil || sv.server.zone == a.n.zone {
		return
	}
	if m.s.Zones[sv.server.zone].Region == m.s.Zones[a.n.zone].Region {
		q.CrossZone++
	} else {
		q.CrossRegion++
	}
}

// broke notes a rule that was broken.
func (m *sim) broke(format string, args ...any) {
	if m.broken++; m.broken <= mostBroken {
		m.r.Broken = append(m.r.Broken, fmt.Sprintf("%.3fs: ", (m.now-m.t0).Seconds())+fmt.Sprintf(format, args...))
	}
}

// mayRun: an attempt that is out, or has ended without proof that it never ran.
func mayRun(a *attempt) bool {
	return a.state != over || a.code != balancer.Rejected && a.code != balancer.ConnectFailed && a.code != balancer.NotSent
}

// judgeSend holds a send to the rules, given the request's earlier attempts.
func (m *sim) judgeSend(a *attempt, earlier []*attempt) {
	k, b := a.r.class, a.n.pool.backends[a.id]
	if a.r.done {
		m.broke("node %d: a send for %s, which has its answer", a.n.index, a.r.id)
	}
	if most := m.s.Fleet.MaxAttempts; len(earlier) >= most {
		m.broke("node %d: attempt %d of %s, %d are allowed", a.n.index, len(earlier)+1, a.r.id, most)
	}
	for _, e := range earlier {
		switch {
		case e.state != over && !m.s.Fleet.MayOverlap:
			m.broke("node %d: two attempts of %s are out", a.n.index, a.r.id)
		case !mayRun(e) || k.Effect == "safe":
		case k.Effect == "unsafe":
			m.broke("node %d: %s is unsafe, may have run, and is sent again", a.n.index, a.r.id)
		case b != nil && e.backend != nil && (k.Scope == "zone" && b.server.zone != e.backend.server.zone ||
			k.Scope == "cell" && b.server.Cell != e.backend.server.Cell):
			m.broke("node %d: %s may have run and leaves its %s", a.n.index, a.r.id, k.Scope)
		}
	}
}

// judgeWrite holds a request's first byte to the rules on time.
func (m *sim) judgeWrite(a *attempt, sv *server) {
	k := a.r.class
	for _, e := range a.r.attempts[:a.number] {
		if k.Effect == "keyed" && mayRun(e) && m.now > e.sent+k.Window.Std()+socketSlack {
			m.broke("node %d: %s goes out again %v after it may have run, its key is known for %v", a.n.index, a.r.id, m.now-e.sent, k.Window)
		}
	}
	if sv.left > 0 {
		if grace := m.s.Disco.DrainGrace.Std() + socketSlack; m.now > m.versions[sv.left]+grace && m.now > m.toldAt(a.n, sv.left)+grace {
			m.broke("node %d: %s goes to %s, told as %s %v ago", a.n.index, a.r.id, sv.Name, sv.entry.Status, m.now-m.toldAt(a.n, sv.left))
		}
	}
}

// judgeRefusal: a refusal promises that a new try does no harm.
func (m *sim) judgeRefusal(r *request) {
	if r.class.Effect == "safe" || r.class.Effect == "keyed" && r.class.Scope == "all" {
		return
	}
	for _, a := range r.attempts {
		if mayRun(a) {
			m.broke("%s may have run and is refused", r.id)
			return
		}
	}
}

// judgeAnswer: an answer comes in time.
func (m *sim) judgeAnswer(r *request) {
	if m.now > r.limit+slack {
		m.broke("%s is answered %v late", r.id, m.now-r.limit)
	}
}

// pushed takes what reaches a cold server, and judges one that fell over.
func (m *sim) pushed(sv *server, n *hnode) {
	if sv.started == 0 || m.now >= sv.since+m.s.Servers.ColdTime.Std() {
		return
	}
	from := 0
	for from < len(sv.pushes) && sv.pushes[from].at <= m.now-m.s.Servers.FallTime.Std() {
		from++
	}
	sv.pushes = append(sv.pushes[from:], push{m.now, m.now >= m.toldAt(n, sv.started)})
	st := sv.model.Stats()
	m.second().push = math.Max(m.second().push, st.WorstColdLoad)
	if st.Crashes == sv.falls {
		return
	}
	sv.falls = st.Crashes
	if m.measured(m.now) {
		m.r.Falls++
	}
	told := 0
	for _, p := range sv.pushes {
		if p.told {
			told++
		}
	}
	if float64(told) >= toldPart*float64(len(sv.pushes)) {
		m.broke("%s fell over %v after its start: %d of the last %d sends came from nodes that were told", sv.Name, m.now-sv.since, told, len(sv.pushes))
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
func (m *sim) warmed() {
	m.changes = len(m.versions)
	m.worked, m.wasted = m.work()
	m.atWarm.time, m.atWarm.events = m.moduleTime, m.moduleEvents
}

// trafficEnded ends what counts up to the end of the traffic.
func (m *sim) trafficEnded() {
	m.changes = len(m.versions) - m.changes
	done, wasted := m.work()
	if done -= m.worked; done > 0 {
		m.r.Requests.Wasted = float64(wasted-m.wasted) / float64(done)
	}
	events := m.moduleEvents - m.atWarm.events
	spent := (m.moduleTime - m.atWarm.time).Seconds()
	m.r.Cost.NodeCPU = spent / m.r.Seconds / float64(len(m.nodes))
	m.r.Cost.ModuleEvent = spent / float64(max(1, events))
}

// result sums up. Requests that have no answer by now are lost.
func (m *sim) result() *result.Run {
	r := m.r
	q := &r.Requests
	q.Lost = q.Offered - q.Served - q.Refused - q.Failed
	if m.clients > 0 {
		m.broke("%d requests got no answer", m.clients)
	}
	all := result.NewHistogram()
	for i, h := range m.latency {
		r.Latency[m.classes[i].Name] = h.Latency()
		all.Merge(h)
	}
	r.Latency["all"], r.Added = all.Latency(), m.added.Latency()
	r.Windows, r.Events = m.windows, append(r.Events, m.struck...)
	m.sums()
	for _, b := range m.nodeBytes {
		r.Control.Bytes += b
		r.Control.WorstRate = max(r.Control.WorstRate, float64(b)/r.Seconds)
	}
	r.Control.NodeRate = float64(r.Control.Bytes) / r.Seconds / float64(r.Nodes)
	r.Control.Changes, r.Control.Told = m.changes, m.toldTimes.Latency()
	if m.broken > mostBroken {
		r.Broken = append(r.Broken, fmt.Sprintf("and %d more", m.broken-mostBroken))
	}
	r.Recover(m.s)
	r.Check(m.s.Holds)
	return r
}

// sums finds the worst seconds after the warm-up.
func (m *sim) sums() {
	take := map[string]result.Sum{}
	for i, s := range m.seconds {
		at := time.Duration(i) * time.Second
		if at < m.s.Warm.Std() {
			continue
		}
		m.r.Control.Calls += s.calls
		m.r.Control.Lists += s.whole
		m.r.Control.WorstSecond = max(m.r.Control.WorstSecond, int64(s.listBytes))
		for _, v := range []struct {
			name         string
			worst, bound float64
		}{
			{"further_attempts", float64(s.further), furtherPart * float64(s.tries)},
			{"handshakes", float64(s.handshakes), 0},
			{"sends_to_absent", float64(s.absent), 0}, // servers that are down, lost or cut off
			{"suspects", float64(s.suspects), 0},      // notes of the modules that a server is one, or answers again
			{"guard_answers", float64(s.guarded), 0},  // that the module did not give in time
			{"list_calls", float64(s.calls), 0},
			{"list_bytes", float64(s.listBytes), nodeListBytes * float64(m.s.Fleet.Nodes)},
			{"whole_lists", float64(s.whole), 0},
			{"cold_push", s.push, 1}, // of what a cold server stands, the worst one so far
		} {
			sum := take[v.name]
			sum.Take(v.worst, v.bound, at)
			take[v.name] = sum
		}
	}
	m.r.Sums = take
}
