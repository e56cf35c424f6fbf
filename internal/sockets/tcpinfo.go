package sockets

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// SinceLastReceived returns the time since c last received data, read or unread,
// according to the kernel (TCP_INFO, see tcp(7)). Its resolution is the kernel tick,
// 10 ms at most. It returns 0 if there is no such figure: c is not TCP, has been
// closed on this side, or is carried by a network stack that does not keep it.
func SinceLastReceived(c net.Conn) time.Duration {
	info := tcpInfo(c)
	if info == nil {
		return 0
	}
	return time.Duration(info.Last_data_recv) * time.Millisecond
}

// PeerClosed reports whether the peer has ended the connection or reset it,
// according to TCP_INFO. Unlike Peek, it also detects an end behind data that has
// not been read. It returns false if there is no TCP_INFO.
func PeerClosed(c net.Conn) bool {
	info := tcpInfo(c)
	return info != nil && peerClosed(info)
}

func peerClosed(info *unix.TCPInfo) bool {
	return info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE
}

// tcpInfo returns the TCP_INFO of c, or nil if there is none.
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
	raw.Control(func(fd uintptr) { // an error means that c was closed on this side; info is nil then
		info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	})
	if err != nil {
		return nil
	}
	return info
}
