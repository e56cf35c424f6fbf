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

// nodeConns is the clients' connections to one node.
type nodeConns struct {
	mu      sync.Mutex
	idle    []*conn // the one used last comes last
	open    int     // idle, in use or being dialled
	waiting []chan *conn
}

// conn is a connection to a node. It carries one request at a time.
type conn struct {
	net.Conn
	address string
	reader  *bufio.Reader
	used    bool // it has carried a request
}

func (p *player) connsOf(node int) *nodeConns {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := p.conns[node]
	if n == nil {
		n = &nodeConns{}
		p.conns[node] = n
	}
	return n
}

// close closes the idle connections, once all requests have ended.
func (p *player) close() {
	for _, n := range p.conns {
		for _, c := range n.idle {
			c.Close()
		}
	}
}

// take returns a connection for one request: an idle one, unless fresh is set,
// or a new one. If all that may be open are busy, it waits for one. The caller
// returns the connection with put.
func (p *player) take(ctx context.Context, n *nodeConns, address string, fresh bool) (*conn, error) {
	c, turn := n.takeOrReserve(address, fresh, p.Connections)
	if c != nil {
		return c, nil
	}
	if turn == nil {
		return p.dial(ctx, n, address)
	}
	p.countWaited()
	select {
	case c := <-turn:
		if c != nil && c.usable(address) {
			return c, nil
		}
		if c != nil {
			c.Close()
		}
		return p.dial(ctx, n, address) // c's place among the open ones is handed over
	case <-ctx.Done():
		n.abandonWait(turn)
		return nil, ctx.Err()
	}
}

// takeOrReserve returns an idle connection, or nothing with a place reserved
// among the open ones, or else a channel that delivers one of the two: a
// connection or nil.
func (n *nodeConns) takeOrReserve(address string, fresh bool, limit int) (*conn, chan *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for !fresh && len(n.idle) > 0 {
		last := len(n.idle) - 1
		c := n.idle[last]
		n.idle = n.idle[:last]
		if c.usable(address) {
			return c, nil
		}
		c.Close()
		n.open--
	}
	if n.open >= limit {
		turn := make(chan *conn, 1)
		n.waiting = append(n.waiting, turn)
		return nil, turn
	}
	n.open++
	return nil, nil
}

func (p *player) countWaited() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.Waited++
}

// dial opens a connection in a reserved place, which it gives up if it fails.
func (p *player) dial(ctx context.Context, n *nodeConns, address string) (*conn, error) {
	nc, err := (&net.Dialer{KeepAlive: -1}).DialContext(ctx, "tcp", address)
	if err != nil {
		n.put(nil)
		return nil, err
	}
	p.mu.Lock()
	p.report.Dials++
	p.mu.Unlock()
	return &conn{Conn: nc, address: address, reader: bufio.NewReader(nc)}, nil
}

// put takes back a connection that may carry another request, or with nil the
// place of one that was closed.
func (n *nodeConns) put(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.waiting) > 0 {
		n.waiting[0] <- c
		n.waiting = n.waiting[1:]
		return
	}
	if c == nil {
		n.open--
		return
	}
	n.idle = append(n.idle, c)
}

// abandonWait gives up a wait. What was delivered meanwhile goes to the next.
func (n *nodeConns) abandonWait(turn chan *conn) {
	n.mu.Lock()
	i := slices.Index(n.waiting, turn)
	if i >= 0 {
		n.waiting = slices.Delete(n.waiting, i, i+1)
	}
	n.mu.Unlock()
	if i < 0 {
		n.put(<-turn)
	}
}

// usable reports whether an idle connection goes to an address and can carry a
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
	return err == nil && errors.Is(peekErr, syscall.EAGAIN) // a closed one has 0 bytes and no error
}
