package fleet

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bankshift/internal/lab/scenario"
)

// program is the path of the node's program, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bankshift-fleet-test-")
	if err == nil {
		program, err = Build(context.Background(), dir)
	}
	code := 1
	if err == nil {
		code = m.Run()
	} else {
		fmt.Fprintln(os.Stderr, err)
	}
	os.RemoveAll(dir)
	os.Exit(code)
}

const smallScenario = `
name = "two nodes"
seed = 7
length = "3s"
warm = "1s"
[fleet]
nodes = 2
restart = "300ms"
[servers]
count = 6
[traffic]
rate = 100
tenants = 5
quota = 30
[[zone]]
name = "a"
region = "west"
[[zone]]
name = "b"
region = "west"
[[class]]
name = "read"
part = 7
effect = "safe"
work = "5ms"
work_var = 1
aim = "500ms"
deadline = "2s"
[[class]]
name = "save"
part = 2
effect = "keyed"
work = "5ms"
aim = "500ms"
deadline = "2s"
[[class]]
name = "pay"
effect = "unsafe"
work = "5ms"
aim = "500ms"
deadline = "2s"
`

func parseScenario(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestTwoNodes guards against runs that break a rule or leave figures of the
// result empty. It runs two nodes while servers drain and restart, weights
// change and one node is killed.
func TestTwoNodes(t *testing.T) {
	s := parseScenario(t, smallScenario+`
[[event]]
at = "1500ms"
do = "change-lists"
count = 3
[[event]]
at = "1200ms"
for = "600ms"
do = "drain-servers"
count = 1
[[event]]
at = "1s"
for = "300ms"
do = "restart-servers"
count = 1
[[event]]
at = "1300ms"
do = "kill-nodes"
count = 1
`)
	r, err := Run(t.Context(), s, Options{Node: program})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Violations {
		if !strings.Contains(b, "generator was late") { // the machine may be busy, which is not the nodes' fault
			t.Errorf("violation: %s", b)
		}
	}
	q, traffic := r.Requests, r.ListTraffic
	if r.Kind != "real" || q.Offered < 150 || q.Served < q.Offered*9/10 || q.Attempts < q.Served || q.CrossZone == 0 || q.WithinQuotaServed == 0 {
		t.Errorf("requests of the run: %+v, want at least 150 offered, 9/10 of them served, at least as many attempts, some across zones and some within quota", q)
	}
	if traffic.Calls == 0 || traffic.Bytes == 0 || traffic.NodeRate <= 0 || traffic.WorstRate < traffic.NodeRate || traffic.Changes < 5 || traffic.Snapshots == 0 {
		t.Errorf("list traffic of the run: %+v, want calls, bytes and snapshots above 0, the worst rate at least the mean, and at least 5 changes", traffic)
	}
	if r.Cost.NodeCPU <= 0 || r.Cost.NodeMemory < 1<<20 || r.AddedLatency.Count == 0 || r.Latency["all"].Count != int64(q.Served) ||
		len(r.Events) != 5 || !strings.Contains(r.Events[0], "ready") || len(r.Windows) != 3 {
		t.Errorf("cost %+v, added latency %+v, %d latencies of %d served, events %q, %d windows; want costs and counts above 0, a latency for each served request, 5 events of which the first says when nodes were ready, and 3 windows",
			r.Cost, r.AddedLatency, r.Latency["all"].Count, q.Served, r.Events, len(r.Windows))
	}
}

// TestCanceledRunEndsItsNodes guards against a canceled run that leaves node
// processes behind, or that goes on without its nodes and returns no error.
func TestCanceledRunEndsItsNodes(t *testing.T) {
	before := childProcesses(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { // cancels the run once a node has started
		for ctx.Err() == nil && childProcesses(t) == before {
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
	}()
	if _, err := Run(ctx, parseScenario(t, smallScenario), Options{Node: program}); !errors.Is(err, context.Canceled) {
		t.Errorf("Run returned %v, want %v", err, context.Canceled)
	}
	if after := childProcesses(t); after != before {
		t.Errorf("child processes %q after the run, want %q as before it", after, before)
	}
}

// TestCanceledWaitReportsCancel guards against an AwaitReady that reports only the exit of
// a node which has exited because its context was canceled.
func TestCanceledWaitReportsCancel(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	p := &Process{Name: "n0", Address: "127.0.0.1:1", err: errors.New("signal: killed"), ended: make(chan struct{})}
	close(p.ended)
	for range 100 { // a select between two events that are both ready chooses at random
		if err := p.AwaitReady(ctx, time.Now()); !errors.Is(err, context.Canceled) {
			t.Fatalf("AwaitReady returned %v, want %v", err, context.Canceled)
		}
	}
}

// childProcesses returns the process ids of the children of all threads of this
// process.
func childProcesses(t *testing.T) string {
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		t.Error(err)
	}
	var out strings.Builder
	for _, task := range tasks {
		ids, _ := os.ReadFile("/proc/self/task/" + task.Name() + "/children") // fails if the thread has exited
		out.Write(ids)
	}
	return out.String()
}

// TestFailedStartIsReported guards against an AwaitReady that goes on waiting for
// a node that has exited because its configuration is incomplete, or that does
// not report the reason from the node's log. The usage of the exited process
// must still be readable.
func TestFailedStartIsReported(t *testing.T) {
	p, err := Start(t.Context(), program, t.TempDir(), "n0", "127.0.0.1:1", []byte(`{"settings":{}}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.AwaitReady(t.Context(), time.Now()); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("AwaitReady returned %v for a configuration without listen, want an error that contains \"listen\"", err)
	}
	if u, err := p.Usage(); err != nil || u.CPU <= 0 || u.Memory <= 0 {
		t.Errorf("usage after the exit: %+v, %v; want processor time and memory above 0", u, err)
	}
}

// TestUsage guards against wrong figures from /proc: the usage of this process
// must agree with getrusage, and a command name with spaces and parentheses must
// not shift the fields of /proc/PID/stat.
func TestUsage(t *testing.T) {
	u, err := usageOf(os.Getpid())
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		t.Fatal(err)
	}
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	if err != nil || u.CPU <= 0 || u.CPU > cpu+time.Second || u.CPU < cpu-time.Second || u.Memory < 1<<20 || u.Memory > r.Maxrss<<10+64<<20 {
		t.Errorf("usage %+v, %v; getrusage returned %v and %d KB", u, err, cpu, r.Maxrss)
	}
	if got, err := cpuOf([]byte("7 (a ) b) S 1 7 7 0 -1 4194560 1 0 0 0 12 30 0 0 20 0 5 0 1 2 3")); err != nil || got != 420*time.Millisecond {
		t.Errorf("processor time %v, %v; want 420ms", got, err)
	}
	if _, err := cpuOf([]byte("7 (a")); err == nil {
		t.Error("cpuOf accepted a truncated line")
	}
}

// TestRejectsUnsupportedScenarios guards against runs of scenarios that are too
// large for one machine or contain a partition, which this package does not
// emulate.
func TestRejectsUnsupportedScenarios(t *testing.T) {
	for _, change := range []func(*scenario.Scenario){
		func(s *scenario.Scenario) { s.Fleet.Nodes = MaxNodes + 1 },
		func(s *scenario.Scenario) { s.Servers.Count = MaxServers + 1 },
		func(s *scenario.Scenario) { s.Traffic.Rate = MaxRate + 1 },
	} {
		s := parseScenario(t, smallScenario)
		change(s)
		if _, err := Run(t.Context(), s, Options{Node: program}); !errors.Is(err, ErrTooLarge) {
			t.Errorf("Run returned %v, want %v", err, ErrTooLarge)
		}
	}
	s := parseScenario(t, smallScenario+"[[event]]\nat = \"1s\"\nfor = \"1s\"\ndo = \"cut\"\nzone = \"a\"\n")
	if _, err := Run(t.Context(), s, Options{Node: program}); err == nil || !strings.Contains(err.Error(), "cut") {
		t.Errorf("Run returned %v for a scenario with a network partition, want an error that contains \"cut\"", err)
	}
}
