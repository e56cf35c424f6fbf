package memory

import "golang.org/x/sync/semaphore"

// HeadBudget bounds the memory of parsed heads above what connections cost in any case.
// Its methods may be called from any goroutine. A nil HeadBudget has no bound.
type HeadBudget struct{ pool *semaphore.Weighted }

// NewHeadBudget returns a budget of size bytes.
func NewHeadBudget(size int64) *HeadBudget {
	return &HeadBudget{pool: semaphore.NewWeighted(size)}
}

// Extend extends a reservation of this budget to the meter's excess. It reports false,
// and leaves the reservation as it is, if the budget is exhausted.
func (b *HeadBudget) Extend(held *Reservation, meter *HeadMeter) bool {
	missing := meter.Excess() - held.bytes
	if b == nil || missing <= 0 {
		return true
	}
	if !b.pool.TryAcquire(missing) {
		return false
	}
	held.pool = b.pool
	held.bytes += missing
	return true
}
