package sockets

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// State is what the kernel knows of a TCP connection (TCP_INFO, see tcp(7)).
type State struct {
	// SinceReceived is the time since data was last received, read or unread. Its
	// resolution is the kernel tick, 10 ms at most.
	SinceReceived time.Duration

	// PeerClosed: the peer has ended the connection or reset it, perhaps behind data
	// that has not been read.
	PeerClosed bool

	// WindowFull: the receive window may have no room for the next segment, because of
	// data that has not been read. Whatever the peer has sent after that data, and the
	// end of the connection too, stays on the peer's machine.
	WindowFull bool
}

// Inspect returns the state of c. It returns the zero State if c has been closed on this
// side or is not a syscall.Conn. Where the network stack does not keep the state, the
// receive window counts as full while there is unread data.
func Inspect(c net.Conn) State {
	var state State
	control(c, func(fd int) { state, _ = inspect(fd) })
	return state
}

// InspectAcknowledged is Inspect after everything that has been received is acknowledged.
// Otherwise the window that was advertised last may have been filled since, as the kernel
// delays acknowledgments. While data is being received, the window counts as full.
func InspectAcknowledged(c net.Conn) State {
	var state State
	control(c, func(fd int) {
		var before, after uint64
		state, before = inspect(fd)
		if state.PeerClosed {
			return
		}
		unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_QUICKACK, 1) // sends an acknowledgment that is due
		state, after = inspect(fd)
		if before != after {
			state.WindowFull = true
		}
	})
	return state
}

// inspect returns the state of a connection, and how many bytes it has received.
func inspect(fd int) (state State, received uint64) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return State{WindowFull: unread(fd) > 0}, 0
	}
	return State{
		SinceReceived: time.Duration(info.Last_data_recv) * time.Millisecond,
		PeerClosed:    peerClosed(info),
		WindowFull:    windowFull(fd, info),
	}, info.Bytes_received
}

// PeerClosed reports whether the peer has ended the connection or reset it. Unlike Peek,
// it also detects an end behind data that has not been read.
func PeerClosed(c net.Conn) bool { return Inspect(c).PeerClosed }

func peerClosed(info *unix.TCPInfo) bool {
	return info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE
}

// windowFull reports whether the window that was advertised last has room for less than
// the longest segment: the peer keeps back a segment that does not fit. Linux before 6.2
// reports a window of 0, which counts as full while there is unread data.
func windowFull(fd int, info *unix.TCPInfo) bool {
	if info.Rcv_wnd == 0 {
		return unread(fd) > 0
	}
	return info.Rcv_wnd < info.Advmss
}

// unread returns how many bytes can be read; 0 if that is not known.
func unread(fd int) int {
	n, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	if err != nil {
		return 0
	}
	return n
}

// QueueLength returns how many connections wait in the queue of l; 0 if that is not known.
func QueueLength(l net.Listener) int {
	length := 0
	control(l, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		if err == nil {
			length = int(info.Unacked) // for a listener, the length of its queue
		}
	})
	return length
}

// SetReceiveBuffer sets the size of the receive buffers of the connections that l will
// accept, in bytes of data; the kernel allows as much again for its own overhead. It
// returns errors.ErrUnsupported if l is not a syscall.Conn.
func SetReceiveBuffer(l net.Listener, size int) error {
	var err error
	controlErr := control(l, func(fd int) {
		err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
	if controlErr != nil {
		return controlErr
	}
	return err
}

// control calls f with the descriptor of a connection or a listener. It returns
// errors.ErrUnsupported if that is not a syscall.Conn, and an error if it has been
// closed.
func control(c any, f func(fd int)) error {
	raw, err := rawConn(c)
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// rawConn gives access to the descriptor of a connection or a listener; see control for its
// errors.
func rawConn(c any) (syscall.RawConn, error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return sc.SyscallConn()
}
