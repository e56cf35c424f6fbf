// Package fleet plays a scenario with real processes: the node's own program,
// started as the platform starts it, in front of emulated servers and an
// emulated discovery in this process, all on loopback, with clients' requests
// from package load.
//
// The network is not played: its delays, late dials and partitions are for
// hollow runs, and the event Cut is rejected. Attempts are counted as copies
// that reached a server, so that connections that were not established are
// missing. When a node learned of a change is not seen.
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

// Limits of what one machine can play: a few dozen nodes of some 25 MB, and a
// generator and servers that use well under its processors' capacity.
const (
	MaxNodes   = 64
	MaxServers = 600
	MaxRate    = 5000 // requests a second
)

const (
	settleTime    = time.Second           // from the last node's being ready to the traffic
	responseSlack = 70 * time.Millisecond // past the deadline: 20 ms of the settings, 50 ms for sockets
	maxViolations = 20                    // described one by one

	// maxSendDelayFraction of the tightest objective is a delay of the
	// generator that clients would not notice.
	maxSendDelayFraction = 0.02
)

// Options say how to run.
type Options struct {
	Node string // path of the node's program; "": it is built first
}

// ErrTooLarge means that a scenario is for hollow nodes alone.
var ErrTooLarge = errors.New("too large for real processes")

// run is a scenario that is being played. Its owner calls close.
type run struct {
	scenario     *scenario.Scenario
	ctx          context.Context
	program      string // path of the node's
	dir          string // for configurations
	epoch        time.Time
	trafficStart time.Time
	registry     *emulator.Registry
	steps        sync.WaitGroup // of events, scheduled or under way

	mu            sync.Mutex
	timers        []*time.Timer // of steps
	stepsEnded    bool          // no more steps begin
	nodes         []*nodeSlot
	servers       []*server // all there ever were
	current       []*server // the one in each place now
	keyStores     setup.KeyStores
	executionLogs map[string]*emulator.ExecutionLog // by zone
	listVersions  int                               // of the list, made by events
	successors    int                               // servers replaced so far
	eventLog      []string
	violations    []string
}

// Check reports why a scenario cannot be played with real processes.
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
		if e.Action == scenario.Cut {
			return errors.New("fleet: the event cut is played with hollow nodes only")
		}
	}
	return nil
}

// Run plays a scenario and ends all that it started, however it ends. An error
// means that the run could not be made; rules that were broken are in the
// result's Violations.
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

// close ends what is left of the run: events before what they act on, nodes
// before what they talk to.
func (m *run) close(cancel context.CancelFunc) {
	m.endSteps()
	cancel()
	m.killNodes()
	m.closeServers()
}

// setUp starts discovery, servers and nodes, and waits until the nodes are
// ready.
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
	if err := m.sleep(d.Delay.Std() + d.DelaySpread.Std()); err != nil { // until the agents have the list
		return err
	}
	if err := m.startNodes(); err != nil {
		return err
	}
	return m.sleep(settleTime)
}

// runTraffic plays the traffic and the events, and stops the nodes.
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
	report, err := load.Play(m.ctx, load.Config{
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

func (m *run) maxSendDelay() time.Duration {
	tightest := m.scenario.Classes[0].LatencyObjective
	for _, c := range m.scenario.Classes {
		tightest = min(tightest, c.LatencyObjective)
	}
	return time.Duration(maxSendDelayFraction * float64(tightest))
}

// rand is a stream of randomness of the run's seed.
func (m *run) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(m.scenario.Seed, stream)) }

// sleep waits for d, or returns the run's error if that ends first.
func (m *run) sleep(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-m.ctx.Done():
		return m.ctx.Err()
	}
}

// violation records that a rule was broken.
func (m *run) violation(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.violationLocked(format, args...)
}

// violationLocked is violation for callers that hold mu.
func (m *run) violationLocked(format string, args ...any) {
	switch {
	case len(m.violations) < maxViolations:
		m.violations = append(m.violations, fmt.Sprintf(format, args...))
	case len(m.violations) == maxViolations:
		m.violations = append(m.violations, "and more")
	}
}
