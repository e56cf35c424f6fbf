package emulator

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"bankshift/internal/lab/model"
)

const (
	maxBodyBytes   = 64 << 10 // of a request or a response; the protocol's limit
	maxHeaderBytes = 16 << 10 // of a request
)

// ServerConfig configures a Server.
type ServerConfig struct {
	model.ServerConfig
	Rand model.Rand // must not be shared with other servers; see model.NewServer
	// Epoch is the start of the run, which is time 0 of the model. It must be
	// equal for servers that share KeyStores. Zero: now.
	Epoch time.Time

	DefaultWork   time.Duration // work of a request without WorkHeader
	DefaultWindow time.Duration // how long a key without WindowHeader is remembered
	ResponseBytes int           // minimum body size of a 200 response; the body begins with the request's id

	ExecutionLog *ExecutionLog // nil: nothing is recorded
}

// Server emulates a server process with an address of its own. All methods are
// safe for concurrent use. The owner must call Close.
type Server struct {
	cfg      ServerConfig
	listener faultListener
	done     chan struct{} // closed by Close

	mu        sync.Mutex
	model     *model.Server
	listening bool // the listener serves
	starts    int  // the model's count of process starts at the last syncListener
	lastID    uint64
	waiting   map[uint64]*pendingRequest // by model.Request.ID
	timer     *time.Timer                // fires at model.Next
	closed    bool
}

// pendingRequest is a request that the model has accepted and not yet ended.
type pendingRequest struct {
	id    string
	reply chan model.Reply // buffered, so that sending the one reply does not block
}

// emulatedConn is the state that a Server keeps for a connection. It is set when
// the connection is accepted.
type emulatedConn struct {
	model   *model.Conn   // nil: the model did not accept the connection
	readyAt time.Time     // when the emulated handshake is done
	outcome model.Outcome // of model.Server.Connect
}

// NewServer starts a server, warmed up, on a free port of the loopback address.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Epoch.IsZero() {
		cfg.Epoch = time.Now()
	}
	if cfg.ResponseBytes > maxBodyBytes {
		return nil, fmt.Errorf("emulator: responses of %d bytes, want at most %d", cfg.ResponseBytes, maxBodyBytes)
	}
	s := &Server{cfg: cfg, done: make(chan struct{}), listening: true, waiting: map[uint64]*pendingRequest{}}
	modelConfig := cfg.ServerConfig
	modelConfig.OnStart = s.onStart
	s.model = model.NewServer(modelConfig, cfg.Rand)
	s.timer = time.AfterFunc(time.Hour, s.advance)
	s.timer.Stop()
	s.listener.httpServer = http.Server{
		Handler:           http.HandlerFunc(s.serve),
		MaxHeaderBytes:    maxHeaderBytes,
		IdleTimeout:       cfg.IdleTimeout,
		ReadHeaderTimeout: cfg.IdleTimeout, // bounds the wait for the first request of a connection
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			s.connected(nc.(*conn))
			return ctx
		},
	}
	if err := s.listener.listen(s.disconnected); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the server's address. The server keeps it while it is down.
func (s *Server) Addr() string { return s.listener.addr.String() }

// onStart is called by the model, with mu held, when a request begins to run.
func (s *Server) onStart(id uint64, at time.Duration) {
	if r := s.waiting[id]; r != nil {
		s.cfg.ExecutionLog.executed(r.id)
	}
	if s.cfg.OnStart != nil {
		s.cfg.OnStart(id, at)
	}
}

// withModel calls f, with mu held, to use the model at the current time. It then
// applies the model's state to the sockets.
func (s *Server) withModel(f func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Since(s.cfg.Epoch))
	s.syncLocked()
}

func (s *Server) advance() { s.withModel(func(time.Duration) {}) }

// syncLocked delivers the model's replies, updates the listener and sets the
// timer for the model's next event.
func (s *Server) syncLocked() {
	for _, reply := range s.model.Advance(time.Since(s.cfg.Epoch)) {
		if r := s.waiting[reply.ID]; r != nil {
			delete(s.waiting, reply.ID)
			r.reply <- reply
		}
	}
	s.syncListener()
	next, ok := s.model.Next()
	if !ok || s.closed {
		s.timer.Stop()
		return
	}
	s.timer.Reset(next - time.Since(s.cfg.Epoch))
}

// syncListener stops, resumes or resets the listener to match the model's state.
// If the process ended and started again since the last call, only the count of
// starts has changed, and the connections are reset.
func (s *Server) syncListener() {
	up := s.model.Up()
	starts := s.model.Stats().Starts
	switch {
	case s.listening && !up:
		s.listener.stop(s.model.Disconnected())
		s.listening = false
	case !s.listening && up && !s.closed:
		s.listener.resume()
		s.listening = true
	case s.listening && s.starts != starts:
		s.listener.resetConns()
	case !s.listening && s.listener.isBlackholed() != s.model.Disconnected():
		s.listener.stop(s.model.Disconnected())
	}
	s.starts = starts
}

func (s *Server) connected(c *conn) {
	s.withModel(func(now time.Duration) {
		modelConn, delay, outcome := s.model.Connect(now)
		c.emulated = emulatedConn{model: modelConn, readyAt: time.Now().Add(delay), outcome: outcome}
	})
}

func (s *Server) disconnected(c *conn) {
	if c.emulated.model != nil {
		s.withModel(func(now time.Duration) { s.model.CloseConn(now, c.emulated.model) })
	}
}

// Stats returns the model's counts.
func (s *Server) Stats() (stats model.ServerStats) {
	s.withModel(func(time.Duration) { stats = s.model.Stats() })
	return stats
}

// Bytes returns how many bytes were read from connections and written to them,
// headers included.
func (s *Server) Bytes() (in, out int64) {
	return s.listener.bytesIn.Load(), s.listener.bytesOut.Load()
}

// Start starts the process again, which then warms up; see [model.Server.Start].
func (s *Server) Start() { s.withModel(s.model.Start) }

// Kill ends the process: connections are reset, new ones refused.
func (s *Server) Kill() { s.withModel(s.model.Kill) }

// Disconnect takes the machine off the network: connections stay open without
// traffic, new ones are never established.
func (s *Server) Disconnect() { s.withModel(s.model.Disconnect) }

// SetHung pauses the process or lets it continue; see [model.Server.SetHung].
func (s *Server) SetHung(on bool) {
	s.withModel(func(now time.Duration) { s.model.SetHung(now, on) })
}

// SetSlowdown makes the server slower by a factor; 1 is its normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.withModel(func(now time.Duration) { s.model.SetSlowdown(now, factor) })
}

// SetFailureRate makes a fraction of the executions fail; a negative fraction
// restores the configured rate.
func (s *Server) SetFailureRate(fraction float64) {
	s.withModel(func(now time.Duration) { s.model.SetFailureRate(now, fraction) })
}

// SetDraining makes the server reject new requests, or accept them again.
func (s *Server) SetDraining(on bool) {
	s.withModel(func(now time.Duration) { s.model.SetDraining(now, on) })
}

// Close resets all connections and returns when the server's goroutines have
// ended. The error reports a port that could not be held or bound again while
// the server was down. Later calls do nothing.
func (s *Server) Close() error {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return nil
	}
	s.closed = true
	s.timer.Stop()
	s.mu.Unlock()
	close(s.done)
	return s.listener.close()
}
