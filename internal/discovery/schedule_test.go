package discovery

import (
	"fmt"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestScheduleFitsTheDrainGrace: a long poll that began to hang as an outage
// ended, and the longest wait after it, leave a part of the drain grace for the
// next poll.
func TestScheduleFitsTheDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 500 * time.Millisecond, time.Second, 4 * time.Second, time.Minute} {
		s := ScheduleFor(balancer.Settings{DrainGrace: grace})
		want := min(max(grace, minGrace), 6*time.Second)
		oneFailure := s.LongPollTimeout + s.ResponseTimeout + s.FirstBackoff*3/2
		twoFailures := oneFailure + s.ShortPollTimeout + min(2*s.FirstBackoff*3/2, s.RetryInterval-s.ShortPollTimeout) + s.FullListTimeout
		shortPolls := 2*s.RetryInterval + s.FullListTimeout
		if oneFailure > want*3/4 || twoFailures > want || shortPolls > want || s.LongPollTimeout < 50*time.Millisecond {
			t.Errorf("grace %v: %+v notices a drain after up to %v, %v or %v", grace, s, oneFailure, twoFailures, shortPolls)
		}
	}
	if s := ScheduleFor(balancer.Settings{EndpointsOnDemand: true, DrainGrace: time.Second}); s.LongPollTimeout < 10*time.Second {
		t.Errorf("on demand the service gets a poll each %v", s.LongPollTimeout)
	}
}

func ExamplePollSchedule() {
	s := ScheduleFor(balancer.Settings{EndpointsOnDemand: true, DrainGrace: time.Second})
	fmt.Println(s.LongPollTimeout, s.ResponseTimeout, s.FullListTimeout, s.RetryInterval)
	// Output: 20s 2.3s 2s 2.5s
}
