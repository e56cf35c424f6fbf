package upstream

import (
	"bufio"
	"io"
	"net"
	"time"
)

// conn is a connection to an endpoint. It belongs to one attempt at a time, or
// to the pool while it is idle.
type conn struct {
	net.Conn
	pool    *Pool
	backend *backend

	reader     *bufio.Reader    // reads from readBudget
	readBudget io.LimitedReader // reads from the conn, as much as one response may still take
	readErr    error            // of the last read; nil unless the connection ended

	idleSince time.Time // set as it becomes idle
}

func newConn(raw net.Conn, p *Pool, b *backend) *conn {
	c := &conn{Conn: raw, pool: p, backend: b}
	c.readBudget.R = c
	c.reader = bufio.NewReader(&c.readBudget)
	return c
}

// Read keeps the error. It tells a connection that ended from a response that
// is malformed or too long.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readErr = err
	return n, err
}

// idleFor returns for how long an idle connection has been idle.
func (c *conn) idleFor(now time.Time) time.Duration { return now.Sub(c.idleSince) }

// acceptsRequests reports whether a new request may still go out on c. Its
// endpoint may have been drained, replaced or removed while c came up.
func (c *conn) acceptsRequests() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.backend.acceptsRequests()
}

// interrupt fails the reads and writes of c that are under way, and those to come.
func (c *conn) interrupt() { c.SetDeadline(pastDeadline) }

// pastDeadline is a deadline that has passed.
var pastDeadline = time.Unix(1, 0)

// release puts c back into the pool. The caller has read the last response to
// its end, or sent nothing.
func (c *conn) release() {
	c.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.putIdle(c)
}

// discard closes c, which may be anywhere in an exchange.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.connections--
}
