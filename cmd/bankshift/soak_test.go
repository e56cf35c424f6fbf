package main

import (
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

// soakRun is one run of a node from its start to its end. What happens to it is
// drawn from a seed.
type soakRun struct {
	seed            int64
	onDemand        bool          // the node polls the endpoint list only on demand
	longestDeadline time.Duration // of the classes
	connectionBurst bool          // idle clients open connections all at once
	pauses          bool          // the process is stopped for moments
	abandonOneIn    int           // one in so many clients leaves early
	silentDiscovery bool          // discovery is silent for a while, as a backend begins to drain
	staleEndpoints  bool          // the node starts with a list that does not know of a drain
	badClients      bool          // clients send what they should not

	mu              sync.Mutex // guards what follows
	rng             *rand.Rand
	requests        map[string]*soakRequest
	violations      []string
	counts          map[string]int
	backends        []*soakBackend
	version         int           // of the endpoint list
	changed         chan struct{} // closed by the next change of the endpoint list
	discoveryBackAt time.Time     // discovery answers from then on
	reloadedAt      time.Time     // the last SIGHUP
	sigtermAt       time.Time     // SIGTERM; zero: not yet
	killedAt        time.Time     // SIGKILL; zero: not sent
	over            bool
	lastTick        time.Time     // of watchStalls
	longestStall    time.Duration // the longest recent time in which this process, the judge, did not run
	nodeDelay       schedulingDelay
}

// newSoakRun returns the run of a seed.
func newSoakRun(seed int64) *soakRun {
	longestDeadlines := []time.Duration{300 * time.Millisecond, time.Second, 3500 * time.Millisecond}
	return &soakRun{
		seed:            seed,
		onDemand:        seed%4 == 3,
		longestDeadline: longestDeadlines[seed%3],
		connectionBurst: seed%2 == 0,
		pauses:          seed%5 < 2,
		abandonOneIn:    []int{20, 3}[seed%2],
		silentDiscovery: seed%5 > 2,
		staleEndpoints:  seed%3 == 1,
		badClients:      seed%4 < 2,
		rng:             rand.New(rand.NewSource(seed)),
		requests:        map[string]*soakRequest{},
		counts:          map[string]int{},
		version:         1,
		changed:         make(chan struct{}),
	}
}

// locked runs f with s.mu held.
func (s *soakRun) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// draw returns a random number below n.
func (s *soakRun) draw(n int) (v int) {
	s.locked(func() { v = s.rng.Intn(n) })
	return v
}

// drawMilliseconds returns a random duration below n milliseconds.
func (s *soakRun) drawMilliseconds(n int) time.Duration {
	return time.Duration(s.draw(n)) * time.Millisecond
}

// config returns the node's configuration, with the endpoint list as it was
// before any drain.
func (s *soakRun) config(listen, discovery string) string {
	mode := "pushed"
	if s.onDemand {
		mode = "on_request"
	}
	var classes []string
	for _, class := range soakClasses {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"effect":%q,"aim_ns":%d,"give_up_ns":%d,"importance":1,"late_worth":0.5,"key_scope":"all","dedup_window_ns":%d}`,
			class, class, s.longestDeadline/2, s.longestDeadline, deduplicationWindow))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":192,"sockets":256},"known":%s,
		"settings":{"balancers":1,"membership_mode":%q,"tick_ns":5000000,"caps":{"connect_timeout_ns":150000000,"max_attempts":3,"cancel":true,
		"may_duplicate":true,"retry_after":true,"max_retry_after_ns":500000000,"conn_idle_ns":60000000000,"most_held":20000},
		"invariants":{"drain_grace_ns":%d,"ask_within_ns":10000000000,"answer_slack_ns":20000000,"cold_from":0.12,"cold_ns":23000000000,
		"overload_factor":4,"tip_after_ns":1000000000},"classes":[%s]}}`,
		listen, discovery, s.seed, s.endpointList(true), mode, drainGrace, strings.Join(classes, ","))
}

// runNode runs a node from its start to its end, which is SIGKILL at the earliest
// time that the node may expect it.
func (s *soakRun) runNode(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	go s.watchStalls(done)
	s.startBackends(t)
	listen := freeAddress(t)
	cmd := newProgram(t, s.config(listen, s.startDiscovery(t)))
	var log strings.Builder
	cmd.Stderr = &log
	if s.staleEndpoints {
		s.drain(0)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s.locked(func() { s.nodeDelay = schedulingDelay{pid: cmd.Process.Pid, threads: map[string]time.Duration{}} })
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer cmd.Process.Kill()
	p := &process{address: listen, ended: make(chan struct{})}
	if !p.awaitReady(t, readyLimit) {
		t.Fatalf("not ready; its log is\n%s", &log)
	}
	clients := s.startClients(listen)
	if s.pauses {
		go s.pauseNode(cmd)
	}
	if s.badClients {
		s.startBadClients(clients, listen)
	}
	s.injectEvents(t, cmd, listen)
	if err := s.awaitExit(cmd, ended); err != nil {
		t.Errorf("it ends with %v; its log is\n%s", err, &log)
	}
	time.Sleep(50 * time.Millisecond) // until clients have seen which requests are unanswered
	s.locked(func() { s.over = true })
	clients.Wait()
}

// startBackends starts one backend for each entry of soakBehaviours.
func (s *soakRun) startBackends(t *testing.T) {
	t.Helper()
	for i, behaviour := range soakBehaviours {
		s.backends = append(s.backends, &soakBackend{name: fmt.Sprint("s-", i), behaviour: behaviour})
	}
	for i, backend := range s.backends {
		backend.address = s.startListener(t, func(c net.Conn) { s.serveBackend(i, c) })
	}
}

// startClients starts the good clients of a node.
func (s *soakRun) startClients(address string) *sync.WaitGroup {
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			(&soakClient{soakRun: s, address: address}).run(i)
		}()
	}
	return &clients
}

// awaitExit waits until the node has exited after SIGTERM, and kills it at the
// earliest time that it may expect. It returns the error of a node that exits by
// itself.
func (s *soakRun) awaitExit(cmd *exec.Cmd, ended <-chan error) error {
	kill := min(s.longestDeadline, 3*time.Second) + killSlack
	select {
	case err := <-ended:
		return err
	case <-time.After(time.Until(s.sigtermAt.Add(kill))):
	}
	s.locked(func() {
		s.counts["killed"]++
		s.killedAt = time.Now()
	})
	cmd.Process.Kill()
	<-ended
	return nil
}

// report fails the test for each violation, and where hardly anything was served.
func (s *soakRun) report(t *testing.T) {
	const maxReported = 20
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Log(s.counts, "stalled", s.longestStall)
	for i, violation := range s.violations {
		t.Error(violation)
		if i == maxReported {
			t.Fatalf("and %d more", len(s.violations)-i)
		}
	}
	if s.counts["200"] < s.counts["requests"]/4 {
		t.Errorf("hardly anything is served: %v", s.counts)
	}
}

// TestSoak runs nodes among backends that hang, fail and reset, clients that
// leave, write slowly and pause, endpoint lists that change, series of reloads,
// crowds, series of signals, and SIGKILL at the earliest. SOAK_SEEDS sets how many
// runs there are, and SOAK_FIRST the first seed; the default is short.
func TestSoak(t *testing.T) {
	seeds, first := 6, int64(1)
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = n
	}
	if n, err := strconv.ParseInt(os.Getenv("SOAK_FIRST"), 10, 64); err == nil {
		first = n
	}
	for i := range int64(seeds) {
		seed := first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSoakRun(seed)
			s.runNode(t)
			s.report(t)
		})
	}
}
