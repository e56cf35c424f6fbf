package memory

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"bankshift/internal/sockets"
)

// Budget bounds the bytes of the messages of one kind that are held at a time. Half of
// it is for messages that may still be arriving, the other half for messages whose
// bytes wait in the kernel and can be read at once. Peers that stop in the middle of a
// message can therefore exhaust the first half only. A message that gets nothing of
// either half stays in the kernel's buffers, whose size bounds what its peer can send.
//
// Its methods may be called from any goroutine. A nil Budget has no bound.
type Budget struct {
	arriving *semaphore.Weighted
	arrived  *semaphore.Weighted
	waiting  atomic.Int32 // messages that wait for memory
}

// NewBudget returns a budget of size bytes.
func NewBudget(size int64) *Budget {
	return &Budget{arriving: semaphore.NewWeighted(size / 2), arrived: semaphore.NewWeighted(size / 2)}
}

// Reservation is a part of a budget. The zero value reserves nothing.
type Reservation struct {
	pool  *semaphore.Weighted // nil: nothing is reserved
	bytes int64
}

// Held reports whether anything is reserved.
func (r *Reservation) Held() bool { return r.pool != nil }

// Release returns the reservation to its budget. Further calls have no effect.
func (r *Reservation) Release() {
	if r.pool == nil {
		return
	}
	r.pool.Release(r.bytes)
	*r = Reservation{}
}

// Reserve reserves size bytes for a message of which unread bytes have still to be read
// from c. If the first half of the budget is exhausted, it waits until these bytes have
// arrived, up to c's read deadline, and then for a part of the other half, until ctx
// ends. Nobody else may read from c meanwhile. Messages of up to UnreservedBytes need no
// reservation.
func (b *Budget) Reserve(ctx context.Context, c net.Conn, size, unread int) (Reservation, error) {
	if b == nil || size <= UnreservedBytes {
		return Reservation{}, nil
	}
	if b.arriving.TryAcquire(int64(size)) {
		return Reservation{pool: b.arriving, bytes: int64(size)}, nil
	}
	err := sockets.AwaitUnread(c, unread)
	if errors.Is(err, errors.ErrUnsupported) {
		return b.acquire(ctx, b.arriving, size)
	}
	if err != nil {
		return Reservation{}, err
	}
	return b.acquire(ctx, b.arrived, size)
}

// ReserveUnknown reserves size bytes for a message of which nobody knows how much has
// still to be read. It waits for a part of the first half of the budget until ctx ends.
func (b *Budget) ReserveUnknown(ctx context.Context, size int) (Reservation, error) {
	if b == nil {
		return Reservation{}, nil
	}
	return b.acquire(ctx, b.arriving, size)
}

// Short reports whether messages wait for memory.
func (b *Budget) Short() bool { return b.waiting.Load() > 0 }

// acquire waits for bytes of one half of the budget until ctx ends.
func (b *Budget) acquire(ctx context.Context, pool *semaphore.Weighted, bytes int) (Reservation, error) {
	b.waiting.Add(1)
	defer b.waiting.Add(-1)
	if err := pool.Acquire(ctx, int64(bytes)); err != nil {
		return Reservation{}, fmt.Errorf("waiting for %d bytes of memory: %w", bytes, err)
	}
	return Reservation{pool: pool, bytes: int64(bytes)}, nil
}
