package discovery

import (
	"math"
	"time"

	"bankshift/balancer"
)

// Never is the time of something that is not due at all.
const Never = time.Duration(math.MaxInt64)

// Times of polls on demand, which are work for a shared service.
const (
	onDemandLongPollTimeout  = 20 * time.Second
	onDemandResponseTimeout  = 2300 * time.Millisecond // a hedged request may have to queue at the service
	onDemandShortPollTimeout = 2 * time.Second         // polls queue at the service; a sooner one would only queue anew
	hedgeDelay               = 800 * time.Millisecond
)

// Bounds of the drain grace from which the times of polls of the agent follow.
const (
	minGrace = 400 * time.Millisecond // a shorter one would cost the node too much processor time
	maxGrace = 4 * time.Second        // a stalled long poll must be noticed within 6 s in any case
)

// maxFirstBackoff is the longest first wait after a failure of the agent, which is
// cheap to poll.
const maxFirstBackoff = 50 * time.Millisecond

// PollSchedule holds the times by which a Watcher polls. They follow from how
// late a change may be noticed once discovery can be reached again, even if two
// polls fail in a row: the one that is in flight at that moment, in whatever
// way, and the next one.
//
// The failure of a long poll is noticed within LongPollTimeout plus
// ResponseTimeout, and the next poll is given up after ShortPollTimeout. After
// a short poll, the third poll begins within two RetryIntervals.
//
// With a HedgeDelay, a long poll that has no response after its time gets up to
// two hedged requests, and any other poll that may be hedged gets one.
type PollSchedule struct {
	OnDemand         bool          // the Watcher polls only after Request; otherwise it follows the list by itself
	LongPollTimeout  time.Duration // discovery may hold a long poll for so long while nothing changes
	ResponseTimeout  time.Duration // its response may begin so much later; also the timeout of a dial
	HedgeDelay       time.Duration // between the requests of one poll while none has a response; 0: no hedged requests
	ShortPollTimeout time.Duration // timeout of the short poll after a first failure
	FullListTimeout  time.Duration // timeout of a poll for the full list, and of short polls after further failures
	RetryInterval    time.Duration // from the start of a failed short poll to the start of the next poll, at most
	FirstBackoff     time.Duration // wait after a first failure, before jitter; not used on demand
}

// ScheduleFor returns the schedule for a node's settings.
//
// Where endpoint updates are pushed, the node polls an agent on its own machine.
// A change counts as notified once the agent has it, whether or not a poll is
// waiting there, and polls cost the service nothing. So all times together fit
// into the drain grace.
//
// On demand, each poll is work for the service. A change that a stalled long
// poll misses counts as notified 2 s after its LongPollTimeout, so that may be
// long, and everything after it must be quick. After a failure, a change counts
// as notified 6 s after discovery had it and could be reached, which
// balancer.MaxPollRetryInterval allows for. Polls are short then until one has
// succeeded, because a poll that hangs through the end of an outage does not
// notice it.
func ScheduleFor(s balancer.Settings) PollSchedule {
	if s.EndpointsOnDemand {
		return onDemandSchedule()
	}
	return agentSchedule(s.DrainGrace)
}

func onDemandSchedule() PollSchedule {
	return PollSchedule{
		OnDemand:         true,
		LongPollTimeout:  onDemandLongPollTimeout,
		ResponseTimeout:  onDemandResponseTimeout,
		HedgeDelay:       hedgeDelay,
		ShortPollTimeout: onDemandShortPollTimeout,
		FullListTimeout:  onDemandShortPollTimeout,
		RetryInterval:    balancer.MaxPollRetryInterval,
	}
}

func agentSchedule(drainGrace time.Duration) PollSchedule {
	grace := min(max(drainGrace, minGrace), maxGrace)
	return PollSchedule{
		LongPollTimeout:  grace / 4,
		ResponseTimeout:  grace / 8,
		ShortPollTimeout: grace / 8,
		FullListTimeout:  grace / 4,
		RetryInterval:    grace * 5 / 16,
		FirstBackoff:     min(maxFirstBackoff, grace/24),
	}
}
