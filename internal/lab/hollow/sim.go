package hollow

import (
	"container/heap"
	"context"
	"fmt"
	"iter"
	"math/rand/v2"
	"runtime"
	"sync"
	"time"

	"bankshift/internal/discovery"
	"bankshift/internal/lab/arrivals"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
	"bankshift/internal/node"
)

const (
	// settleTime is the time from the last node's start to the start of the traffic. In that time nodes
	// receive their first lists and their first timers fire.
	settleTime = time.Second

	// epoch is the Unix time of the machines' clocks at the start of a run. Lists contain the servers' starts by
	// these clocks, and a start of 0 means long ago.
	epoch = 1_700_000_000 * time.Second
)

// sim is the state of one run. Everything runs on one goroutine, except that buildNodes reads the configurations on
// several.
type sim struct {
	scenario *scenario.Scenario
	rng      *rand.Rand // for network delays and clients' backoff

	// Clock. All times are since the start of the run, as in package model.
	now          time.Duration
	firstStart   time.Duration // first start of a node; discovery has published the servers by then
	trafficStart time.Duration
	events       eventQueue
	eventSeq     uint64

	// Network
	zoneOf     map[string]int    // index of each zone, by name
	delays     [][]time.Duration // one way between zones, without jitter
	partitions [][]bool          // by partition and zone: whether the zone is inside; nil: partition not in force
	outages    []outage          // periods in which nodes learn of no changes to the list

	// Servers and discovery
	byName         map[string]*server
	servers        []*server // all servers of the run, replaced ones included
	currentServers []*server // by slot: the server that occupies it; there is one slot for each server of the scenario
	keyStores      setup.KeyStores
	replacements   int // servers replaced so far
	registry       *model.Registry
	registryWake   time.Duration   // when registry is advanced next; discovery.Never: not scheduled
	versionTimes   []time.Duration // when each version of the list was published
	decodedBody    []byte          // body that decodedList was decoded from
	decodedList    discovery.List

	// Nodes and clients
	nodes              []*hollowNode
	classes            []class
	tenants            []string
	openClients        int    // clients whose request has no final outcome yet
	lastModelRequestID uint64 // last model.Request.ID given to a request at a server
	stopArrivals       func() // stops the iterator of arrivals

	measurement
}

// class is a class of the scenario with the scope of its idempotency keys in the form of package model.
type class struct {
	scenario.Class
	scope model.Scope
}

// event is a function that is scheduled for a time.
type event struct {
	at  time.Duration
	seq uint64 // breaks ties: the event that was scheduled first runs first
	do  func()
}

// eventQueue is a heap of events by time.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

// schedule schedules a call of do at a time, or at the present time if that one has passed.
func (m *sim) schedule(at time.Duration, do func()) {
	m.eventSeq++
	heap.Push(&m.events, &event{max(at, m.now), m.eventSeq, do})
}

// run runs the events up to a time, which is the present time afterwards.
func (m *sim) run(ctx context.Context, until time.Duration) error {
	const eventsBetweenChecks = 1 << 12 // of whether ctx has ended
	for n := 0; len(m.events) > 0 && m.events[0].at <= until; n++ {
		if n%eventsBetweenChecks == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		e := heap.Pop(&m.events).(*event)
		m.now = e.at
		e.do()
	}
	m.now = until
	return nil
}

// newSim builds a run and schedules the nodes' starts, the scenario's events and the start of the traffic.
func newSim(s *scenario.Scenario) (*sim, error) {
	m := &sim{
		scenario:     s,
		rng:          rand.New(rand.NewPCG(s.Seed, setup.StreamNetwork)),
		firstStart:   s.Discovery.Delay.Std() + s.Discovery.DelaySpread.Std(),
		zoneOf:       map[string]int{},
		byName:       map[string]*server{},
		registryWake: discovery.Never,
		versionTimes: []time.Duration{0},
		stopArrivals: func() {},
		measurement:  newMeasurement(s),
	}
	m.trafficStart = m.firstStart + s.Fleet.StartSpread.Std() + settleTime
	m.buildZones()
	if err := m.buildClasses(); err != nil {
		return nil, err
	}
	m.registry = model.NewRegistry(setup.RegistryConfig(s), rand.New(rand.NewPCG(s.Seed, setup.StreamRegistry)))
	m.buildServers()
	m.heapWithoutNodes = heapInUse()
	if err := m.buildNodes(); err != nil {
		return nil, err
	}
	for i := range s.Events {
		m.scheduleEvent(i)
	}
	m.schedule(m.trafficStart, m.startArrivals)
	return m, nil
}

func (m *sim) buildZones() {
	zones := m.scenario.Zones
	for i, from := range zones {
		m.zoneOf[from.Name] = i
		var row []time.Duration
		for _, to := range zones {
			row = append(row, m.scenario.Delay(from.Name, to.Name))
		}
		m.delays = append(m.delays, row)
	}
}

func (m *sim) buildClasses() error {
	for _, c := range m.scenario.Classes {
		scope, err := model.ParseScope(c.KeyScope)
		if err != nil {
			return err
		}
		m.classes = append(m.classes, class{c, scope})
	}
	for t := range m.scenario.Traffic.Tenants {
		m.tenants = append(m.tenants, scenario.TenantName(t))
	}
	return nil
}

// buildNodes creates the nodes and schedules their starts. It reads the configurations in parallel, because each is
// large if there are many servers.
func (m *sim) buildNodes() error {
	count := m.scenario.Fleet.Nodes
	m.nodes = make([]*hollowNode, count)
	errs := make([]error, count)
	known := m.knownList()
	indexes := make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range indexes {
				m.nodes[i], errs[i] = m.newNode(i, 0, known)
			}
		}()
	}
	for i := range count {
		indexes <- i
	}
	close(indexes)
	workers.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("hollow: node %d: %w", i, err)
		}
		m.schedule(m.firstStart+time.Duration(i)*m.scenario.Fleet.StartSpread.Std()/time.Duration(count), m.nodes[i].start)
	}
	return nil
}

// newNode creates node i from the scenario's configuration for the given incarnation.
func (m *sim) newNode(i, incarnation int, known []byte) (*hollowNode, error) {
	raw, err := m.scenario.NodeConfig(i, scenario.NodeStartParams{
		Incarnation: incarnation,
		Listen:      "127.0.0.1:1", // nothing listens on this address or on the next one
		Discovery:   "127.0.0.1:2",
		KnownList:   known,
	})
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(raw)
	if err != nil {
		return nil, err
	}
	return newHollowNode(m, i, incarnation, cfg), nil
}

// startArrivals starts the clients when their requests are due. Each arrival is drawn when the client of the one
// before it has been started.
func (m *sim) startArrivals() {
	var next func() (arrivals.Arrival, bool)
	next, m.stopArrivals = iter.Pull(arrivals.All(m.scenario))
	a, ok := next()
	var sendDue func()
	sendDue = func() {
		for ok && m.trafficStart+a.At <= m.now {
			m.startClient(a)
			a, ok = next()
		}
		if ok {
			m.schedule(m.trafficStart+a.At, sendDue)
		}
	}
	sendDue()
}

// result completes the report of the run. Requests that have no response by now are lost.
func (m *sim) result() *result.Run {
	r := m.report
	q := &r.Requests
	q.Lost = q.Offered - q.Served - q.Rejected - q.Failed
	if m.openClients > 0 {
		m.recordViolation("%d requests got no answer", m.openClients)
	}
	m.reportLatency()
	r.Windows = m.windows
	r.Events = append(r.Events, m.eventLog...)
	m.reportPeaks()
	m.reportListTraffic()
	if m.violations > maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf("and %d more", m.violations-maxViolations))
	}
	r.FindRecovery(m.scenario)
	r.CheckBounds(m.scenario.Bounds)
	return r
}
