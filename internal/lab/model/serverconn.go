package model

import (
	"container/list"
	"time"
)

// minHandshakeCapacity is the least fraction of capacity with which the delay of
// a handshake is computed. It limits the delay at a server that starts with no
// capacity at all.
const minHandshakeCapacity = 0.01

// Conn is a connection to a server. It carries one request at a time.
type Conn struct {
	server      *Server
	incarnation int // Server.incarnation when the connection was opened
	closed      bool
	job         *job          // its request under way; nil while idle
	idleElement *list.Element // in server.idleConns while idle, else nil
	idleSince   time.Duration
}

// Connect opens a connection. The outcome is one of
//
//   - Accepted: the returned duration is the time of the handshake at the
//     server's current speed; the caller lets the first request arrive that much
//     later;
//   - Rejected: the server is at its connection limit. The client sees an
//     established connection whose first request is rejected; the connection
//     does not count as open;
//   - ConnectionRefused: the process has ended, or the load of the handshake
//     crashes it;
//   - NoResponse: the machine is off the network.
//
// The connection is nil unless the outcome is Accepted.
func (s *Server) Connect(now time.Duration) (*Conn, time.Duration, Outcome) {
	s.advanceTo(now)
	switch s.state {
	case down:
		return nil, 0, ConnectionRefused
	case disconnected:
		return nil, 0, NoResponse
	}
	if s.cfg.MaxConnections > 0 && s.stats.Connections >= s.cfg.MaxConnections {
		s.stats.RejectedConnections++
		return nil, 0, Rejected
	}
	if s.recordWarmupLoad(s.cfg.Handshake) {
		return nil, 0, ConnectionRefused
	}
	c := &Conn{server: s, incarnation: s.incarnation}
	s.markIdle(c)
	s.stats.Connections++
	s.stats.PeakConnections = max(s.stats.PeakConnections, s.stats.Connections)
	return c, s.startHandshake(), Accepted
}

// startHandshake queues the work of a handshake and returns the delay of the
// first request.
func (s *Server) startHandshake() time.Duration {
	if s.cfg.Handshake <= 0 {
		return 0
	}
	s.stats.Handshakes++
	s.queue = append(s.queue, &job{Request: Request{Work: s.cfg.Handshake}, handshake: true})
	s.startJobs()
	delay := s.cfg.Handshake.Seconds() * s.slowdown / s.cfg.Speed / max(s.Capacity(s.now), s.cfg.InitialCapacity, minHandshakeCapacity)
	return ceilNanoseconds(delay)
}

// Open reports whether a request on the connection would reach the server's
// current process. It is false for a machine off the network, although a client
// could not tell.
func (c *Conn) Open(now time.Duration) bool {
	s := c.server
	s.advanceTo(now)
	return !c.broken() && s.state == up
}

// broken reports whether the connection is closed or was opened to an earlier
// process.
func (c *Conn) broken() bool { return c.closed || c.incarnation != c.server.incarnation }

// CloseConn closes a connection from the client's side. The server does not
// interrupt executions: a request on the connection that still waits is dropped,
// and one that runs continues to its end without a reply.
func (s *Server) CloseConn(now time.Duration, c *Conn) {
	s.advanceTo(now)
	if c.broken() {
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
	s.markBusy(c)
}

// markIdle starts the connection's idle timeout.
func (s *Server) markIdle(c *Conn) {
	if c.broken() {
		return
	}
	c.idleSince = s.now
	c.idleElement = s.idleConns.PushBack(c)
}

// markBusy stops the connection's idle timeout, if one is running.
func (s *Server) markBusy(c *Conn) {
	if c.idleElement != nil {
		s.idleConns.Remove(c.idleElement)
		c.idleElement = nil
	}
}

// closeIdleConns closes the connections whose idle timeout has expired.
func (s *Server) closeIdleConns() {
	if s.cfg.IdleTimeout <= 0 {
		return
	}
	for {
		oldest := s.idleConns.Front()
		if oldest == nil {
			return
		}
		c := oldest.Value.(*Conn)
		if c.idleSince+s.cfg.IdleTimeout > s.now {
			return
		}
		s.stats.IdleClosed++
		s.closeConn(c)
	}
}
