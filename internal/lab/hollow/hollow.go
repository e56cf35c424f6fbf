// Package hollow plays a scenario with hollow nodes: hundreds of them in one
// process, on one virtual clock.
//
// A hollow node runs the project's own code: node.ParseConfig on the
// configuration that the scenario gives a real node, discovery.Watcher and
// discovery.Directory on the bytes of model.Registry's lists, and
// balancer.Module. It feeds the module the same events in the same manner as the
// loop of package node, and carries its actions out.
//
// Left out is the request path's own work: sockets, HTTP parsing and writing,
// bodies, goroutines and their scheduling. A node takes no time to decide or
// to pass anything on, has no limit of processor time, and its clients sit
// beside it, so that what it adds to a request is waiting alone: for
// connections, for attempts that fail, for clients' retries. A message lost to
// a cut or a lost machine is never repeated, where TCP would try again. Lists
// are decoded once for all nodes that get the same bytes.
//
// Modelled a second time is what package node's pool does with connections:
// which one is taken, how long it rests, when it expires, when one is dialled,
// evicted or closed, and the gate before a request's first byte (pool.go,
// after internal/node/backend.go). It reads its times from package node.
//
// A run of one scenario gives the same result each time, but for what it cost.
package hollow

import (
	"bytes"
	"container/heap"
	"context"
	"encoding/json"
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
	"bankshift/internal/node"
)

const (
	settleTime = time.Second // from the last node's start to the traffic: the first lists arrive, the first ticks pass

	// The machines' clock at the start of a run, as Unix time. Lists tell
	// starts in it, and 0 there means long ago.
	epoch = 1_700_000_000 * time.Second

	responseSlack = 70 * time.Millisecond // of an answer past its deadline: 20 ms of the settings, 50 ms on sockets

	// What a call to discovery takes besides the body and the query: the
	// heads that net/http writes. Source: a real node with 60 servers makes 4
	// calls a second at rest for 1.18 KB/s, 295 bytes a call, of which the
	// body {"index":1,"snapshot":false,"endpoints":[]} takes 45.
	requestOverhead = 250
)

// sim is one run.
type sim struct {
	scenario     *scenario.Scenario
	now          time.Duration // since the run's start; models count from there too
	firstStart   time.Duration // when the first node starts: discovery has told of the servers by then
	trafficStart time.Duration // when the traffic begins
	events       events
	seq          uint64
	rng          *rand.Rand // of the network and the clients

	zoneOf       map[string]int
	delays       [][]time.Duration // between zones
	partitions   [][]bool          // by zone: those inside
	outages      []outage          // when nodes can learn nothing
	byName       map[string]*server
	servers      []*server // all there ever were
	current      []*server // who is there now
	registry     *model.Registry
	registryWake time.Duration
	versionTimes []time.Duration // when each came about, by version
	decodedBody  []byte          // of the last answer decoded
	decodedList  discovery.List

	nodes        []*hollowNode
	classes      []class
	tenants      []string
	openClients  int    // that have a request under way
	lastWorkID   uint64 // requests that reached a server
	stopArrivals func() // ends the drawing of arrivals

	measurement
}

// class is a scenario's, with what is worked out from it.
type class struct {
	scenario.Class
	scope model.Scope
}

// event is something that is to happen.
type event struct {
	at  time.Duration
	seq uint64 // of events at one time, the first made comes first
	do  func()
}

type events []*event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(*event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = nil
	*e = (*e)[:last]
	return x
}

// at has do run at a time, or now if that has passed.
func (m *sim) schedule(t time.Duration, do func()) {
	m.seq++
	heap.Push(&m.events, &event{max(t, m.now), m.seq, do})
}

// run lets events happen up to a time.
func (m *sim) run(ctx context.Context, until time.Duration) error {
	for n := 0; len(m.events) > 0 && m.events[0].at <= until; n++ {
		if n&0xfff == 0 && ctx.Err() != nil {
			return ctx.Err()
		}
		e := heap.Pop(&m.events).(*event)
		m.now = e.at
		e.do()
	}
	m.now = until
	return nil
}

// Run plays a scenario to its end. It fails only where the node's own code
// does not take the scenario's configuration, or as ctx ends.
func Run(ctx context.Context, s *scenario.Scenario) (*result.Run, error) {
	began := time.Now()
	m, err := newSim(s)
	if err != nil {
		return nil, err
	}
	defer func() { m.stopArrivals() }()
	if err := m.run(ctx, m.trafficStart); err != nil {
		return nil, err
	}
	heapAfter := heapInUse()
	if err := m.run(ctx, m.trafficStart+s.Warmup.Std()); err != nil {
		return nil, err
	}
	m.endWarmup()
	if err := m.run(ctx, m.trafficStart+s.Length.Std()); err != nil {
		return nil, err
	}
	m.endTraffic()
	longest := time.Duration(0)
	for _, c := range s.Classes {
		longest = max(longest, c.Deadline.Std())
	}
	if err := m.run(ctx, m.now+longest+time.Second); err != nil {
		return nil, err
	}
	r := m.result()
	r.Cost.NodeMemory = (heapAfter - m.heapBefore) / int64(s.Fleet.Nodes)
	r.Cost.Seconds = time.Since(began).Seconds()
	return r, nil
}

// heapNow is what lives on the heap, in bytes.
func heapInUse() int64 {
	runtime.GC()
	var st runtime.MemStats
	runtime.ReadMemStats(&st)
	return int64(st.HeapAlloc)
}

func newSim(s *scenario.Scenario) (*sim, error) {
	m := &sim{scenario: s, rng: rand.New(rand.NewPCG(s.Seed, 2<<32)), zoneOf: map[string]int{}, byName: map[string]*server{},
		versionTimes: []time.Duration{0}, registryWake: discovery.Never, stopArrivals: func() {},
		firstStart: s.Discovery.Delay.Std() + s.Discovery.DelaySpread.Std()}
	m.trafficStart = m.firstStart + s.Fleet.StartSpread.Std() + settleTime
	for i, z := range s.Zones {
		m.zoneOf[z.Name] = i
	}
	for _, a := range s.Zones {
		var row []time.Duration
		for _, b := range s.Zones {
			row = append(row, s.Delay(a.Name, b.Name))
		}
		m.delays = append(m.delays, row)
	}
	for _, c := range s.Classes {
		scope, err := model.ParseScope(c.KeyScope)
		if err != nil {
			return nil, err
		}
		m.classes = append(m.classes, class{c, scope})
	}
	for t := range s.Traffic.Tenants {
		m.tenants = append(m.tenants, scenario.TenantName(t))
	}
	m.measurement.init(m)
	m.registry = model.NewRegistry(model.RegistryConfig{Nodes: s.Fleet.Nodes, OnDemand: s.Discovery.OnDemand, Delay: s.Discovery.Delay.Std(),
		DelaySpread: s.Discovery.DelaySpread.Std(), ResponseTime: s.Discovery.ResponseTime.Std()}, rand.New(rand.NewPCG(s.Seed, 3<<32)))
	m.buildServers()
	m.heapBefore = heapInUse()
	if err := m.buildNodes(); err != nil {
		return nil, err
	}
	for i := range s.Events {
		m.scheduleEvent(i)
	}
	m.schedule(m.trafficStart, m.startArrivals)
	return m, nil
}

// buildNodes has all configurations read, side by side as each is large where
// there are many servers, and starts the nodes over the spread.
func (m *sim) buildNodes() error {
	count := m.scenario.Fleet.Nodes
	m.nodes = make([]*hollowNode, count)
	errs, known, next := make([]error, count), m.knownList(), make(chan int)
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Add(1)
		go func() {
			defer workers.Done()
			for i := range next {
				m.nodes[i], errs[i] = m.newNode(i, 0, known)
			}
		}()
	}
	for i := range count {
		next <- i
	}
	close(next)
	workers.Wait()
	for i, err := range errs {
		if err != nil {
			return fmt.Errorf("hollow: node %d: %w", i, err)
		}
		n := m.nodes[i]
		m.schedule(m.firstStart+time.Duration(i)*m.scenario.Fleet.StartSpread.Std()/time.Duration(count), n.start)
	}
	return nil
}

// known is the list now, as a configuration has it.
func (m *sim) knownList() json.RawMessage {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"index":%d,"snapshot":true,"endpoints":[`, m.registry.Version())
	first := true
	for _, sv := range m.servers {
		if sv.entry.Status == model.Removed || sv.entry.Status == "" {
			continue
		}
		if !first {
			b.WriteByte(',')
		}
		first = false
		text, _ := json.Marshal(sv.entry) // of strings and finite numbers: never fails
		b.Write(text)
	}
	b.WriteString("]}")
	return b.Bytes()
}

// newNode reads a node's configuration as it is after its start-th restart.
func (m *sim) newNode(i, start int, known json.RawMessage) (*hollowNode, error) {
	raw, err := m.scenario.NodeConfig(i, scenario.NodeStart{Incarnation: start, Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2", KnownList: known})
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(raw)
	if err != nil {
		return nil, err
	}
	return newHollowNode(m, i, start, cfg), nil
}

// arrivals has clients send their requests, each drawn as the one before is sent.
func (m *sim) startArrivals() {
	var next func() (arrivals.Arrival, bool)
	next, m.stopArrivals = iter.Pull(arrivals.All(m.scenario))
	a, ok := next()
	var step func()
	step = func() {
		for ok && m.trafficStart+a.At <= m.now {
			m.offer(a)
			a, ok = next()
		}
		if ok {
			m.schedule(m.trafficStart+a.At, step)
		}
	}
	step()
}
