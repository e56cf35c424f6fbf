package load

import (
	"bufio"
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
)

// connPool holds the clients' connections to one node and limits their number.
type connPool struct {
	mu      sync.Mutex
	idle    []*conn      // in the order of their last use
	open    int          // connections that are idle, in use or being dialled
	waiters []chan *conn // in order of arrival; each receives a connection, or nil: it may dial one
}

// conn is a connection to a node. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    bool // it has carried a request
}

func (g *generator) poolOf(node int) *connPool {
	g.mu.Lock()
	defer g.mu.Unlock()
	pool := g.pools[node]
	if pool == nil {
		pool = &connPool{}
		g.pools[node] = pool
	}
	return pool
}

// close closes the idle connections. It is called after all requests have ended.
func (g *generator) close() {
	for _, pool := range g.pools {
		for _, c := range pool.idle {
			c.Close()
		}
	}
}

// get returns a connection for one request: an idle one, unless fresh is set,
// or a new one. At the limit of open connections it waits until another request
// gives one up, and may return that one even if fresh is set. The caller returns
// the connection with put.
func (g *generator) get(ctx context.Context, pool *connPool, address string, fresh bool) (*conn, error) {
	c, waiter := pool.takeOrReserve(address, fresh, g.Connections)
	if c != nil {
		return c, nil
	}
	if waiter == nil {
		return g.dial(ctx, pool, address)
	}
	g.countConnectionWait()
	select {
	case c := <-waiter:
		if c != nil && c.usable(address) {
			return c, nil
		}
		if c != nil {
			c.Close()
		}
		return g.dial(ctx, pool, address) // the waiter takes over the place of the connection that ended
	case <-ctx.Done():
		pool.abandonWait(waiter)
		return nil, ctx.Err()
	}
}

// takeOrReserve returns an idle connection. If there is none or fresh is set, it
// counts a new connection as open, which the caller must dial, and returns nil,
// nil. At the limit it returns a channel instead, which delivers a connection,
// or nil for one that is counted as open and must be dialled.
func (p *connPool) takeOrReserve(address string, fresh bool, limit int) (*conn, chan *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for !fresh && len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle = p.idle[:last]
		if c.usable(address) {
			return c, nil
		}
		c.Close()
		p.open--
	}
	if p.open >= limit {
		waiter := make(chan *conn, 1)
		p.waiters = append(p.waiters, waiter)
		return nil, waiter
	}
	p.open++
	return nil, nil
}

func (g *generator) countConnectionWait() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.ConnectionWaits++
}

// dial opens a connection that is already counted as open. If it fails, it calls
// put(nil), which lets the first waiter dial instead or reduces the count.
func (g *generator) dial(ctx context.Context, pool *connPool, address string) (*conn, error) {
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		pool.put(nil)
		return nil, err
	}
	g.mu.Lock()
	g.report.Dials++
	g.mu.Unlock()
	return &conn{Conn: nc, address: address, reader: bufio.NewReader(nc)}, nil
}

// put takes back a connection that may carry another request, or nil for one that
// was closed or not established. It hands either to the first waiter, if any.
func (p *connPool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.waiters) > 0 {
		p.waiters[0] <- c
		p.waiters = p.waiters[1:]
		return
	}
	if c == nil {
		p.open--
		return
	}
	p.idle = append(p.idle, c)
}

// abandonWait removes a waiter. If put has served it already, what it received is
// put back, for the next waiter or as idle.
func (p *connPool) abandonWait(waiter chan *conn) {
	p.mu.Lock()
	i := slices.Index(p.waiters, waiter)
	if i >= 0 {
		p.waiters = slices.Delete(p.waiters, i, i+1)
	}
	p.mu.Unlock()
	if i < 0 {
		p.put(<-waiter)
	}
}

// usable reports whether an idle connection leads to an address and can carry a
// request.
func (c *conn) usable(address string) bool { return c.address == address && c.idleAndOpen() }

// idleAndOpen reports whether the node has neither closed the connection nor
// sent anything since its last response.
func (c *conn) idleAndOpen() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.Conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	return err == nil && errors.Is(peekErr, syscall.EAGAIN) // a closed connection returns 0 bytes and no error
}
