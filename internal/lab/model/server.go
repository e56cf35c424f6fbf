package model

import (
	"container/list"
	"math"
	"time"
)

// ServerConfig configures a Server. The zero value is a server with one core of
// speed 1, no queue, no connection limit and no warm-up.
type ServerConfig struct {
	Cores      int     // number of cores; 0: 1
	Speed      float64 // speed of a core; 0: 1
	QueueLimit int     // requests that may wait; Unlimited: any number

	MaxConnections int           // connections open at once; 0: any number
	Handshake      time.Duration // processor time for a new connection, on a core of speed 1
	IdleTimeout    time.Duration // after which an idle connection is closed; 0: never

	// A server starts with the fraction InitialCapacity of its capacity, which
	// grows linearly to the full capacity within WarmupTime. While it warms up, it
	// crashes once the work that reaches it within CrashWindow exceeds that of
	// N + 2 sqrt(N) + 2 requests of MeanWork. N is CrashFactor times the number of
	// such requests that it could execute within CrashWindow at its current
	// capacity.
	InitialCapacity float64
	WarmupTime      time.Duration // 0: always warm
	CrashFactor     float64       // 0: never crashes
	CrashWindow     time.Duration
	CrashDowntime   time.Duration // from a crash until the server starts again
	MeanWork        time.Duration // mean processor time of a request, on a core of speed 1; 0: never crashes

	FailureRate float64                  // fraction of all executions that end Failed
	KeyStores   [ScopeCell + 1]*KeyStore // by Scope; nil: keys of that scope are not remembered

	OnStart func(id uint64, at time.Duration) // called for each request whose execution begins; may be nil
}

// Unlimited is the QueueLimit of an unbounded queue.
const Unlimited = math.MaxInt

// ServerStats counts what a server did since it was created.
type ServerStats struct {
	Served       int // Repeats included
	Failed       int
	Rejected     int
	LostRequests int // accepted and lost when the process ended, sent on a closed connection, or the cause of a crash
	Repeats      int // requests with a known key, served without another execution
	Dropped      int // requests whose client closed the connection before their execution began

	Work   time.Duration // executed, in processor time on a core of speed 1; handshakes included
	Wasted time.Duration // part of Work in executions that failed, were cut short, or were abandoned by the client
	Busy   time.Duration // core time with a job assigned, hangs included

	Starts  int // starts of the process
	Crashes int // crashes by overload during the warm-up

	// WorstWarmupLoad is the highest load that reached the server within
	// CrashWindow during a warm-up, as a fraction of the load that it survives;
	// above 1 the server crashed.
	WorstWarmupLoad float64

	Handshakes          int
	RejectedConnections int // connections over the limit
	IdleClosed          int // connections closed after the idle timeout
	Connections         int // open now; those whose idle timeout has expired count until the next call
	PeakConnections     int // maximum of Connections
	Running             int // jobs that run now
	Waiting             int // requests that wait now
}

// state is whether a server can be reached.
type state int

const (
	up           state = iota
	down               // the process has ended: the machine resets and refuses connections
	disconnected       // the machine is off the network and sends nothing
)

// Server is the model of a machine with a number of cores and one queue in front
// of them.
//
// It does not model the time to build and send a response, work that waits for
// anything but a core, caches or memory. A request with a known key is answered
// at once, although a real server would wait for an execution of that key that
// is still under way.
type Server struct {
	cfg   ServerConfig
	rng   Rand
	now   time.Duration
	state state
	stats ServerStats

	// Process
	incarnation int           // counts ended processes; connections with an older value are broken
	started     time.Duration // time of the last start
	warmingUp   bool          // may still be true after the warm-up, but is never false during it
	crashed     bool          // crashed and down until recoverAt
	recoverAt   time.Duration
	hung        bool
	draining    bool
	slowdown    float64 // factor by which execution is slower than normal
	failureRate float64

	// Jobs
	progress  float64 // seconds of work that one core could have done so far; a running job ends at its endProgress
	running   []*job  // at most Cores, ordered by start
	queue     []*job  // waiting jobs from queueHead on, abandoned ones included
	queueHead int
	waiting   int // requests in the queue, without abandoned ones and handshakes
	replies   []Reply
	idleConns list.List // of *Conn, longest idle first

	// Work that reached the server within the last CrashWindow of a warm-up
	warmupLoad     []loadSample // valid from warmupLoadHead on
	warmupLoadHead int
	warmupLoadSum  time.Duration
}

// NewServer returns a warm server. rng decides which executions fail and is used
// only while the failure rate is between 0 and 1. With an rng of its own, a
// server behaves the same whatever other servers do.
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

// Up reports whether the process exists; it may be hung.
func (s *Server) Up() bool { return s.state == up }

// Disconnected reports whether the machine is off the network.
func (s *Server) Disconnected() bool { return s.state == disconnected }

// Started returns the time of the last start of the process, and whether there
// was one.
func (s *Server) Started() (time.Duration, bool) { return s.started, s.stats.Starts > 0 }

// Next returns the time of the next event that occurs without a further call,
// and whether there is one.
func (s *Server) Next() (time.Duration, bool) {
	if len(s.replies) > 0 {
		return s.replies[0].At, true
	}
	at, _, ok := s.nextEvent()
	return at, ok
}

// Advance moves the server's time forward to now and returns the replies to
// requests that ended since the last Advance.
func (s *Server) Advance(now time.Duration) []Reply {
	s.advanceTo(now)
	replies := s.replies
	s.replies = nil
	return replies
}

// noJob is the index that nextEvent returns for the restart after a crash.
const noJob = -1

// nextEvent returns the time of the next event and whether there is one. The event
// is the end of the running job at index or, if index is noJob, the restart of a
// crashed server.
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

// advanceTo moves the server's time forward and handles the events up to then.
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

// elapse moves the server's time forward over a period without events.
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
