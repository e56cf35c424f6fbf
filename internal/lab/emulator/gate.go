// Package emulator puts HTTP/1.1 in front of the models of package model, on
// loopback addresses and the wall clock, for nodes that are real processes.
//
// A Server is one server process and a Registry is discovery; hundreds of them
// fit into one process of the operating system. What they do and when is the
// models'; here are only the sockets: what a process that ends or a machine
// that is lost looks like to TCP.
package emulator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// gate is what an address does: serve, refuse, or say nothing. It keeps its
// port through all of them.
type gate struct {
	addr *net.TCPAddr
	hs   http.Server

	mu      sync.Mutex
	ln      *listener // while it serves
	release func()    // while it does not: gives up the port
	silent  bool      // the machine is lost: connections stay open and nothing leaves
	closed  bool
	conns   map[*conn]struct{}
	parked  []*net.TCPConn // closed by the process while silent
	err     error          // the port could not be had again

	accepting sync.WaitGroup
	open      sync.WaitGroup // connections
	in, out   atomic.Int64   // bytes
}

// listen opens a gate at a free port. The callbacks of hs are the gate's from
// then on, but for ConnContext; closed is told of each connection at its end.
func (g *gate) listen(closed func(*conn)) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("emulator: %w", err)
	}
	g.addr = ln.Addr().(*net.TCPAddr)
	g.conns = map[*conn]struct{}{}
	g.hs.ErrorLog = log.New(io.Discard, "", 0) // of connections that break, as they should
	connContext := g.hs.ConnContext
	g.hs.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, nc)
		}
		return context.WithValue(ctx, connKey{}, nc)
	}
	g.hs.ConnState = func(nc net.Conn, state http.ConnState) {
		c := nc.(*conn)
		switch state {
		case http.StateActive:
			c.active.Store(time.Now().UnixNano())
		case http.StateClosed:
			closed(c)
			g.mu.Lock()
			delete(g.conns, c)
			g.mu.Unlock()
			g.open.Done()
		}
	}
	g.serve(ln)
	return nil
}

func (g *gate) serve(ln net.Listener) {
	l := &listener{Listener: ln, gate: g}
	g.ln = l
	g.accepting.Add(1)
	go func() {
		defer g.accepting.Done()
		g.hs.Serve(l) // ends when l is closed
	}()
}

// shut ends the process behind the gate: connections are reset and new ones
// refused. Or, silent, its machine is lost: connections stay open, new ones
// never come up, and nobody says anything.
func (g *gate) shut(silent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return
	}
	if g.ln != nil {
		g.ln.Close()
		g.ln = nil
	}
	g.letGo()
	if g.silent = silent; !silent {
		g.resetAll()
	}
	var err error
	if g.release, err = holdPort(g.addr, silent); err != nil {
		g.err = errors.Join(g.err, err)
	}
}

// reopen serves again, after shut. Connections of before are reset.
func (g *gate) reopen() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.ln != nil {
		return
	}
	g.silent = false
	g.resetAll()
	g.letGo()
	ln, err := net.ListenTCP("tcp", g.addr)
	if err != nil {
		g.err = errors.Join(g.err, fmt.Errorf("emulator: the port is gone: %w", err))
		return
	}
	g.serve(ln)
}

// isSilent tells whether the machine is lost.
func (g *gate) isSilent() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.silent
}

func (g *gate) letGo() {
	if g.release != nil {
		g.release()
		g.release = nil
	}
}

// restart resets all connections of a process that is followed by another at once.
func (g *gate) restart() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resetAll()
}

func (g *gate) resetAll() {
	for c := range g.conns {
		c.reset()
	}
	for _, c := range g.parked {
		c.SetLinger(0)
		c.Close()
	}
	g.parked = nil
}

// close ends the gate, and returns when all its connections have ended.
func (g *gate) close() error {
	g.mu.Lock()
	g.closed, g.silent = true, false
	if g.ln != nil {
		g.ln.Close()
		g.ln = nil
	}
	g.letGo()
	g.resetAll()
	g.mu.Unlock()
	g.accepting.Wait()
	g.open.Wait()
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.err
}

// holdPort keeps a port from others without a process behind it: connections
// are refused. Or, silent, they never come up: the queue of those to be
// accepted holds one, which is taken, and TCP drops what does not fit.
func holdPort(addr *net.TCPAddr, silent bool) (release func(), err error) {
	var fds []int
	release = func() {
		for _, fd := range fds {
			syscall.Close(fd)
		}
	}
	socket := func() (int, error) {
		fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
		if err == nil {
			fds = append(fds, fd)
		}
		return fd, err
	}
	fail := func(call string, err error) (func(), error) {
		release()
		return nil, fmt.Errorf("emulator: holding %v: %w", addr, os.NewSyscallError(call, err))
	}
	to := &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	fd, err := socket()
	if err != nil {
		return fail("socket", err)
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return fail("setsockopt", err)
	}
	if err := syscall.Bind(fd, to); err != nil {
		return fail("bind", err)
	}
	if !silent {
		return release, nil
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return fail("listen", err)
	}
	filler, err := socket()
	if err != nil {
		return fail("socket", err)
	}
	if err := syscall.Connect(filler, to); err != nil && !errors.Is(err, syscall.EINPROGRESS) {
		return fail("connect", err)
	}
	return release, nil
}

type listener struct {
	net.Listener
	gate *gate
}

// Accept resets a connection that came up as the process ended.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{TCPConn: nc.(*net.TCPConn), gate: l.gate}
	l.gate.mu.Lock()
	defer l.gate.mu.Unlock()
	if l.gate.ln != l {
		c.reset()
		return nil, net.ErrClosed
	}
	l.gate.conns[c] = struct{}{}
	l.gate.open.Add(1)
	return c, nil
}

// conn is a connection through a gate.
type conn struct {
	*net.TCPConn
	gate   *gate
	active atomic.Int64 // first byte of the last request, Unix time in nanoseconds
	server serverConn
}

type connKey struct{}

// connOf is the connection on which a request came.
func connOf(r *http.Request) *conn { return r.Context().Value(connKey{}).(*conn) }

// reset closes with a reset. net/http finds its connection closed.
func (c *conn) reset() {
	c.SetLinger(0)
	c.TCPConn.Close()
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.gate.in.Add(int64(n))
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	if c.gate.isSilent() {
		return len(b), nil
	}
	n, err := c.TCPConn.Write(b)
	c.gate.out.Add(int64(n))
	return n, err
}

// ReadFrom keeps what is sent within Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Close closes, unless the machine is lost: then the other side must not see it.
func (c *conn) Close() error {
	c.gate.mu.Lock()
	defer c.gate.mu.Unlock()
	if c.gate.silent {
		c.gate.parked = append(c.gate.parked, c.TCPConn)
		return nil
	}
	return c.TCPConn.Close()
}
