package discovery

import (
	"fmt"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestScheduleFitsTheDrainGrace guards against a schedule that exceeds the drain
// grace after an outage. A long poll that began to hang as the outage ended, and the
// longest wait after it, must leave a quarter of the grace for the next poll. Two
// failed polls and a full list must fit into the grace too.
func TestScheduleFitsTheDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 4 * time.Second, time.Minute} {
		s := ScheduleFor(balancer.Settings{DrainGrace: grace})
		want := min(max(grace, minGrace), 6*time.Second)
		oneFailure := s.LongPollTimeout + s.ResponseTimeout + s.FirstBackoff*3/2
		twoFailures := oneFailure + s.ShortPollTimeout + min(2*s.FirstBackoff*3/2, s.RetryInterval-s.ShortPollTimeout) + s.FullListTimeout
		shortPolls := 2*s.RetryInterval + s.FullListTimeout
		if oneFailure > want*3/4 || twoFailures > want || shortPolls > want || s.LongPollTimeout < 50*time.Millisecond {
			t.Errorf("drain grace %v: %+v notices a drain up to %v after one failed poll, %v after two, %v after two short ones", grace, s, oneFailure, twoFailures, shortPolls)
		}
	}
	if s := ScheduleFor(balancer.Settings{EndpointsOnDemand: true, DrainGrace: time.Second}); s.LongPollTimeout < 10*time.Second {
		t.Errorf("on-demand LongPollTimeout is %v, want at least 10s", s.LongPollTimeout)
	}
}

func ExamplePollSchedule() {
	s := ScheduleFor(balancer.Settings{EndpointsOnDemand: true, DrainGrace: time.Second})
	fmt.Println(s.LongPollTimeout, s.ResponseTimeout, s.FullListTimeout, s.RetryInterval)
	// Output: 20s 2.3s 2s 2.5s
}
