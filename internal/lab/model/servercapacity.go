package model

import (
	"math"
	"time"
)

// Capacity is the fraction of its capacity that a server has, 1 when warm. It
// does not say whether the server is up, slow or hung.
func (s *Server) Capacity(now time.Duration) float64 {
	if !s.cold || now >= s.started+s.cfg.WarmupTime {
		return 1
	}
	return s.cfg.ColdCapacity + (1-s.cfg.ColdCapacity)*float64(now-s.started)/float64(s.cfg.WarmupTime)
}

// capacitySeconds is the integral of Capacity from now to a time.
func (s *Server) capacitySeconds(to time.Duration) float64 {
	warm := s.started + s.cfg.WarmupTime
	if !s.cold || s.now >= warm {
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
	if !s.cold || s.now >= warm {
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

// loadSample is work that reached a cold server.
type loadSample struct {
	at   time.Duration
	cost time.Duration
}

// recordColdLoad counts work that reaches the server. It returns true if the
// server crashes under it.
func (s *Server) recordColdLoad(cost time.Duration) bool {
	if s.cfg.CrashFactor <= 0 || s.cfg.MeanCost <= 0 || s.Capacity(s.now) >= 1 {
		return false
	}
	s.expireColdLoad()
	s.coldLoad = append(s.coldLoad, loadSample{s.now, cost})
	s.coldLoadSum += cost
	load := float64(s.coldLoadSum) / float64(s.cfg.MeanCost) / s.crashThreshold()
	s.stats.WorstColdLoad = max(s.stats.WorstColdLoad, load)
	if load <= 1 {
		return false
	}
	s.stats.Crashes++
	s.endProcess(down)
	s.crashed = true
	s.recoverAt = s.now + s.cfg.CrashDowntime
	return true
}

// expireColdLoad forgets the samples before the last CrashWindow.
func (s *Server) expireColdLoad() {
	for s.coldLoadHead < len(s.coldLoad) && s.coldLoad[s.coldLoadHead].at <= s.now-s.cfg.CrashWindow {
		s.coldLoadSum -= s.coldLoad[s.coldLoadHead].cost
		s.coldLoadHead++
	}
	if s.coldLoadHead > len(s.coldLoad)/2 {
		s.coldLoad = append(s.coldLoad[:0], s.coldLoad[s.coldLoadHead:]...)
		s.coldLoadHead = 0
	}
}

func (s *Server) clearColdLoad() {
	s.coldLoad = nil
	s.coldLoadHead = 0
	s.coldLoadSum = 0
}

// crashThreshold is how many requests of mean work a cold server survives
// within CrashWindow.
func (s *Server) crashThreshold() float64 {
	n := s.cfg.CrashFactor * s.Capacity(s.now) * s.cfg.Speed * float64(s.cfg.Cores) * float64(s.cfg.CrashWindow) / float64(s.cfg.MeanCost)
	return n + 2*math.Sqrt(n) + 2
}
