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

// program is the path of the node's program, built once.
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

func parse(t *testing.T, text string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func TestTwoNodes(t *testing.T) {
	s := parse(t, smallScenario+`
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
		if !strings.Contains(b, "generator was late") { // the machine may be busy, which is no fault of a node
			t.Errorf("violation: %s", b)
		}
	}
	q, c := r.Requests, r.Control
	if r.Kind != "real" || q.Offered < 150 || q.Served < q.Offered*9/10 || q.Attempts < q.Served || q.CrossZone == 0 || q.WithinQuotaServed == 0 {
		t.Errorf("%+v", q)
	}
	if c.Calls == 0 || c.Bytes == 0 || c.NodeRate <= 0 || c.WorstRate < c.NodeRate || c.Changes < 5 || c.Snapshots == 0 {
		t.Errorf("%+v", c)
	}
	if r.Cost.NodeCPU <= 0 || r.Cost.NodeMemory < 1<<20 || r.Added.Count == 0 || r.Latency["all"].Count != int64(q.Served) ||
		len(r.Events) != 5 || !strings.Contains(r.Events[0], "ready") || len(r.Windows) != 3 {
		t.Errorf("%+v, %+v, %q", r.Cost, r.Added, r.Events)
	}
}

// TestCanceledRunEndsItsNodes: without nodes the run would go on to its end,
// which is no error.
func TestCanceledRunEndsItsNodes(t *testing.T) {
	before := childProcesses(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { // once it has nodes
		for ctx.Err() == nil && childProcesses(t) == before {
			time.Sleep(5 * time.Millisecond)
		}
		cancel()
	}()
	if _, err := Run(ctx, parse(t, smallScenario), Options{Node: program}); !errors.Is(err, context.Canceled) {
		t.Errorf("ends with %v", err)
	}
	if after := childProcesses(t); after != before {
		t.Errorf("children %q, before the run %q", after, before)
	}
}

// childProcesses of this process's threads, by id.
func childProcesses(t *testing.T) string {
	tasks, err := os.ReadDir("/proc/self/task")
	if err != nil {
		t.Error(err)
	}
	var out strings.Builder
	for _, task := range tasks {
		ids, _ := os.ReadFile("/proc/self/task/" + task.Name() + "/children") // a thread may end
		out.Write(ids)
	}
	return out.String()
}

func TestFailedStartIsReported(t *testing.T) {
	p, err := Start(t.Context(), program, t.TempDir(), "n0", "127.0.0.1:1", []byte(`{"settings":{}}`), 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.AwaitReady(t.Context(), time.Now()); err == nil || !strings.Contains(err.Error(), "listen") {
		t.Errorf("a node that cannot start: %v", err)
	}
	if u, err := p.Usage(); err != nil || u.CPU <= 0 || u.Memory <= 0 {
		t.Errorf("after its end: %+v, %v", u, err)
	}
}

func TestUsage(t *testing.T) {
	u, err := usageOf(os.Getpid())
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		t.Fatal(err)
	}
	cpu := time.Duration(r.Utime.Nano() + r.Stime.Nano())
	if err != nil || u.CPU <= 0 || u.CPU > cpu+time.Second || u.CPU < cpu-time.Second || u.Memory < 1<<20 || u.Memory > r.Maxrss<<10+64<<20 {
		t.Errorf("%+v, %v; the system's account is %v and %d KB", u, err, cpu, r.Maxrss)
	}
	if got, err := cpuOf([]byte("7 (a ) b) S 1 7 7 0 -1 4194560 1 0 0 0 12 30 0 0 20 0 5 0 1 2 3")); err != nil || got != 420*time.Millisecond {
		t.Errorf("%v, %v", got, err)
	}
	if _, err := cpuOf([]byte("7 (a")); err == nil {
		t.Error("accepted half a line")
	}
}

func TestRejectsUnsupportedScenarios(t *testing.T) {
	for _, change := range []func(*scenario.Scenario){
		func(s *scenario.Scenario) { s.Fleet.Nodes = MaxNodes + 1 },
		func(s *scenario.Scenario) { s.Servers.Count = MaxServers + 1 },
		func(s *scenario.Scenario) { s.Traffic.Rate = MaxRate + 1 },
	} {
		s := parse(t, smallScenario)
		change(s)
		if _, err := Run(t.Context(), s, Options{Node: program}); !errors.Is(err, ErrTooLarge) {
			t.Errorf("ends with %v", err)
		}
	}
	s := parse(t, smallScenario+"[[event]]\nat = \"1s\"\nfor = \"1s\"\ndo = \"cut\"\nzone = \"a\"\n")
	if _, err := Run(t.Context(), s, Options{Node: program}); err == nil || !strings.Contains(err.Error(), "cut") {
		t.Errorf("ends with %v", err)
	}
}
