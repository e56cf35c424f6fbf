package discovery

import "time"

// longPollTimeoutAfterRejection is the LongPollTimeout after a rejection. It is short enough
// for a stall of discovery to be noticed within 6 s.
const longPollTimeoutAfterRejection = 2 * time.Second

// A long poll whose response comes early and without a change was not held. The
// next poll waits then, as it would otherwise be a busy loop.
const (
	notHeldDivisor = 100 // responses within LongPollTimeout/notHeldFraction are early
	notHeldDelay   = 100 * time.Millisecond
)

// Waits are multiplied by a factor from minJitter to maxJitter.
const (
	minJitter = 0.5
	maxJitter = 1.5
)

// Watcher decides when discovery is polled, and for what. It does no I/O and
// reads no clock: its caller makes the poll that Next returns and reports the
// result by Succeeded, Failed or Rejected. All times are readings of the
// caller's monotonic clock.
//
// A Watcher follows the changes from the last version that it has. Without one
// it begins with the full list, because versions of another discovery mean
// nothing to this one. It is not safe for concurrent use.
type Watcher struct {
	schedule PollSchedule
	random   func() float64 // in [0,1)

	version    uint64 // last one taken
	hasVersion bool

	fetch      bool // the full list is wanted once
	subscribed bool // the changes are wanted from then on
	shortNext  bool // the next poll is short: it follows a failure or a Request

	inFlight  Poll // with number 0: none
	polls     int  // so far
	startedAt time.Duration
	nextAt    time.Duration // the next poll starts no sooner

	failures    int           // in a row
	rejected    bool          // the last failure was a response: discovery can be reached
	recoveredAt time.Duration // of the last success after a failure
	backoff     time.Duration // after the next failure, before jitter
}

// NewWatcher makes a Watcher. Random is its source of jitter, in [0,1). On
// demand it polls only after Request.
func NewWatcher(schedule PollSchedule, random func() float64) *Watcher {
	return &Watcher{
		schedule:   schedule,
		random:     random,
		subscribed: !schedule.OnDemand,
		backoff:    schedule.FirstBackoff,
	}
}

// Next returns the poll that is due, which is in flight from then on. With none
// due, ok is false and at is the time of the next call of Next. Never stands for
// the next Request, Succeeded, Failed or Rejected.
func (w *Watcher) Next(now time.Duration) (poll Poll, at time.Duration, ok bool) {
	if w.inFlight.number != 0 || !w.fetch && !w.subscribed {
		return Poll{}, Never, false
	}
	if now < w.nextAt {
		return Poll{}, w.nextAt, false
	}
	poll = w.nextPoll()
	w.polls++
	poll.number = w.polls
	w.inFlight = poll
	w.startedAt = now
	return poll, Never, true
}

func (w *Watcher) nextPoll() Poll {
	poll := Poll{
		Full:         w.fetch || !w.hasVersion,
		Timeout:      w.schedule.FullListTimeout,
		StallTimeout: w.schedule.FullListTimeout,
	}
	if !poll.Full {
		poll.FromVersion = w.version
		poll.LongPollTimeout, poll.Timeout = w.pollTimeouts()
	}
	// Any other poll follows a failure. Many nodes may do that at once, and must
	// not poll twice as often then.
	if poll.isLong() || w.fetch {
		poll.hedgeDelay = w.schedule.HedgeDelay
	}
	return poll
}

// pollTimeouts returns the LongPollTimeout and the Timeout of a poll for changes.
func (w *Watcher) pollTimeouts() (hold, timeout time.Duration) {
	switch {
	case !w.shortNext:
		return w.schedule.LongPollTimeout, w.schedule.LongPollTimeout + w.schedule.ResponseTimeout
	case w.rejected:
		return longPollTimeoutAfterRejection, longPollTimeoutAfterRejection + w.schedule.ResponseTimeout
	case w.failures <= 1:
		return shortPollHold, w.schedule.ShortPollTimeout
	default:
		return shortPollHold, w.schedule.FullListTimeout
	}
}

// Request sets what is wanted on demand: the full list once, the changes from
// then on, both or neither. It returns whether the poll in flight is to be
// canceled because its result no longer counts. The next poll is short, so that
// its response comes at once; if only the changes are wanted and a short poll
// for them is in flight, that one goes on. A Watcher that follows the list by
// itself does so whatever subscribe is.
func (w *Watcher) Request(now time.Duration, fetch, subscribe bool) (cancel bool) {
	polling := w.inFlight.number != 0
	if polling && !w.inFlight.isLong() && !fetch && subscribe && w.subscribed {
		return false
	}
	w.inFlight = Poll{}
	w.nextAt = now
	w.shortNext = true
	w.fetch = fetch
	w.subscribed = subscribe || !w.schedule.OnDemand
	return polling
}

// Succeeded takes the version of a poll's result. It returns whether the result
// counts: that of a poll which Request has canceled does not.
//
// The next poll is due at once, so that discovery takes the polls for one watch.
func (w *Watcher) Succeeded(now time.Duration, poll Poll, list List) bool {
	if !w.isInFlight(poll) {
		return false
	}
	w.nextAt = now
	if poll.isLong() && list.Version == poll.FromVersion && now-w.startedAt < poll.LongPollTimeout/notHeldDivisor {
		w.nextAt += notHeldDelay
	}
	if w.failures > 0 {
		w.recoveredAt = now
	}
	w.inFlight = Poll{}
	w.version = list.Version
	w.hasVersion = true
	w.failures = 0
	w.fetch = false
	w.shortNext = false
	return true
}

func (w *Watcher) isInFlight(poll Poll) bool {
	return poll.number != 0 && poll.number == w.inFlight.number
}

// Failed takes the failure of a poll. It returns whether the failure is to be
// reported. On demand each failure is, and the Watcher waits for the next
// Request. Otherwise only the first of an outage is, and the Watcher retries
// after a jittered wait.
func (w *Watcher) Failed(now time.Duration, poll Poll) bool {
	if !w.isInFlight(poll) {
		return false
	}
	w.inFlight = Poll{}
	w.shortNext = true
	w.rejected = false
	w.failures++
	if w.schedule.OnDemand {
		w.fetch = false
		w.subscribed = false
		return true
	}
	w.scheduleRetry(now, poll)
	return w.failures == 1
}

// scheduleRetry sets the time of the poll after a failed one. The wait doubles
// with each failure, within the RetryInterval. It does not begin anew for an
// outage soon after the last: polls that keep breaking after a first success are
// no better than polls that never succeed.
func (w *Watcher) scheduleRetry(now time.Duration, poll Poll) {
	if w.failures == 1 && now-w.recoveredAt >= w.schedule.RetryInterval {
		w.backoff = w.schedule.FirstBackoff
	}
	remaining := w.schedule.RetryInterval
	if !poll.isLong() {
		remaining -= now - w.startedAt
	}
	longest := time.Duration(float64(remaining) / maxJitter)
	wait := max(0, min(w.backoff, longest))
	w.nextAt = now + time.Duration(float64(wait)*(minJitter+w.random()))
	w.backoff = min(2*w.backoff, w.schedule.RetryInterval)
}

// Rejected is Failed for a poll that discovery rejected by a response, so it can
// be reached. On demand the next poll may then be held for a while. It is a long
// poll at once, and does not queue a second time for a response that others
// still wait for.
func (w *Watcher) Rejected(now time.Duration, poll Poll) bool {
	report := w.Failed(now, poll)
	w.rejected = report && w.schedule.OnDemand
	return report
}
