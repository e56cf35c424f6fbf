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

// faultListener serves HTTP on one loopback port and can imitate, on that same
// port, a process that has ended (connections are reset, new ones refused) and
// a machine that has vanished (nothing is answered at all).
//
// All methods are safe for concurrent use. The owner calls listen first and
// close last.
type faultListener struct {
	addr       *net.TCPAddr
	httpServer http.Server

	mu              sync.Mutex
	listener        *listener // while serving, else nil
	releaseHeldPort func()    // while not serving: frees the port for listener
	blackholed      bool      // the machine has vanished: connections stay open and nothing is sent
	closed          bool
	conns           map[*conn]struct{}
	unclosed        []*net.TCPConn // closed by the process while silent; still open on the network
	err             error          // the port could not be held or bound again

	accepting sync.WaitGroup
	openConns sync.WaitGroup
	bytesIn   atomic.Int64
	bytesOut  atomic.Int64
}

// listen binds a free port and starts serving on it. It takes over the
// callbacks of httpServer except ConnContext. onClose is called at the end of
// each connection.
func (f *faultListener) listen(onClose func(*conn)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	f.addr = ln.Addr().(*net.TCPAddr)
	f.conns = map[*conn]struct{}{}
	f.httpServer.ErrorLog = log.New(io.Discard, "", 0) // broken connections are intended
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

// serve accepts connections from ln until it is closed.
func (f *faultListener) serve(ln net.Listener) {
	l := &listener{Listener: ln, owner: f}
	f.listener = l
	f.accepting.Add(1)
	go func() {
		defer f.accepting.Done()
		f.httpServer.Serve(l)
	}()
}

// stop ends serving. With silent false it imitates a process that has ended:
// connections are reset and new ones refused. With silent true it imitates a
// vanished machine: connections stay open without traffic, and new ones are
// never established.
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

// resume serves again after stop. Connections from before are reset.
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

// isBlackholed reports whether the machine has vanished.
func (f *faultListener) isBlackholed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.blackholed
}

// resetConns resets all connections, as when a process is replaced by another
// without a pause in serving.
func (f *faultListener) resetConns() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetConnsLocked()
}

// The following methods need mu.

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

// close ends the listener for good and returns when all its connections have
// ended, with the errors of binding or holding the port.
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

// Accept resets a connection that was established while the owner stopped.
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
