package scaling

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"bankshift/internal/lab/fleet"
)

// program is the path of the node's executable, which TestMain builds.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "bankshift-scaling-test-")
	if err == nil {
		program, err = fleet.Build(context.Background(), dir)
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

func TestFit(t *testing.T) {
	f := Figure{Name: "f", Planned: 10, Budget: 30, Points: []Point{{1, 5}, {2, 8}, {4, 14}}}
	if err := f.fit(); err != nil || math.Abs(f.Slope-3) > 1e-9 || math.Abs(f.Intercept-2) > 1e-9 || math.Abs(f.R2-1) > 1e-9 ||
		math.Abs(f.AtPlanned-32) > 1e-9 || !f.OverBudget() {
		t.Errorf("%+v, error %v; want slope 3, intercept 2, r2 1, 32 at the planned size, over budget", f, err)
	}
	f = Figure{Name: "flat", Planned: 10, Points: []Point{{1, 5}, {2, 5}, {4, 5}}}
	if err := f.fit(); err != nil || f.Slope != 0 || f.R2 != 1 || f.OverBudget() {
		t.Errorf("%+v, error %v; want slope 0, r2 1, not over budget", f, err)
	}
	for _, points := range [][]Point{{{1, 5}, {2, 5}}, {{1, 5}, {1, 6}, {2, 5}}, {{1, 5}, {2, math.NaN()}, {3, 5}}} {
		f := Figure{Name: "short", Points: points}
		if err := f.fit(); err == nil || !strings.Contains(err.Error(), "short") {
			t.Errorf("points %v: error %v, want one that names the figure", points, err)
		}
	}
}

// TestAllAtSmallSizes guards against measurements that fail or that report
// incomplete figures. It makes each one once, too briefly for meaningful values.
// The groups run in parallel; measurements with benchmarks are in one group,
// because benchmarks share the flags of package testing.
func TestAllAtSmallSizes(t *testing.T) {
	groups := [][]string{{"idle"}, {"tenants", "changes"}, {"sighup"}, {"config", "decide", "list", "registry"}, {"added"}}
	count := 0
	for _, names := range groups {
		count += len(names)
		t.Run(names[0], func(t *testing.T) {
			t.Parallel()
			e := &Env{Node: program, Dir: t.TempDir(), SettleTime: 50 * time.Millisecond, Measure: 150 * time.Millisecond,
				Bench: time.Millisecond, small: true, Log: t.Logf}
			r, err := Run(t.Context(), e, names...)
			if err != nil {
				t.Fatal(err)
			}
			checkReport(t, r, names)
		})
	}
	if count != len(All) {
		t.Errorf("%d of %d measurements are in a group, want all", count, len(All))
	}
}

func checkReport(t *testing.T, r *Report, names []string) {
	t.Helper()
	seen := map[string]bool{}
	for _, f := range r.Figures {
		seen[strings.TrimPrefix(f.Command, "bankshift-lab slopes ")] = true
		if f.Unit == "" || f.Over == "" || f.Planned <= 0 || f.Mechanism == "" || len(f.Points) < minPoints {
			t.Errorf("figure %+v: want a unit, an over, a planned size, a mechanism and at least minPoints points", f)
		}
		checkMechanism(t, f.Mechanism)
		if strings.Contains(f.Name, "ready") || strings.Contains(f.Name, "size") || strings.Contains(f.Name, "decide") || strings.Contains(f.Name, "memory") {
			for _, p := range f.Points {
				if p.Y <= 0 {
					t.Errorf("%s: point %+v, want a positive Y", f.Name, p)
				}
			}
		}
	}
	for _, n := range names {
		if !seen[n] {
			t.Errorf("measurement %s has no figure", n)
		}
	}
	var text, table bytes.Buffer
	if err := r.Write(&text); err != nil {
		t.Fatal(err)
	}
	var decoded Report
	if err := json.Unmarshal(text.Bytes(), &decoded); err != nil || len(decoded.Figures) != len(r.Figures) {
		t.Errorf("report written and decoded: error %v, or figures are missing", err)
	}
	if err := r.Table(&table); err != nil || strings.Count(table.String(), "\n") != len(r.Figures)+len(r.Violations)+3 {
		t.Errorf("error %v; want a line per figure and violation and three more in table\n%s", err, table.String())
	}
}

// TestViolationsAreReported guards against a table that omits violations.
func TestViolationsAreReported(t *testing.T) {
	e := &Env{}
	e.recordViolation("paused for %d s", 7)
	var b bytes.Buffer
	if err := (&Report{Violations: e.violations}).Table(&b); err != nil || !strings.Contains(b.String(), "paused for 7 s") {
		t.Errorf("error %v; want the violation in table\n%s", err, b.String())
	}
}

func TestUnknownMeasurement(t *testing.T) {
	if _, err := Run(t.Context(), &Env{}, "idle", "nonsense"); err == nil || !strings.Contains(err.Error(), "nonsense") {
		t.Errorf("error %v, want one that names the unknown measurement", err)
	}
}

// checkMechanism checks that the files named in a mechanism declare the functions
// named after them.
func checkMechanism(t *testing.T, mechanism string) {
	t.Helper()
	for reference := range strings.SplitSeq(mechanism, "; ") {
		path, names, _ := strings.Cut(reference, " ")
		source, err := os.ReadFile(filepath.Join("../../..", path))
		if err != nil {
			t.Errorf("mechanism %q: %v", mechanism, err)
			continue
		}
		for name := range strings.SplitSeq(names, ", ") {
			receiver, method, isMethod := strings.Cut(name, ".")
			declaration := `(?m)^func ` + name + `\(`
			if isMethod {
				declaration = `(?m)^func \(\w+ \*?` + receiver + `\) ` + method + `\(`
			}
			if !regexp.MustCompile(declaration).Match(source) {
				t.Errorf("mechanism %q: %s has no %s", mechanism, path, name)
			}
		}
	}
}

// TestStoredReport guards against a stored report, docs/capacity/slopes.json, that
// the Report type no longer matches, that lacks a measurement, or whose lines do
// not fit its points.
func TestStoredReport(t *testing.T) {
	raw, err := os.ReadFile("../../../docs/capacity/slopes.json")
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	var r Report
	if err := decoder.Decode(&r); err != nil {
		t.Fatal(err)
	}
	if r.Version == "" || len(r.Figures) == 0 {
		t.Errorf("version %q, %d figures, want a version and figures", r.Version, len(r.Figures))
	}
	measured := map[string]bool{}
	for _, f := range r.Figures {
		measured[strings.TrimPrefix(f.Command, "bankshift-lab slopes ")] = true
		stored := f
		if err := f.fit(); err != nil || !nearlyEqual(f.Slope, stored.Slope) || !nearlyEqual(f.Intercept, stored.Intercept) || !nearlyEqual(f.AtPlanned, stored.AtPlanned) {
			t.Errorf("%s: fits %v and %v, stored %v and %v, error %v", f.Name, f.Slope, f.Intercept, stored.Slope, stored.Intercept, err)
		}
	}
	for _, name := range Names() {
		if !measured[name] {
			t.Errorf("no figure of measurement %s", name)
		}
	}
}

func nearlyEqual(a, b float64) bool { return math.Abs(a-b) <= 1e-9*math.Abs(b) }
