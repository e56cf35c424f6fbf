package model

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// decodedList is a decoded response body.
type decodedList struct {
	Index     uint64
	Snapshot  bool
	Endpoints []Entry
}

// decode returns the decoded body of a response, and checks it against the
// response's other fields.
func decode(t *testing.T, a Response) decodedList {
	t.Helper()
	var l decodedList
	if err := json.Unmarshal(a.Body, &l); err != nil {
		t.Fatalf("decode response: %v in %s", err, a.Body)
	}
	if l.Index != a.Version || l.Snapshot != a.Snapshot || len(l.Endpoints) != a.Entries {
		t.Errorf("index, kind or number of entries of response %+v differ from its body %s", a, a.Body)
	}
	return l
}

func entryOf(i int, status string) Entry {
	return Entry{Name: fmt.Sprintf("s-%04d", i), Address: fmt.Sprintf("10.1.0.18:%d", i), Zone: "a", MachineType: "m2", Cell: i % 7,
		Status: status, Weight: 1.5, StartedAtMS: int64(i)}
}

// oneResponse advances the registry to now and returns the one response that is
// due; any other number fails the test.
func oneResponse(t *testing.T, r *Registry, now time.Duration) Response {
	t.Helper()
	out := r.Advance(now)
	if len(out) != 1 {
		t.Fatalf("at %v: %d responses, want 1: %v", now, len(out), out)
	}
	return out[0]
}

func TestListFormat(t *testing.T) {
	r := NewRegistry(RegistryConfig{Nodes: 1}, nil)
	e := entryOf(0, Ready)
	if err := r.Change(0, e); err != nil {
		t.Fatal(err)
	}
	r.Call(0, 0, 0, 0)
	const want = `{"index":1,"snapshot":true,"endpoints":[{"name":"s-0000","address":"10.1.0.18:0","zone":"a","type":"m2","group":0,"status":"ready","weight":1.5,"since_ms":0}]}`
	if a := oneResponse(t, r, 0); string(a.Body) != want {
		t.Errorf("encoded list is %s\nwant %s", a.Body, want)
	}
	if r.Change(0, Entry{Name: "s", Status: "odd"}) == nil || r.Change(0, Entry{Status: Ready}) == nil || r.Version() != 1 {
		t.Error("accepted an entry with an unknown status or without a name")
	}
}

// applyChanges applies changes to a list as a node does.
func applyChanges(list map[string]Entry, changes []Entry) {
	for _, e := range changes {
		if e.Status == Removed {
			delete(list, e.Name)
		} else {
			list[e.Name] = e
		}
	}
}

// TestListOfEachVersion guards against nodes that end up with a list other than
// that of their version. Nodes receive changes with different delays, so whole
// lists and changes are derived for many versions, and both must give that list.
func TestListOfEachVersion(t *testing.T) {
	const nodes, steps = 20, 300
	rng := rand.New(rand.NewPCG(5, 6))
	r := NewRegistry(RegistryConfig{Nodes: nodes, Delay: 5 * ms, DelaySpread: 40 * ms, LogLength: 30}, rng)
	wantLists := []map[string]Entry{{}}
	nodeLists := make([]map[string]Entry, nodes)
	nodeVersions := make([]uint64, nodes)
	r.SetIsolated(0, 3, true) // until the last 20 steps
	for i := range steps {
		now := time.Duration(i) * ms
		next := maps.Clone(wantLists[i])
		var changed []Entry
		for range 1 + rng.IntN(4) {
			e := entryOf(rng.IntN(40), []string{Ready, Draining, Removed}[rng.IntN(3)])
			e.Weight = float64(i)
			changed = append(changed, e)
		}
		applyChanges(next, changed)
		wantLists = append(wantLists, next)
		if err := r.Change(now, changed...); err != nil {
			t.Fatal(err)
		}
		if i == steps-20 {
			r.SetIsolated(now, 3, false)
		}
		n := rng.IntN(nodes)
		r.Call(now, n, 0, 0)
		if nodeVersions[n] != 0 {
			r.Call(now, n, nodeVersions[n], 0)
		}
		for _, a := range r.Advance(now) {
			l := decode(t, a)
			if a.Snapshot || nodeLists[n] == nil {
				nodeLists[n] = map[string]Entry{}
			}
			applyChanges(nodeLists[n], l.Endpoints)
			nodeVersions[n] = a.Version
			if !reflect.DeepEqual(nodeLists[n], wantLists[a.Version]) {
				t.Fatalf("step %d, node %d: wrong list of version %d (whole list: %v)", i, n, a.Version, a.Snapshot)
			}
			if late := now - time.Duration(a.Version)*ms; n != 3 && late > r.Delay(n) { // version i+1 was made at i ms
				t.Fatalf("node %d still has version %d at %v, with a delay of %v", n, a.Version, now, r.Delay(n))
			}
		}
	}
	if r.stats.Snapshots == r.stats.Responses || len(r.log) > 80 {
		t.Errorf("%+v with %d versions in the log; want some responses with changes, and at most 80 versions", r.stats, len(r.log))
	}
}

func TestWatches(t *testing.T) {
	r := NewRegistry(RegistryConfig{Nodes: 2, Delay: 10 * ms}, nil)
	r.Change(0, entryOf(0, Ready))
	r.Advance(100 * ms)
	r.Call(100*ms, 0, 1, 50*ms) // answered at the end of its hold
	if next, ok := r.Next(); !ok || next != 150*ms {
		t.Errorf("the hold ends at %v, want 150ms", next)
	}
	if a := oneResponse(t, r, 150*ms); a.At != 150*ms || a.Snapshot || a.Entries != 0 || a.Version != 1 {
		t.Errorf("response %+v, want no changes at 150ms", a)
	}
	id := r.Call(150*ms, 0, 1, time.Hour) // answered because of a change; the hold is limited to maxHold
	if next, _ := r.Next(); next != 150*ms+maxHold {
		t.Errorf("a call with a hold of 1h is held until %v, want maxHold after 150ms", next)
	}
	r.Change(200*ms, entryOf(0, Draining))
	r.Change(205*ms, entryOf(1, Ready))
	if a := oneResponse(t, r, 300*ms); a.At != 210*ms || a.CallID != id || a.Version != 2 || decode(t, a).Endpoints[0].Status != Draining {
		t.Errorf("response %+v, want version 2 at 210ms", a)
	}
	r.Call(300*ms, 0, 2, time.Second) // answered with the change made between the calls
	if a := oneResponse(t, r, 300*ms); a.Version != 3 || a.Snapshot || a.Entries != 1 {
		t.Errorf("response %+v, want one change and version 3", a)
	}
	r.Call(300*ms, 0, 99, time.Second) // a version that this registry has not made
	if a := oneResponse(t, r, 300*ms); a.Version != 3 || !a.Snapshot {
		t.Errorf("response %+v, want the whole list of version 3", a)
	}
	id = r.Call(300*ms, 0, 3, time.Second)
	r.Call(300*ms, 1, 3, time.Second)
	r.CancelCall(301*ms, id)
	r.ResetWatches(302 * ms)
	if a := oneResponse(t, r, 302*ms); a.Outcome != ConnectionReset || a.Node != 1 || r.HeldCalls() != 0 {
		t.Errorf("response %+v, want a reset of node 1's call", a)
	}
}

func TestOutages(t *testing.T) {
	for _, onDemand := range []bool{false, true} {
		r := NewRegistry(RegistryConfig{Nodes: 2, OnDemand: onDemand}, nil)
		r.Change(0, entryOf(0, Ready))
		expectNoResponse := func(what string, now time.Duration) {
			t.Helper()
			if out := r.Advance(now); len(out) != 0 {
				t.Errorf("on demand %v, %s: got responses %+v, want none", onDemand, what, out)
			}
		}
		r.Call(0, 0, 1, time.Second)
		r.SetSilent(1*ms, true)
		r.Change(2*ms, entryOf(0, Draining))
		r.Call(3*ms, 0, 0, 0)
		r.SetSilent(4*ms, false)
		expectNoResponse("calls open or made while silent", time.Minute)
		r.Call(time.Minute, 0, 1, time.Second)
		if a := oneResponse(t, r, time.Minute); a.Version != 2 || a.Snapshot {
			t.Errorf("after silence: response %+v, want changes up to version 2", a)
		}

		r.Call(time.Minute, 0, 2, time.Second)
		r.SetRefusing(time.Minute, true)
		r.Call(time.Minute, 1, 0, 0)
		if out := r.Advance(time.Minute); len(out) != 2 || out[0].Outcome != ConnectionReset || out[1].Outcome != ConnectionRefused {
			t.Errorf("while refusing: responses %+v, want a reset and a refusal", out)
		}
		r.SetRefusing(time.Minute, false)

		r.Call(time.Minute, 0, 2, time.Second)
		r.SetIsolated(time.Minute, 0, true)
		r.Change(time.Minute, entryOf(1, Ready))
		if r.NodeVersion(time.Minute, 0) != 2 || r.NodeVersion(time.Minute, 1) != 3 {
			t.Error("an isolated node must keep version 2, and the other node must have version 3")
		}
		if onDemand { // calls of an isolated node are never answered
			expectNoResponse("while isolated", 2*time.Minute)
			r.SetIsolated(2*time.Minute, 0, false)
			expectNoResponse("after isolation", 3*time.Minute)
		} else { // the agent of an isolated node answers with the version it has
			if a := oneResponse(t, r, 2*time.Minute); a.At != time.Minute+time.Second || a.Entries != 0 {
				t.Errorf("while isolated: response %+v, want no entries at the end of the hold", a)
			}
			r.Call(2*time.Minute, 0, 2, time.Second)
			r.SetIsolated(2*time.Minute+ms, 0, false)
			if a := oneResponse(t, r, 2*time.Minute+ms); a.Version != 3 {
				t.Errorf("after isolation: response %+v, want version 3", a)
			}
		}
	}
}

// TestOnDemandServiceAnswersInTurn guards against an on-demand service that
// answers calls in parallel or encodes the same list once for each call. With
// 450 nodes and 4500 servers, each response takes 2 ms + 4500 x 1 µs.
func TestOnDemandServiceAnswersInTurn(t *testing.T) {
	const nodes, servers = 450, 4500
	r := NewRegistry(RegistryConfig{Nodes: nodes, OnDemand: true, ResponseTime: 2 * ms, EntryTime: time.Microsecond}, nil)
	var all []Entry
	for i := range servers {
		all = append(all, entryOf(i, Ready))
	}
	r.Change(0, all...)
	for n := range nodes {
		r.Call(0, n, 0, 0)
	}
	out := r.Advance(time.Minute)
	if len(out) != nodes || r.listsEncoded != 1 {
		t.Fatalf("%d responses with %d encoded lists, want 450 with 1", len(out), r.listsEncoded)
	}
	for i, a := range out {
		if a.Node != i || a.At != time.Duration(i+1)*6500*time.Microsecond {
			t.Fatalf("response %d is for node %d at %v; want the nodes in order, 6.5ms apart", i, a.Node, a.At)
		}
	}
	if got := decode(t, out[0]).Endpoints; !slices.Equal(got, all) {
		t.Error("the list differs from the entries that were added")
	}
	if st := r.Stats(); st.Snapshots != nodes || st.Bytes != nodes*int64(len(out[0].Body)) || st.Entries != nodes*servers || r.NodeStats(7).Calls != 1 {
		t.Errorf("statistics %+v do not match 450 whole lists of 4500 entries, one for each node", st)
	}
}

func TestRegistryIsDeterministic(t *testing.T) {
	run := func() (out []Response) {
		rng := rand.New(rand.NewPCG(7, 8))
		r := NewRegistry(RegistryConfig{Nodes: 50, Delay: ms, DelaySpread: 50 * ms}, rng)
		for i := range 500 {
			now := time.Duration(i) * ms
			r.Call(now, rng.IntN(50), 1+r.NodeVersion(now, rng.IntN(50)), 100*ms)
			switch i % 50 {
			case 0:
				r.Change(now, entryOf(i, Ready))
			case 20:
				r.SetIsolated(now, i/50, true)
			case 30, 35:
				r.SetSilent(now, i%50 == 30)
			case 40:
				r.ResetWatches(now)
			case 45:
				r.SetIsolated(now, i/50, false)
			}
			out = append(out, r.Advance(now)...)
		}
		return out
	}
	if a := run(); len(a) < 200 || !reflect.DeepEqual(a, run()) {
		t.Errorf("%d responses, want at least 200 and the same ones in a second run", len(a))
	}
}
