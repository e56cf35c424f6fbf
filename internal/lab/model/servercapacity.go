package model

import (
	"math"
	"time"
)

// Capacity is the fraction of its capacity that a server has, 1 when warm. It
// does not say whether the server is up, slow or hung.
func (s *Server) Capacity(now time.Duration) float64 {
	if !s.warmingUp || now >= s.started+s.cfg.WarmupTime {
		return 1
	}
	return s.cfg.InitialCapacity + (1-s.cfg.InitialCapacity)*float64(now-s.started)/float64(s.cfg.WarmupTime)
}

// capacitySeconds is the integral of Capacity from now to a time.
func (s *Server) capacitySeconds(to time.Duration) float64 {
	warm := s.started + s.cfg.WarmupTime
	if !s.warmingUp || s.now >= warm {
		return (to - s.now).Seconds()
	}
	mid := min(to, warm)
	return (s.Capacity(s.now)+s.Capacity(mid))/2*(mid-s.now).Seconds() + (to - mid).Seconds()
}

// timeOfProgress is when progress reaches a value, if nothing changes until
// then. It inverts capacitySeconds: while the server warms up, capacity grows
// linearly, so the time is the root of a quadratic.
func (s *Server) timeOfProgress(progress float64) time.Duration {
	need := max(0, progress-s.progress) * s.slowdown / s.cfg.Speed // seconds at full capacity
	warm := s.started + s.cfg.WarmupTime
	if !s.warmingUp || s.now >= warm {
		return s.now + ceilNanoseconds(need)
	}
	left := (warm - s.now).Seconds()
	from := s.Capacity(s.now)
	if area := (from + 1) / 2 * left; need > area {
		return s.now + ceilNanoseconds(left+need-area)
	}
	if need == 0 {
		return s.now
	}
	slope := (1 - from) / left
	return s.now + ceilNanoseconds(2*need/(from+math.Sqrt(from*from+2*slope*need)))
}

// ceilNanoseconds rounds seconds up to a whole nanosecond, with a tolerance for
// the rounding errors of sums.
func ceilNanoseconds(s float64) time.Duration { return time.Duration(math.Ceil(s*1e9 - 1e-3)) }

// loadSample is work that reached a server that warms up.
type loadSample struct {
	at   time.Duration
	cost time.Duration
}

// recordWarmupLoad counts work that reaches the server. It returns true if the
// server crashes under it.
func (s *Server) recordWarmupLoad(cost time.Duration) bool {
	if s.cfg.CrashFactor <= 0 || s.cfg.MeanCost <= 0 || s.Capacity(s.now) >= 1 {
		return false
	}
	s.expireWarmupLoad()
	s.warmupLoad = append(s.warmupLoad, loadSample{s.now, cost})
	s.warmupLoadSum += cost
	load := float64(s.warmupLoadSum) / float64(s.cfg.MeanCost) / s.crashThreshold()
	s.stats.WorstWarmupLoad = max(s.stats.WorstWarmupLoad, load)
	if load <= 1 {
		return false
	}
	s.stats.Crashes++
	s.endProcess(down)
	s.crashed = true
	s.recoverAt = s.now + s.cfg.CrashDowntime
	return true
}

// expireWarmupLoad forgets the samples before the last CrashWindow.
func (s *Server) expireWarmupLoad() {
	for s.warmupLoadHead < len(s.warmupLoad) && s.warmupLoad[s.warmupLoadHead].at <= s.now-s.cfg.CrashWindow {
		s.warmupLoadSum -= s.warmupLoad[s.warmupLoadHead].cost
		s.warmupLoadHead++
	}
	if s.warmupLoadHead > len(s.warmupLoad)/2 {
		s.warmupLoad = append(s.warmupLoad[:0], s.warmupLoad[s.warmupLoadHead:]...)
		s.warmupLoadHead = 0
	}
}

func (s *Server) clearWarmupLoad() {
	s.warmupLoad = nil
	s.warmupLoadHead = 0
	s.warmupLoadSum = 0
}

// crashThreshold is how many requests of mean work a server that warms up survives
// within CrashWindow.
func (s *Server) crashThreshold() float64 {
	n := s.cfg.CrashFactor * s.Capacity(s.now) * s.cfg.Speed * float64(s.cfg.Cores) * float64(s.cfg.CrashWindow) / float64(s.cfg.MeanCost)
	return n + 2*math.Sqrt(n) + 2
}
