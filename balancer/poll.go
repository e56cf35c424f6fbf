package balancer

import "time"

// Polling for the endpoint list, used if updates come only on demand (Settings.EndpointsOnDemand).

const (
	// MaxPollRetryInterval is the longest time from the start of a failed poll to the start of the next. A node must
	// know a change at the latest 6 s after discovery has it and is reachable, even if the poll under way and the next
	// one fail: two intervals and the answer to a third poll fit into 6 s, without using any of the drain grace.
	// Discovery may delay a poll by up to 2 s, and a poll that is given up sooner has to wait again, so the interval
	// cannot be much shorter.
	MaxPollRetryInterval = 2500 * time.Millisecond

	firstPollBackoff  = 200 * time.Millisecond // wait after the first failure
	pollAnswerTimeout = 5 * time.Second        // least time before a new poll ends a poll that has had no answer
)

// poller decides when to subscribe to the endpoint list.
type poller struct {
	subscribed bool // discovery has answered, and sends changes
	pending    bool // a poll is under way
	nextPollAt Time // no poll before this time
	polledAt   Time // start of the last poll
	backoff    backoff
}

// startPolling delays the first poll, so that nodes that start together poll at different times.
func (b *Balancer) startPolling() {
	b.poller.backoff = newBackoff(firstPollBackoff, MaxPollRetryInterval)
	b.poller.nextPollAt = b.now + b.rng.jitter(firstPollBackoff)
}

// poll subscribes to the endpoint list if that is due.
func (b *Balancer) poll() {
	poller := &b.poller
	if !b.settings.EndpointsOnDemand || poller.subscribed || b.now < poller.nextPollAt {
		return
	}
	poller.pending = true
	poller.polledAt = b.now
	poller.nextPollAt = b.now + max(pollAnswerTimeout, b.settings.PollInterval/2)
	b.emit(Subscribe{On: true})
}

// pollAnswered records that discovery has sent an update. Discovery answers a subscription at once, even if nothing has
// changed.
func (b *Balancer) pollAnswered() {
	poller := &b.poller
	poller.subscribed = poller.subscribed || poller.pending
	poller.pending = false
}

// pollFailed schedules the next poll. The wait doubles within MaxPollRetryInterval. It has jitter, so that nodes that
// lost discovery together do not all poll again together. A subscription that breaks right after it opened is no better
// than a failed poll, so only one that lasted for about MaxPollRetryInterval resets the backoff.
func (b *Balancer) pollFailed() {
	poller := &b.poller
	maxWait := MaxPollRetryInterval - tickInterval
	spent := b.now - poller.polledAt
	if spent < maxWait {
		maxWait -= spent
	} else if poller.subscribed {
		poller.backoff.reset()
	}
	poller.subscribed = false
	poller.pending = false
	wait := min(poller.backoff.next(), maxWait*2/3) // jitter adds up to half of the wait
	poller.nextPollAt = b.now + b.rng.jitter(wait)
}
