package hollow

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// base is a small fleet with room: 12 servers of 2 cores before 4 nodes.
const base = `length = "6s"
warm = "1s"
[fleet]
nodes = 4
restart = "1s"
[servers]
cell_size = 2
fall_rest = "1s"
[discovery]
%s
[traffic]
rate = 200
%s
[[zone]]
name = "a"
region = "west"
[[zone]]
name = "b"
region = "west"
[[zone]]
name = "c"
region = "east"
[[class]]
name = "read"
part = 3
effect = "safe"
work = "20ms"
work_var = 1
aim = "300ms"
deadline = "1s"
[[class]]
name = "save"
effect = "keyed"
scope = "cell"
work = "20ms"
aim = "300ms"
deadline = "1s"
[[class]]
name = "order"
effect = "unsafe"
work = "20ms"
aim = "300ms"
deadline = "1s"
`

func load(t testing.TB, discovery, traffic, events string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", fmt.Appendf(nil, base+events, discovery, traffic))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func play(t testing.TB, s *scenario.Scenario) *result.Run {
	t.Helper()
	r, err := Run(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func happens(lines ...string) string {
	return "[[event]]\nat = \"2s\"\n" + strings.Join(lines, "\n") + "\n"
}

func TestOrdinary(t *testing.T) {
	r := play(t, load(t, "", "tenants = 10\nquota = 10", ""))
	q := r.Requests
	if q.Offered < 900 || q.Offered > 1100 || q.Lost != 0 || len(r.Violations) > 0 || float64(q.WithinObjective) < 0.99*float64(q.Offered) {
		t.Errorf("%+v, broken %q", q, r.Violations)
	}
	if q.Served+q.Rejected+q.Failed != q.Offered || q.Tries < q.Offered || q.Attempts < q.Served {
		t.Errorf("counts do not add up: %+v", q)
	}
	// Blind picks would take 5 in 12 across: three of four nodes are in region
	// west with two thirds of the servers. Nearer ones answer sooner.
	if cross := float64(q.CrossRegion) / float64(q.Attempts); cross < 0.1 || cross > 0.42 {
		t.Errorf("%.2f of the attempts cross regions", cross)
	}
	if l := r.Latency["all"]; l.Count != int64(q.Served) || l.Mean < 0.02 || l.Mean > 0.08 {
		t.Errorf("latency %+v", l)
	}
	if c := r.Control; c.Calls < 75 || c.Calls > 85 || c.NodeRate < 1000 || c.NodeRate > 1400 {
		t.Errorf("control %+v, want 4 calls and about 1,180 bytes a second and node", c)
	}
	if q.WithinQuota < q.Offered*2/5 || q.WithinQuota > q.Offered*3/5 {
		t.Errorf("%d of %d requests inside shares that are half of the traffic", q.WithinQuota, q.Offered)
	}
}

// TestSameSeedSameResult: but for the cost, byte by byte, with everything
// going wrong at once.
func TestSameSeedSameResult(t *testing.T) {
	events := happens(`do = "cut"`, `for = "1s"`, `zone = "a"`) + happens(`do = "kill-nodes"`, `count = 1`) +
		happens(`do = "lose-servers"`, `for = "1s"`, `count = 3`) + happens(`do = "discovery-silent"`, `for = "1s"`) +
		happens(`do = "burst"`, `for = "1s"`, `by = 3`) + happens(`do = "replace-servers"`, `count = 2`)
	text := func(seed uint64) string {
		s := load(t, "", "", events)
		s.Seed = seed
		r := play(t, s)
		r.Cost = result.Cost{}
		var b bytes.Buffer
		if err := r.Write(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	one := text(1)
	if one != text(1) {
		t.Error("the same seed gives another result")
	}
	if one == text(2) {
		t.Error("another seed gives the same result")
	}
}

// TestDeeds: each does what it says. None breaks a rule.
func TestDeeds(t *testing.T) {
	part := func(r *result.Run, second int) float64 {
		return float64(r.Windows[second].Served) / float64(r.Windows[second].Offered)
	}
	sum := func(r *result.Run, name string) float64 { return r.Peaks[name].Worst }
	for _, c := range []struct {
		name, discovery, events string
		want                    func(*result.Run) bool
	}{
		{"restart-servers", "", happens(`do = "restart-servers"`, `for = "500ms"`, `part = 0.5`), func(r *result.Run) bool {
			return r.Control.Changes == 6 && sum(r, "sends_to_absent") > 0 && r.Recovery >= 0 && r.Recovery < 2
		}},
		{"replace-servers", "", happens(`do = "replace-servers"`, `count = 3`), func(r *result.Run) bool {
			return r.Control.Changes == 9 && part(r, 2) > 0.97 && part(r, 4) > 0.97
		}},
		{"drain-servers", "", happens(`do = "drain-servers"`, `for = "1s"`, `count = 3`), func(r *result.Run) bool {
			return r.Control.Changes == 6 && part(r, 2) > 0.97 && sum(r, "sends_to_absent") == 0
		}},
		{"hang-servers", "", happens(`do = "hang-servers"`, `for = "1s"`), func(r *result.Run) bool {
			return part(r, 2) < 0.9 && part(r, 5) > 0.97 && r.Control.Changes == 0
		}},
		{"slow-servers", "", happens(`do = "slow-servers"`, `for = "1s"`, `by = 4`), func(r *result.Run) bool {
			return r.Latency["all"].P99 > 0.15 // as ever, 0.1
		}},
		{"fail-servers", "", happens(`do = "fail-servers"`, `for = "1s"`), func(r *result.Run) bool {
			return part(r, 2) < 0.5 && part(r, 5) > 0.97 && r.Requests.Wasted > 0.05
		}},
		{"lose-servers", "", happens(`do = "lose-servers"`, `for = "1s"`, `count = 6`), func(r *result.Run) bool {
			return r.Control.Changes == 6 && sum(r, "sends_to_absent") > 0
		}},
		{"cut", "", happens(`do = "cut"`, `for = "1s"`, `region = "east"`) + happens(`do = "change-lists"`, `count = 2`), func(r *result.Run) bool {
			return sum(r, "sends_to_absent") > 0 && r.Control.Notification.Max > 1 && r.Control.Notification.Count == 8
		}},
		{"kill-nodes", "", happens(`do = "kill-nodes"`, `count = 1`), func(r *result.Run) bool {
			return r.Control.Snapshots == 1 && r.Latency["all"].P99 > 0.2 && part(r, 5) > 0.97
		}},
		{"restart-nodes", "", happens(`do = "restart-nodes"`, `count = 1`), func(r *result.Run) bool {
			return r.Control.Snapshots == 1 && r.Requests.Failed == 0 && r.Latency["all"].P99 < 0.2
		}},
		{"change-lists", "", happens(`do = "change-lists"`, `count = 10`, `over = "1s"`), func(r *result.Run) bool {
			return r.Control.Changes == 10 && r.Control.Notification.Count == 40 && r.Control.Notification.Max < 0.3 && r.Control.Notification.Mean > 0.1
		}},
		{"discovery-down", "", happens(`do = "discovery-down"`, `for = "1s"`) + happens(`do = "change-lists"`, `count = 1`), func(r *result.Run) bool {
			return r.Control.Notification.P50 > 1 && r.Control.Notification.Count == 4 && part(r, 2) > 0.97
		}},
		{"discovery-silent", "", happens(`do = "discovery-silent"`, `for = "1s"`) + happens(`do = "change-lists"`, `count = 1`), func(r *result.Run) bool {
			return r.Control.Notification.P50 > 1 && r.Control.Notification.Count == 4 && part(r, 2) > 0.97
		}},
		{"watches-break", "asked = true", happens(`do = "watches-break"`), func(r *result.Run) bool {
			return r.Control.Calls == 8 && part(r, 2) > 0.97 // of each node one answered at once, and the next watch
		}},
		{"asked lists", "asked = true", happens(`do = "change-lists"`, `count = 2`, `over = "1s"`), func(r *result.Run) bool {
			return r.Control.Notification.Count == 8 && r.Control.Calls == 8
		}},
		{"burst", "", happens(`do = "burst"`, `for = "1s"`, `by = 3`), func(r *result.Run) bool {
			return r.Windows[2].Offered > 2*r.Windows[1].Offered && r.Windows[3].Offered < 300
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := play(t, load(t, c.discovery, "", c.events))
			if len(r.Violations) > 0 || r.Requests.Lost > 0 {
				t.Errorf("%d lost, broken: %q", r.Requests.Lost, r.Violations)
			}
			if !c.want(r) {
				var b bytes.Buffer
				r.Table(&b)
				t.Errorf("%s\n%+v", b.String(), r.Windows)
			}
		})
	}
}

// TestRulesCanBreak: a module that did what it must not would be found out.
func TestRulesCanBreak(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name, class string
		deed        func(m *sim, n *hollowNode, r *request)
		want        string
	}{
		{"attempts", "read", func(m *sim, n *hollowNode, r *request) {
			for range 4 {
				send(m, n, r, 0)
				r.attempts[len(r.attempts)-1].cancel()
			}
		}, "3 are allowed"},
		{"overlap", "read", func(m *sim, n *hollowNode, r *request) { send(m, n, r, 0); send(m, n, r, 1) }, "two attempts"},
		{"unsafe", "order", func(m *sim, n *hollowNode, r *request) {
			send(m, n, r, 0)
			m.run(context.Background(), m.now+5*ms)
			r.attempts[0].cancel()
			send(m, n, r, 1)
		}, "unsafe"},
		{"scope", "save", func(m *sim, n *hollowNode, r *request) {
			send(m, n, r, 0)
			m.run(context.Background(), m.now+5*ms)
			r.attempts[0].cancel()
			send(m, n, r, 1)
		}, "leaves its cell"},
		{"window", "save", func(m *sim, n *hollowNode, r *request) {
			send(m, n, r, 0)
			m.run(context.Background(), m.now+5*ms)
			r.attempts[0].cancel()
			m.classes[1].KeyWindow = scenario.Duration(ms)
			m.run(context.Background(), m.now+100*ms)
			send(m, n, r, 0)
			m.run(context.Background(), m.now+5*ms)
		}, "its key is known for"},
		{"refusal", "order", func(m *sim, n *hollowNode, r *request) {
			send(m, n, r, 0)
			n.apply(balancer.Reject{ID: r.id})
		}, "is refused"},
		{"drain", "read", func(m *sim, n *hollowNode, r *request) {
			m.setStatus(m.current[0], "draining")
			for v := range m.versionTimes {
				m.versionTimes[v] = 0 // long ago
			}
			for _, b := range n.pool.backends {
				b.server = m.current[0]
			}
			send(m, n, r, 1)
			m.run(context.Background(), m.now+5*ms)
		}, "told as draining"},
		{"late", "read", func(m *sim, n *hollowNode, r *request) {
			r.clientDeadline = m.now - time.Second
			n.apply(balancer.Fail{ID: r.id})
		}, "late"},
		{"never", "read", func(m *sim, n *hollowNode, r *request) { r.answered = true }, "got no answer"},
		{"cold", "read", func(m *sim, n *hollowNode, r *request) {
			sv := m.current[0]
			m.startServer(sv)
			m.run(context.Background(), m.now+300*ms) // all are told
			for range 200 {
				sv.model.Connect(m.now)
				m.lastWorkID++
				sv.model.Arrive(m.now, nil, model.Work{ID: uint64(m.lastWorkID), Cost: m.meanCost})
				m.checkColdLoad(sv, n)
			}
		}, "that were told"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := load(t, "", "", "")
			s.Traffic.Rate = 0.001 // none but the test's
			m, err := newSim(s)
			if err != nil {
				t.Fatal(err)
			}
			ctx := context.Background()
			m.run(ctx, m.trafficStart+2*time.Second)
			n := m.nodes[0]
			k := &m.classes[map[string]int{"read": 0, "save": 1, "order": 2}[c.class]]
			cl := &client{sim: m, class: k, sentAt: m.now, deadline: m.now + time.Second, key: "k"}
			cl.arrival.Tenant, cl.arrival.Work, cl.arrival.At = -1, time.Minute, 2*time.Second
			m.openClients++
			r := &request{id: "r", client: cl, class: k, arrived: m.now, clientDeadline: cl.deadline, deadline: cl.deadline}
			n.requests[r.id] = r
			c.deed(m, n, r)
			m.run(ctx, m.now+2*time.Second)
			got := strings.Join(m.result().Violations, "\n")
			if !strings.Contains(got, c.want) {
				t.Errorf("broken: %q, want %q", got, c.want)
			}
			m.stopArrivals()
		})
	}
}

// send has the node send to the i-th of its servers, as if the module had said so.
func send(m *sim, n *hollowNode, r *request, i int) {
	id, _ := n.endpoints.ID(m.current[i].Name)
	n.apply(balancer.Send{ID: r.id, Endpoint: id})
	m.run(context.Background(), m.now)
}

// BenchmarkSecond is a second of 45 nodes, 450 servers and 8,100 requests/s.
func BenchmarkSecond(b *testing.B) {
	s := load(b, "", "", "")
	s.Fleet.Nodes, s.Servers.Count, s.Traffic.Rate = 45, 450, 8100
	s.Length = scenario.Duration(time.Hour)
	m, err := newSim(s)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { m.stopArrivals() }()
	m.run(context.Background(), m.trafficStart+time.Second)
	for b.Loop() {
		m.run(context.Background(), m.now+time.Second)
	}
}
