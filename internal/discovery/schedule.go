package discovery

import (
	"math"
	"time"

	"bankshift/balancer"
)

// Never is the time of something that is not scheduled.
const Never = time.Duration(math.MaxInt64)

// Times of on-demand polls, which put load on a shared service.
const (
	onDemandLongPollTimeout  = 20 * time.Second
	onDemandResponseTimeout  = 2300 * time.Millisecond // a hedged request may have to queue at the service
	onDemandShortPollTimeout = 2 * time.Second         // polls queue at the service; one sent sooner only queues anew
	hedgeDelay               = 800 * time.Millisecond
)

// Limits on the drain grace from which the times of polls of the agent, which runs on
// the node's machine, are derived.
const (
	minGrace = 400 * time.Millisecond // polls for a shorter one would take too much of the node's CPU time
	maxGrace = 4 * time.Second        // a stalled long poll must be noticed within 6 s even with a longer one
)

// maxFirstBackoff limits the wait after a first failure of the agent. It is short
// because polls of the agent are cheap.
const maxFirstBackoff = 50 * time.Millisecond

// PollSchedule holds the timeouts and waits of a Watcher. They are derived from how
// late a change may be noticed once discovery can be reached again, even if two
// polls in a row fail: the poll in flight at that moment, whichever way it fails, and
// the next one.
//
// The failure of a long poll is noticed within LongPollTimeout plus ResponseTimeout,
// and the next poll is given up after ShortPollTimeout. If the first of the two is a
// short poll, the third poll starts within two RetryIntervals of its start.
//
// With a HedgeDelay, a long poll without a response after its LongPollTimeout gets
// up to two hedged requests, and any other poll that may be hedged gets one.
type PollSchedule struct {
	OnDemand         bool          // the Watcher polls only after Request; otherwise it follows the list by itself
	LongPollTimeout  time.Duration // how long discovery may hold a long poll while nothing changes
	ResponseTimeout  time.Duration // how long after LongPollTimeout the response may begin; also the dial timeout
	HedgeDelay       time.Duration // between the requests of one poll while none has a response; 0 disables hedging
	ShortPollTimeout time.Duration // timeout of the short poll after a first failure
	FullListTimeout  time.Duration // timeout of a poll for the full list, and of short polls after further failures
	RetryInterval    time.Duration // longest time from the start of a failed short poll to the start of the next poll
	FirstBackoff     time.Duration // wait after a first failure, before jitter; not used on demand
}

// ScheduleFor returns the schedule for a node's settings.
//
// Where endpoint updates are pushed, the node polls an agent on its own machine. A
// change counts as notified, which starts the drain grace, as soon as the agent has
// it, whether or not a poll is waiting there. So all times together must fit into
// the drain grace. Polls of the agent cost the service nothing.
//
// On demand, each poll puts load on the service. A change that a stalled long poll
// misses counts as notified 2 s after its LongPollTimeout, so the LongPollTimeout
// may be long, but the times after it must be short. After a failure, a change
// counts as notified 6 s after discovery had it and could be reached;
// balancer.MaxPollRetryInterval is chosen to fit into that. Polls are then short
// until one succeeds, because a poll that hangs through the end of an outage does
// not notice that end. Watcher.Rejected describes the exception.
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
