package model

import "time"

// job is a request or a handshake that a server has accepted.
type job struct {
	Request
	conn          *Conn // nil: the connection is not modelled
	handshake     bool
	abandoned     bool // ended already: the client closed the connection, or the request was rejected while queued
	started       bool
	keys          *KeyStore // store that has recorded its key; nil: none
	startProgress float64   // Server.progress at the start of the execution
	endProgress   float64   // Server.progress at the end of the execution
}

// Arrive passes a request to the server. The outcome is Accepted, and a later
// Advance returns the Reply, or the request has ended with one of
//
//   - Rejected: the queue is full or the server drains; the request was never
//     executed;
//   - ConnectionReset: c was closed or belongs to an earlier process, or the
//     load of the request crashes the server;
//   - ConnectionRefused: the process has ended, and c is nil;
//   - NoResponse: the machine is off the network.
//
// A nil c stands for a connection that the caller does not model.
func (s *Server) Arrive(now time.Duration, c *Conn, r Request) Outcome {
	s.advanceTo(now)
	switch {
	case s.state == disconnected:
		return NoResponse
	case c != nil && c.broken():
		s.stats.LostRequests++
		return ConnectionReset
	case s.state == down:
		return ConnectionRefused
	}
	if s.recordWarmupLoad(r.Work) {
		s.stats.LostRequests++
		return ConnectionReset
	}
	if s.full() {
		s.stats.Rejected++
		if c != nil && c.idleElement != nil {
			s.idleConns.MoveToBack(c.idleElement)
			c.idleSince = s.now
		}
		return Rejected
	}
	j := &job{Request: r, conn: c}
	if c != nil {
		c.job = j
		s.markBusy(c)
	}
	s.queue = append(s.queue, j)
	s.waiting++
	s.startJobs()
	return Accepted
}

// full reports whether a new request must be rejected. A hung process cannot
// reject requests; rejectOverflow does so when the process continues.
func (s *Server) full() bool {
	if s.hung {
		return false
	}
	return s.draining || len(s.running) == s.cfg.Cores && s.waiting >= s.cfg.QueueLimit
}

// startJobs starts queued jobs while cores are free.
func (s *Server) startJobs() {
	for s.state == up && !s.hung && s.queueHead < len(s.queue) && len(s.running) < s.cfg.Cores {
		j := s.queue[s.queueHead]
		s.queue[s.queueHead] = nil
		s.queueHead++
		if !j.abandoned {
			s.startJob(j)
		}
	}
	if s.queueHead > len(s.queue)/2 {
		s.queue = append(s.queue[:0], s.queue[s.queueHead:]...)
		s.queueHead = 0
	}
}

// startJob starts a job on a core, or replies at once if its key is known.
func (s *Server) startJob(j *job) {
	if !j.handshake {
		s.waiting--
	}
	if keys := s.cfg.KeyStores[j.Scope]; j.Key != "" && keys != nil {
		if !keys.beginRun(s.now, j.Key, j.Window) {
			s.stats.Repeats++
			s.stats.Served++
			s.reply(j, Served, true)
			return
		}
		j.keys = keys
	}
	j.started = true
	j.startProgress = s.progress
	j.endProgress = s.progress + j.Work.Seconds()
	s.running = append(s.running, j)
	if s.cfg.OnStart != nil && !j.handshake {
		s.cfg.OnStart(j.ID, s.now)
	}
}

// finishJob handles the end of an execution and replies to its request.
func (s *Server) finishJob(j *job) {
	s.stats.Work += j.Work
	if j.handshake {
		return
	}
	failed := s.failureRate >= 1 || s.failureRate > 0 && s.rng.Float64() < s.failureRate
	if failed && j.keys != nil {
		j.keys.forget(j.Key)
	}
	if j.abandoned || failed {
		s.stats.Wasted += j.Work
	}
	switch {
	case j.abandoned:
	case failed:
		s.stats.Failed++
		s.reply(j, Failed, false)
	default:
		s.stats.Served++
		s.reply(j, Served, false)
	}
}

// reply ends an accepted request and makes its connection idle.
func (s *Server) reply(j *job, outcome Outcome, repeat bool) {
	s.replies = append(s.replies, Reply{ID: j.ID, Outcome: outcome, At: s.now, Repeat: repeat})
	if j.conn != nil {
		j.conn.job = nil
		s.markIdle(j.conn)
	}
}
