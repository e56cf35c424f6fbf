package scenario

import (
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/node"
)

const smallScenario = `about = "a test"
length = "4s"
warm = "1s"
[fleet]
nodes = 4
max_attempts = 2
[servers]
count = 10
cell_size = 2
[[servers.kind]]
name = "big"
part = 3
cores = 4
[[servers.kind]]
name = "slim"
[traffic]
tenants = 2
quota = 7.5
[[zone]]
name = "a1"
region = "a"
[[zone]]
name = "b1"
region = "b"
[[class]]
name = "read"
effect = "safe"
work = "5ms"
aim = "100ms"
deadline = "500ms"
[[class]]
name = "pay"
effect = "keyed"
scope = "zone"
window = "3s"
work = "10ms"
aim = "200ms"
deadline = "1s"
worth = 4
late_worth = 0.5
[[event]]
at = "2s"
do = "lose-servers"
for = "1s"
zone = "a1"
count = 3
over = "300ms"
`

func parse(t *testing.T, text string) *Scenario {
	t.Helper()
	s, err := Parse("test.toml", []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestParseReportsEveryError guards against invalid scenario files that are
// accepted, and against errors that are left out or name the wrong line or key.
func TestParseReportsEveryError(t *testing.T) {
	parse(t, smallScenario)
	for _, c := range []struct {
		old, new string
		want     []string // prefixes of the lines of the error
	}{
		{`nodes = 4`, `noods = 4`, []string{"test.toml:5: fleet.noods: is unknown"}},
		{`nodes = 4`, `nodes = "4"`, []string{"test.toml:5: fleet.nodes: want a whole number"}},
		{`length = "4s"`, `length = 4`, []string{"test.toml:2: length: want a duration"}},
		{`length = "4s"`, `length = "4"`, []string{"test.toml:2: length: want a duration"}},
		{`length = "4s"`, `length = "-4s"`, []string{"test.toml:2: length: want a duration"}},
		{`length = "4s"`, `length = "1s"`, []string{"test.toml:2: length: is 1s, want more than warm, 1s", "test.toml:42: event[0].at: is 2s, want less than length, 1s"}},
		{`length = "4s"`, `length = `, []string{"test.toml:2: invalid TOML"}},
		{`max_attempts = 2`, `max_attempts = 0`, []string{"test.toml:6: fleet.max_attempts: is 0, want over 0"}},
		{`scope = "zone"`, `scope = "rack"`, []string{`test.toml:34: class[1].scope: is "rack", want all, zone or cell`}},
		{`effect = "safe"`, `effect = "odd"`, []string{`test.toml:27: class[0].effect: is "odd"`}},
		{`deadline = "1s"`, `deadline = "1ms"`, []string{"test.toml:38: class[1].deadline: is 1ms, want at least aim, 200ms"}},
		{`do = "lose-servers"`, `do = "lose"`, []string{`test.toml:43: event[0].do: is "lose", want one of`}},
		{`for = "1s"`, ``, []string{`test.toml:41: event[0].for: is 0s, want over 0`}},
		{`zone = "a1"`, `zone = "c1"`, []string{`test.toml:43: event[0].do: is "lose-servers", but its zone or region has no server`, `test.toml:45: event[0].zone: is "c1"`}},
		{`name = "slim"`, `name = "big"`, []string{`test.toml:15: servers.kind[1].name: is "big", want a unique and non-empty name`}},
		{"nodes = 4\nmax_attempts = 2\n[servers]\ncount = 10", "nodes = -1\nmax_attempts = 2\nodd = 1\n[servers]\ncount = true",
			[]string{"test.toml:5: fleet.nodes: is -1", "test.toml:7: fleet.odd: is unknown", "test.toml:9: servers.count: want a whole number"}},
	} {
		text := strings.Replace(smallScenario, c.old, c.new, 1)
		if text == smallScenario {
			t.Fatalf("the scenario does not contain %q", c.old)
		}
		_, err := Parse("test.toml", []byte(text))
		if err == nil {
			t.Errorf("%q: no error", c.new)
			continue
		}
		lines := strings.Split(err.Error(), "\n")
		ok := len(lines) == len(c.want)
		for i := range lines {
			ok = ok && strings.HasPrefix(lines[i], c.want[i])
		}
		if !ok {
			t.Errorf("%q: error\n%v\nwant\n%s", c.new, err, strings.Join(c.want, "\n"))
		}
	}
}

// TestNodeAcceptsItsConfig guards against a NodeConfig that package node rejects
// or reads as other settings than the scenario's, and against a node seed that is
// reused after a restart.
func TestNodeAcceptsItsConfig(t *testing.T) {
	s := parse(t, smallScenario)
	raw, err := s.NodeConfig(3, NodeStartParams{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"})
	if err != nil {
		t.Fatal(err)
	}
	c, err := node.ParseConfig(raw)
	if err != nil {
		t.Fatal(err)
	}
	if c.Name != "n3" || c.Listen != "127.0.0.1:1" || c.Discovery != "127.0.0.1:2" || c.MemoryMB != 192 || c.Sockets != 1024 {
		t.Errorf("configuration %+v, want name n3, addresses 127.0.0.1:1 and :2, 192 MB and 1024 sockets", c)
	}
	want := balancer.Settings{Nodes: 4, NodeIndex: 3, Zone: "b1", Zones: []string{"a1", "b1"}, MachineTypes: []string{"big", "slim"},
		Classes: []balancer.Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 100 * time.Millisecond, Deadline: 500 * time.Millisecond, Idempotency: balancer.Idempotent},
			{Name: "pay", PriorityWeight: 4, LatencyObjective: 200 * time.Millisecond, Deadline: time.Second, LateWeight: 0.5, Idempotency: balancer.IdempotentByKey,
				DeduplicationScope: balancer.DeduplicatedByZone, DeduplicationWindow: 3 * time.Second}},
		Tenants:     []balancer.Tenant{{Name: "t00000", Quota: 7.5, QuotaFraction: 0.5}, {Name: "t00001", Quota: 7.5, QuotaFraction: 0.5}},
		MaxAttempts: 2, CancelAllowed: true, RetryAfterAllowed: true, MaxRetryAfter: maxRetryAfter, ClientsMarkRetries: true,
		ConnectTimeout: 150 * time.Millisecond, MinEventInterval: minEventInterval, WeightKnown: true, WeightApproximate: true, OverQuotaWeight: 0.1,
		LoadReportFields: []string{}, ServiceFamily: "proxy", Tiers: []string{"lab"}, StreamsPerConnection: 1, IdleConnectionTimeout: time.Minute,
		MaxOpenRequests: 20000, CPUPerSecond: time.Second, ResultWeights: balancer.ResultWeights{Whole: 1}, ResponseSlack: responseSlack,
		PollInterval: 10 * time.Second, DrainGrace: time.Second, SlowStartCapacity: 0.12, SlowStartDuration: 23 * time.Second,
		OverloadFactor: 4, OverloadDuration: time.Second}
	if !reflect.DeepEqual(c.Settings, want) {
		t.Errorf("settings\n%+v, want\n%+v", c.Settings, want)
	}
	again, _ := s.NodeConfig(3, NodeStartParams{Incarnation: 1, Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"})
	if d, err := node.ParseConfig(again); err != nil || d.Seed == c.Seed {
		t.Errorf("after a restart: error %v, seed %x, want another seed than before", err, d.Seed)
	}
}

// TestTopology guards against server names that are not unique, cells that span
// zones, successors in another zone, cell or machine type, and machine types that
// are not spread by their shares.
func TestTopology(t *testing.T) {
	s := parse(t, smallScenario)
	names, cells, big := map[string]bool{}, map[int]string{}, 0
	for i := range 20 {
		v := s.Server(i)
		names[v.Name] = true
		if zone := cells[v.Cell]; zone != "" && zone != v.Zone {
			t.Errorf("cell %d is in zones %s and %s", v.Cell, zone, v.Zone)
		}
		cells[v.Cell] = v.Zone
		if v.MachineType.Name == "big" {
			big++
		}
		if n := s.Server(i % 10); n.Zone != v.Zone || n.Cell != v.Cell || n.MachineType != v.MachineType {
			t.Errorf("successor %+v of %+v, want the same zone, cell and machine type", v, n)
		}
	}
	if len(names) != 20 || big < 12 || big > 18 {
		t.Errorf("%d names, %d of type big, want 20 and about 15", len(names), big)
	}
	if d := s.Delay("a1", "b1"); d != 20*time.Millisecond {
		t.Errorf("delay between regions is %v, want 20ms", d)
	}
}

// TestSteps guards against steps that differ between calls, are not spread
// evenly, affect a server twice or one outside the event's zone, or end at the
// wrong time.
func TestSteps(t *testing.T) {
	s := parse(t, smallScenario)
	got := s.Steps(0)
	if len(got) != 3 || !reflect.DeepEqual(got, s.Steps(0)) {
		t.Fatalf("steps %+v, want three, and the same from a second call", got)
	}
	seen := map[int]bool{}
	for i, k := range got {
		at := 2*time.Second + time.Duration(i)*100*time.Millisecond
		if k.At != at || k.Until != at+time.Second || s.Server(k.Index).Zone != "a1" || seen[k.Index] {
			t.Errorf("step %+v, want another server of zone a1, 100ms after the step before, for 1s", k)
		}
		seen[k.Index] = true
	}
	if end := s.LastEventEnd(); end != 3300*time.Millisecond {
		t.Errorf("the last event ends at %v, want 3.3s", end)
	}
}

// TestStoredScenarios guards against scenario files in the repository that Load
// rejects, whose name is not the file's, or that lack a description.
func TestStoredScenarios(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(files) < 10 {
		t.Fatalf("found %d scenario files, want at least 10; error %v", len(files), err)
	}
	for _, file := range files {
		s, err := Load(file)
		if err != nil {
			t.Error(err)
			continue
		}
		if name := strings.TrimSuffix(filepath.Base(file), ".toml"); s.Name != name {
			t.Errorf("scenario file %s has the name %q, want the file's", file, s.Name)
		}
		if s.About == "" {
			t.Errorf("scenario file %s has no about", file)
		}
	}
}
