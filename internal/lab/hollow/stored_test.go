package hollow

import (
	"context"
	"errors"
	"testing"

	"bankshift/internal/lab/scenario"
)

// TestStoredScenario guards against a change that breaks the scenario ordinary-small, whose bounds every change must
// keep, and against a Run that ignores a canceled context. Package scenario's tests load all stored scenarios.
func TestStoredScenario(t *testing.T) {
	s, err := scenario.Load("../../../scenarios/ordinary-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	if r := runScenario(t, s); len(r.Violations) > 0 || r.Scenario != s.Name || r.Requests.Served == 0 {
		t.Errorf("%s: violations %q, want none, the scenario's name in the result and served requests", s.Name, r.Violations)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, s); !errors.Is(err, context.Canceled) {
		t.Errorf("a run with a canceled context returns %v, want context.Canceled", err)
	}
}
