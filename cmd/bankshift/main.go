// Command bankshift runs one load-balancing HTTP proxy node. It reads the
// configuration file at the path in GW_CONFIG, serves until SIGTERM or SIGINT,
// finishes the open requests and exits with status 0. On SIGHUP it reloads the
// file, of which only the address of discovery takes effect without a restart.
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

// After SIGHUP, a configuration that cannot be loaded is tried again, as the file
// may be in the middle of being replaced. The waits add up to 0.45 s of the 4 s after
// SIGHUP within which the node has to know the endpoints of a new discovery address.
const (
	maxLoadAttempts   = 10
	loadRetryInterval = 50 * time.Millisecond
)

// logFlushTime limits how long the program waits for pending log lines to be
// written before it exits. It fits into the 150 ms that Node.Run leaves between its
// return and the earliest SIGKILL.
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
	signal.Ignore(syscall.SIGPIPE) // otherwise logging after the log's reader has exited would end the process
	// Registered before the configuration is loaded, and never released: by default
	// SIGHUP would end the process.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)

	path := os.Getenv("GW_CONFIG")
	cfg, err := node.LoadConfig(path)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(cfg.MemoryPlan().RuntimeLimit)
	log := slog.New(slog.NewTextHandler(logOutput, nil)).With("node", cfg.Name)
	ln, err := node.Listen(ctx, cfg.Listen, log)
	if ctx.Err() != nil {
		return nil // SIGTERM or SIGINT arrived before the node served
	}
	if err != nil {
		return err
	}
	n := node.New(cfg, log)
	go reloadOnSignal(reload, path, n, log)
	return n.Run(ctx, ln)
}

// reloadOnSignal reloads the node's configuration for each signal. It does not
// return, as the channel is never closed.
func reloadOnSignal(signals <-chan os.Signal, path string, n *node.Node, log *slog.Logger) {
	for range signals {
		cfg, err := loadConfigRetrying(path, func() { time.Sleep(loadRetryInterval) })
		if err != nil {
			log.Error("configuration not reloaded, the previous one stays in force", "err", err)
			continue
		}
		n.Reload(cfg)
	}
}

// loadConfigRetrying loads the configuration at path, up to maxLoadAttempts times
// while that fails. It calls wait between two attempts.
func loadConfigRetrying(path string, wait func()) (node.Config, error) {
	cfg, err := node.LoadConfig(path)
	for attempt := 1; err != nil && attempt < maxLoadAttempts; attempt++ {
		wait()
		cfg, err = node.LoadConfig(path)
	}
	return cfg, err
}
