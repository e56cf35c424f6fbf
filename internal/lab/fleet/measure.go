package fleet

import (
	"slices"
	"sync"
	"time"

	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/load"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// listBytesPerSecond is the list traffic that the operators' plan allows for
// each node.
const listBytesPerSecond = 3000

// measurement collects the data for the result of a run.
type measurement struct {
	run            *run
	result         *result.Run
	from           snapshot // at the end of the warm-up
	to             snapshot // at the end of the traffic
	bytesPerSecond []int64  // list traffic of all nodes in each second after the warm-up
	memory         int64    // in bytes: the largest peak memory of any node

	mu           sync.Mutex // guards the fields below, and result while requests are in progress
	requests     []requestRecord
	latency      map[string]result.Histogram // by class, and "all"
	addedLatency result.Histogram
}

// requestRecord holds the data of a request that load.Request does not contain.
type requestRecord struct {
	class       int // index in the scenario's classes
	withinQuota bool
	tries       int // by its client; set when the request has ended
}

// snapshot holds the totals of a run at one time.
type snapshot struct {
	lists        []emulator.RegistryStats // by node
	cpu          time.Duration            // of all nodes
	work         time.Duration            // of all servers
	wasted       time.Duration
	crashes      int
	listVersions int
}

func newMeasurement(m *run) *measurement {
	x := &measurement{
		run:          m,
		result:       result.New(m.scenario, result.Real),
		latency:      map[string]result.Histogram{"all": result.NewHistogram()},
		addedLatency: result.NewHistogram(),
	}
	for _, c := range m.scenario.Classes {
		x.latency[c.Name] = result.NewHistogram()
	}
	x.result.Windows = make([]result.Window, int((m.scenario.Length.Std()+time.Second-1)/time.Second))
	return x
}

// listStats returns discovery's counts of list traffic by node.
func (x *measurement) listStats() []emulator.RegistryStats {
	var lists []emulator.RegistryStats
	for i := range x.run.scenario.Fleet.Nodes {
		lists = append(lists, x.run.registry.NodeStats(i))
	}
	return lists
}

// takeSnapshot reads all totals, and raises x.memory to the largest peak memory
// of the nodes.
func (x *measurement) takeSnapshot() snapshot {
	m := x.run
	s := snapshot{lists: x.listStats()}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range m.nodes {
		for _, p := range n.processes {
			u, err := p.Usage()
			if err != nil { // the process ended during the call: read its final usage
				u, _ = p.Usage()
			}
			s.cpu += u.CPU
			x.memory = max(x.memory, u.Memory)
		}
	}
	for _, sv := range m.servers {
		stats := sv.process.Stats()
		s.work += stats.Work
		s.wasted += stats.Wasted
		s.crashes += stats.Crashes
	}
	s.listVersions = m.listVersions
	return s
}

// sumBytes returns the list traffic of all nodes, in both directions.
func sumBytes(lists []emulator.RegistryStats) int64 {
	sum := int64(0)
	for _, l := range lists {
		sum += l.BytesIn + l.BytesOut
	}
	return sum
}

// sample takes a snapshot at the end of the warm-up and one at the end of the
// traffic. In between it reads the list traffic every second. It also starts
// publishRestarts.
func (x *measurement) sample() {
	m := x.run
	warmup := m.scenario.Warmup.Std()
	length := m.scenario.Length.Std()
	sleepUntil := func(t time.Duration) bool { return m.sleep(time.Until(m.trafficStart.Add(t))) == nil }
	m.schedule(0, func() { m.publishRestarts(length) })
	if !sleepUntil(warmup) {
		return
	}
	x.from = x.takeSnapshot()
	last := sumBytes(x.from.lists)
	for t := warmup + time.Second; t < length; t += time.Second {
		if !sleepUntil(t) {
			return
		}
		bytes := sumBytes(x.listStats())
		x.bytesPerSecond = append(x.bytesPerSecond, bytes-last)
		last = bytes
	}
	if sleepUntil(length) {
		x.to = x.takeSnapshot()
		x.bytesPerSecond = append(x.bytesPerSecond, sumBytes(x.to.lists)-last)
	}
}

// windowOf returns the window of the second in which the first try of a request
// was due.
func (x *measurement) windowOf(r *load.Request) *result.Window {
	return &x.result.Windows[min(int(r.At/time.Second), len(x.result.Windows)-1)]
}

// isMeasured reports whether the first try of a request was due after the warm-up.
func (x *measurement) isMeasured(r *load.Request) bool { return r.At >= x.run.scenario.Warmup.Std() }

// recordResult counts the outcome of a request. It is the load.Config.Done of
// the run.
func (x *measurement) recordResult(i int, r *load.Request, outcome load.Result) {
	x.mu.Lock()
	defer x.mu.Unlock()
	record := &x.requests[i]
	record.tries = outcome.Tries
	class := x.run.scenario.Classes[record.class]
	tally := setup.NewTally(x.windowOf(r), &x.result.Requests, x.isMeasured(r))
	tally.CountOffered(class, record.withinQuota)
	tally.Requests.Tries += outcome.Tries
	switch outcome.Outcome {
	case load.Served:
		tally.CountServed(class, outcome.Latency, record.withinQuota)
		x.recordLatency(r, class.Name, outcome)
	case load.Rejected:
		tally.CountRejected()
	case load.Lost:
		tally.CountLost()
	default:
		tally.CountFailed()
	}
}

// recordLatency adds a served request to the latency histograms, unless it
// belongs to the warm-up.
func (x *measurement) recordLatency(r *load.Request, class string, outcome load.Result) {
	if !x.isMeasured(r) {
		return
	}
	x.latency["all"].Add(outcome.Latency)
	x.latency[class].Add(outcome.Latency)
	if outcome.AddedLatency >= 0 {
		x.addedLatency.Add(outcome.AddedLatency)
	}
}

// finish computes the result of the run and checks it against the scenario's
// bounds.
func (x *measurement) finish(report *load.Report, stream []load.Request) *result.Run {
	m := x.run
	r := x.result
	overlaps := x.recordAttempts(stream)
	for name, h := range x.latency {
		r.Latency[name] = h.Latency()
	}
	r.AddedLatency = x.addedLatency.Latency()
	r.Events = append(r.Events, m.eventLog...)
	x.reportListTraffic()
	// The count covers the whole run. It may include copies that did not overlap: a
	// server may notice late that a node has closed the connection of the previous copy.
	r.Peaks["overlapping_copies"] = result.Peak{Worst: float64(overlaps)}
	r.Crashes = x.to.crashes - x.from.crashes
	if work := x.to.work - x.from.work; work > 0 {
		r.Requests.Wasted = float64(x.to.wasted-x.from.wasted) / float64(work)
	}
	r.Cost.NodeCPU = (x.to.cpu - x.from.cpu).Seconds() / r.Seconds / float64(r.Nodes)
	r.Cost.NodeMemory = x.memory
	kills := func(e scenario.Event) bool { return e.Action == scenario.KillNodes }
	if lost := r.Requests.Lost; lost > 0 && !slices.ContainsFunc(m.scenario.Events, kills) {
		m.recordViolation("%d requests got no answer by their deadline, though no node was killed", lost)
	}
	r.Violations = slices.Concat(r.Violations, m.violations, report.Violations)
	r.FindRecovery(m.scenario)
	r.CheckBounds(m.scenario.Bounds)
	return r
}

// reportListTraffic fills the figures on list traffic into the result.
func (x *measurement) reportListTraffic() {
	r := x.result
	traffic := &r.ListTraffic
	for i, to := range x.to.lists {
		from := x.from.lists[i]
		bytes := to.BytesIn + to.BytesOut - from.BytesIn - from.BytesOut
		traffic.Bytes += bytes
		traffic.Calls += to.Calls - from.Calls
		traffic.Snapshots += to.Snapshots - from.Snapshots
		traffic.WorstRate = max(traffic.WorstRate, float64(bytes)/r.Seconds)
	}
	traffic.NodeRate = float64(traffic.Bytes) / r.Seconds / float64(r.Nodes)
	traffic.Changes = x.to.listVersions - x.from.listVersions
	var peak result.Peak
	for i, bytes := range x.bytesPerSecond {
		traffic.WorstSecond = max(traffic.WorstSecond, bytes)
		peak.Observe(float64(bytes), listBytesPerSecond*float64(r.Nodes), x.run.scenario.Warmup.Std()+time.Duration(i)*time.Second)
	}
	r.Peaks["list_bytes"] = peak
}
