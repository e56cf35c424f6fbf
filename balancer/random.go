package balancer

import "time"

// random is a generator of pseudo-random numbers (splitmix64). The same seed gives the same numbers.
type random struct{ state uint64 }

func newRandom(seed int64) random { return random{state: uint64(seed)*2 + 1} }

// float64 returns a number in [0, 1).
func (r *random) float64() float64 {
	r.state += 0x9e3779b97f4a7c15
	return float64(splitmix64(r.state)>>11) / (1 << 53)
}

// jitter returns a duration between a half and one and a half times d.
func (r *random) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + r.float64()))
}

// splitmix64 is the mixing function of the generator. It maps different numbers to different numbers.
func splitmix64(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
