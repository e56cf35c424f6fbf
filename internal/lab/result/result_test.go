package result

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"bankshift/internal/lab/scenario"
)

func TestHistogram(t *testing.T) {
	h := NewHistogram()
	if l := h.Latency(); l != (Latency{}) {
		t.Errorf("empty histogram: %+v, want zeros", l)
	}
	for i := range 1000 {
		h.Add(time.Duration(i+1) * time.Millisecond)
	}
	h.Add(-time.Second)
	h.Add(2 * time.Hour)
	l := h.Latency()
	if l.Count != 1002 || l.P50 < 0.499 || l.P50 > 0.502 || l.P99 < 0.989 || l.P99 > 0.993 || l.Max < 3590 || l.Max > 3610 {
		t.Errorf("%+v, want 1002 durations, p50 0.5 s, p99 0.99 s, maximum 3600 s", l)
	}
}

func TestRunJSONRoundTrip(t *testing.T) {
	s := &scenario.Scenario{Name: "some", Seed: 3, Length: scenario.Duration(5 * time.Second), Warmup: scenario.Duration(time.Second)}
	r := New(s, Hollow)
	r.Latency["all"] = Latency{Count: 2, Mean: 0.1, P50: 0.1, P90: 0.2, P99: 0.3, P999: 0.4, Max: 0.5}
	r.Peaks["handshakes"] = Peak{Worst: 5, Bound: 7, At: 2}
	r.Violations = append(r.Violations, "a rule")
	var b bytes.Buffer
	if err := r.Write(&b); err != nil {
		t.Fatal(err)
	}
	var decoded Run
	if err := json.Unmarshal(b.Bytes(), &decoded); err != nil || !reflect.DeepEqual(*r, decoded) {
		t.Errorf("error %v\n%+v, want\n%+v", err, decoded, *r)
	}
	b.Reset()
	if err := r.Table(&b); err != nil || !strings.Contains(b.String(), "BROKEN  ") || !strings.Contains(b.String(), "handshakes") {
		t.Errorf("error %v, table\n%s", err, b.String())
	}
}

func TestRecoveryAndBounds(t *testing.T) {
	second := scenario.Duration(time.Second)
	s := &scenario.Scenario{Length: 10 * second, Warmup: second, Events: []scenario.Event{{At: 3 * second, Duration: second, Action: "cut"}}}
	r := New(s, Hollow)
	for _, served := range []float64{0, 10, 10, 0, 0, 9.1, 0, 9, 10, 10} {
		r.Windows = append(r.Windows, Window{Weight: 10, ServedWeight: served})
	}
	r.FindRecovery(s)
	if r.Recovery != 3 {
		t.Errorf("recovery %v s, want 3: the second at 5 s is followed by one that serves nothing", r.Recovery)
	}
	none := 0
	r.Requests, r.Crashes, r.ListTraffic = Requests{Offered: 10, Attempts: 12, Weight: 10, ServedWeight: 9}, 1, ListTraffic{NodeRate: 5, WorstRate: 9}
	r.Latency["all"] = Latency{P99: 0.2}
	met := scenario.Bounds{Served: 0.9, Attempts: 1.2, P99: second / 5, ListRate: 5, WorstListRate: 9, Recovery: 3 * second}
	r.CheckBounds(met)
	if len(r.Violations) != 0 {
		t.Errorf("violations %q of bounds that are met, want none", r.Violations)
	}
	r.CheckBounds(scenario.Bounds{Served: 0.91, Attempts: 1.1, P99: second / 6, ListRate: 4, WorstListRate: 8, Recovery: 2 * second, Crashes: &none})
	if len(r.Violations) != 7 {
		t.Errorf("violations %q, want seven", r.Violations)
	}
}

func TestPeakKeepsTheWorst(t *testing.T) {
	var s Peak
	s.Observe(5, 10, 1*time.Second)
	s.Observe(6, 20, 2*time.Second)
	if s != (Peak{5, 10, 1}) {
		t.Errorf("%+v, want the one of second 1, which is nearer to its bound", s)
	}
	s = Peak{}
	s.Observe(5, 0, 1*time.Second)
	s.Observe(6, 0, 2*time.Second)
	if s.Worst != 6 {
		t.Errorf("%+v, want the larger value, 6", s)
	}
}

// TestStoredRuns guards against stored results in docs/capacity that the Run type
// no longer matches: a field would be lost when they are decoded and written.
func TestStoredRuns(t *testing.T) {
	files, err := filepath.Glob("../../../docs/capacity/*.json")
	if err != nil || len(files) < 10 {
		t.Fatalf("%d files, error %v", len(files), err)
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".json")
		if name == "slopes" {
			continue // a report of package scaling; tested there
		}
		raw, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		var r Run
		if err := decoder.Decode(&r); err != nil {
			t.Errorf("%s: %v", file, err)
			continue
		}
		if r.Scenario != name || r.Kind != Hollow && r.Kind != Real || r.Nodes == 0 || r.Requests.Offered == 0 || len(r.Windows) == 0 {
			t.Errorf("%s: scenario %q, kind %q, %d nodes, %d requests, %d windows", file, r.Scenario, r.Kind, r.Nodes, r.Requests.Offered, len(r.Windows))
		}
		var rewritten bytes.Buffer
		if err := r.Write(&rewritten); err != nil || !sameJSON(t, rewritten.Bytes(), raw) {
			t.Errorf("%s: differs after decoding and writing; error %v", file, err)
		}
	}
}

func sameJSON(t *testing.T, a, b []byte) bool {
	t.Helper()
	var x, y any
	if err := json.Unmarshal(a, &x); err != nil {
		t.Error(err)
	}
	if err := json.Unmarshal(b, &y); err != nil {
		t.Error(err)
	}
	return reflect.DeepEqual(x, y)
}
