package discovery

import (
	"fmt"
	"time"
)

// shortPollHold is the time for which discovery may hold a short poll. It is a
// response at once in effect; zero could be read as a missing figure.
const shortPollHold = 10 * time.Millisecond

// longPollSlack is the time after its LongPollTimeout at which a long poll
// without a response gets its first hedged request.
const longPollSlack = 600 * time.Millisecond

// Requests of a poll at most, hedged ones included.
const (
	maxShortPollRequests = 2
	maxLongPollRequests  = maxShortPollRequests + 1
)

// Poll is one poll of discovery. A long poll waits there for a change; a short
// poll and a poll for the full list do not.
type Poll struct {
	Full            bool          // for the full list; otherwise for the changes since FromVersion
	FromVersion     uint64        // may be 0
	LongPollTimeout time.Duration // discovery may hold the poll for so long while nothing changes
	Timeout         time.Duration // for the start of the response, counted from Watcher.Next
	StallTimeout    time.Duration // for each further part of the response

	hedgeDelay time.Duration // between its requests; 0: only one
	number     int           // from 1, unique for its Watcher; 0: no poll
}

// RequestTimes returns when to send the requests of the poll, counted from
// Watcher.Next, for as long as none has succeeded and some are running. The
// first request is the poll itself; the others are hedged requests, which are
// short polls. The poll has the result of the first request to succeed, or else
// of the last.
//
// Requests run at the same time because one that queues at the service in vain
// must not cost the time of two, and one that is canceled loses its place in the
// queue.
func (p Poll) RequestTimes() []time.Duration {
	times := []time.Duration{0}
	if p.hedgeDelay == 0 {
		return times
	}
	next := p.hedgeDelay
	maxRequests := maxShortPollRequests
	if p.isLong() {
		next = p.LongPollTimeout + longPollSlack
		maxRequests = maxLongPollRequests
	}
	for next < p.Timeout && len(times) < maxRequests {
		times = append(times, next)
		next += p.hedgeDelay
	}
	return times
}

// isLong returns whether discovery may hold the poll.
func (p Poll) isLong() bool { return p.LongPollTimeout > shortPollHold }

// short returns the same poll as a short poll.
func (p Poll) short() Poll {
	p.LongPollTimeout = shortPollHold
	return p
}

// Query returns what follows the path in the poll's URL, with its question mark.
func (p Poll) Query() string {
	if p.Full {
		return ""
	}
	return fmt.Sprintf("?from=%d&hold_ms=%d", p.FromVersion, p.LongPollTimeout.Milliseconds())
}
