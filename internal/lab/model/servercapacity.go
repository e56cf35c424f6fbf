package model

import (
	"math"
	"time"
)

// Capacity returns the fraction of its full capacity that the server has, which
// is 1 when it is warm. It does not depend on whether the server is up, slow or
// hung.
func (s *Server) Capacity(now time.Duration) float64 {
	if !s.warmingUp || now >= s.started+s.cfg.WarmupTime {
		return 1
	}
	return s.cfg.InitialCapacity + (1-s.cfg.InitialCapacity)*float64(now-s.started)/float64(s.cfg.WarmupTime)
}

// capacitySeconds returns the integral of Capacity from now to a later time, in
// seconds.
func (s *Server) capacitySeconds(to time.Duration) float64 {
	warm := s.started + s.cfg.WarmupTime
	if !s.warmingUp || s.now >= warm {
		return (to - s.now).Seconds()
	}
	mid := min(to, warm)
	return (s.Capacity(s.now)+s.Capacity(mid))/2*(mid-s.now).Seconds() + (to - mid).Seconds()
}

// timeOfProgress returns when s.progress reaches a value, if nothing changes until
// then. It inverts capacitySeconds: capacity grows linearly during the warm-up,
// so the time is the root of a quadratic equation.
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

// ceilNanoseconds rounds s, in seconds, up to a whole nanosecond. It subtracts
// 1e-3 ns first, to tolerate the rounding errors of sums.
func ceilNanoseconds(s float64) time.Duration { return time.Duration(math.Ceil(s*1e9 - 1e-3)) }

// loadSample is an amount of work that reached a server at one time during its
// warm-up.
type loadSample struct {
	at   time.Duration
	work time.Duration
}

// recordWarmupLoad records work that reaches the server, if it warms up. It
// returns true if that work makes the server crash.
func (s *Server) recordWarmupLoad(work time.Duration) bool {
	if s.cfg.CrashFactor <= 0 || s.cfg.MeanWork <= 0 || s.Capacity(s.now) >= 1 {
		return false
	}
	s.expireWarmupLoad()
	s.warmupLoad = append(s.warmupLoad, loadSample{s.now, work})
	s.warmupLoadSum += work
	load := float64(s.warmupLoadSum) / float64(s.cfg.MeanWork) / s.crashThreshold()
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

// expireWarmupLoad removes the samples that are older than CrashWindow.
func (s *Server) expireWarmupLoad() {
	for s.warmupLoadHead < len(s.warmupLoad) && s.warmupLoad[s.warmupLoadHead].at <= s.now-s.cfg.CrashWindow {
		s.warmupLoadSum -= s.warmupLoad[s.warmupLoadHead].work
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

// crashThreshold returns how many requests of MeanWork within CrashWindow the
// server survives at its current warm-up capacity.
func (s *Server) crashThreshold() float64 {
	n := s.cfg.CrashFactor * s.Capacity(s.now) * s.cfg.Speed * float64(s.cfg.Cores) * float64(s.cfg.CrashWindow) / float64(s.cfg.MeanWork)
	return n + 2*math.Sqrt(n) + 2
}
