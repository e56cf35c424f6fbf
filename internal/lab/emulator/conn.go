package emulator

import (
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// conn is a connection accepted by a faultListener.
type conn struct {
	*net.TCPConn
	owner        *faultListener
	requestStart atomic.Int64 // when the first byte of the current request arrived, in Unix nanoseconds
	emulated     emulatedConn // state kept by a Server; unused by a Registry
}

// connKey is the context key of a request's *conn.
type connKey struct{}

// connOf returns the connection on which a request arrived.
func connOf(r *http.Request) *conn { return r.Context().Value(connKey{}).(*conn) }

// requestStarted returns when the first byte of the current request arrived.
func (c *conn) requestStarted() time.Time { return time.Unix(0, c.requestStart.Load()) }

// reset closes the connection with a TCP reset. net/http notices only when its
// next read or write fails.
func (c *conn) reset() {
	c.SetLinger(0)
	c.TCPConn.Close()
}

// Read reads from the connection and adds the bytes to the owner's bytesIn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.owner.bytesIn.Add(int64(n))
	return n, err
}

// Write sends b and adds the bytes to the owner's bytesOut. While the owner
// imitates a machine that is off the network, it discards b and reports
// success.
func (c *conn) Write(b []byte) (int, error) {
	if c.owner.isBlackholed() {
		return len(b), nil
	}
	n, err := c.TCPConn.Write(b)
	c.owner.bytesOut.Add(int64(n))
	return n, err
}

// ReadFrom overrides net.TCPConn.ReadFrom, which would bypass Write.
func (c *conn) ReadFrom(r io.Reader) (int64, error) { return io.Copy(struct{ io.Writer }{c}, r) }

// Close closes the connection. While the owner imitates a machine that is off
// the network, the peer must not see the close, so the socket stays open until
// the owner resets it.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	if c.owner.blackholed {
		c.owner.unclosed = append(c.owner.unclosed, c.TCPConn)
		return nil
	}
	return c.TCPConn.Close()
}
