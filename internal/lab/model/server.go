package model

import (
	"container/list"
	"math"
	"time"
)

// ServerConfig is what a server is. The zero value is one core of speed 1
// with no queue and no limit of connections, and never cold.
type ServerConfig struct {
	Cores      int     // 0: 1
	Speed      float64 // of a core; 0: 1
	QueueLimit int     // requests that wait, at most; Unlimited: any

	MaxConnections int           // held at once, at most; 0: any
	Handshake      time.Duration // work of a new connection, on a core of speed 1
	IdleTimeout    time.Duration // a connection is closed once it carried nothing for so long; 0: never

	// After a start a server has the part ColdFrom of its capacity, which
	// grows evenly to all of it within ColdTime. It falls over, while cold,
	// once more reaches it within FallTime than N + 2 sqrt(N) + 2 requests of
	// MeanCost, where N is FallFactor times what it could do then in FallTime.
	ColdCapacity  float64
	WarmupTime    time.Duration // 0: never cold
	CrashFactor   float64       // 0: never falls
	CrashWindow   time.Duration
	CrashDowntime time.Duration // for which it stays down
	MeanCost      time.Duration // mean work of a request, on a core of speed 1; 0: never falls

	FailureRate float64                  // of all runs; they end Failed
	KeyStores   [ScopeCell + 1]*KeyStore // by Scope; nil: keys are not known

	OnStart func(id uint64, at time.Duration) // told of each request that begins to run; nil: nobody is
}

// Unlimited is a queue without a limit.
const Unlimited = math.MaxInt

// ServerStats counts since the server was made.
type ServerStats struct {
	Served   int // Repeats included
	Failed   int
	Rejected int // turned away
	Broken   int // accepted and lost by an end of the process, or sent on a connection that was closed
	Repeats  int // answered from the memory of keys
	Dropped  int // their client had gone before they began

	Work   time.Duration // done, on a core of speed 1; handshakes included
	Wasted time.Duration // of Work: runs that failed, broke off, or whose client had gone before they ended
	Busy   time.Duration // time of cores that had work, also while it stood still

	Starts        int     // cold ones
	Crashes       int     // of them, ended by being pushed
	WorstColdLoad float64 // what reached it, cold, in its worst FallTime, as a share of what it stands; over 1: it fell

	Handshakes          int
	RejectedConnections int // connections over the limit
	IdleClosed          int // connections
	Connections         int // now; those to be closed as idle count until the next call
	PeakConnections     int // of Connections
	Running             int // now
	Waiting             int // now
}

// state is whether a server is there.
type state int

const (
	up   state = iota
	down       // its process has ended: the machine resets and refuses
	lost       // its machine says nothing
)

// Server is a machine with cores, in front of them one queue.
//
// What is left out: an answer takes no time to be made or sent; work waits for
// nothing but a core; a repeat of a key that is under way elsewhere is
// answered without waiting for that run; caches and memory.
type Server struct {
	cfg       ServerConfig
	rng       Rand
	now       time.Duration
	state     state
	recoverAt time.Duration // when a fallen server starts again
	crashed   bool          // it is down until rise

	started     time.Duration // the last cold start
	cold        bool          // may still be so
	hung        bool
	draining    bool
	slowdown    float64 // times
	failureRate float64 // part

	progress  float64 // seconds of work that one core could have done, the measure of running jobs
	running   []*job  // at most Cores, in order of their start
	queue     []*job  // from head on; those that are gone are passed over
	queueHead int
	waiting   int // requests in queue that count

	coldLoad     []loadSample // within the last FallTime, from first on
	coldLoadHead int
	coldLoadSum  time.Duration // their sum

	replies     []Reply // not yet given
	incarnation int     // of the process; connections of earlier ones are broken
	idleConns   list.List
	stats       ServerStats
}

type job struct {
	Work
	conn          *Conn
	handshake     bool
	abandoned     bool // nobody waits for it
	started       bool
	keys          *KeyStore // where its key is noted
	startProgress float64   // on the measure of done
	endProgress   float64
}

type loadSample struct {
	at   time.Duration
	cost time.Duration
}

// Conn is a connection to a server. It carries one request at a time.
type Conn struct {
	server      *Server
	incarnation int
	closed      bool
	job         *job          // under way
	idleElement *list.Element // in server.idle, while nothing is
	idleSince   time.Duration // idle
}

// NewServer returns a warm server. The source of chance is needed only where
// a part of the runs fails; a server of its own source acts alike whatever others do.
func NewServer(cfg ServerConfig, rng Rand) *Server {
	if cfg.Cores <= 0 {
		cfg.Cores = 1
	}
	if cfg.Speed <= 0 {
		cfg.Speed = 1
	}
	return &Server{cfg: cfg, rng: rng, slowdown: 1, failureRate: cfg.FailureRate}
}

// Stats tells what was counted up to the last call.
func (s *Server) Stats() ServerStats {
	st := s.stats
	st.Running, st.Waiting = len(s.running), s.waiting
	return st
}

// Up tells whether the process is there, hung ones included.
func (s *Server) Up() bool { return s.state == up }

// Lost tells whether the machine is lost.
func (s *Server) Lost() bool { return s.state == lost }

// Started is the time of the last cold start, and whether there was one.
func (s *Server) Started() (time.Duration, bool) { return s.started, s.stats.Starts > 0 }

// Capacity is the part of its capacity that a server has, 1 when warm. It does
// not tell whether the server is up, slow or hung.
func (s *Server) Capacity(now time.Duration) float64 {
	if !s.cold || now >= s.started+s.cfg.WarmupTime {
		return 1
	}
	return s.cfg.ColdCapacity + (1-s.cfg.ColdCapacity)*float64(now-s.started)/float64(s.cfg.WarmupTime)
}

// Connect opens a connection. It is Accepted, with the delay of its first
// request: the time of the handshake at the server's present speed; the
// request reaches the server so much later. Or it is Full: over the limit, it
// comes up but its first request is turned away, and the connection does not
// count; Refused, by the machine of a process that has ended; Nothing, by a
// machine that is lost. The connection is nil then.
func (s *Server) Connect(now time.Duration) (*Conn, time.Duration, Outcome) {
	s.advanceTo(now)
	switch s.state {
	case down:
		return nil, 0, ConnectionRefused
	case lost:
		return nil, 0, NoResponse
	}
	if s.cfg.MaxConnections > 0 && s.stats.Connections >= s.cfg.MaxConnections {
		s.stats.RejectedConnections++
		return nil, 0, Rejected
	}
	if s.recordColdLoad(s.cfg.Handshake) {
		return nil, 0, ConnectionRefused
	}
	c := &Conn{server: s, incarnation: s.incarnation}
	s.markIdle(c)
	s.stats.Connections++
	s.stats.PeakConnections = max(s.stats.PeakConnections, s.stats.Connections)
	if s.cfg.Handshake <= 0 {
		return c, 0, Accepted
	}
	s.stats.Handshakes++
	s.queue = append(s.queue, &job{Work: Work{Cost: s.cfg.Handshake}, handshake: true})
	s.startJobs()
	delay := s.cfg.Handshake.Seconds() * s.slowdown / s.cfg.Speed / max(s.Capacity(s.now), s.cfg.ColdCapacity, minHandshakeCapacity)
	return c, ceilNanoseconds(delay), Accepted
}

// leastCapacity bounds the delay of a handshake at a server that starts with
// no capacity at all.
const minHandshakeCapacity = 0.01

// Open tells whether a connection would carry a request to the server's
// present process. A client cannot see it of a machine that is lost.
func (c *Conn) Open(now time.Duration) bool {
	s := c.server
	s.advanceTo(now)
	return !c.closed && c.incarnation == s.incarnation && s.state == up
}

// Disconnect closes a connection from the client's side. The server notices
// between requests: one that waits on it is dropped, one that runs goes on to
// its end for nobody.
func (s *Server) CloseConn(now time.Duration, c *Conn) {
	s.advanceTo(now)
	if c.closed || c.incarnation != s.incarnation {
		c.closed = true
		return
	}
	if j := c.job; j != nil {
		c.job = nil
		j.abandoned = true
		if !j.started {
			s.waiting--
			s.stats.Dropped++
		}
	}
	s.closeConn(c)
}

func (s *Server) closeConn(c *Conn) {
	c.closed = true
	s.stats.Connections--
	if c.idleElement != nil {
		s.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

func (s *Server) markIdle(c *Conn) {
	if c.closed || c.incarnation != s.incarnation {
		return
	}
	c.idleSince = s.now
	c.idleElement = s.idleConns.PushBack(c)
}

// Arrive brings a request. It is Accepted, and its Reply comes from Advance;
// or it ends at once: Full, never run; Broken, on a connection that the server
// had closed or by the server falling over; Refused, without a connection; or
// Nothing. A nil connection stands for one that the caller does not model.
func (s *Server) Arrive(now time.Duration, c *Conn, w Work) Outcome {
	s.advanceTo(now)
	switch {
	case s.state == lost:
		return NoResponse
	case c != nil && (c.closed || c.incarnation != s.incarnation):
		s.stats.Broken++
		return ConnectionReset
	case s.state == down:
		return ConnectionRefused
	}
	if s.recordColdLoad(w.Cost) {
		s.stats.Broken++
		return ConnectionReset
	}
	// A process that hangs cannot turn away: it does when it comes back.
	if !s.hung && (s.draining || len(s.running) == s.cfg.Cores && s.waiting >= s.cfg.QueueLimit) {
		s.stats.Rejected++
		if c != nil && c.idleElement != nil {
			s.idleConns.MoveToBack(c.idleElement)
			c.idleSince = s.now
		}
		return Rejected
	}
	j := &job{Work: w, conn: c}
	if c != nil {
		c.job = j
		if c.idleElement != nil {
			s.idleConns.Remove(c.idleElement)
			c.idleElement = nil
		}
	}
	s.queue = append(s.queue, j)
	s.waiting++
	s.startJobs()
	return Accepted
}

// push counts work that reaches the server, and tells whether it fell over.
func (s *Server) recordColdLoad(cost time.Duration) bool {
	if s.cfg.CrashFactor <= 0 || s.cfg.MeanCost <= 0 || s.Capacity(s.now) >= 1 {
		return false
	}
	for s.coldLoadHead < len(s.coldLoad) && s.coldLoad[s.coldLoadHead].at <= s.now-s.cfg.CrashWindow {
		s.coldLoadSum -= s.coldLoad[s.coldLoadHead].cost
		s.coldLoadHead++
	}
	if s.coldLoadHead > len(s.coldLoad)/2 {
		s.coldLoad = append(s.coldLoad[:0], s.coldLoad[s.coldLoadHead:]...)
		s.coldLoadHead = 0
	}
	s.coldLoad = append(s.coldLoad, loadSample{s.now, cost})
	s.coldLoadSum += cost
	share := float64(s.coldLoadSum) / float64(s.cfg.MeanCost) / s.crashThreshold()
	s.stats.WorstColdLoad = max(s.stats.WorstColdLoad, share)
	if share <= 1 {
		return false
	}
	s.stats.Crashes++
	s.endProcess(down)
	s.crashed, s.recoverAt = true, s.now+s.cfg.CrashDowntime
	return true
}

// allowance is how many requests of mean work a cold server stands in FallTime.
func (s *Server) crashThreshold() float64 {
	n := s.cfg.CrashFactor * s.Capacity(s.now) * s.cfg.Speed * float64(s.cfg.Cores) * float64(s.cfg.CrashWindow) / float64(s.cfg.MeanCost)
	return n + 2*math.Sqrt(n) + 2
}

// Next is when the next thing happens by itself, and whether anything will.
func (s *Server) Next() (time.Duration, bool) {
	if len(s.replies) > 0 {
		return s.replies[0].At, true
	}
	t, _, ok := s.nextEvent()
	return t, ok
}

// next is the next end of a run (with its place) or of a rest (with -1).
func (s *Server) nextEvent() (time.Duration, int, bool) {
	if s.state == down && s.crashed {
		return s.recoverAt, -1, true
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

// Advance brings the server to a time, and gives what it ended since.
func (s *Server) Advance(now time.Duration) []Reply {
	s.advanceTo(now)
	out := s.replies
	s.replies = nil
	return out
}

// run lets time pass.
func (s *Server) advanceTo(to time.Duration) {
	for {
		t, i, ok := s.nextEvent()
		if !ok || t > to {
			break
		}
		s.elapse(t)
		if i < 0 {
			s.startProcess()
			continue
		}
		j := s.running[i]
		s.running = append(s.running[:i], s.running[i+1:]...)
		s.finishJob(j)
		s.startJobs()
	}
	s.elapse(to)
	if s.cfg.IdleTimeout > 0 {
		for e := s.idleConns.Front(); e != nil && e.Value.(*Conn).idleSince+s.cfg.IdleTimeout <= s.now; e = s.idleConns.Front() {
			s.stats.IdleClosed++
			s.closeConn(e.Value.(*Conn))
		}
	}
}

// elapse moves the time with nothing happening in between.
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
	if s.cold && to >= s.started+s.cfg.WarmupTime {
		s.cold = false
		s.coldLoad, s.coldLoadHead, s.coldLoadSum = nil, 0, 0
	}
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

// when is the time at which done reaches a measure, if nothing changes.
func (s *Server) timeOfProgress(measure float64) time.Duration {
	need := max(0, measure-s.progress) * s.slowdown / s.cfg.Speed // seconds of full capacity
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

// seconds rounds up to a nanosecond, less the error of sums.
func ceilNanoseconds(s float64) time.Duration { return time.Duration(math.Ceil(s*1e9 - 1e-3)) }

// fill begins what waits where cores are free.
func (s *Server) startJobs() {
	for s.state == up && !s.hung && s.queueHead < len(s.queue) && len(s.running) < s.cfg.Cores {
		j := s.queue[s.queueHead]
		s.queue[s.queueHead] = nil
		s.queueHead++
		if j.abandoned {
			continue
		}
		if !j.handshake {
			s.waiting--
		}
		if j.Key != "" && s.cfg.KeyStores[j.Scope] != nil {
			if !s.cfg.KeyStores[j.Scope].beginRun(s.now, j.Key, j.Window) {
				s.stats.Repeats++
				s.stats.Served++
				s.reply(j, Served, true)
				continue
			}
			j.keys = s.cfg.KeyStores[j.Scope]
		}
		j.started, j.startProgress = true, s.progress
		j.endProgress = s.progress + j.Cost.Seconds()
		s.running = append(s.running, j)
		if s.cfg.OnStart != nil && !j.handshake {
			s.cfg.OnStart(j.ID, s.now)
		}
	}
	if s.queueHead > len(s.queue)/2 {
		s.queue = append(s.queue[:0], s.queue[s.queueHead:]...)
		s.queueHead = 0
	}
}

// finish ends a run.
func (s *Server) finishJob(j *job) {
	s.stats.Work += j.Cost
	if j.handshake {
		return
	}
	failed := s.failureRate >= 1 || s.failureRate > 0 && s.rng.Float64() < s.failureRate
	if failed && j.keys != nil {
		j.keys.forget(j.Key)
	}
	if j.abandoned || failed {
		s.stats.Wasted += j.Cost
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

// answer ends a request that had been accepted.
func (s *Server) reply(j *job, e Outcome, repeat bool) {
	s.replies = append(s.replies, Reply{ID: j.ID, Outcome: e, At: s.now, Repeat: repeat})
	if j.conn != nil {
		j.conn.job = nil
		s.markIdle(j.conn)
	}
}

// end ends the process.
func (s *Server) endProcess(to state) {
	for _, j := range s.running {
		part := time.Duration(math.Round((min(s.progress, j.endProgress) - j.startProgress) * 1e9))
		s.stats.Work += part
		s.stats.Wasted += part
		if j.keys != nil {
			j.keys.forget(j.Key)
		}
	}
	for _, j := range append(s.running, s.queue[s.queueHead:]...) {
		if j.handshake || j.abandoned {
			continue
		}
		s.stats.Broken++
		if to == down {
			s.replies = append(s.replies, Reply{ID: j.ID, Outcome: ConnectionReset, At: s.now})
		}
	}
	s.running, s.queue, s.queueHead, s.waiting = nil, nil, 0, 0
	s.coldLoad, s.coldLoadHead, s.coldLoadSum = nil, 0, 0
	s.idleConns.Init()
	s.stats.Connections = 0
	s.incarnation++
	s.state, s.crashed = to, false
}

// begin starts a process, cold.
func (s *Server) startProcess() {
	s.state, s.crashed = up, false
	s.started, s.cold = s.now, s.cfg.WarmupTime > 0
	s.hung, s.draining = false, false
	s.stats.Starts++
}

// Start starts the process anew, cold, neither hung nor draining. One that is
// there is killed first.
func (s *Server) Start(now time.Duration) {
	s.advanceTo(now)
	if s.state == up {
		s.endProcess(down)
	}
	s.startProcess()
}

// Kill ends the process: all that it had breaks, new connections are refused.
func (s *Server) Kill(now time.Duration) {
	s.advanceTo(now)
	if s.state == up {
		s.endProcess(down)
	}
	s.state, s.crashed = down, false
}

// Lose takes the machine from the network: it ends all that it had without a
// word, and its connections stay open and silent for their clients.
func (s *Server) Disconnect(now time.Duration) {
	s.advanceTo(now)
	if s.state == up {
		s.endProcess(lost)
	}
	s.state, s.crashed = lost, false
}

// Hang stops the process or lets it go on. While hung it takes connections and
// requests, however many, and answers nothing; going on, it turns away what
// its queue does not hold.
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
	kept := 0
	for _, j := range s.queue[s.queueHead:] {
		if j.handshake || j.abandoned {
			continue
		}
		if kept++; kept > s.cfg.QueueLimit {
			j.abandoned = true
			s.waiting--
			s.stats.Rejected++
			s.reply(j, Rejected, false)
		}
	}
}

// Slow makes the server so many times slower; 1 ends it. It does not change
// how much a cold server stands.
func (s *Server) SetSlowdown(now time.Duration, by float64) {
	s.advanceTo(now)
	if by > 0 {
		s.slowdown = by
	}
}

// Fail makes a part of the runs end Failed; what is under way too. A negative
// part brings back the configured one.
func (s *Server) SetFailureRate(now time.Duration, part float64) {
	s.advanceTo(now)
	if part < 0 {
		part = s.cfg.FailureRate
	}
	s.failureRate = part
}

// Drain turns away all new requests or takes them again. What is under way
// ends. A server that is only listed as draining still serves; whether and
// when it drains is the caller's to say.
func (s *Server) SetDraining(now time.Duration, on bool) {
	s.advanceTo(now)
	s.draining = on
}
