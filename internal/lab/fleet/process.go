package fleet

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// ReadyTime bounds the wait for a node to be ready. Clients come after 30 s
	// whether or not it is.
	ReadyTimeout = 30 * time.Second
	// endTime bounds the wait after SIGTERM: the longest that the platform
	// leaves a node before SIGKILL, and half a second for a busy machine.
	stopTimeout   = 4200 * time.Millisecond
	readyInterval = time.Millisecond // between looks at whether a node is ready
	maxLogBytes   = 16 << 10         // bytes of a node's log, its last, that are kept
)

// Process is one real node.
type Process struct {
	Name    string
	Address string        // where it takes clients
	Ready   time.Duration // from its start to its first 200 at /health/ready

	cmd   *exec.Cmd
	log   logTail
	ended chan struct{} // closed once it has been waited for
	err   error         // of Wait, once ended
	usage *os.ProcessState
}

// Start starts the program at path with a configuration, which is written to a
// file in dir. The process is killed as ctx ends, and with the program that
// started it. Its runtime gets the given number of threads (GOMAXPROCS); 0:
// as many as it likes.
func Start(ctx context.Context, path, dir, name, address string, config []byte, threads int) (*Process, error) {
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, fmt.Errorf("fleet: configuration of %s: %w", name, err)
	}
	p := &Process{Name: name, Address: address, ended: make(chan struct{})}
	p.cmd = exec.CommandContext(ctx, path)
	p.cmd.Env = append(os.Environ(), "GW_NAME="+name, "GW_CONFIG="+file)
	if threads > 0 {
		p.cmd.Env = append(p.cmd.Env, "GOMAXPROCS="+strconv.Itoa(threads))
	}
	p.cmd.Stdout, p.cmd.Stderr = &p.log, &p.log
	p.cmd.WaitDelay = time.Second
	// A node must not outlive the lab, however that ends.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, fmt.Errorf("fleet: %s: %w", name, err)
	}
	go func() {
		p.err = p.cmd.Wait()
		p.usage = p.cmd.ProcessState
		close(p.ended)
	}()
	return p, nil
}

// AwaitReady waits until the node has answered 200 at /health/ready.
func (p *Process) AwaitReady(ctx context.Context, began time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, ReadyTimeout)
	defer cancel()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.Address+"/health/ready", nil)
		if err != nil {
			return err
		}
		if resp, err := client.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.Ready = time.Since(began)
				return nil
			}
		}
		select {
		case <-p.ended:
			return fmt.Errorf("fleet: %s ended before it was ready: %w\n%s", p.Name, errors.Join(p.err), p.log.String())
		case <-ctx.Done():
			return fmt.Errorf("fleet: %s is not ready: %w\n%s", p.Name, ctx.Err(), p.log.String())
		case <-time.After(readyInterval):
		}
	}
}

// Pid is the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s os.Signal) error { return p.cmd.Process.Signal(s) }

// Alive tells whether the process has not ended yet.
func (p *Process) Alive() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Log is the end of what the node has logged.
func (p *Process) Log() string { return p.log.String() }

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.cmd.Process.Kill() // fails only on one that has ended
	<-p.ended
}

// Stop ends the process as a planned restart does, with SIGTERM, and with
// SIGKILL where that does not do; the error says so, or how else it failed.
func (p *Process) Stop(ctx context.Context) error {
	p.cmd.Process.Signal(syscall.SIGTERM) // fails only on one that has ended
	t := time.NewTimer(stopTimeout)
	defer t.Stop()
	select {
	case <-p.ended:
		if p.err != nil {
			return fmt.Errorf("fleet: %s: %w\n%s", p.Name, p.err, p.log.String())
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

// Use is what a process has taken of the machine.
type Usage struct {
	CPU    time.Duration // user and system time, of all its threads
	Memory int64         // bytes, the peak of what was resident (VmHWM)
}

// Use reads what the process has taken so far; after its end, all of it.
func (p *Process) Usage() (Usage, error) {
	if !p.Alive() {
		u := Usage{CPU: p.usage.UserTime() + p.usage.SystemTime()}
		if r, ok := p.usage.SysUsage().(*syscall.Rusage); ok {
			u.Memory = r.Maxrss << 10
		}
		return u, nil
	}
	return usageOf(p.Pid())
}

// ticks is the unit of times in /proc/PID/stat (proc_pid_stat(5)): USER_HZ,
// which Linux keeps at 100 a second on all machines that Go runs on.
const userHZ = 10 * time.Millisecond

// useOf reads /proc. Where the system has it, the time comes from
// /proc/PID/task/*/schedstat, in nanoseconds: a hundredth of a second is
// much of what an idle node takes in some seconds.
func usageOf(pid int) (Usage, error) {
	dir := "/proc/" + strconv.Itoa(pid)
	status, err := os.ReadFile(dir + "/status")
	if err != nil {
		return Usage{}, fmt.Errorf("fleet: %w", err)
	}
	var u Usage
	for line := range strings.SplitSeq(string(status), "\n") {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(kb, "kB")), 10, 64)
			if err != nil {
				return Usage{}, fmt.Errorf("fleet: %s/status: %w", dir, err)
			}
			u.Memory = n << 10
		}
	}
	stat, err := os.ReadFile(dir + "/stat")
	if err != nil {
		return Usage{}, fmt.Errorf("fleet: %w", err)
	}
	if u.CPU, err = cpuOf(stat); err != nil {
		return Usage{}, fmt.Errorf("fleet: %s/stat: %w", dir, err)
	}
	if fine, ok := schedTimeOf(dir); ok {
		u.CPU = fine
	}
	return u, nil
}

// cpuOf reads utime and stime, the 14th and 15th fields. The 2nd, the
// command's name in brackets, may hold anything.
func cpuOf(stat []byte) (time.Duration, error) {
	i := bytes.LastIndexByte(stat, ')')
	fields := strings.Fields(string(stat[i+1:]))
	if i < 0 || len(fields) < 13 {
		return 0, errors.New("is not of the known form")
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64)
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * userHZ, errors.Join(err1, err2)
}

// schedOf sums the threads' time on a processor. A thread that has ended is
// missing in it, but those of Go's runtime stay.
func schedTimeOf(dir string) (time.Duration, bool) {
	files, _ := filepath.Glob(dir + "/task/*/schedstat")
	var sum time.Duration
	for _, f := range files {
		raw, err := os.ReadFile(f)
		if err != nil {
			return 0, false
		}
		first, _, _ := strings.Cut(string(raw), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, false
		}
		sum += time.Duration(ns)
	}
	return sum, sum > 0
}

// ports are given out once each.
var ports atomic.Int32

const (
	firstPort = 10_000
	portCount = 20_000 // below the system's own ports for outgoing connections
)

// FreeAddresses gives n loopback addresses on which nobody listens. They are
// of a host of this process's own, so that neither another run nor an outgoing
// connection takes one while a node is away.
func FreeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 64+pid/254%127, 1+pid%254)
	var out []string
	for tries := 0; len(out) < n; tries++ {
		a := net.JoinHostPort(host, strconv.Itoa(firstPort+int(ports.Add(1))%portCount))
		ln, err := net.Listen("tcp", a)
		if err != nil {
			if tries > n+100 {
				return nil, fmt.Errorf("fleet: no free address: %w", err)
			}
			continue
		}
		ln.Close()
		out = append(out, a)
	}
	return out, nil
}

// tail keeps the end of what is written to it.
type logTail struct {
	mu  sync.Mutex
	buf []byte
}

func (t *logTail) Write(b []byte) (int, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.buf = append(t.buf, b...)
	if len(t.buf) > 2*maxLogBytes {
		t.buf = append(t.buf[:0], t.buf[len(t.buf)-maxLogBytes:]...)
	}
	return len(b), nil
}

func (t *logTail) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return string(t.buf[max(0, len(t.buf)-maxLogBytes):])
}
