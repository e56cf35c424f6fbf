package node

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// faultyListener fails an Accept, or holds it up, as its hook says.
type faultyListener struct {
	net.Listener
	before func() error // called ahead of each Accept; an error is Accept's result
}

func (l faultyListener) Accept() (net.Conn, error) {
	if err := l.before(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// lateListener tells of its end only when it is let go.
type lateListener struct {
	net.Listener
	closed, release chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		close(l.closed)
		<-l.release
	}
	return c, err
}

// cutting is a listener whose connections are read in two pieces, the first
// as long as its number, or byte by byte.
type splittingListener struct {
	net.Listener
	accepted   atomic.Int64
	byteByByte bool
}

type splitConn struct {
	*net.TCPConn
	firstPiece int
	byteByByte bool
}

func (l *splittingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &splitConn{c.(*net.TCPConn), int(l.accepted.Add(1)), l.byteByByte}, nil
}

func (c *splitConn) Read(b []byte) (int, error) {
	switch {
	case c.byteByByte:
		b = b[:min(len(b), 1)]
	case c.firstPiece > 0:
		b = b[:min(len(b), c.firstPiece)]
	}
	n, err := c.TCPConn.Read(b)
	c.firstPiece -= n
	return n, err
}

// lateEnds accepts connections of which a reader learns the end only when it is released, as in a process that is held up
// between the end and its next step.
type lateEndListener struct {
	net.Listener
	release chan struct{}
}

type lateEndConn struct {
	*net.TCPConn
	release chan struct{}
}

func (l lateEndListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateEndConn{c.(*net.TCPConn), l.release}, nil
}

func (c lateEndConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	if err != nil {
		<-c.release
	}
	return n, err
}

// crossing is a connection on which something happens between a read's call and its bytes.
type interruptedConn struct {
	*net.TCPConn
	beforeRead func()
}

func (c interruptedConn) Read(b []byte) (int, error) {
	c.beforeRead()
	c.TCPConn.SetReadDeadline(time.Now().Add(testTimeout)) // the bytes came before the deadline did
	return c.TCPConn.Read(b)
}

// connPair is a node's end and a client's end of one connection.
func connectionPair(t *testing.T) (*clientConn, net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	l := newConnectionLimiter(ln, 10, discardLog)
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); client.Close() })
	c.SetReadDeadline(time.Now().Add(testTimeout))
	return c.(*clientConn), client
}
