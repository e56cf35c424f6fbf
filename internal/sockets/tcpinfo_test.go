package sockets

import (
	"fmt"
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
	if age := Inspect(c).SinceReceived; age < wait-tick {
		t.Errorf("%v since the last data, want at least %v", age, wait)
	}
	pipe, end := net.Pipe()
	defer pipe.Close()
	defer end.Close()
	if age := Inspect(pipe).SinceReceived; age != 0 {
		t.Errorf("%v for a pipe, want 0", age)
	}
}

// connectionPair returns both sides of a connection, the accepted one with a receive buffer
// of the given size; 0: the default.
func connectionPair(t *testing.T, buffer int) (accepted, client net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	if buffer > 0 {
		if err := SetReceiveBuffer(ln, buffer); err != nil {
			t.Fatal(err)
		}
	}
	client, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close(); client.Close() })
	return accepted, client
}

// endLimit is the time within which the end of a connection must be seen.
const endLimit = 100 * time.Millisecond

// TestEndIsSeenOrWindowIsFull guards against an end of the connection that stays on the
// peer's machine, because of unread data, while the receive window counts as open.
func TestEndIsSeenOrWindowIsFull(t *testing.T) {
	for _, buffer := range []int{0, 128 << 10} {
		for _, piece := range []int{1 << 20, 1400, 100} {
			for _, size := range []int{0, 1000, 40_000, 64_000, 90_000, 131_072, 200_000, 250_000, 400_000} {
				t.Run(fmt.Sprintf("buffer %d, %d bytes in pieces of %d", buffer, size, piece), func(t *testing.T) {
					t.Parallel()
					testEndIsSeenOrWindowIsFull(t, buffer, size, piece)
				})
			}
		}
	}
}

func testEndIsSeenOrWindowIsFull(t *testing.T, buffer, size, piece int) {
	c, client := connectionPair(t, buffer)
	client.SetWriteDeadline(time.Now().Add(time.Second))
	for left := make([]byte, size); len(left) > 0; left = left[min(piece, len(left)):] {
		if _, err := client.Write(left[:min(piece, len(left))]); err != nil {
			break // the buffers of both sides are full
		}
	}
	client.Close()
	time.Sleep(endLimit)
	for read := 0; ; {
		state := InspectAcknowledged(c)
		if state.PeerClosed {
			return
		}
		if !state.WindowFull {
			t.Fatalf("after %d bytes, neither is the end seen nor is the window full", read)
		}
		n, err := c.Read(make([]byte, 10_000))
		if err != nil {
			t.Fatal(err)
		}
		read += n
		time.Sleep(2 * time.Millisecond) // the peer sends what fits now
	}
}

// TestWindowIsOpen guards against a receive window that counts as full although the buffer
// holds less than half of its size.
func TestWindowIsOpen(t *testing.T) {
	const buffer = 128 << 10
	c, client := connectionPair(t, buffer)
	for sent := 0; sent < buffer/2; sent += 1000 {
		if _, err := client.Write(make([]byte, 1000)); err != nil {
			t.Fatal(err)
		}
		if InspectAcknowledged(c).WindowFull {
			t.Fatalf("full with %d unread bytes at most", sent+1000)
		}
	}
}
