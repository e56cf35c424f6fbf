package hollow

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/lab/arrivals"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/result"
	"bankshift/internal/lab/scenario"
)

// baseScenario is a small fleet with spare capacity: 4 nodes in front of 12 servers with 2 cores each. Each %s
// stands for further settings: the first for those of discovery, the second for those of the traffic.
const baseScenario = `length = "6s"
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

func parseScenario(t testing.TB, discovery, traffic, events string) *scenario.Scenario {
	t.Helper()
	s, err := scenario.Parse("test.toml", fmt.Appendf(nil, baseScenario+events, discovery, traffic))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func runScenario(t testing.TB, s *scenario.Scenario) *result.Run {
	t.Helper()
	r, err := Run(context.Background(), s)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func eventAt2s(lines ...string) string {
	return "[[event]]\nat = \"2s\"\n" + strings.Join(lines, "\n") + "\n"
}

// TestRunWithoutFaults guards against lost or miscounted requests, broken rules and wrong measurements of latency,
// locality, list traffic and quotas in a run without events.
func TestRunWithoutFaults(t *testing.T) {
	r := runScenario(t, parseScenario(t, "", "tenants = 10\nquota = 10", ""))
	q := r.Requests
	if q.Offered < 900 || q.Offered > 1100 || q.Lost != 0 || len(r.Violations) > 0 || float64(q.WithinObjective) < 0.99*float64(q.Offered) {
		t.Errorf("%+v, violations %q, want about 1,000 offered, 0 lost, 99%% within objective, no violations", q, r.Violations)
	}
	if q.Served+q.Rejected+q.Failed != q.Offered || q.Tries < q.Offered || q.Attempts < q.Served {
		t.Errorf("%+v, want served, rejected and failed to add up to offered, tries >= offered, attempts >= served", q)
	}
	// Uniform random picks would send 5 in 12 attempts to the other region: three of the four nodes and two thirds
	// of the servers are in region west. Fewer must cross, because nearer servers answer sooner.
	if cross := float64(q.CrossRegion) / float64(q.Attempts); cross < 0.1 || cross > 0.42 {
		t.Errorf("the fraction %.2f of the attempts crosses regions, want 0.1 to 0.42", cross)
	}
	if l := r.Latency["all"]; l.Count != int64(q.Served) || l.Mean < 0.02 || l.Mean > 0.08 {
		t.Errorf("latency %+v, want one value per served request and a mean of 20 to 80 ms", l)
	}
	if traffic := r.ListTraffic; traffic.Calls < 75 || traffic.Calls > 85 || traffic.NodeRate < 1000 || traffic.NodeRate > 1400 {
		t.Errorf("list traffic %+v, want 4 calls per second and about 1,180 bytes/s for each node", traffic)
	}
	if q.WithinQuota < q.Offered*2/5 || q.WithinQuota > q.Offered*3/5 {
		t.Errorf("%d of %d requests are within quotas that add up to half of the traffic, want 2/5 to 3/5", q.WithinQuota, q.Offered)
	}
}

// TestSameSeedSameResult guards against runs that do not depend on the seed alone. It compares everything except the
// cost byte by byte, with many faults at once.
func TestSameSeedSameResult(t *testing.T) {
	events := eventAt2s(`do = "cut"`, `for = "1s"`, `zone = "a"`) + eventAt2s(`do = "kill-nodes"`, `count = 1`) +
		eventAt2s(`do = "lose-servers"`, `for = "1s"`, `count = 3`) + eventAt2s(`do = "discovery-silent"`, `for = "1s"`) +
		eventAt2s(`do = "burst"`, `for = "1s"`, `by = 3`) + eventAt2s(`do = "replace-servers"`, `count = 2`)
	text := func(seed uint64) string {
		s := parseScenario(t, "", "", events)
		s.Seed = seed
		r := runScenario(t, s)
		r.Cost = result.Cost{}
		var b bytes.Buffer
		if err := r.Write(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	one := text(1)
	if one != text(1) {
		t.Error("two runs with seed 1 give different results")
	}
	if one == text(2) {
		t.Error("seeds 1 and 2 give the same result")
	}
}

// TestEventActions guards against an action without its effect, and against nodes that lose requests or break a rule
// under one.
func TestEventActions(t *testing.T) {
	servedFraction := func(r *result.Run, second int) float64 {
		return float64(r.Windows[second].Served) / float64(r.Windows[second].Offered)
	}
	peak := func(r *result.Run, name string) float64 { return r.Peaks[name].Worst }
	for _, c := range []struct {
		name, discovery, events string
		want                    func(*result.Run) bool
	}{
		{"restart-servers", "", eventAt2s(`do = "restart-servers"`, `for = "500ms"`, `part = 0.5`), func(r *result.Run) bool {
			return r.ListTraffic.Changes == 6 && peak(r, "sends_to_absent") > 0 && r.Recovery >= 0 && r.Recovery < 2
		}},
		{"replace-servers", "", eventAt2s(`do = "replace-servers"`, `count = 3`), func(r *result.Run) bool {
			return r.ListTraffic.Changes == 9 && servedFraction(r, 2) > 0.97 && servedFraction(r, 4) > 0.97
		}},
		{"drain-servers", "", eventAt2s(`do = "drain-servers"`, `for = "1s"`, `count = 3`), func(r *result.Run) bool {
			return r.ListTraffic.Changes == 6 && servedFraction(r, 2) > 0.97 && peak(r, "sends_to_absent") == 0
		}},
		{"hang-servers", "", eventAt2s(`do = "hang-servers"`, `for = "1s"`), func(r *result.Run) bool {
			return servedFraction(r, 2) < 0.9 && servedFraction(r, 5) > 0.97 && r.ListTraffic.Changes == 0
		}},
		{"slow-servers", "", eventAt2s(`do = "slow-servers"`, `for = "1s"`, `by = 4`), func(r *result.Run) bool {
			return r.Latency["all"].P99 > 0.15 // 0.1 without the event
		}},
		{"fail-servers", "", eventAt2s(`do = "fail-servers"`, `for = "1s"`), func(r *result.Run) bool {
			return servedFraction(r, 2) < 0.5 && servedFraction(r, 5) > 0.97 && r.Requests.Wasted > 0.05
		}},
		{"lose-servers", "", eventAt2s(`do = "lose-servers"`, `for = "1s"`, `count = 6`), func(r *result.Run) bool {
			return r.ListTraffic.Changes == 6 && peak(r, "sends_to_absent") > 0
		}},
		{"cut", "", eventAt2s(`do = "cut"`, `for = "1s"`, `region = "east"`) + eventAt2s(`do = "change-lists"`, `count = 2`), func(r *result.Run) bool {
			return peak(r, "sends_to_absent") > 0 && r.ListTraffic.PropagationDelay.Max > 1 && r.ListTraffic.PropagationDelay.Count == 8
		}},
		{"kill-nodes", "", eventAt2s(`do = "kill-nodes"`, `count = 1`), func(r *result.Run) bool {
			return r.ListTraffic.Snapshots == 1 && r.Latency["all"].P99 > 0.2 && servedFraction(r, 5) > 0.97
		}},
		{"restart-nodes", "", eventAt2s(`do = "restart-nodes"`, `count = 1`), func(r *result.Run) bool {
			return r.ListTraffic.Snapshots == 1 && r.Requests.Failed == 0 && r.Latency["all"].P99 < 0.2
		}},
		{"change-lists", "", eventAt2s(`do = "change-lists"`, `count = 10`, `over = "1s"`), func(r *result.Run) bool {
			return r.ListTraffic.Changes == 10 && r.ListTraffic.PropagationDelay.Count == 40 && r.ListTraffic.PropagationDelay.Max < 0.3 && r.ListTraffic.PropagationDelay.Mean > 0.1
		}},
		{"discovery-down", "", eventAt2s(`do = "discovery-down"`, `for = "1s"`) + eventAt2s(`do = "change-lists"`, `count = 1`), func(r *result.Run) bool {
			return r.ListTraffic.PropagationDelay.P50 > 1 && r.ListTraffic.PropagationDelay.Count == 4 && servedFraction(r, 2) > 0.97
		}},
		{"discovery-silent", "", eventAt2s(`do = "discovery-silent"`, `for = "1s"`) + eventAt2s(`do = "change-lists"`, `count = 1`), func(r *result.Run) bool {
			return r.ListTraffic.PropagationDelay.P50 > 1 && r.ListTraffic.PropagationDelay.Count == 4 && servedFraction(r, 2) > 0.97
		}},
		{"watches-break", "asked = true", eventAt2s(`do = "watches-break"`), func(r *result.Run) bool {
			// 2 calls per node: a poll that is answered at once, then a watch
			return r.ListTraffic.Calls == 8 && servedFraction(r, 2) > 0.97
		}},
		{"on-demand lists", "asked = true", eventAt2s(`do = "change-lists"`, `count = 2`, `over = "1s"`), func(r *result.Run) bool {
			return r.ListTraffic.PropagationDelay.Count == 8 && r.ListTraffic.Calls == 8
		}},
		{"burst", "", eventAt2s(`do = "burst"`, `for = "1s"`, `by = 3`), func(r *result.Run) bool {
			return r.Windows[2].Offered > 2*r.Windows[1].Offered && r.Windows[3].Offered < 300
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := runScenario(t, parseScenario(t, c.discovery, "", c.events))
			if len(r.Violations) > 0 || r.Requests.Lost > 0 {
				t.Errorf("%d requests lost, violations %q, want none", r.Requests.Lost, r.Violations)
			}
			if !c.want(r) {
				var b bytes.Buffer
				r.Table(&b)
				t.Errorf("the event does not have the wanted effect:\n%s\n%+v", b.String(), r.Windows)
			}
		})
	}
}

// fixture is a run with one open request, whose attempts the test orders itself.
type fixture struct {
	*sim
	node    *hollowNode
	request *request
}

// newFixture runs past the warm-up and opens a request of the class with the given index at the first node.
func newFixture(t *testing.T, class int) *fixture {
	t.Helper()
	s := parseScenario(t, "", "", "")
	s.Traffic.Rate = 0.001 // in effect no requests but the test's
	m, err := newSim(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.stopArrivals() })
	f := &fixture{sim: m, node: m.nodes[0]}
	f.advance(m.trafficStart + 2*time.Second)
	c := &client{sim: m, class: &m.classes[class], sentAt: m.now, deadline: m.now + time.Second, key: "k"}
	c.arrival = arrivals.Arrival{Tenant: -1, Work: time.Minute, At: 2 * time.Second}
	m.openClients++
	f.request = &request{id: "r", client: c, class: c.class, arrivedAt: m.now, clientDeadline: c.deadline, deadline: c.deadline}
	f.node.requests[f.request.id] = f.request
	return f
}

// advance runs the events of the next d.
func (f *fixture) advance(d time.Duration) { f.run(context.Background(), f.now+d) }

// send makes the node send the request to server i, as if the balancer had returned that Send.
func (f *fixture) send(i int) {
	id, _ := f.node.directory.ID(f.currentServers[i].Name)
	f.node.perform(balancer.Send{ID: f.request.id, Endpoint: id})
	f.advance(0)
}

// sendAndCancel sends the request to the first server and cancels the attempt after the request has arrived there.
func (f *fixture) sendAndCancel() {
	f.send(0)
	f.advance(5 * time.Millisecond)
	f.request.attempts[0].cancel()
}

// sendToDraining sends the request to a server that has long been listed as draining. The pool would not send to it,
// so the node's backends, which are not marked as draining, are pointed to this server.
func (f *fixture) sendToDraining() {
	f.setStatus(f.currentServers[0], model.Draining)
	for v := range f.versionTimes {
		f.versionTimes[v] = 0
	}
	for _, b := range f.node.pool.backends {
		b.server = f.currentServers[0]
	}
	f.send(1)
	f.advance(5 * time.Millisecond)
}

// overloadWarmingUp crashes a server during its warm-up, by overload after all nodes have been notified of its start.
func (f *fixture) overloadWarmingUp() {
	sv := f.currentServers[0]
	f.startServer(sv)
	f.advance(300 * time.Millisecond)
	for range 200 {
		sv.model.Connect(f.now)
		f.lastModelRequestID++
		sv.model.Arrive(f.now, nil, model.Request{ID: f.lastModelRequestID, Work: f.scenario.MeanWork()})
		f.checkWarmupLoad(sv, f.node)
	}
}

// TestViolationsAreReported guards against broken rules that the result does not contain: each case makes the node do
// what a balancer must not order.
func TestViolationsAreReported(t *testing.T) {
	const read, save, order = 0, 1, 2 // indexes of the classes
	for _, c := range []struct {
		name  string
		class int
		act   func(f *fixture)
		want  string
	}{
		{"attempts", read, func(f *fixture) {
			for i := range 4 {
				f.send(0)
				f.request.attempts[i].cancel()
			}
		}, "3 are allowed"},
		{"overlap", read, func(f *fixture) { f.send(0); f.send(1) }, "two attempts"},
		{"unsafe", order, func(f *fixture) { f.sendAndCancel(); f.send(1) }, "unsafe"},
		{"scope", save, func(f *fixture) { f.sendAndCancel(); f.send(1) }, "leaves its cell"},
		{"window", save, func(f *fixture) {
			f.sendAndCancel()
			f.classes[save].KeyWindow = scenario.Duration(time.Millisecond)
			f.advance(100 * time.Millisecond)
			f.send(0)
			f.advance(5 * time.Millisecond)
		}, "its key is known for"},
		{"rejection", order, func(f *fixture) {
			f.send(0)
			f.node.perform(balancer.Reject{ID: f.request.id})
		}, "is refused"},
		{"drain", read, (*fixture).sendToDraining, "told as draining"},
		{"late response", read, func(f *fixture) {
			f.request.clientDeadline = f.now - time.Second
			f.node.perform(balancer.Fail{ID: f.request.id})
		}, "late"},
		{"no response", read, func(f *fixture) { f.request.answered = true }, "got no answer"},
		{"crash during warm-up", read, (*fixture).overloadWarmingUp, "that were told"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, c.class)
			c.act(f)
			f.advance(2 * time.Second)
			got := strings.Join(f.result().Violations, "\n")
			if !strings.Contains(got, c.want) {
				t.Errorf("violations: %q, want one that contains %q", got, c.want)
			}
		})
	}
}

// BenchmarkSecond measures one simulated second of 45 nodes, 450 servers and 8,100 requests/s.
func BenchmarkSecond(b *testing.B) {
	s := parseScenario(b, "", "", "")
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
