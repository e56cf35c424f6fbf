package discovery

import (
	"fmt"
	"time"
)

// shortPollHold is how long discovery may hold a short poll. The response is
// immediate in effect; a hold time of 0 could be taken for a missing value.
const shortPollHold = 10 * time.Millisecond

// longPollSlack is the time from the LongPollTimeout of a long poll without a
// response to its first hedged request.
const longPollSlack = 600 * time.Millisecond

// Limits on the number of requests of one poll, hedged requests included.
const (
	maxShortPollRequests = 2
	maxLongPollRequests  = maxShortPollRequests + 1
)

// Poll is one poll of discovery. Discovery holds a long poll while nothing changes;
// it responds at once to a short poll and to a poll for the full list.
type Poll struct {
	Full            bool          // for the full list; otherwise for the changes since FromVersion
	FromVersion     uint64        // may be 0
	LongPollTimeout time.Duration // how long discovery may hold the poll while nothing changes
	Timeout         time.Duration // for the start of the response, counted from Watcher.Next
	StallTimeout    time.Duration // for each further part of the response

	hedgeDelay time.Duration // between the requests of this poll; 0 means a single request
	number     int           // counts from 1 within a Watcher; 0 means no poll
}

// RequestTimes returns when to send the requests of the poll, counted from
// Watcher.Next. The first request is the poll itself; the others are hedged
// requests, which are short polls. A hedged request is sent only while no request
// has succeeded and some are still running. The result of the poll is that of the
// first request to succeed, or else of the last to fail.
//
// The requests run concurrently: one that waits in the service's queue and gets no
// response must not use up the time of the next, and a canceled request loses its
// place in the queue.
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

// isLong returns whether discovery may hold the poll for longer than a short poll.
func (p Poll) isLong() bool { return p.LongPollTimeout > shortPollHold }

// short returns the same poll as a short poll.
func (p Poll) short() Poll {
	p.LongPollTimeout = shortPollHold
	return p
}

// Query returns the query string of the poll's URL, with its question mark. It is
// empty for the full list.
func (p Poll) Query() string {
	if p.Full {
		return ""
	}
	return fmt.Sprintf("?from=%d&hold_ms=%d", p.FromVersion, p.LongPollTimeout.Milliseconds())
}
