package balancer

import (
	"fmt"
	"math"
	"math/rand"
	"testing"
	"time"
)

// spread gives each node's part of a tenant's traffic.
type spread func(nodes int) []float64

// evenly gives each node as much.
func evenly(nodes int) []float64 {
	w := make([]float64, nodes)
	for i := range w {
		w[i] = 1 / float64(nodes)
	}
	return w
}

// hot gives every tenth node, or the first, so many times the mean, and the others what is left.
func hot(times float64) spread {
	return func(nodes int) []float64 {
		w, n := evenly(nodes), float64((nodes+9)/10)
		times := math.Min(times, 0.7*float64(nodes)/n)
		for i := range w {
			if i%10 == 0 {
				w[i] *= times
			} else {
				w[i] *= (float64(nodes) - n*times) / (float64(nodes) - n)
			}
		}
		return w
	}
}

// few leaves all of it to so many nodes.
func few(n int) spread {
	return func(nodes int) []float64 {
		w := make([]float64, nodes)
		n := min(n, nodes)
		for i := 0; i < n; i++ {
			w[i*nodes/n] = 1 / float64(n)
		}
		return w
	}
}

// load is a tenant: its quota and what it offers, in requests each second, and where.
type load struct {
	quota, offered float64
	spread         spread
}

// fleet plays so many seconds on modules and gives the part of each tenant's requests that counts as inside its share.
func fleet(seed int64, nodes int, seconds float64, loads []load) []float64 {
	r := rand.New(rand.NewSource(seed))
	set := Settings{Nodes: nodes, Classes: []Class{{Name: "c", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: time.Second, Idempotency: Idempotent}}}
	for i, l := range loads {
		set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint(i), Quota: l.quota})
	}
	inside, all := make([]float64, len(loads)), make([]float64, len(loads))
	for n := 0; n < nodes; n++ {
		set.NodeIndex = n
		m := New(set, r.Int63())
		start := Time(r.Int63n(1e12))
		m.Handle(start, EndpointUpdate{Kind: CachedUpdate})
		total := 0.0
		rates := make([]float64, len(loads))
		for i, l := range loads {
			rates[i] = l.offered * l.spread(nodes)[n]
			total += rates[i]
		}
		if total == 0 {
			continue
		}
		for at := r.ExpFloat64() / total; at < seconds; at += r.ExpFloat64() / total {
			i, x := 0, r.Float64()*total
			for ; i < len(rates)-1 && x >= rates[i]; i++ {
				x -= rates[i]
			}
			g := m.classOrder[0].placement
			before := g.priorityArrivals
			m.Handle(start+Time(at*1e9), RequestArrived{ID: "r", Class: "c", Tenant: fmt.Sprint(i), Timeout: time.Second})
			m.openRequests = m.openRequests[:0]
			all[i]++
			inside[i] += g.priorityArrivals - before
		}
	}
	for i := range inside {
		inside[i] /= math.Max(1, all[i])
	}
	return inside
}

// local is the part that counts as inside where each node counts an even part of the quota.
func local(parts []float64, over float64) (inside float64) {
	for _, p := range parts {
		inside += math.Min(p, 1/(over*float64(len(parts))))
	}
	return inside
}

// Over a fleet, what counts as inside a tenant's share is min(1, quota/offered) within a tenth, for any quota and
// any number of nodes, where the spread is even or the tenant is on one side of its share at every node. At other
// spreads a node can't know better: what it sees of a tenant at its quota and a hot node is what it sees of one
// over its quota on all. Then its even part of the quota is what has to hold.
func TestSharesHoldOverTheFleet(t *testing.T) {
	for _, s := range []struct {
		name string
		spread
	}{{"even", evenly}, {"a tenth of the nodes get twice the mean", hot(2)},
		{"a tenth get four times the mean", hot(4)}, {"on 3 nodes", few(3)}, {"on 1 node", few(1)}} {
		t.Logf("%s: inside/of min(1, quota/offered) at 0.2, 0.5, 1, 2, 5 times the quota", s.name)
		for _, nodes := range []int{3, 30, 300, 450} {
			for p, per := range []float64{0.01, 1, 10} {
				line := ""
				for i, over := range []float64{0.2, 0.5, 1, 2, 5} {
					quota, parts := per*float64(nodes), s.spread(nodes)
					shares := math.Max(40, 1500/float64(nodes))
					got := fleet(int64(10*p+i), nodes, shares/per, []load{{quota, over * quota, s.spread}})[0]
					want, best := math.Min(1, 1/over), local(parts, over)
					if line += fmt.Sprintf("  %.2f/%.2f", got, want); math.Abs(best-want) > 0.001 {
						line += "*"
					} else if math.Abs(got-want) > 0.1 {
						t.Errorf("%s, %d nodes, quota %g, offered %g times: %.3f inside, %.3f wanted",
							s.name, nodes, quota, over, got, want)
					}
					if math.Abs(got-best) > 0.1 {
						t.Errorf("%s, %d nodes, quota %g, offered %g times: %.3f inside, %.3f by even parts",
							s.name, nodes, quota, over, got, best)
					}
				}
				t.Logf("%4d nodes, quota %6.4g:%s", nodes, per*float64(nodes), line)
			}
		}
	}
	t.Log("*: not in the region, as the tenant is over an even part at some nodes and under it at others")
}

// A tenant's traffic keeps its priority however small its quota is beside the number of nodes.
func TestSmallQuotaKeepsItsShare(t *testing.T) {
	for _, nodes := range []int{3, 30, 300, 450} {
		// A quota of 5/s, and four fifths of it offered.
		if got := fleet(1, nodes, 40*float64(nodes)/5, []load{{5, 4, evenly}})[0]; got < 0.9 {
			t.Errorf("%d nodes: %.3f of a tenant within its quota of 5/s counts as inside", nodes, got)
		}
		// One request a second at each node, as much as the fault was found with.
		want := math.Min(1, 5/float64(nodes))
		got := fleet(1, nodes, 1000, []load{{5, float64(nodes), evenly}})[0]
		if t.Logf("%d nodes, quota 5/s, 1/s at each: %.3f inside, %.3f wanted", nodes, got, want); math.Abs(got-want) > 0.1 || got == 0 {
			t.Errorf("%d nodes: %.3f inside, %.3f wanted", nodes, got, want)
		}
	}
}

// A tenant without a share never counts as inside.
func TestNoQuotaNoShare(t *testing.T) {
	if got := fleet(1, 3, 100, []load{{0, 3, evenly}})[0]; got != 0 {
		t.Errorf("%.3f inside", got)
	}
}

// With every server overloaded, a tenant within a quota far smaller than the fleet is served before one over it.
func TestOverShareLosesToInside(t *testing.T) {
	const nodes = 300
	set := Settings{Nodes: nodes, MaxAttempts: 1, MinEventInterval: time.Millisecond,
		Classes: []Class{{Name: "c", PriorityWeight: 1, LatencyObjective: time.Second, Deadline: 2 * time.Second, Idempotency: Idempotent}},
		Tenants: []Tenant{{Name: "inside", Quota: 150}, {Name: "over", Quota: 150}}}
	sent, all := map[string]float64{}, map[string]float64{}
	for seed := int64(1); seed <= 5; seed++ {
		r := rand.New(rand.NewSource(seed))
		m := New(set, seed)
		list := EndpointUpdate{Kind: FullUpdate}
		free := map[EndpointID]Time{}
		for id := EndpointID(1); id <= 10; id++ {
			list.Endpoints = append(list.Endpoints, Endpoint{ID: id, State: Ready})
		}
		m.Handle(0, list)
		type due struct {
			at Time
			AttemptEnded
		}
		var out []due
		tick, id := tickInterval, 0
		for now := Time(0); now < 120*time.Second; now += time.Millisecond {
			for i := 0; i < len(out); i++ {
				if e := out[i]; e.at <= now {
					out = append(out[:i], out[i+1:]...)
					m.Handle(now, e.AttemptEnded)
					i--
				}
			}
			if now >= tick {
				m.Handle(now, TimerFired{})
				tick = now + tickInterval
			}
			tenant := ""
			switch x := r.Float64() * 1000; { // 0.3/s of 0.5/s, and 40/s of 0.5/s
			case x < 0.3:
				tenant = "inside"
			case x < 40.3:
				tenant = "over"
			default:
				continue
			}
			id++
			name := RequestID(fmt.Sprint(id))
			late := now > 20*time.Second // until then it learns
			if late {
				all[tenant]++
			}
			for _, a := range m.Handle(now, RequestArrived{ID: name, Class: "c", Tenant: tenant, Timeout: 2 * time.Second}) {
				if a, ok := a.(Send); ok { // each server does 2 a second for this node, 20 in all
					free[a.Endpoint] = max(free[a.Endpoint], now) + 500*time.Millisecond
					at := min(free[a.Endpoint], now+2*time.Second)
					code := OK
					if at < free[a.Endpoint] {
						code = TimedOut
					}
					out = append(out, due{at, AttemptEnded{ID: name, Endpoint: a.Endpoint, Elapsed: at - now, Outcome: code, RequestDone: code == OK}})
					if late {
						sent[tenant]++
					}
				}
			}
		}
	}
	in, over := sent["inside"]/all["inside"], sent["over"]/all["over"]
	t.Logf("sent on: %.2f of the tenant inside its share, %.2f of the one over it", in, over)
	if in < 0.8 || over > 0.7 || in < over+0.2 {
		t.Errorf("sent on: %.2f of the tenant inside its share, %.2f of the one over it", in, over)
	}
}

// BenchmarkShares gives the time of one decision on a share, with 20,000 tenants.
func BenchmarkShares(b *testing.B) {
	set := Settings{Nodes: 450}
	for i := range 20000 {
		set.Tenants = append(set.Tenants, Tenant{Name: fmt.Sprint("tenant-", i), Quota: 1})
	}
	m := New(set, 1)
	for i := range b.N {
		m.quotas[set.Tenants[i*7919%20000].Name].take(Time(i) * time.Microsecond)
	}
}
