package sockets

import (
	"net"
	"testing"
	"time"
)

// TestSinceLastReceived guards against leaving out the time that data waits unread,
// also while its connection is in the accept queue of the listener. A connection
// that is not TCP must yield 0.
func TestSinceLastReceived(t *testing.T) {
	const wait = 100 * time.Millisecond
	const tick = 10 * time.Millisecond // the longest kernel tick
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	if _, err := client.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	time.Sleep(wait)
	c, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if age := SinceLastReceived(c); age < wait-tick {
		t.Errorf("%v since the last data, want at least %v", age, wait)
	}
	pipe, end := net.Pipe()
	defer pipe.Close()
	defer end.Close()
	if age := SinceLastReceived(pipe); age != 0 {
		t.Errorf("%v for a pipe, want 0", age)
	}
}
