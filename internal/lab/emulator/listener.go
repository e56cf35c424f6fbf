package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// faultListener serves HTTP on one loopback port. On the same port it can
// imitate a process that has ended (connections are reset, new ones refused)
// and a machine that is off the network (requests and new connections get no
// answer).
//
// All methods are safe for concurrent use, except that listen must be called
// first and close last.
type faultListener struct {
	addr       *net.TCPAddr
	httpServer http.Server

	mu              sync.Mutex
	listener        *listener // nil while not serving
	releaseHeldPort func()    // closes the sockets that hold the port; nil while serving
	blackholed      bool      // the machine is off the network: connections stay open and nothing is sent
	closed          bool
	conns           map[*conn]struct{}
	unclosed        []*net.TCPConn // closed by net/http while blackholed; the sockets are still open
	err             error          // failures to hold the port or to bind it again, joined

	accepting sync.WaitGroup
	openConns sync.WaitGroup
	bytesIn   atomic.Int64
	bytesOut  atomic.Int64
}

// listen binds a free loopback port and starts serving on it. It sets
// httpServer's ErrorLog and ConnState, and wraps its ConnContext. onClose is
// called when a connection ends.
func (f *faultListener) listen(onClose func(*conn)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	f.addr = ln.Addr().(*net.TCPAddr)
	f.conns = map[*conn]struct{}{}
	f.httpServer.ErrorLog = log.New(io.Discard, "", 0) // net/http would log the connections that are broken on purpose
	connContext := f.httpServer.ConnContext
	f.httpServer.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	f.httpServer.ConnState = func(nc net.Conn, state http.ConnState) {
		c := nc.(*conn)
		switch state {
		case http.StateActive:
			c.requestStart.Store(time.Now().UnixNano())
		case http.StateClosed:
			onClose(c)
			f.removeConn(c)
		}
	}
	f.serve(ln)
	return nil
}

func (f *faultListener) removeConn(c *conn) {
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
	f.openConns.Done()
}

// serve accepts connections from ln until ln is closed.
func (f *faultListener) serve(ln net.Listener) {
	l := &listener{Listener: ln, owner: f}
	f.listener = l
	f.accepting.Add(1)
	go func() {
		defer f.accepting.Done()
		f.httpServer.Serve(l)
	}()
}

// stop stops serving. With blackholed false it imitates a process that has ended:
// connections are reset and new ones refused. With blackholed true it imitates
// a machine that is off the network: connections stay open without traffic, and
// new ones are never established.
func (f *faultListener) stop(blackholed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return
	}
	f.closeListener()
	f.releasePort()
	f.blackholed = blackholed
	if !blackholed {
		f.resetConnsLocked()
	}
	release, err := holdPort(f.addr, blackholed)
	f.releaseHeldPort = release
	if err != nil {
		f.err = errors.Join(f.err, err)
	}
}

// resume serves again after stop. Connections that stop left open are reset.
func (f *faultListener) resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || f.listener != nil {
		return
	}
	f.blackholed = false
	f.resetConnsLocked()
	f.releasePort()
	ln, err := net.ListenTCP("tcp", f.addr)
	if err != nil {
		f.err = errors.Join(f.err, fmt.Errorf("emulator: binding the port again: %w", err))
		return
	}
	f.serve(ln)
}

// isBlackholed reports whether the machine is off the network.
func (f *faultListener) isBlackholed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blackholed
}

// resetConns resets all connections but keeps serving, as when a new process
// replaces the old one without a gap.
func (f *faultListener) resetConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetConnsLocked()
}

// The caller of closeListener, releasePort and resetConnsLocked holds mu.

func (f *faultListener) closeListener() {
	if f.listener != nil {
		f.listener.Close()
		f.listener = nil
	}
}

func (f *faultListener) releasePort() {
	if f.releaseHeldPort != nil {
		f.releaseHeldPort()
		f.releaseHeldPort = nil
	}
}

func (f *faultListener) resetConnsLocked() {
	for c := range f.conns {
		c.reset()
	}
	for _, c := range f.unclosed {
		c.SetLinger(0)
		c.Close()
	}
	f.unclosed = nil
}

// close stops the listener for good and returns when all its connections have
// ended. The error joins the failures to hold the port or to bind it again.
func (f *faultListener) close() error {
	f.mu.Lock()
	f.closed = true
	f.blackholed = false
	f.closeListener()
	f.releasePort()
	f.resetConnsLocked()
	f.mu.Unlock()
	f.accepting.Wait()
	f.openConns.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.err
}

// listener registers accepted connections with their owner.
type listener struct {
	net.Listener
	owner *faultListener
}

// Accept accepts a connection and registers it. If the owner has stopped or
// replaced this listener meanwhile, it resets the connection instead.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), owner: l.owner}
	l.owner.mu.Lock()
	defer l.owner.mu.Unlock()
	if l.owner.listener != l {
		c.reset()
		return nil, net.ErrClosed
	}
	l.owner.conns[c] = struct{}{}
	l.owner.openConns.Add(1)
	return c, nil
}
