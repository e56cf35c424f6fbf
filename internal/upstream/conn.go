package upstream

import (
	"bufio"
	"io"
	"net"
	"time"

	"bankshift/internal/memory"
)

// readBufferSize is the size of a connection's read buffer, in bytes. It holds the whole
// of most responses; of a longer one only the head passes through it.
const readBufferSize = 1 << 10

// conn is a connection to an endpoint. One attempt at a time owns it, or the pool
// while it is idle.
type conn struct {
	net.Conn
	pool    *Pool
	backend *backend

	reader     *bufio.Reader    // reads from readBudget
	readBudget io.LimitedReader // reads from the conn; N is how many more bytes the response may have
	readErr    error            // error of the last read from the connection; nil if it succeeded

	head       memory.HeadMeter   // of the response that is being read
	headMemory memory.Reservation // of that head

	idleSince time.Time // when it last became idle
}

func newConn(raw net.Conn, p *Pool, b *backend) *conn {
	c := &conn{Conn: raw, pool: p, backend: b}
	c.readBudget.R = c
	c.reader = bufio.NewReaderSize(&c.readBudget, readBufferSize)
	return c
}

// Read records its error in readErr, by which responseError distinguishes a
// connection that ended from a response that is malformed or too long.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.readErr = err
	if !c.meterHead(b[:n]) {
		return 0, errHeadMemory
	}
	return n, err
}

// meterHead adds bytes to the head that is being read, and reserves memory for it. It
// reports false if there is none.
func (c *conn) meterHead(data []byte) bool {
	for len(data) > 0 && !c.head.Ended() {
		data = data[c.head.Add(data):]
		if c.head.Ended() && c.head.Interim() {
			c.head.Restart()
		}
	}
	return c.pool.config.Heads.Extend(&c.headMemory, &c.head)
}

// write sends a message with a single call, and returns how many bytes were sent.
func (c *conn) write(message net.Buffers) (written int, err error) {
	if len(message) == 1 {
		return c.Write(message[0])
	}
	sent, err := message.WriteTo(c.Conn)
	return int(sent), err
}

// idleFor returns how long an idle connection has been idle at the time now.
func (c *conn) idleFor(now time.Time) time.Duration { return now.Sub(c.idleSince) }

// acceptsRequests reports whether a new request may still be sent on c. Its endpoint
// may have been drained, restarted, moved or removed while c was dialled.
func (c *conn) acceptsRequests() bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	return c.backend.acceptsRequests()
}

// interrupt makes all pending and future reads and writes of c fail.
func (c *conn) interrupt() { c.SetDeadline(pastDeadline) }

// pastDeadline is an I/O deadline in the past, so that reads and writes fail at once.
var pastDeadline = time.Unix(1, 0)

// release puts c back into the pool. The caller must have read the last response
// to its end, or have sent no request.
func (c *conn) release() {
	c.SetDeadline(time.Time{})
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.putIdle(c)
}

// discard closes c, which may be in the middle of an exchange.
func (c *conn) discard() {
	c.Conn.Close()
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.connections--
}
