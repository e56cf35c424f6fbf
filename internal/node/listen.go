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
	maxListenAttempts   = 50 // after these the error is returned, so that a node that cannot listen at all reports it
	listenRetryInterval = 100 * time.Millisecond
)

// Listen opens the listener for clients. It retries for some seconds
// (maxListenAttempts times listenRetryInterval) if this machine is short of
// descriptors, memory or ports, or if the previous process still holds the
// address.
func Listen(ctx context.Context, address string, log *slog.Logger) (net.Listener, error) {
	return listenWith(ctx, net.ListenConfig{}, address, log)
}

func listenWith(ctx context.Context, lc net.ListenConfig, address string, log *slog.Logger) (net.Listener, error) {
	for attempt := 1; ; attempt++ {
		ln, err := lc.Listen(ctx, "tcp", address)
		if err == nil {
			return ln, nil
		}
		retryable := sockets.LocalFailure(err) || errors.Is(err, syscall.EADDRINUSE)
		if attempt == maxListenAttempts || !retryable {
			return nil, err
		}
		if attempt == 1 {
			log.Warn("listening for clients failed, retrying", "err", err)
		}
		if !sockets.Sleep(ctx, listenRetryInterval) {
			return nil, err
		}
	}
}
