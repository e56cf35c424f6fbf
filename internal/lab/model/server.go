package model

import (
	"container/list"
	"math"
	"time"
)

// ServerConfig configures a Server. The zero value is one core of speed 1 with
// no queue and no limit of connections, and always warm.
type ServerConfig struct {
	Cores      int     // 0: 1
	Speed      float64 // of a core; 0: 1
	QueueLimit int     // requests that may wait; Unlimited: any number

	MaxConnections int           // open at once; 0: any number
	Handshake      time.Duration // work of a new connection, on a core of speed 1
	IdleTimeout    time.Duration // after which an idle connection is closed; 0: never

	// A server starts with the fraction InitialCapacity of its capacity, which
	// grows linearly to all of it within WarmupTime. While it warms up, it crashes once
	// more than N + 2 sqrt(N) + 2 requests of MeanCost reach it within
	// CrashWindow, where N is CrashFactor times what it could execute then in
	// CrashWindow.
	InitialCapacity float64
	WarmupTime      time.Duration // 0: always warm
	CrashFactor     float64       // 0: never crashes
	CrashWindow     time.Duration
	CrashDowntime   time.Duration // until it starts again
	MeanCost        time.Duration // mean work of a request, on a core of speed 1; 0: never crashes

	FailureRate float64                  // fraction of all executions that end Failed
	KeyStores   [ScopeCell + 1]*KeyStore // by Scope; nil: keys of that scope are not remembered

	OnStart func(id uint64, at time.Duration) // called for each request whose execution begins; may be nil
}

// Unlimited is the QueueLimit of a queue without a limit.
const Unlimited = math.MaxInt

// ServerStats counts since the server was made.
type ServerStats struct {
	Served   int // Repeats included
	Failed   int
	Rejected int
	Broken   int // accepted and lost by the end of the process, or sent on a closed connection
	Repeats  int // answered from a KeyStore
	Dropped  int // whose client closed before they began

	Work   time.Duration // done, on a core of speed 1; handshakes included
	Wasted time.Duration // of Work: executions that failed, broke off, or whose client closed before they ended
	Busy   time.Duration // core time with work assigned, hangs included

	Starts          int     // of its process
	Crashes         int     // while it warms up, by overload
	WorstWarmupLoad float64 // most that reached it within CrashWindow while it warms up, as a fraction of what it survives; over 1: it crashed

	Handshakes          int
	RejectedConnections int // over the limit
	IdleClosed          int // connections
	Connections         int // now; expired ones count until the next call
	PeakConnections     int
	Running             int // now
	Waiting             int // now
}

// state is whether a server can be reached.
type state int

const (
	up   state = iota
	down       // its process has ended: the machine resets and refuses connections
	lost       // its machine sends nothing
)

// Server is a machine with cores and one queue in front of them.
//
// Not modelled: the time to make and send a response; work that waits for
// anything but a core; the wait of a repeated key for an execution that is
// under way elsewhere; caches and memory.
type Server struct {
	cfg   ServerConfig
	rng   Rand
	now   time.Duration
	state state
	stats ServerStats

	// Process
	incarnation int           // connections of earlier ones are broken
	started     time.Duration // the last start
	warmingUp   bool          // may be false later than the warm-up ends, never earlier
	crashed     bool          // down until recoverAt
	recoverAt   time.Duration
	hung        bool
	draining    bool
	slowdown    float64 // factor
	failureRate float64

	// Jobs
	progress  float64 // seconds of work that one core could have done so far; running jobs are measured by it
	running   []*job  // at most Cores, in order of their start
	queue     []*job  // from queueHead on, abandoned ones included
	queueHead int
	waiting   int // requests in the queue, abandoned ones and handshakes excluded
	replies   []Reply
	idleConns list.List // of *Conn, the one idle longest first

	// Requests that reached it while it warms up within the last CrashWindow
	warmupLoad     []loadSample // from warmupLoadHead on
	warmupLoadHead int
	warmupLoadSum  time.Duration
}

// NewServer returns a warm server. rng is used only where some executions
// fail; a server with an rng of its own behaves alike whatever others do.
func NewServer(cfg ServerConfig, rng Rand) *Server {
	if cfg.Cores <= 0 {
		cfg.Cores = 1
	}
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	return &Server{cfg: cfg, rng: rng, slowdown: 1, failureRate: cfg.FailureRate}
}

// Stats returns the counts up to the last call.
func (s *Server) Stats() ServerStats {
	stats := s.stats
	stats.Running = len(s.running)
	stats.Waiting = s.waiting
	return stats
}

// Up reports whether the process exists, hung ones included.
func (s *Server) Up() bool { return s.state == up }

// Lost reports whether the machine has vanished.
func (s *Server) Lost() bool { return s.state == lost }

// Started is the time of the last start, and whether there was one.
func (s *Server) Started() (time.Duration, bool) { return s.started, s.stats.Starts > 0 }

// Next is the time of the next event that happens by itself, and whether there
// is one.
func (s *Server) Next() (time.Duration, bool) {
	if len(s.replies) > 0 {
		return s.replies[0].At, true
	}
	at, _, ok := s.nextEvent()
	return at, ok
}

// Advance brings the server to a time and returns the requests that ended
// since the last call.
func (s *Server) Advance(now time.Duration) []Reply {
	s.advanceTo(now)
	replies := s.replies
	s.replies = nil
	return replies
}

// noJob is nextEvent's index of the restart after a crash.
const noJob = -1

// nextEvent is the next end of an execution, with its index in running, or of a
// crashed server's downtime, with noJob.
func (s *Server) nextEvent() (at time.Duration, index int, ok bool) {
	if s.state == down && s.crashed {
		return s.recoverAt, noJob, true
	}
	if len(s.running) == 0 || s.hung || s.state != up {
		return 0, 0, false
	}
	first := 0
	for i, j := range s.running {
		if j.endProgress < s.running[first].endProgress {
			first = i
		}
	}
	return s.timeOfProgress(s.running[first].endProgress), first, true
}

// advanceTo lets time pass and handles the events in it.
func (s *Server) advanceTo(to time.Duration) {
	for {
		at, index, ok := s.nextEvent()
		if !ok || at > to {
			break
		}
		s.elapse(at)
		if index == noJob {
			s.startProcess()
			continue
		}
		j := s.running[index]
		s.running = append(s.running[:index], s.running[index+1:]...)
		s.finishJob(j)
		s.startJobs()
	}
	s.elapse(to)
	s.closeIdleConns()
}

// elapse moves the time forward, with no event in between.
func (s *Server) elapse(to time.Duration) {
	if to <= s.now {
		return
	}
	if s.state == up {
		s.stats.Busy += time.Duration(len(s.running)) * (to - s.now)
		if !s.hung {
			s.progress += s.cfg.Speed / s.slowdown * s.capacitySeconds(to)
		}
	}
	s.now = to
	if s.warmingUp && to >= s.started+s.cfg.WarmupTime {
		s.warmingUp = false
		s.clearWarmupLoad()
	}
}
