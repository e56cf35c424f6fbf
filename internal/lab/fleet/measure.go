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
const controlBytes = 3000

// snapshot is what has been counted by a time.
type snapshot struct {
	lists        []emulator.RegistryStats // by node
	cpu          time.Duration            // of all nodes
	work, wasted time.Duration
	falls        int
	versions     int
}

// measure is what a run keeps for its result.
type measure struct {
	m         *run
	r         *result.Run
	from, to  snapshot // of the measured time
	perSecond []int64  // list bytes of all nodes
	memory    int64

	mu      sync.Mutex
	latency map[string]result.Histogram
	added   result.Histogram
	tries   []int // by request
	classes []int
	inside  []bool
}

func newMeasure(m *run) *measure {
	x := &measure{m: m, r: result.New(m.s, result.Real), latency: map[string]result.Histogram{"all": result.NewHistogram()},
		added: result.NewHistogram()}
	for _, c := range m.s.Classes {
		x.latency[c.Name] = result.NewHistogram()
	}
	x.r.Windows = make([]result.Window, int((m.s.Length.Std()+time.Second-1)/time.Second))
	return x
}

// stream draws the requests.
func (m *run) stream(x *measure) []load.Request {
	var out []load.Request
	effects := map[string]load.Effect{"safe": load.Safe, "keyed": load.Keyed, "unsafe": load.Unsafe}
	type bucket struct {
		tokens float64
		at     time.Duration
	}
	quota := m.s.Traffic.Quota
	shares := map[int]bucket{}
	for a := range arrivals.All(m.s) {
		c := m.s.Classes[a.Class]
		r := load.Request{At: a.At, Node: a.Node, ID: fmt.Sprintf("%016x", a.Number), Class: c.Name, Effect: effects[c.Effect],
			Subject: strconv.Itoa(a.Key), Deadline: c.Deadline.Std(), Repeat: c.Effect == "safe" || c.Effect == "keyed" && c.Scope == "all",
			Header: [][2]string{{emulator.WorkHeader, strconv.FormatInt(max(1, a.Work.Microseconds()), 10)}}}
		if c.Effect == "keyed" {
			r.Key = fmt.Sprintf("%032x", a.Number)
			r.Header = append(r.Header, [2]string{emulator.ScopeHeader, c.Scope},
				[2]string{emulator.WindowHeader, strconv.FormatInt(c.Window.Std().Milliseconds(), 10)})
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
		x.inside = append(x.inside, inside)
		x.classes = append(x.classes, a.Class)
	}
	x.tries = make([]int, len(out))
	return out
}

// snap reads all counts.
func (x *measure) snap() snapshot {
	m := x.m
	var s snapshot
	for i := range m.s.Fleet.Nodes {
		s.lists = append(s.lists, m.registry.NodeStats(i))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		for _, p := range n.processes {
			u, err := p.Use()
			if err != nil { // it has just ended
				u, _ = p.Use()
			}
			s.cpu += u.CPU
			x.memory = max(x.memory, u.Memory)
		}
	}
	for _, sv := range m.servers {
		st := sv.at.Stats()
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
func (x *measure) sample(ctx context.Context) {
	warm, length := x.m.s.Warm.Std(), x.m.s.Length.Std()
	wait := func(t time.Duration) bool { return x.m.sleep(time.Until(x.m.t0.Add(t))) == nil }
	x.m.at(0, func() { x.m.watch(length) })
	if !wait(warm) {
		return
	}
	x.from = x.snap()
	last := x.from.bytes()
	for t := warm + time.Second; t < length; t += time.Second {
		if !wait(t) {
			return
		}
		now := snapshot{}
		for i := range x.m.s.Fleet.Nodes {
			now.lists = append(now.lists, x.m.registry.NodeStats(i))
		}
		b := now.bytes()
		x.perSecond = append(x.perSecond, b-last)
		last = b
	}
	if wait(length) {
		x.to = x.snap()
		x.perSecond = append(x.perSecond, x.to.bytes()-last)
	}
}

// done counts how a request ended.
func (x *measure) done(i int, r *load.Request, o load.Outcome) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c := x.m.s.Classes[x.classes[i]]
	x.tries[i] = o.Tries
	w, q := &x.r.Windows[min(int(r.At/time.Second), len(x.r.Windows)-1)], &x.r.Requests
	counts := r.At >= x.m.s.Warm.Std()
	if !counts {
		q = new(result.Requests)
	}
	w.Offered++
	w.Worth += c.Worth
	q.Offered++
	q.Worth += c.Worth
	q.Tries += o.Tries
	if x.inside[i] {
		q.InsideShares++
	}
	switch o.Ending {
	case load.Served:
		worth := c.Worth
		if o.Latency <= c.Aim.Std() {
			q.InAim++
		} else {
			worth *= c.Late
		}
		w.Served++
		q.Served++
		w.ServedWorth += worth
		q.ServedWorth += worth
		if x.inside[i] {
			q.InsideServed++
		}
		if counts {
			x.latency["all"].Add(o.Latency)
			x.latency[c.Name].Add(o.Latency)
			if o.Added >= 0 {
				x.added.Add(o.Added)
			}
		}
	case load.Refused:
		w.Refused++
		q.Refused++
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
func (x *measure) attempts(stream []load.Request) (overlaps int) {
	m, q := x.m, &x.r.Requests
	zones := m.zones()
	for i := range stream {
		r := &stream[i]
		runs := 0
		home := m.nodes[r.Node].zone
		for try := range x.tries[i] {
			id, copies := load.TryID(r.ID, try), 0
			for _, z := range zones {
				seen, ok := m.ledgers[z].Request(id)
				if !ok {
					continue
				}
				runs, copies, overlaps = runs+seen.Executions, copies+seen.Copies, overlaps+seen.Overlaps
				if r.At < m.s.Warm.Std() || z == home {
					continue
				}
				if m.s.Region(z) == m.s.Region(home) {
					q.CrossZone += seen.Copies
				} else {
					q.CrossRegion += seen.Copies
				}
			}
			x.r.Windows[min(int(r.At/time.Second), len(x.r.Windows)-1)].Attempts += copies
			if r.At >= m.s.Warm.Std() {
				q.Attempts += copies
				q.Further += max(0, copies-1)
			}
			if most := m.s.Fleet.MaxAttempts; copies > most {
				m.broke("%s: %d attempts, %d are allowed", id, copies, most)
			}
		}
		if r.Effect == load.Unsafe && runs > 1 {
			m.broke("%s is unsafe and ran %d times", r.ID, runs)
		}
	}
	return overlaps
}

// result sums up.
func (x *measure) result(report *load.Report, stream []load.Request) *result.Run {
	m, r := x.m, x.r
	overlaps := x.attempts(stream)
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
		c.Lists += to.Snapshots - from.Snapshots
		c.WorstRate = max(c.WorstRate, float64(b)/r.Seconds)
	}
	c.NodeRate = float64(c.Bytes) / r.Seconds / float64(r.Nodes)
	c.Changes = x.to.versions - x.from.versions
	var lists result.Sum
	for i, b := range x.perSecond {
		c.WorstSecond = max(c.WorstSecond, b)
		lists.Take(float64(b), controlBytes*float64(r.Nodes), m.s.Warm.Std()+time.Duration(i)*time.Second)
	}
	r.Sums["list_bytes"] = lists
	r.Sums["overlapping_copies"] = result.Sum{Worst: float64(overlaps)} // over the run; a server may see a close late
	r.Falls = x.to.falls - x.from.falls
	if work := x.to.work - x.from.work; work > 0 {
		r.Requests.Wasted = float64(x.to.wasted-x.from.wasted) / float64(work)
	}
	r.Cost.NodeCPU = (x.to.cpu - x.from.cpu).Seconds() / r.Seconds / float64(r.Nodes)
	r.Cost.NodeMemory = x.memory
	if lost := r.Requests.Lost; lost > 0 && !slices.ContainsFunc(m.s.Events, func(e scenario.Event) bool { return e.Do == "kill-nodes" }) {
		m.broke("%d requests got no answer by their deadline, though no node was killed", lost)
	}
	r.Broken = slices.Concat(r.Broken, m.broken, report.Broken)
	r.Recover(m.s)
	r.Check(m.s.Holds)
	return r
}
