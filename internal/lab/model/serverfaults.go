package model

import (
	"math"
	"time"
)

// Start starts a new process, which warms up and is neither hung nor draining. An
// existing process is killed first.
func (s *Server) Start(now time.Duration) {
	s.advanceTo(now)
	if s.state == up {
		s.endProcess(down)
	}
	s.startProcess()
}

// Kill ends the process: its connections are reset and new ones refused.
func (s *Server) Kill(now time.Duration) { s.stop(now, down) }

// Disconnect takes the machine off the network. Its requests end without a reply,
// and to clients its connections stay open and silent.
func (s *Server) Disconnect(now time.Duration) { s.stop(now, disconnected) }

// stop ends the process, if there is one, and sets a state other than up.
func (s *Server) stop(now time.Duration, to state) {
	s.advanceTo(now)
	if s.state == up {
		s.endProcess(to)
	}
	s.state = to
	s.crashed = false
}

// SetHung pauses the process or lets it continue. While hung, it accepts any
// number of requests, and connections up to MaxConnections, and answers nothing.
// When it continues, it rejects the waiting requests beyond QueueLimit.
func (s *Server) SetHung(now time.Duration, on bool) {
	s.advanceTo(now)
	if s.hung == on {
		return
	}
	s.hung = on
	if on {
		return
	}
	s.startJobs()
	s.rejectOverflow()
}

// rejectOverflow rejects the waiting requests beyond QueueLimit.
func (s *Server) rejectOverflow() {
	kept := 0
	for _, j := range s.queue[s.queueHead:] {
		if j.handshake || j.abandoned {
			continue
		}
		kept++
		if kept > s.cfg.QueueLimit {
			j.abandoned = true
			s.waiting--
			s.stats.Rejected++
			s.reply(j, Rejected, false)
		}
	}
}

// SetSlowdown makes the server slower by a factor; 1 is its normal speed. The
// load that the server survives during its warm-up does not change.
func (s *Server) SetSlowdown(now time.Duration, factor float64) {
	s.advanceTo(now)
	if factor > 0 {
		s.slowdown = factor
	}
}

// SetFailureRate makes a fraction of the executions end Failed, including those
// under way. A negative fraction restores the configured one.
func (s *Server) SetFailureRate(now time.Duration, fraction float64) {
	s.advanceTo(now)
	if fraction < 0 {
		fraction = s.cfg.FailureRate
	}
	s.failureRate = fraction
}

// SetDraining makes the server reject all new requests, or accept them again.
// Accepted requests run to their end. The status Draining in discovery's list has
// no such effect: the caller decides whether and when the server drains.
func (s *Server) SetDraining(now time.Duration, on bool) {
	s.advanceTo(now)
	s.draining = on
}

// endProcess ends the process and all its requests and connections, and sets the
// given state.
func (s *Server) endProcess(to state) {
	for _, j := range s.running {
		done := time.Duration(math.Round((min(s.progress, j.endProgress) - j.startProgress) * 1e9))
		s.stats.Work += done
		s.stats.Wasted += done
		if j.keys != nil {
			j.keys.forget(j.Key)
		}
	}
	for _, j := range append(s.running, s.queue[s.queueHead:]...) {
		if j.handshake || j.abandoned {
			continue
		}
		s.stats.LostRequests++
		if to == down {
			s.replies = append(s.replies, Reply{ID: j.ID, Outcome: ConnectionReset, At: s.now})
		}
	}
	s.running = nil
	s.queue = nil
	s.queueHead = 0
	s.waiting = 0
	s.clearWarmupLoad()
	s.idleConns.Init()
	s.stats.Connections = 0
	s.incarnation++
	s.state = to
	s.crashed = false
}

// startProcess starts a new process at the beginning of its warm-up.
func (s *Server) startProcess() {
	s.state = up
	s.crashed = false
	s.started = s.now
	s.warmingUp = s.cfg.WarmupTime > 0
	s.hung = false
	s.draining = false
	s.stats.Starts++
}
