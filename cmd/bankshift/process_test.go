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
	testTimeout = 60 * time.Second // limit of each wait of a test; a passing test takes far less
	readyLimit  = 6 * time.Second  // a restarted process has to be ready in 10 s, or 6 s where a scenario ends sooner
)

// runAsProgram is the environment variable that, set to 1, makes the test binary
// run the program instead of the tests.
const runAsProgram = "BANKSHIFT_AS_PROGRAM"

// TestMain runs the program if runAsProgram is set, and the tests otherwise.
func TestMain(m *testing.M) {
	if os.Getenv(runAsProgram) == "1" {
		main()
		return
	}
	os.Exit(m.Run())
}

// newProgram writes config to a file and returns a command that runs the program
// with it. The command is not started.
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

// configPath returns the path of the configuration file of a command that
// newProgram has returned.
func configPath(cmd *exec.Cmd) string {
	return strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
}

// process is a running or ended process of the program under test.
type process struct {
	address   string // of the listener for clients
	startedAt time.Time
	ended     chan struct{}    // closed when the process has ended
	log       *strings.Builder // may be read only after ended is closed
}

// startProcess starts the program and waits until it listens. If sockets is above
// 0, it limits the process's file descriptors, in the configuration and by ulimit.
// If another process has taken the address meanwhile, startProcess tries again with
// another address, up to five times in all.
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
	t.Fatal("the program has not started in 5 attempts: each address was taken by another process")
	return nil
}

// withDescriptorLimit returns a command that runs the program of cmd with a limit
// on its file descriptors.
func withDescriptorLimit(cmd *exec.Cmd, descriptors int) *exec.Cmd {
	limited := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", descriptors, cmd.Path))
	limited.Env = cmd.Env
	return limited
}

// run starts a command, collects its log, and kills the process at the end of the
// test. A failed test prints the log.
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
			t.Logf("log of the program:\n%s", p.log)
		}
	})
}

// awaitListening waits until the program accepts connections, for testTimeout at
// most. It returns false if the program has exited because its address was taken.
func (p *process) awaitListening(t *testing.T) bool {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case <-p.ended:
			if strings.Contains(p.log.String(), "address already in use") {
				return false
			}
			t.Fatal("the program exited before it listened")
		default:
		}
		if c, err := net.Dial("tcp", p.address); err == nil {
			c.Close()
			return true
		}
	}
	return true
}

// isReady sends one request to /health/ready and reports whether it is answered
// with 200.
func isReady(client *http.Client, address string) bool {
	resp, err := client.Get("http://" + address + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the program is ready, up to the limit, and reports
// whether it is. It fails the test if the program exits.
func (p *process) awaitReady(t *testing.T, limit time.Duration) bool {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for began := time.Now(); time.Since(began) < limit; time.Sleep(5 * time.Millisecond) {
		select {
		case <-p.ended:
			t.Fatal("the program exited before it was ready")
		default:
		}
		if isReady(client, p.address) {
			return true
		}
	}
	return false
}

var requestCount atomic.Int32 // makes request IDs unique

// awaitServed sends requests until the backend answers one, up to the limit. It
// returns an empty string then, or else the error or status of the last request.
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
