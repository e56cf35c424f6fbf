package balancer

import "time"

// backoff computes the wait before a retry, which doubles with each retry up to a maximum. The caller adds jitter.
type backoff struct {
	first time.Duration
	max   time.Duration
	wait  time.Duration // before the next retry
}

func newBackoff(first, max time.Duration) backoff {
	return backoff{first: first, max: max, wait: first}
}

// next returns the wait before the next retry and doubles the wait after it.
func (o *backoff) next() time.Duration {
	wait := o.wait
	o.wait = min(2*wait, o.max)
	return wait
}

// reset returns the backoff to its first wait.
func (o *backoff) reset() { o.wait = o.first }
