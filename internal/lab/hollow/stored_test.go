package hollow

import (
	"context"
	"errors"
	"testing"

	"bankshift/internal/lab/scenario"
)

// TestStoredScenario plays the scenario that every change must keep. Package
// scenario's tests load all of them.
func TestStoredScenario(t *testing.T) {
	s, err := scenario.Load("../../../scenarios/ordinary-small.toml")
	if err != nil {
		t.Fatal(err)
	}
	if r := runScenario(t, s); len(r.Violations) > 0 || r.Scenario != s.Name || r.Requests.Served == 0 {
		t.Errorf("%s: violations %q", s.Name, r.Violations)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := Run(ctx, s); !errors.Is(err, context.Canceled) {
		t.Errorf("a canceled run returns %v", err)
	}
}
