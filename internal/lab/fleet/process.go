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
	// ReadyTimeout bounds the wait for a node to be ready. Clients come after
	// 30 s whether or not it is.
	ReadyTimeout = 30 * time.Second

	// stopTimeout bounds the wait after SIGTERM: the longest time that the
	// platform leaves a node before SIGKILL, and half a second for a busy
	// machine.
	stopTimeout = 4200 * time.Millisecond

	readyInterval = time.Millisecond // between checks whether a node is ready
	maxLogBytes   = 16 << 10         // kept of a node's log, its end
)

// Process is one real node.
type Process struct {
	Name    string
	Address string        // for clients
	Ready   time.Duration // from its start to its first 200 at /health/ready

	cmd *exec.Cmd
	log logTail

	ended chan struct{} // closed after the process has been waited for
	err   error         // of Wait; valid after ended
	state *os.ProcessState
}

// Start starts the program at path with a configuration, which it writes to a
// file in dir. The process is killed when ctx ends, and with the program that
// started it. threads is its GOMAXPROCS; 0: the default.
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
	// A node must not outlive the lab, however that ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", name, err)
	}
	go p.wait()
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	p.state = p.cmd.ProcessState
	close(p.ended)
}

// AwaitReady waits until the node answers 200 at /health/ready, and sets Ready
// to the time since began.
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
			return fmt.Errorf("fleet: %s ended before it was ready: %w\n%s", p.Name, errors.Join(p.err), p.Log())
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s is not ready: %w\n%s", p.Name, ctx.Err(), p.Log())
		case <-time.After(readyInterval):
		}
	}
}

// isReady requests /health/ready once. A node that does not answer is not
// ready.
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

// Pid is the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Alive reports whether the process has not ended yet.
func (p *Process) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Log is the end of the node's log.
func (p *Process) Log() string { return p.log.String() }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill() // fails only if it has ended
	<-p.ended
}

// Stop ends the process as a planned restart does, with SIGTERM, and with
// SIGKILL after stopTimeout, which is an error, as is an exit status other than
// 0.
func (p *Process) Stop(ctx context.Context) error {
	p.cmd.Process.Signal(syscall.SIGTERM) // fails only if it has ended
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

// logTail keeps the end of what is written to it. It is safe for concurrent
// use.
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

// String is the last maxLogBytes that were written.
func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf[max(0, len(t.buf)-maxLogBytes):])
}
