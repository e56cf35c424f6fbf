package emulator

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bankshift/internal/lab/model"
)

// Headers by which the load generator tells a server what a request is. A node
// passes them on as it does any other end-to-end header.
const (
	WorkHeader   = "X-Lab-Work"   // on a core of speed 1, in whole microseconds
	ScopeHeader  = "X-Lab-Scope"  // of the idempotency key: all, zone or cell
	WindowHeader = "X-Lab-Window" // of the key, in whole milliseconds

	// HeldHeader is the answers': the seconds from a request's first byte at
	// the server to its answer, with which what a node adds is worked out.
	HeldHeader = "X-Lab-Held"
)

const (
	maxBody = 64 << 10 // of a request or an answer, by the protocol page
	maxHead = 16 << 10 // of a request
)

// ServerConfig is what a server process is.
type ServerConfig struct {
	model.ServerConfig
	Rand  model.Rand // of this server alone; see model.NewServer
	Epoch time.Time  // start of the run, the zero of all its times; servers that share Keys share it; zero: now

	Work   time.Duration // of a request that does not tell; its scope is then all
	Window time.Duration // of keys that do not tell
	Body   int           // bytes of an answer 200, which begins with the request's id

	Ledger *Ledger // notes what comes and runs; nil: nothing is noted
}

// Server is a server process behind an address of its own. All its methods are
// safe for concurrent use.
type Server struct {
	cfg  ServerConfig
	gate gate
	done chan struct{}

	mu      sync.Mutex
	model   *model.Server
	up      bool // the gate serves
	starts  int  // of the model, as the gate knows
	ids     uint64
	waiting map[uint64]*request
	timer   *time.Timer // for the model's Next
	closed  bool
}

// request is one that the model has accepted.
type request struct {
	id    string
	reply chan model.Reply // takes one
}

// serverConn is what a server knows of a connection.
type serverConn struct {
	conn   *model.Conn // nil: over the limit
	ready  time.Time   // when the handshake is done
	ending model.Ending
}

// NewServer starts a warm server on a free port of the loopback address.
func NewServer(cfg ServerConfig) (*Server, error) {
	if cfg.Epoch.IsZero() {
		cfg.Epoch = time.Now()
	}
	if cfg.Body > maxBody {
		return nil, fmt.Errorf("emulator: answers of %d bytes, at most %d can be", cfg.Body, maxBody)
	}
	s := &Server{cfg: cfg, done: make(chan struct{}), up: true, waiting: map[uint64]*request{}}
	mc := cfg.ServerConfig
	mc.Began = func(id uint64, at time.Duration) {
		if r := s.waiting[id]; r != nil {
			cfg.Ledger.ran(r.id)
		}
		if cfg.Began != nil {
			cfg.Began(id, at)
		}
	}
	s.model = model.NewServer(mc, cfg.Rand)
	s.timer = time.AfterFunc(time.Hour, s.tick)
	s.timer.Stop()
	s.gate.hs = http.Server{Handler: http.HandlerFunc(s.serve), MaxHeaderBytes: maxHead, IdleTimeout: cfg.IdleClose,
		ReadHeaderTimeout: cfg.IdleClose, // bounds the wait for a connection's first request
		ConnContext: func(ctx context.Context, nc net.Conn) context.Context {
			s.connect(nc.(*conn))
			return ctx
		}}
	if err := s.gate.listen(s.disconnect); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr is where it listens, also while it does not.
func (s *Server) Addr() string { return s.gate.addr.String() }

// do lets the model do something now, and what follows from it.
func (s *Server) do(f func(now time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(time.Since(s.cfg.Epoch))
	s.settle()
}

// settle hands out what the model has ended, brings the sockets in line with
// it, and sets the timer.
func (s *Server) settle() {
	for _, r := range s.model.Advance(time.Since(s.cfg.Epoch)) {
		if w := s.waiting[r.ID]; w != nil {
			delete(s.waiting, r.ID)
			w.reply <- r
		}
	}
	starts := s.model.Stats().Starts
	if up := s.model.Up(); s.up && !up {
		s.gate.shut(s.model.Lost())
		s.up = up
	} else if !s.up && up && !s.closed {
		s.gate.reopen()
		s.up = up
	} else if s.up && s.starts != starts {
		s.gate.restart()
	} else if !s.up && s.gate.isSilent() != s.model.Lost() {
		s.gate.shut(s.model.Lost())
	}
	s.starts = starts
	next, ok := s.model.Next()
	if !ok || s.closed {
		s.timer.Stop()
		return
	}
	s.timer.Reset(next - time.Since(s.cfg.Epoch))
}

func (s *Server) tick() { s.do(func(time.Duration) {}) }

func (s *Server) connect(c *conn) {
	s.do(func(now time.Duration) {
		var delay time.Duration
		c.server.conn, delay, c.server.ending = s.model.Connect(now)
		c.server.ready = time.Now().Add(delay)
	})
}

func (s *Server) disconnect(c *conn) {
	if c.server.conn != nil {
		s.do(func(now time.Duration) { s.model.Disconnect(now, c.server.conn) })
	}
}

// serve answers one request.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	c := connOf(r)
	arrived := time.Unix(0, c.active.Load())
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBody)); err != nil {
		panic(http.ErrAbortHandler) // it never came to its end
	}
	id := r.Header.Get("X-Request-Id")
	work, err := s.read(r)
	if id == "" {
		http.Error(w, "no request id", http.StatusNotFound)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.cfg.Ledger.came(id, r, arrived.Sub(s.cfg.Epoch))
	defer s.cfg.Ledger.left(id)
	if !s.handshake(r, c) {
		s.end(w, r, c, model.Broken, "")
		return
	}
	if c.server.ending == model.Full {
		w.Header().Set("Connection", "close")
	}
	ending := c.server.ending
	q := &request{id, make(chan model.Reply, 1)}
	if ending == model.Accepted {
		s.do(func(now time.Duration) {
			s.ids++
			work.ID = s.ids
			s.waiting[work.ID] = q
			if ending = s.model.Arrive(now, c.server.conn, work); ending != model.Accepted {
				delete(s.waiting, work.ID)
			}
		})
	}
	if ending == model.Accepted {
		select {
		case reply := <-q.reply:
			ending = reply.Ending
		case <-r.Context().Done(): // the client has gone
			s.do(func(now time.Duration) {
				s.model.Disconnect(now, c.server.conn)
				delete(s.waiting, work.ID)
			})
			ending = model.Broken
		case <-s.done:
			ending = model.Broken
		}
	}
	s.end(w, r, c, ending, id)
}

// end answers a request as the model ended it.
func (s *Server) end(w http.ResponseWriter, r *http.Request, c *conn, ending model.Ending, id string) {
	switch ending {
	case model.Served:
		body := make([]byte, max(s.cfg.Body, len(id)))
		for i := range body {
			body[i] = '.'
		}
		copy(body, id)
		w.Header().Set(HeldHeader, strconv.FormatFloat(time.Since(time.Unix(0, c.active.Load())).Seconds(), 'f', 6, 64))
		w.Write(body)
	case model.Failed:
		http.Error(w, "failed", http.StatusInternalServerError)
	case model.Full:
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
	case model.Nothing:
		select {
		case <-r.Context().Done():
		case <-s.done:
		}
		panic(http.ErrAbortHandler)
	default:
		if !c.gate.isSilent() {
			c.reset()
		}
		panic(http.ErrAbortHandler)
	}
}

// handshake waits until a connection's handshake is done, and tells whether
// its client did.
func (s *Server) handshake(r *http.Request, c *conn) bool {
	wait := time.Until(c.server.ready)
	if wait <= 0 {
		return true
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
	case <-s.done:
	}
	return false
}

// read finds what a request asks of the server.
func (s *Server) read(r *http.Request) (model.Work, error) {
	w := model.Work{Cost: s.cfg.Work, Window: s.cfg.Window, Key: r.Header.Get("Idempotency-Key")}
	for _, h := range []struct {
		name string
		unit time.Duration
		to   *time.Duration
	}{{WorkHeader, time.Microsecond, &w.Cost}, {WindowHeader, time.Millisecond, &w.Window}} {
		text := r.Header.Get(h.name)
		if text == "" {
			continue
		}
		n, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return w, fmt.Errorf("%s: %w", h.name, err)
		}
		*h.to = time.Duration(n) * h.unit
	}
	var err error
	w.Scope, err = model.ParseScope(r.Header.Get(ScopeHeader))
	return w, err
}

// Stats is what the model counts.
func (s *Server) Stats() (st model.ServerStats) {
	s.do(func(time.Duration) { st = s.model.Stats() })
	return st
}

// Bytes tells what was read from connections and written to them, heads included.
func (s *Server) Bytes() (in, out int64) { return s.gate.in.Load(), s.gate.out.Load() }

// Start starts the process anew, cold; see [model.Server.Start].
func (s *Server) Start() { s.do(s.model.Start) }

// Kill ends the process: connections are reset, new ones refused.
func (s *Server) Kill() { s.do(s.model.Kill) }

// Lose takes the machine from the network: connections stay open and silent,
// new ones never come up.
func (s *Server) Lose() { s.do(s.model.Lose) }

// Hang stops the process or lets it go on; see [model.Server.Hang].
func (s *Server) Hang(on bool) { s.do(func(now time.Duration) { s.model.Hang(now, on) }) }

// Slow makes the server so many times slower; 1 ends it.
func (s *Server) Slow(by float64) { s.do(func(now time.Duration) { s.model.Slow(now, by) }) }

// Fail makes a part of the runs fail; a negative one ends it.
func (s *Server) Fail(part float64) { s.do(func(now time.Duration) { s.model.Fail(now, part) }) }

// Drain turns away new requests, or takes them again.
func (s *Server) Drain(on bool) { s.do(func(now time.Duration) { s.model.Drain(now, on) }) }

// Close ends the server, and returns when nothing of it is left. Its
// connections are reset. The error tells of a port that was lost on the way.
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
	return s.gate.close()
}
