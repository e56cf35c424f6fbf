package fairshare

import (
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"
)

// MaxWait is the longest wait for a share of the processor.
const MaxWait = 250 * time.Millisecond

// maxCharge is the most that is charged at once: work is measured by the clock, which runs
// on while the process is paused.
const maxCharge = 250 * time.Microsecond

// Allowance limits work to a share of the processor. Its methods may be called from any
// goroutine.
type Allowance struct{ limiter *rate.Limiter } // a token is a nanosecond of work

// NewAllowance returns an allowance of a share of the processor, in seconds of work per
// second, that saves up burst, maxCharge at least.
func NewAllowance(share float64, burst time.Duration) Allowance {
	return Allowance{limiter: rate.NewLimiter(perSecond(share), int(max(burst, maxCharge)))}
}

// perSecond returns the limit for a share of the processor.
func perSecond(share float64) rate.Limit { return rate.Limit(share * float64(time.Second)) }

// Charge charges work that has been done. It returns how long to wait before the next
// work, MaxWait at most. Waits that would be longer differ at random, so that those who
// wait do not go on at the same moment.
func (a Allowance) Charge(now time.Time, work time.Duration) (wait time.Duration) {
	return limitWait(a.limiter.ReserveN(now, cost(work)), now)
}

// limitWait returns how long a reservation has to wait. If that is longer than MaxWait,
// it cancels the reservation, so that the debt does not outlast the wait.
func limitWait(r *rate.Reservation, now time.Time) time.Duration {
	wait := r.DelayFrom(now)
	if wait <= MaxWait {
		return wait
	}
	r.CancelAt(now)
	return MaxWait/2 + rand.N(MaxWait/2)
}

// cost returns the tokens that work costs.
func cost(work time.Duration) int { return int(min(max(work, 0), maxCharge)) }
