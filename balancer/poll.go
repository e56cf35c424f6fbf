package balancer

import "time"

// Polling for the endpoint list, where changes do not come by themselves.

const (
	// MaxPollRetryInterval is the longest time from the start of a failed poll to the start of the next. A change must
	// be known 6 s after discovery had it and could be reached, even if the poll under way and the one after it fail:
	// two intervals and the answer to a third poll fit into that, without the drain grace. Discovery may delay a poll
	// by up to 2 s, and one given up earlier waits anew, so the interval cannot be much shorter.
	MaxPollRetryInterval = 2500 * time.Millisecond

	firstPollBackoff  = 200 * time.Millisecond // after the first failure
	pollAnswerTimeout = 5 * time.Second        // least time without an answer before the next poll, which ends the last
)

// poller decides when to subscribe to the endpoint list.
type poller struct {
	subscribed bool // discovery has answered, and sends changes
	pending    bool // a poll is under way
	nextPollAt Time // no poll before
	polledAt   Time // the last poll
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

// pollAnswered records an endpoint update. A subscription is answered at once, even if nothing has changed.
func (b *Balancer) pollAnswered() {
	poller := &b.poller
	poller.subscribed = poller.subscribed || poller.pending
	poller.pending = false
}

// pollFailed schedules the next poll. The wait doubles within MaxPollRetryInterval, and has jitter: nodes that lost
// discovery together must not return together. A subscription that breaks right after it opened is no better than a
// failed poll, so only one that lasted for an interval resets the backoff.
func (b *Balancer) pollFailed() {
	poller := &b.poller
	room := MaxPollRetryInterval - tickInterval
	spent := b.now - poller.polledAt
	if spent < room {
		room -= spent
	} else if poller.subscribed {
		poller.backoff.reset()
	}
	poller.subscribed = false
	poller.pending = false
	wait := min(poller.backoff.next(), room*2/3) // jitter adds a half at most
	poller.nextPollAt = b.now + b.rng.jitter(wait)
}
