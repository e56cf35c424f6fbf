// Package fleet runs a scenario with real processes: the node's own program,
// started as the platform starts it, with servers and discovery that this
// process emulates, all on loopback. Package load sends the clients' requests.
//
// The network is not emulated: delays, connections that are established late and
// partitions need a hollow run, and scenarios with a PartitionNetwork event are
// rejected. Attempts are counted as copies that reached a server, so an attempt
// whose connection was never established is not counted. The run cannot observe
// when a node learns of a list change.
package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"time"

	"bankshift/internal/lab/emulator"
	"bankshift/internal/lab/load"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
	"bankshift/internal/lab/setup"
)

// Limits of what one machine can run: a few dozen nodes of about 25 MB each,
// while the load generator and the emulated servers use well under the capacity
// of its processors.
const (
	MaxNodes   = 64
	MaxServers = 600
	MaxRate    = 5000 // requests a second
)

const (
	settleTime = time.Second // between the time when all nodes are ready and the first request

	// responseSlack is how long past the deadline a client waits for a response:
	// 20 ms that the nodes' settings allow and 50 ms for the sockets.
	responseSlack = 70 * time.Millisecond

	maxViolations = 20 // violations that are described one by one

	// maxSendDelayFraction is the largest acceptable send delay of the load
	// generator, as a fraction of the tightest latency objective. Clients would
	// not notice such a delay.
	maxSendDelayFraction = 0.02
)

// Options are the options of Run.
type Options struct {
	Node string // path of the node's program; "": Run builds it first
}

// ErrTooLarge means that a scenario exceeds MaxNodes, MaxServers or MaxRate and
// can only be run with hollow nodes.
var ErrTooLarge = errors.New("too large for real processes")

// run is the state of one scenario run. Its creator must call close.
type run struct {
	scenario     *scenario.Scenario
	ctx          context.Context
	program      string // path of the node's program
	dir          string // for the nodes' configuration files
	epoch        time.Time
	trafficStart time.Time
	registry     *emulator.Registry
	steps        sync.WaitGroup // steps of events that are scheduled or in progress

	mu             sync.Mutex
	timers         []*time.Timer // of the scheduled steps
	stepsEnded     bool          // no further step may start
	nodes          []*nodeSlot
	servers        []*server // all servers of the run, removed ones included
	currentServers []*server // by slot: the server that fills it now
	keyStores      setup.KeyStores
	executionLogs  map[string]*emulator.ExecutionLog // by zone
	listVersions   int                               // versions of the list that events have published
	replacements   int                               // servers replaced so far
	eventLog       []string
	violations     []string
}

// Check returns an error that says why a scenario cannot be run with real
// processes, or nil if it can.
func Check(s *scenario.Scenario) error {
	switch {
	case s.Fleet.Nodes > MaxNodes:
		return fmt.Errorf("fleet: %w: %d nodes, at most %d", ErrTooLarge, s.Fleet.Nodes, MaxNodes)
	case s.Servers.Count > MaxServers:
		return fmt.Errorf("fleet: %w: %d servers, at most %d", ErrTooLarge, s.Servers.Count, MaxServers)
	case s.Traffic.Rate > MaxRate:
		return fmt.Errorf("fleet: %w: %v requests a second, at most %d", ErrTooLarge, s.Traffic.Rate, MaxRate)
	}
	for _, e := range s.Events {
		if e.Action == scenario.PartitionNetwork {
			return fmt.Errorf("fleet: event %q at %v: partitions can only be run with hollow nodes", e.Action, e.At)
		}
	}
	return nil
}

// Run runs a scenario. Before it returns, also with an error, it stops all that
// it started. An error means that the run could not be completed; broken rules
// are listed in the result's Violations.
func Run(ctx context.Context, s *scenario.Scenario, o Options) (*result.Run, error) {
	began := time.Now()
	if err := Check(s); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "bankshift-lab-")
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	defer os.RemoveAll(dir)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	program := o.Node
	if program == "" {
		program, err = Build(ctx, dir)
		if err != nil {
			return nil, err
		}
	}
	m := &run{
		scenario:      s,
		ctx:           ctx,
		program:       program,
		dir:           dir,
		epoch:         time.Now(),
		executionLogs: map[string]*emulator.ExecutionLog{},
	}
	defer m.close(cancel)
	if err := m.setUp(); err != nil {
		return nil, err
	}
	r, err := m.runTraffic()
	if err != nil {
		return nil, err
	}
	r.Cost.Seconds = time.Since(began).Seconds()
	return r, nil
}

// close stops what is left of the run: first the events, which act on nodes and
// servers, then the nodes, which use the servers and discovery.
func (m *run) close(cancel context.CancelFunc) {
	m.endSteps()
	cancel()
	m.killNodes()
	m.closeServers()
}

// setUp starts discovery, the servers and the nodes, waits until all nodes are
// ready, and then for settleTime.
func (m *run) setUp() error {
	var err error
	m.registry, err = emulator.NewRegistry(emulator.RegistryConfig{
		RegistryConfig: setup.RegistryConfig(m.scenario),
		Epoch:          m.epoch,
		Rand:           m.rand(setup.StreamRegistry),
	})
	if err != nil {
		return err
	}
	if err := m.startServers(); err != nil {
		return err
	}
	d := m.scenario.Discovery
	// After this time the nodes' discovery agents have the list.
	if err := m.sleep(d.Delay.Std() + d.DelaySpread.Std()); err != nil {
		return err
	}
	if err := m.startNodes(); err != nil {
		return err
	}
	return m.sleep(settleTime)
}

// runTraffic sends the requests and runs the events, stops the nodes, and
// returns the result.
func (m *run) runTraffic() (*result.Run, error) {
	s := m.scenario
	m.eventLog = append(m.eventLog, m.describeStart())
	x := newMeasurement(m)
	stream := m.drawRequests(x)
	m.trafficStart = time.Now()
	for i := range s.Events {
		m.scheduleEvent(i)
	}
	sampled := make(chan struct{})
	go func() {
		defer close(sampled)
		x.sample()
	}()
	report, err := load.Run(m.ctx, load.Config{
		Route:             m.route,
		Connections:       s.Traffic.Connections,
		Retries:           s.Traffic.Retries,
		Backoff:           s.Traffic.Backoff.Std(),
		MarkRetries:       true,
		Slack:             responseSlack,
		MaxSendDelay:      m.maxSendDelay(),
		ServiceTimeHeader: emulator.ServiceTimeHeader,
		Done:              x.recordResult,
	}, stream)
	if err != nil {
		return nil, fmt.Errorf("fleet: %w", err)
	}
	<-sampled
	m.endSteps()
	m.stopNodes()
	return x.finish(report, stream), nil
}

// maxSendDelay returns the load generator's largest acceptable send delay.
func (m *run) maxSendDelay() time.Duration {
	tightest := m.scenario.Classes[0].LatencyObjective
	for _, c := range m.scenario.Classes {
		tightest = min(tightest, c.LatencyObjective)
	}
	return time.Duration(maxSendDelayFraction * float64(tightest))
}

// rand returns a random generator for one stream of the scenario's seed.
func (m *run) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(m.scenario.Seed, stream)) }

// sleep waits for d. If the run's context ends first, it returns the context's
// error.
func (m *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

// recordViolation records the description of a broken rule. After maxViolations
// only "and more" is added.
func (m *run) recordViolation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.recordViolationLocked(format, args...)
}

// recordViolationLocked is recordViolation for callers that hold mu.
func (m *run) recordViolationLocked(format string, args ...any) {
	switch {
	case len(m.violations) < maxViolations:
		m.violations = append(m.violations, fmt.Sprintf(format, args...))
	case len(m.violations) == maxViolations:
		m.violations = append(m.violations, "and more")
	}
}
