package hollow

import (
	"context"
	"errors"
	"path/filepath"
	"testing"

	"bankshift/internal/lab/scenario"
)

// TestScenarioFiles loads all of them, and plays the one for every change.
func TestScenarioFiles(t *testing.T) {
	files, err := filepath.Glob("../../../scenarios/*.toml")
	if err != nil || len(files) < 9 {
		t.Fatalf("%d scenarios, error %v", len(files), err)
	}
	for _, f := range files {
		s, err := scenario.Load(f)
		if err != nil {
			t.Error(err)
			continue
		}
		if s.About == "" {
			t.Errorf("%s does not say what it is about", f)
		}
		if s.Name != "ordinary-small" {
			continue
		}
		if r := play(t, s); len(r.Violations) > 0 || r.Scenario != s.Name || r.Requests.Served == 0 {
			t.Errorf("%s: violations %q", f, r.Violations)
		}
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		if _, err := Run(ctx, s); !errors.Is(err, context.Canceled) {
			t.Errorf("a canceled run returns %v", err)
		}
	}
}
