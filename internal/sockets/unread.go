package sockets

import (
	"errors"
	"io"
	"net"

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
	raw, err := rawConn(c)
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
	if err != nil {
		return true, errors.ErrUnsupported
	}
	if unread >= n {
		return true, nil
	}
	if state, _ := inspect(fd); state.PeerClosed {
		return true, io.ErrUnexpectedEOF
	}
	return false, nil
}
