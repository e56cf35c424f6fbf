package discovery

import "time"

// longPollTimeoutAfterRejection is the LongPollTimeout of the poll after a
// rejection. It is short enough for a stall of discovery to be noticed within 6 s.
const longPollTimeoutAfterRejection = 2 * time.Second

// A long poll whose response comes early and without a change was not held. The
// next poll is delayed then, to avoid a busy loop.
const (
	notHeldDivisor = 100 // responses within LongPollTimeout/notHeldDivisor are early
	notHeldDelay   = 100 * time.Millisecond
)

// The wait after a failure is multiplied by a random factor from minJitter to maxJitter.
const (
	minJitter = 0.5
	maxJitter = 1.5
)

// Watcher decides when discovery is polled, and for what. It does no I/O and reads
// no clock: its caller sends the poll that Next returns and reports the result by
// Succeeded, Failed or Rejected. All times are readings of the caller's monotonic
// clock.
//
// A Watcher polls for the changes since the last version that it received. Without
// one it starts with the full list, because versions of another discovery service
// are not valid for this one. It is not safe for concurrent use.
type Watcher struct {
	schedule PollSchedule
	random   func() float64 // in [0,1)

	version    uint64 // of the last list whose result counted
	hasVersion bool

	fetch      bool // the full list is wanted once
	subscribed bool // the changes are wanted continuously
	shortNext  bool // the next poll is short: it follows a failure or a Request

	inFlight  Poll          // number 0 if there is none
	polls     int           // number of polls returned by Next
	startedAt time.Duration // of the last poll
	nextAt    time.Duration // earliest start of the next poll

	failures    int           // in a row
	rejected    bool          // the last failure was a rejection of an on-demand poll, so discovery can be reached
	recoveredAt time.Duration // time of the last success after a failure
	backoff     time.Duration // wait after the next failure, before jitter
}

// NewWatcher returns a Watcher. random is the source of jitter and returns values in
// [0,1). With an on-demand schedule the Watcher polls only after Request.
func NewWatcher(schedule PollSchedule, random func() float64) *Watcher {
	return &Watcher{
		schedule:   schedule,
		random:     random,
		subscribed: !schedule.OnDemand,
		backoff:    schedule.FirstBackoff,
	}
}

// Next returns the poll that is due, which is in flight from then on. If none is
// due, ok is false and at is when to call Next again; Never means after the next
// Request, Succeeded, Failed or Rejected.
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
	// Any other poll follows a failure and is not hedged: many nodes may fail at
	// once, and hedged requests would double their load on the service.
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

// Request sets what is wanted: the full list once (fetch), the changes from then on
// (subscribe), both or neither. It returns whether the poll in flight must be
// canceled because its result no longer counts. The next poll is short, so that its
// response comes at once; Rejected describes the exception.
//
// If only the changes are wanted, and were wanted before, a poll in flight that is
// not a long poll goes on. Without an on-demand schedule, the Watcher polls for
// changes whatever subscribe is.
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

// Succeeded records the result of a poll. It returns whether the result counts; that
// of a poll that Request has canceled does not.
//
// The next poll is due at once, so that discovery treats consecutive polls as one
// watch.
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

// Failed records the failure of a poll and returns whether to report it. On demand
// each failure is reported, and the Watcher waits for the next Request. Otherwise
// only the first failure of an outage is reported, and the Watcher retries after a
// jittered wait.
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

// scheduleRetry sets the time of the poll after a failed one. The wait doubles with
// each failure, but the next poll starts within RetryInterval of the start of a
// failed short poll. A failure within RetryInterval of the last recovery does not
// reset the backoff: polls that keep breaking after a first success are no better
// than polls that never succeed.
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

// Rejected is Failed for a poll that discovery rejected by a response, which shows
// that it can be reached. On demand the next poll is then a long poll at once, with
// a LongPollTimeout of longPollTimeoutAfterRejection. A short poll before it would
// make the node queue a second time while others still wait for their response.
func (w *Watcher) Rejected(now time.Duration, poll Poll) bool {
	report := w.Failed(now, poll)
	w.rejected = report && w.schedule.OnDemand
	return report
}
