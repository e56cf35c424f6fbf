package balancer

import (
	"testing"
	"time"
)

// Guards against waits that do not double, that exceed the maximum, or that do not start again after a reset.
func TestBackoff(t *testing.T) {
	const ms = time.Millisecond
	for _, c := range []struct {
		name  string
		first time.Duration
		max   time.Duration
		want  []time.Duration
	}{
		{"doubles up to the maximum", 200 * ms, 1500 * ms, []time.Duration{200 * ms, 400 * ms, 800 * ms, 1500 * ms, 1500 * ms}},
		{"starts at the maximum", 200 * ms, 200 * ms, []time.Duration{200 * ms, 200 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			backoff := newBackoff(c.first, c.max)
			for range 2 {
				for i, want := range c.want {
					if got := backoff.next(); got != want {
						t.Errorf("wait %d is %v, want %v", i, got, want)
					}
				}
				backoff.reset()
			}
		})
	}
}
