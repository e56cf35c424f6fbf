package node

import (
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"
)

// faultyListener is a listener with a hook that can fail or delay Accept.
type faultyListener struct {
	net.Listener
	before func() error // called before each Accept, which fails with the returned error
}

func (l faultyListener) Accept() (net.Conn, error) {
	if err := l.before(); err != nil {
		return nil, &net.OpError{Op: "accept", Net: "tcp", Addr: l.Addr(), Err: os.NewSyscallError("accept4", err)}
	}
	return l.Listener.Accept()
}

// lateAcceptErrorListener is a listener whose Accept returns an error, such as that of
// a closed listener, only after release is closed.
type lateAcceptErrorListener struct {
	net.Listener
	closed  chan struct{} // closed when Accept has failed and waits for release
	release chan struct{}
}

func (l lateAcceptErrorListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		close(l.closed)
		<-l.release
	}
	return c, err
}

// splittingListener is a listener whose connections are read in two pieces or, with
// byteByByte, one byte at a time. The first piece is one byte long on the first
// connection, and one byte longer on each further connection.
type splittingListener struct {
	net.Listener
	accepted   atomic.Int64
	byteByByte bool
}

type splitConn struct {
	*net.TCPConn
	firstPiece int // bytes of the first piece that are still to be read
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

// lateEndListener is a listener whose connections report their end or an error only
// after release is closed. This simulates a process that is paused after a read
// has found the end.
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

// lateReadListener is a listener whose connections return what they have read only
// after a delay. This simulates a process that is paused after a read.
type lateReadListener struct {
	net.Listener
	delay *atomic.Int64 // a time.Duration
}

type lateReadConn struct {
	*net.TCPConn
	delay *atomic.Int64
}

func (l lateReadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateReadConn{c.(*net.TCPConn), l.delay}, nil
}

func (c lateReadConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	time.Sleep(time.Duration(c.delay.Load()))
	return n, err
}

// interruptedConn is a connection that calls beforeRead between the call of Read and
// the read from the socket.
type interruptedConn struct {
	*net.TCPConn
	beforeRead func()
}

func (c interruptedConn) Read(b []byte) (int, error) {
	c.beforeRead()
	c.TCPConn.SetReadDeadline(time.Now().Add(testTimeout)) // as if bytes had arrived before beforeRead set a deadline
	return c.TCPConn.Read(b)
}

// connectionPair returns the node's side and the client's side of a connection.
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
