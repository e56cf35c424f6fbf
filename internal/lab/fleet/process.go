package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"
)

const (
	// ReadyTimeout limits the wait for a node to become ready. Clients use a node
	// 30 s after its start whether or not it is ready.
	ReadyTimeout = 30 * time.Second

	// stopTimeout limits the wait after SIGTERM. It is the longest time before
	// the platform sends SIGKILL (3.7 s) plus 0.5 s for a busy machine.
	stopTimeout = 4200 * time.Millisecond

	readyInterval = time.Millisecond // between two readiness checks
	maxLogBytes   = 16 << 10         // how much of the end of a node's log is kept
)

// Process is an operating system process that runs one node.
type Process struct {
	Name    string
	Address string        // on which it serves clients
	Ready   time.Duration // time from its start to its first 200 at /health/ready

	cmd *exec.Cmd
	log logTail

	ended chan struct{}    // closed after the process has been waited for
	err   error            // of cmd.Wait; set before ended is closed
	state *os.ProcessState // set before ended is closed
}

// Start writes config to the file name.json in dir and starts the program at
// path with it. The process is killed when ctx ends or when the program that
// started it exits. maxProcs is its GOMAXPROCS; 0: the default.
func Start(ctx context.Context, path, dir, name, address string, config []byte, maxProcs int) (*Process, error) {
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, fmt.Errorf("fleet: configuration of %s: %w", name, err)
	}
	p := &Process{Name: name, Address: address, ended: make(chan struct{})}
	p.cmd = exec.CommandContext(ctx, path)
	p.cmd.Env = append(os.Environ(), "GW_NAME="+name, "GW_CONFIG="+file)
	if maxProcs > 0 {
		p.cmd.Env = append(p.cmd.Env, "GOMAXPROCS="+strconv.Itoa(maxProcs))
	}
	p.cmd.Stdout = &p.log
	p.cmd.Stderr = &p.log
	p.cmd.WaitDelay = time.Second
	// The kernel kills the node when the lab exits, even if the lab was killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", name, err)
	}
	go p.wait()
	return p, nil
}

// wait waits until the process exits, and then sets err and state and closes
// ended.
func (p *Process) wait() {
	p.err = p.cmd.Wait()
	p.state = p.cmd.ProcessState
	close(p.ended)
}

// AwaitReady waits until the node answers 200 at /health/ready, and sets Ready
// to the time since began. It fails if the process exits first, or after
// ReadyTimeout. Its error wraps that of ctx if ctx has ended, also if the process has
// exited because of that.
func (p *Process) AwaitReady(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		ready, err := p.isReady(ctx, client)
		if err != nil {
			return err
		}
		if ready {
			p.Ready = time.Since(began)
			return nil
		}
		select {
		case <-p.ended:
			return fmt.Errorf("fleet: %s ended before it was ready: %w\n%s", p.Name, errors.Join(p.err, ctx.Err()), p.Log())
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s is not ready: %w\n%s", p.Name, ctx.Err(), p.Log())
		case <-time.After(readyInterval):
		}
	}
}

// isReady requests /health/ready once. It returns false without an error for a
// node that does not answer.
func (p *Process) isReady(ctx context.Context, client *http.Client) (bool, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+"/health/ready", nil)
	if err != nil {
		return false, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return false, nil
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Alive reports whether the process is still running.
func (p *Process) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Log returns the end of the node's log.
func (p *Process) Log() string { return p.log.String() }

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.cmd.Process.Kill() // fails only if the process has exited
	<-p.ended
}

// Stop ends the process as a planned restart does: it sends SIGTERM, and SIGKILL
// after stopTimeout or when ctx ends. It returns an error if SIGKILL was needed or
// the exit status is not 0.
func (p *Process) Stop(ctx context.Context) error {
	p.cmd.Process.Signal(syscall.SIGTERM) // fails only if the process has exited
	t := time.NewTimer(stopTimeout)
	defer t.Stop()
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("fleet: %s: %w\n%s", p.Name, p.err, p.Log())
		}
		return nil
	case <-t.C:
		p.Kill()
		return fmt.Errorf("fleet: %s had not ended %v after SIGTERM", p.Name, stopTimeout)
	case <-ctx.Done():
		p.Kill()
		return ctx.Err()
	}
}

// logTail is a writer that keeps at least the last maxLogBytes written to it. It
// is safe for concurrent use.
type logTail struct {
	mu  sync.Mutex
	buf []byte
}

// Write appends b. It never fails.
func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, b...)
	if len(t.buf) > 2*maxLogBytes {
		t.buf = append(t.buf[:0], t.buf[len(t.buf)-maxLogBytes:]...)
	}
	return len(b), nil
}

// String returns the last maxLogBytes that were written.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf[max(0, len(t.buf)-maxLogBytes):])
}
