package fairshare

import (
	"math/rand/v2"
	"time"
)

const (
	busyDelay   = 2 * time.Millisecond // a timer that is later than this shows that the processor is busy
	busyBackoff = 8                    // multiple of that delay to wait for again
)

// Wait waits for d, as Charge has returned it. While the processor is too busy to end the
// wait in time, it waits again, until limit has passed at most: what is beyond a
// connection's part is done when others do not need the processor. A value received from
// interrupt ends the wait.
func Wait(d, limit time.Duration, interrupt <-chan struct{}) {
	began := time.Now()
	for d > 0 {
		due := time.Now().Add(d)
		timer := time.NewTimer(d)
		select {
		case <-timer.C:
		case <-interrupt:
			timer.Stop()
			return
		}
		d = waitAgain(time.Since(due), limit-time.Since(began))
	}
}

// waitAgain returns for how long to wait again after a timer that was late by delay, if left
// of the limit is left. It returns 0 or less if the wait is over.
func waitAgain(delay, left time.Duration) time.Duration {
	if delay < busyDelay {
		return 0
	}
	return min(busyBackoff/2*delay+rand.N(busyBackoff/2*delay), left)
}
