package sockets

import (
	"errors"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// AwaitUnread waits until at least n bytes can be read from c without blocking, up to
// c's read deadline. It returns io.ErrUnexpectedEOF if the peer ends the connection
// before, and errors.ErrUnsupported if c does not tell how many bytes it holds. Nobody
// else may read from c meanwhile.
//
// The kernel's receive buffer must be able to hold n bytes.
func AwaitUnread(c net.Conn, n int) error {
	if n <= 0 {
		return nil
	}
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errors.ErrUnsupported
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	var waitErr error
	err = raw.Read(func(fd uintptr) bool {
		var done bool
		done, waitErr = hasUnread(int(fd), n)
		return done
	})
	return errors.Join(waitErr, err)
}

// hasUnread reports whether a wait for n unread bytes is over, because they are there
// or because of the returned error.
func hasUnread(fd, n int) (done bool, err error) {
	unread, err := unix.IoctlGetInt(fd, unix.SIOCINQ)
	switch {
	case err != nil:
		return true, errors.ErrUnsupported
	case unread >= n:
		return true, nil
	case ended(fd):
		return true, io.ErrUnexpectedEOF
	}
	return false, nil
}

// ended reports whether the peer has ended the connection or it is broken, also behind
// unread bytes.
func ended(fd int) bool {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	return err == nil && peerClosed(info)
}
