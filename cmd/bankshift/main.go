// Command bankshift is one load-balancing proxy node. It reads the configuration
// file that GW_CONFIG names, serves until SIGTERM or SIGINT, finishes the open
// requests and exits with status 0. On SIGHUP it reloads the file.
package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"bankshift/internal/logsink"
	"bankshift/internal/node"
)

// A file that is being replaced while it is read is complete soon after. The
// endpoints of the new discovery have to be known 4 s after SIGHUP.
const (
	maxLoadAttempts   = 10
	loadRetryInterval = 50 * time.Millisecond
)

// logFlushTime is how long the program waits at its end for its log to be written.
// The node has ended 150 ms before SIGKILL may come.
const logFlushTime = 50 * time.Millisecond

func main() {
	logOutput := logsink.New(os.Stderr)
	err := run(logOutput)
	if err != nil {
		fmt.Fprintln(logOutput, "bankshift:", err)
	}
	logOutput.Flush(logFlushTime)
	if err != nil {
		os.Exit(1)
	}
}

func run(logOutput io.Writer) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	signal.Ignore(syscall.SIGPIPE) // the node goes on when nobody reads its log any more
	// Registered before anything else and never released: by default SIGHUP would
	// end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)

	path := os.Getenv("GW_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	setMemoryLimit(cfg.MemoryMB)
	log := slog.New(slog.NewTextHandler(logOutput, nil)).With("node", cfg.Name)
	ln, err := node.Listen(ctx, cfg.Listen, log)
	if ctx.Err() != nil {
		return nil // ordered to stop before it served
	}
	if err != nil {
		return err
	}
	n := node.New(cfg, log)
	go reloadOnSignal(reload, path, n, log)
	return n.Run(ctx, ln)
}

// setMemoryLimit has the garbage collector work harder well before the machine's
// limit, which would kill the node.
func setMemoryLimit(memoryMB int) {
	debug.SetMemoryLimit(int64(memoryMB) << 20 * 3 / 4)
}

// reloadOnSignal reloads the node's configuration for each signal, for ever.
func reloadOnSignal(signals <-chan os.Signal, path string, n *node.Node, log *slog.Logger) {
	for range signals {
		cfg, err := loadConfigRetrying(path, func() { time.Sleep(loadRetryInterval) })
		if err != nil {
			log.Error("not reloaded, the previous configuration stays in force", "err", err)
			continue
		}
		n.Reload(cfg)
	}
}

// loadConfigRetrying loads the configuration, again after a wait while it is
// invalid.
func loadConfigRetrying(path string, wait func()) (node.Config, error) {
	cfg, err := node.LoadConfig(path)
	for attempt := 1; err != nil && attempt < maxLoadAttempts; attempt++ {
		wait()
		cfg, err = node.LoadConfig(path)
	}
	return cfg, err
}
