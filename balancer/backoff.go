package balancer

import "time"

// backoff is the wait before a retry, which doubles with each retry up to a maximum. The caller adds the jitter.
type backoff struct {
	first time.Duration
	max   time.Duration
	wait  time.Duration // before the next retry
}

func newBackoff(first, max time.Duration) backoff {
	return backoff{first: first, max: max, wait: first}
}

// next returns the wait before the next retry and doubles the one after it.
func (o *backoff) next() time.Duration {
	wait := o.wait
	o.wait = min(2*wait, o.max)
	return wait
}

// reset makes the next wait the first again.
func (o *backoff) reset() { o.wait = o.first }
