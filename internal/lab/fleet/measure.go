package fleet

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"sync"
	"time"

	"bankshift/internal/lab/arrivals"
	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/load"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// controlBytes is what a node may use for control, in bytes a second, by the
// operators' plan.
const controlBytesPerSecond = 3000

// snapshot is what has been counted by a time.
type snapshot struct {
	lists        []emulator.RegistryStats // by node
	cpu          time.Duration            // of all nodes
	work, wasted time.Duration
	falls        int
	versions     int
}

// measure is what a run keeps for its result.
type measurement struct {
	run       *run
	result    *result.Run
	from, to  snapshot // of the measured time
	perSecond []int64  // list bytes of all nodes
	memory    int64

	mu          sync.Mutex
	latency     map[string]result.Histogram
	added       result.Histogram
	tries       []int // by request
	classes     []int
	withinQuota []bool
}

func newMeasure(m *run) *measurement {
	x := &measurement{run: m, result: result.New(m.scenario, result.Real), latency: map[string]result.Histogram{"all": result.NewHistogram()},
		added: result.NewHistogram()}
	for _, c := range m.scenario.Classes {
		x.latency[c.Name] = result.NewHistogram()
	}
	x.result.Windows = make([]result.Window, int((m.scenario.Length.Std()+time.Second-1)/time.Second))
	return x
}

// stream draws the requests.
func (m *run) drawRequests(x *measurement) []load.Request {
	var out []load.Request
	effects := map[string]load.Idempotency{"safe": load.Idempotent, "keyed": load.IdempotentByKey, "unsafe": load.NotIdempotent}
	type bucket struct {
		tokens float64
		at     time.Duration
	}
	quota := m.scenario.Traffic.Quota
	shares := map[int]bucket{}
	for a := range arrivals.All(m.scenario) {
		c := m.scenario.Classes[a.Class]
		r := load.Request{At: a.At, Node: a.Node, ID: fmt.Sprintf("%016x", a.Number), Class: c.Name, Idempotency: effects[c.Idempotency],
			Subject: strconv.Itoa(a.Key), Deadline: c.Deadline.Std(), RetryOnFailure: c.Idempotency == "safe" || c.Idempotency == "keyed" && c.KeyScope == "all",
			Header: [][2]string{{emulator.WorkHeader, strconv.FormatInt(max(1, a.Work.Microseconds()), 10)}}}
		if c.Idempotency == "keyed" {
			r.Key = fmt.Sprintf("%032x", a.Number)
			r.Header = append(r.Header, [2]string{emulator.ScopeHeader, c.KeyScope},
				[2]string{emulator.WindowHeader, strconv.FormatInt(c.KeyWindow.Std().Milliseconds(), 10)})
		}
		inside := false
		if a.Tenant >= 0 {
			// A tenant's share over the fleet: its quota, a second of it saved up at most, or one request.
			r.Tenant = scenario.TenantName(a.Tenant)
			b, ok := shares[a.Tenant]
			if !ok {
				b.tokens = max(1, quota)
			}
			b.tokens, b.at = min(max(1, quota), b.tokens+quota*(a.At-b.at).Seconds()), a.At
			if inside = b.tokens >= 1; inside {
				b.tokens--
			}
			shares[a.Tenant] = b
		}
		out = append(out, r)
		x.withinQuota = append(x.withinQuota, inside)
		x.classes = append(x.classes, a.Class)
	}
	x.tries = make([]int, len(out))
	return out
}

// snap reads all counts.
func (x *measurement) takeSnapshot() snapshot {
	m := x.run
	var s snapshot
	for i := range m.scenario.Fleet.Nodes {
		s.lists = append(s.lists, m.registry.NodeStats(i))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		for _, p := range n.processes {
			u, err := p.Usage()
			if err != nil { // it has just ended
				u, _ = p.Usage()
			}
			s.cpu += u.CPU
			x.memory = max(x.memory, u.Memory)
		}
	}
	for _, sv := range m.servers {
		st := sv.process.Stats()
		s.work, s.wasted, s.falls = s.work+st.Work, s.wasted+st.Wasted, s.falls+st.Crashes
	}
	s.versions = m.versions
	return s
}

func (s snapshot) bytes() (sum int64) {
	for _, l := range s.lists {
		sum += l.BytesIn + l.BytesOut
	}
	return sum
}

// sample takes the counts at the warm-up's end, at each second, and at the end.
func (x *measurement) sample(ctx context.Context) {
	warm, length := x.run.scenario.Warmup.Std(), x.run.scenario.Length.Std()
	wait := func(t time.Duration) bool { return x.run.sleep(time.Until(x.run.trafficStart.Add(t))) == nil }
	x.run.schedule(0, func() { x.run.publishRestarts(length) })
	if !wait(warm) {
		return
	}
	x.from = x.takeSnapshot()
	last := x.from.bytes()
	for t := warm + time.Second; t < length; t += time.Second {
		if !wait(t) {
			return
		}
		now := snapshot{}
		for i := range x.run.scenario.Fleet.Nodes {
			now.lists = append(now.lists, x.run.registry.NodeStats(i))
		}
		b := now.bytes()
		x.perSecond = append(x.perSecond, b-last)
		last = b
	}
	if wait(length) {
		x.to = x.takeSnapshot()
		x.perSecond = append(x.perSecond, x.to.bytes()-last)
	}
}

// done counts how a request ended.
func (x *measurement) recordResult(i int, r *load.Request, o load.Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.run.scenario.Classes[x.classes[i]]
	x.tries[i] = o.Tries
	w, q := &x.result.Windows[min(int(r.At/time.Second), len(x.result.Windows)-1)], &x.result.Requests
	counts := r.At >= x.run.scenario.Warmup.Std()
	if !counts {
		q = new(result.Requests)
	}
	w.Offered++
	w.Weight += c.PriorityWeight
	q.Offered++
	q.Weight += c.PriorityWeight
	q.Tries += o.Tries
	if x.withinQuota[i] {
		q.WithinQuota++
	}
	switch o.Outcome {
	case load.Served:
		worth := c.PriorityWeight
		if o.Latency <= c.LatencyObjective.Std() {
			q.WithinObjective++
		} else {
			worth *= c.LateWeight
		}
		w.Served++
		q.Served++
		w.ServedWeight += worth
		q.ServedWeight += worth
		if x.withinQuota[i] {
			q.WithinQuotaServed++
		}
		if counts {
			x.latency["all"].Add(o.Latency)
			x.latency[c.Name].Add(o.Latency)
			if o.Added >= 0 {
				x.added.Add(o.Added)
			}
		}
	case load.Rejected:
		w.Rejected++
		q.Rejected++
	case load.Lost:
		w.Failed++
		q.Lost++
	default:
		w.Failed++
		q.Failed++
	}
}

// attempts reads from the servers' ledgers what reached them, and holds it to
// the rules: a request that must not run twice has not, whatever its tries.
func (x *measurement) recordAttempts(stream []load.Request) (overlaps int) {
	m, q := x.run, &x.result.Requests
	zones := m.zones()
	for i := range stream {
		r := &stream[i]
		runs := 0
		home := m.nodes[r.Node].zone
		for try := range x.tries[i] {
			id, copies := load.TryID(r.ID, try), 0
			for _, z := range zones {
				seen, ok := m.executionLogs[z].Request(id)
				if !ok {
					continue
				}
				runs, copies, overlaps = runs+seen.Executions, copies+seen.Copies, overlaps+seen.Overlaps
				if r.At < m.scenario.Warmup.Std() || z == home {
					continue
				}
				if m.scenario.Region(z) == m.scenario.Region(home) {
					q.CrossZone += seen.Copies
				} else {
					q.CrossRegion += seen.Copies
				}
			}
			x.result.Windows[min(int(r.At/time.Second), len(x.result.Windows)-1)].Attempts += copies
			if r.At >= m.scenario.Warmup.Std() {
				q.Attempts += copies
				q.Retries += max(0, copies-1)
			}
			if most := m.scenario.Fleet.MaxAttempts; copies > most {
				m.violation("%s: %d attempts, %d are allowed", id, copies, most)
			}
		}
		if r.Idempotency == load.NotIdempotent && runs > 1 {
			m.violation("%s is unsafe and ran %d times", r.ID, runs)
		}
	}
	return overlaps
}

// result sums up.
func (x *measurement) finish(report *load.Report, stream []load.Request) *result.Run {
	m, r := x.run, x.result
	overlaps := x.recordAttempts(stream)
	for name, h := range x.latency {
		r.Latency[name] = h.Latency()
	}
	r.Added, r.Events = x.added.Latency(), append(r.Events, m.events...)
	c := &r.Control
	for i, to := range x.to.lists {
		from := x.from.lists[i]
		b := to.BytesIn + to.BytesOut - from.BytesIn - from.BytesOut
		c.Bytes += b
		c.Calls += to.Calls - from.Calls
		c.Snapshots += to.Snapshots - from.Snapshots
		c.WorstRate = max(c.WorstRate, float64(b)/r.Seconds)
	}
	c.NodeRate = float64(c.Bytes) / r.Seconds / float64(r.Nodes)
	c.Changes = x.to.versions - x.from.versions
	var lists result.Peak
	for i, b := range x.perSecond {
		c.WorstSecond = max(c.WorstSecond, b)
		lists.Take(float64(b), controlBytesPerSecond*float64(r.Nodes), m.scenario.Warmup.Std()+time.Duration(i)*time.Second)
	}
	r.Peaks["list_bytes"] = lists
	r.Peaks["overlapping_copies"] = result.Peak{Worst: float64(overlaps)} // over the run; a server may see a close late
	r.Crashes = x.to.falls - x.from.falls
	if work := x.to.work - x.from.work; work > 0 {
		r.Requests.Wasted = float64(x.to.wasted-x.from.wasted) / float64(work)
	}
	r.Cost.NodeCPU = (x.to.cpu - x.from.cpu).Seconds() / r.Seconds / float64(r.Nodes)
	r.Cost.NodeMemory = x.memory
	if lost := r.Requests.Lost; lost > 0 && !slices.ContainsFunc(m.scenario.Events, func(e scenario.Event) bool { return e.Action == "kill-nodes" }) {
		m.violation("%d requests got no answer by their deadline, though no node was killed", lost)
	}
	r.Violations = slices.Concat(r.Violations, m.violations, report.Violations)
	r.FindRecovery(m.scenario)
	r.CheckBounds(m.scenario.Bounds)
	return r
}
