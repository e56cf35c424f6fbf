package memory

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

const (
	testTimeout = 30 * time.Second // limit of each wait; a passing test takes far less
	messageSize = 64 << 10
)

// connectionPair returns both sides of a TCP connection.
func connectionPair(t *testing.T) (c, peer net.Conn) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err = net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c, err = ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); peer.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return c, peer
}

// reserve reserves memory for a message of which all bytes are unread.
func reserve(t *testing.T, b *Budget, c net.Conn) (Reservation, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	return b.Reserve(ctx, c, messageSize, messageSize)
}

// TestArrivedMessageGetsMemory guards against messages that stop in the middle and so
// keep memory from those that have arrived whole, in whatever pieces.
func TestArrivedMessageGetsMemory(t *testing.T) {
	for name, piece := range map[string]int{"one piece": messageSize, "pieces of 100 bytes": 100} {
		t.Run(name, func(t *testing.T) {
			b := NewBudget(2 * messageSize)
			stalled, _ := connectionPair(t)
			if _, err := reserve(t, b, stalled); err != nil {
				t.Fatal(err)
			}
			waiting, _ := connectionPair(t)
			waiting.SetDeadline(time.Now().Add(100 * time.Millisecond))
			if _, err := reserve(t, b, waiting); !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Fatalf("a message that has not arrived: %v, want an expired deadline", err)
			}
			whole, peer := connectionPair(t)
			go func() {
				for sent := 0; sent < messageSize; sent += piece {
					if _, err := peer.Write(make([]byte, min(piece, messageSize-sent))); err != nil {
						return
					}
				}
			}()
			held, err := reserve(t, b, whole)
			if err != nil {
				t.Fatalf("a message that has arrived: %v", err)
			}
			if _, err := io.ReadFull(whole, make([]byte, messageSize)); err != nil {
				t.Error(err)
			}
			held.Release()
			held.Release()
		})
	}
}

// TestReserveFails guards against waits that outlast the message: its peer leaves, or
// its time is over while others hold the memory.
func TestReserveFails(t *testing.T) {
	b := NewBudget(2 * messageSize)
	stalled, _ := connectionPair(t)
	reserve(t, b, stalled)
	left, peer := connectionPair(t)
	peer.Write(make([]byte, 100))
	peer.Close()
	if _, err := reserve(t, b, left); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("the peer has left: %v, want %v", err, io.ErrUnexpectedEOF)
	}
	for i, want := range []error{nil, context.DeadlineExceeded} {
		c, peer := connectionPair(t)
		go peer.Write(make([]byte, messageSize))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if _, err := b.Reserve(ctx, c, messageSize, messageSize); !errors.Is(err, want) {
			t.Errorf("message %d that has arrived: %v, want %v", i, err, want)
		}
	}
}

// TestSmallMessagesNeedNoMemory guards against usual messages that wait for memory.
func TestSmallMessagesNeedNoMemory(t *testing.T) {
	b := NewBudget(0)
	c, _ := connectionPair(t)
	if _, err := b.Reserve(t.Context(), c, UnreservedBytes, UnreservedBytes); err != nil {
		t.Error(err)
	}
}
