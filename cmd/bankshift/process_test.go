package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

const (
	testTimeout = 60 * time.Second // limit for what a test waits for; a passing one takes far less
	readyLimit  = 6 * time.Second  // for a restarted process to be ready: 10 s, or 6 s where the day ends sooner
)

// runAsProgram is the environment variable with which the test binary runs the
// program itself.
const runAsProgram = "BANKSHIFT_AS_PROGRAM"

// TestMain runs the program where a test has started the test binary for it.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// newProgram returns a command that runs the program with a configuration. It is
// not started.
func newProgram(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), runAsProgram+"=1", "GW_CONFIG="+path)
	return cmd
}

// configPath returns the path of a program's configuration file.
func configPath(cmd *exec.Cmd) string {
	return strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
}

// process is a program under test that has been started.
type process struct {
	address   string // for clients
	startedAt time.Time
	ended     chan struct{}    // closed when it has ended
	log       *strings.Builder // to be read after the end
}

// startProcess starts the program and waits until it listens. With sockets over 0
// that is its limit of descriptors, by its configuration and by the system. Where
// another process has taken the address meanwhile, it starts the program again.
func startProcess(t *testing.T, discovery, known, mode string, sockets int) *process {
	t.Helper()
	for range 5 {
		p := &process{address: freeAddress(t), ended: make(chan struct{}), log: &strings.Builder{}}
		config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"sockets":%d},"known":%s,
			"settings":{"balancers":1,"membership_mode":%q,"caps":{"connect_timeout_ns":500000000,"max_attempts":3,"cancel":true},
			"invariants":{"drain_grace_ns":1000000000,"ask_within_ns":10000000000},
			"classes":[{"name":"get","effect":"retryable","aim_ns":2000000000,"deadline_ns":4000000000}]}}`,
			p.address, discovery, sockets, known, mode)
		cmd := newProgram(t, config)
		if sockets > 0 {
			cmd = withDescriptorLimit(cmd, sockets)
		}
		p.run(t, cmd)
		if p.awaitListening(t) {
			return p
		}
	}
	t.Fatal("the program does not start")
	return nil
}

// withDescriptorLimit returns a command that runs the same program with a limit of
// descriptors.
func withDescriptorLimit(cmd *exec.Cmd, descriptors int) *exec.Cmd {
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", descriptors, cmd.Path))
	limited.Env = cmd.Env
	return limited
}

// run starts a command, collects its log, and kills it at the test's end.
func (p *process) run(t *testing.T, cmd *exec.Cmd) {
	t.Helper()
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	p.startedAt = time.Now()
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.ended)
		for lines := bufio.NewScanner(stderr); lines.Scan(); {
			fmt.Fprintln(p.log, lines.Text())
		}
		cmd.Wait()
	}()
	t.Cleanup(func() {
		cmd.Process.Kill()
		<-p.ended
		if t.Failed() {
			t.Logf("the program's log is\n%s", p.log)
		}
	})
}

// awaitListening waits until the program accepts connections. It returns false if
// the program has ended because its address was taken.
func (p *process) awaitListening(t *testing.T) bool {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case <-p.ended:
			if strings.Contains(p.log.String(), "address already in use") {
				return false
			}
			t.Fatal("the program ends")
		default:
		}
		if c, err := net.Dial("tcp", p.address); err == nil {
			c.Close()
			return true
		}
	}
	return true
}

// isReady asks the program once whether it is ready.
func isReady(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the program is ready, up to the limit, and reports
// whether it is.
func (p *process) awaitReady(t *testing.T, limit time.Duration) bool {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.ended:
			t.Fatal("the program has ended")
		default:
		}
		if isReady(client, p.address) {
			return true
		}
	}
	return false
}

var requestCount atomic.Int32 // for the IDs of requests

// awaitServed sends requests until one is answered by the backend, up to the
// limit. It returns an empty string, or else what came of the last one.
func (p *process) awaitServed(t *testing.T, limit time.Duration) (lastFailure string) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req, err := http.NewRequest("GET", "http://"+p.address+"/api/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", fmt.Sprint("q-", requestCount.Add(1)))
		req.Header.Set("X-Class", "get")
		req.Header.Set("X-Deadline", "4")
		resp, err := client.Do(req)
		if err != nil {
			lastFailure = err.Error()
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK && string(body) == "hi" {
			return ""
		}
		lastFailure = resp.Status
	}
	return lastFailure
}
