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
	// settleTime is from the last node's start to the traffic, for the first
	// lists and the first timers.
	settleTime = time.Second

	// epoch is the machines' clock at the start of a run, as Unix time. Lists
	// contain starts by this clock, and 0 there means long ago.
	epoch = 1_700_000_000 * time.Second
)

// sim is one run. Everything in it happens on one goroutine, except for the
// reading of configurations in buildNodes.
type sim struct {
	scenario *scenario.Scenario
	rng      *rand.Rand // of the network and the clients

	// Clock. Times count from the run's start, as the models' do.
	now          time.Duration
	firstStart   time.Duration // of the nodes: discovery has published the servers by then
	trafficStart time.Duration
	events       eventQueue
	eventSeq     uint64

	// Network
	zoneOf     map[string]int    // index of a zone, by name
	delays     [][]time.Duration // between zones
	partitions [][]bool          // by partition and zone: those inside; nil while it is not in force
	outages    []outage          // of what nodes learn

	// Servers and discovery
	byName         map[string]*server
	servers        []*server // all there ever were
	currentServers []*server // the one in each place now
	keyStores      setup.KeyStores
	replacements   int // servers replaced so far
	registry       *model.Registry
	registryWake   time.Duration   // when registry is advanced next
	versionTimes   []time.Duration // when each version of the list was made
	decodedBody    []byte          // of the last list decoded
	decodedList    discovery.List

	// Nodes and clients
	nodes        []*hollowNode
	classes      []class
	tenants      []string
	openClients  int    // with a request under way
	lastWorkID   uint64 // of the requests that reached a server
	stopArrivals func() // ends the drawing of arrivals

	measurement
}

// class is a scenario's class and the model's scope of its keys.
type class struct {
	scenario.Class
	scope model.Scope
}

// event is something that is to happen.
type event struct {
	at  time.Duration
	seq uint64 // breaks ties: the event made first comes first
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

// schedule calls do at a time, or now if that has passed.
func (m *sim) schedule(at time.Duration, do func()) {
	m.eventSeq++
	heap.Push(&m.events, &event{max(at, m.now), m.eventSeq, do})
}

// run plays the events up to a time.
func (m *sim) run(ctx context.Context, until time.Duration) error {
	const eventsBetweenChecks = 1 << 12 // of ctx
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

// newSim builds a run and schedules its beginning.
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

// buildNodes reads all configurations, in parallel as each is large where there
// are many servers, and schedules the nodes' starts.
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

// newNode makes a node from the configuration of its given incarnation.
func (m *sim) newNode(i, incarnation int, known []byte) (*hollowNode, error) {
	raw, err := m.scenario.NodeConfig(i, scenario.NodeStart{
		Incarnation: incarnation,
		Listen:      "127.0.0.1:1", // nothing listens here, nor at the next
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

// startArrivals makes clients send their requests. Each is drawn when the one
// before is sent.
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

// result sums up the run. Requests that have no answer by now are lost.
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
	m.reportControl()
	if m.violations > maxViolations {
		r.Violations = append(r.Violations, fmt.Sprintf("and %d more", m.violations-maxViolations))
	}
	r.FindRecovery(m.scenario)
	r.CheckBounds(m.scenario.Bounds)
	return r
}
