package fairshare

import (
	"sync"
	"time"
)

// Meter measures work by the clock. The zero value is stopped at zero. Its methods may be
// called from any goroutine.
type Meter struct {
	mu       sync.Mutex // guards what follows
	measured time.Duration
	since    time.Time // zero: stopped
}

// Start starts the meter.
func (m *Meter) Start(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.since = now
}

// Stop stops the meter. It has no effect on a stopped meter.
func (m *Meter) Stop(now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.since.IsZero() {
		return
	}
	m.measured += now.Sub(m.since)
	m.since = time.Time{}
}

// Take returns the work measured since the last Take.
func (m *Meter) Take() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	measured := m.measured
	m.measured = 0
	return measured
}
