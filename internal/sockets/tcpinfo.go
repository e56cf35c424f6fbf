package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastReceived returns how long ago the last data came to c, be it read or
// not, by the kernel's account of the connection (TCP_INFO, tcp(7)). It is exact
// to the kernel's tick, which is 10 ms at most. It returns 0 where there is no
// such account: c is not TCP, has been closed on this side, or is carried by a
// network stack that does not keep this figure.
func SinceLastReceived(c net.Conn) time.Duration {
	info := tcpInfo(c)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// PeerClosed reports whether the peer has ended the connection or reset it, by the
// kernel's account. It shows also where data stands before the end that has not
// been read, which Peek would find. It reports false where there is no account.
func PeerClosed(c net.Conn) bool {
	info := tcpInfo(c)
	if info == nil {
		return false
	}
	return info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE
}

// tcpInfo returns the kernel's account of c, nil if there is none.
func tcpInfo(c net.Conn) *unix.TCPInfo {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return nil
	}
	var info *unix.TCPInfo
	raw.Control(func(fd uintptr) { // its error means that c was closed on this side
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil
	}
	return info
}
