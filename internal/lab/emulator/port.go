package emulator

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
)

// holdPort binds a port on which nothing is served, so that no other process
// can bind it. With blackholed false, connections to the port are refused. With
// blackholed true they are never established: the accept queue has room for one
// connection, which holdPort opens itself, and the kernel drops all others.
// release frees the port; it is nil if holdPort fails.
func holdPort(addr *net.TCPAddr, blackholed bool) (release func(), err error) {
	held := &heldPort{}
	if err := held.bind(addr, blackholed); err != nil {
		held.release()
		return nil, fmt.Errorf("emulator: holding %v: %w", addr, err)
	}
	return held.release, nil
}

// heldPort owns the sockets that keep a port bound.
type heldPort struct {
	fds []int
}

func (h *heldPort) bind(addr *net.TCPAddr, blackholed bool) error {
	sockaddr := &syscall.SockaddrInet4{Port: addr.Port, Addr: [4]byte(addr.IP.To4())}
	fd, err := h.socket()
	if err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return os.NewSyscallError("setsockopt", err)
	}
	if err := syscall.Bind(fd, sockaddr); err != nil {
		return os.NewSyscallError("bind", err)
	}
	if !blackholed {
		return nil
	}
	if err := syscall.Listen(fd, 0); err != nil {
		return os.NewSyscallError("listen", err)
	}
	filler, err := h.socket()
	if err != nil {
		return err
	}
	if err := syscall.Connect(filler, sockaddr); err != nil && !errors.Is(err, syscall.EINPROGRESS) {
		return os.NewSyscallError("connect", err)
	}
	return nil
}

func (h *heldPort) socket() (int, error) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	h.fds = append(h.fds, fd)
	return fd, nil
}

func (h *heldPort) release() {
	for _, fd := range h.fds {
		syscall.Close(fd)
	}
}
