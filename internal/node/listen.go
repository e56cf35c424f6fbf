package node

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"syscall"
	"time"

	"bankshift/internal/sockets"
)

const (
	listenTries = 50                     // at a listener; a node that can't listen at all has to say so
	listenWait  = 100 * time.Millisecond // between them
)

// Listen opens the listener for clients. It outlasts a want of descriptors or
// memory, and an address that a process before still holds, for some seconds.
func Listen(ctx context.Context, address string, log *slog.Logger) (net.Listener, error) {
	return listenWith(ctx, net.ListenConfig{}, address, log)
}

func listenWith(ctx context.Context, lc net.ListenConfig, address string, log *slog.Logger) (net.Listener, error) {
	for tries := 1; ; tries++ {
		ln, err := lc.Listen(ctx, "tcp", address)
		if err == nil || tries == listenTries || !sockets.LocalFailure(err) && !errors.Is(err, syscall.EADDRINUSE) {
			return ln, err
		}
		if tries == 1 {
			log.Warn("listening for clients fails, and is tried again", "err", err)
		}
		if !sockets.Sleep(ctx, listenWait) {
			return nil, err
		}
	}
}
