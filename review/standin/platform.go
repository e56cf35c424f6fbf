package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// limits are a node's limits, as its configuration states them.
type limits struct {
	memoryMB int
	sockets  int
}

// nodeProcess is a process of the project, started with the command of the deploy file.
type nodeProcess struct {
	address string
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	folder  string
}

// settings is the settings object of a small deployment: that of the wire's page.
const settings = `{"accounts":[],"balancers":1,
 "caps":{"cancel":true,"conn_idle_ns":60000000000,"connect_timeout_ns":150000000,"cpu_us_per_request":0.0,"cpu_us_per_s":8000,"max_attempts":3,"max_retry_after_ns":1500000000,"may_duplicate":true,"most_held":20000,"multiplex":1,"peers":false,"probes":false,"retry_after":true},
 "charges":{"connection":0.0,"cross_zone":0.03,"handshake":0.035,"late_fail":0.039,"membership_mode":0.0,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.059},
 "classes":[{"aim_ns":400000000,"dedup_window_ns":5000000000,"effect":"retryable","give_up_ns":1000000000,"importance":5.0,"key_scope":"all","late_worth":0.5,"name":"save-page","streamed":false},
  {"aim_ns":600000000,"dedup_window_ns":5000000000,"effect":"fragile","give_up_ns":1200000000,"importance":2.0,"key_scope":"all","late_worth":0.5,"name":"order-paper","streamed":false},
  {"aim_ns":300000000,"dedup_window_ns":7500000000,"effect":"dedup","give_up_ns":1500000000,"importance":3.0,"key_scope":"cell","late_worth":0.3,"name":"submit-form","streamed":false}],
 "client_habits":{"marks_retry":false},"failure_domains":["karlin","vysocany","liben"],"family":"proxy",
 "goal":{"whole":0.55,"worst_class":0.3,"worst_tenant":0.0,"worst_window":0.15},
 "invariants":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.12,"cold_ns":23000000000,"drain_grace_ns":1000000000,"overload_factor":4.0,"tip_after_ns":1000000000},
 "kinds":["new-2c","old-2c","old-1c"],"membership_mode":"pushed","over_share_worth":0.1,"report":{"fields":[],"how":"none"},
 "slot_no":0,"specifics":{"warm_keys":true},"tick_ns":5000000,"tier":0,"tiers":["form-web"],"weight_kind":"none","worth_by":"work","zone":"vysocany"}`

// runCommand returns the value of "run" in the deploy file.
func runCommand(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		key, value, ok := strings.Cut(line, "=")
		if !ok || strings.TrimSpace(key) != "run" {
			continue
		}
		quoted, err := strconv.QuotedPrefix(strings.TrimSpace(value))
		if err != nil {
			return "", err
		}
		return strconv.Unquote(quoted)
	}
	return "", errors.New("the deploy file has no run command")
}

// freeAddress returns a loopback address on which nothing listens. Its IP address is a
// random one, so that no connection of the case takes the port before the node does.
func freeAddress() (string, error) {
	ip := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	listener, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// startNode starts a node as the platform does: with /bin/sh -c from the root, the
// limit of descriptors set, and its log in a file of a temporary folder.
func startNode(root string, lim limits, d *agent) (*nodeProcess, error) {
	command, err := runCommand(root)
	if err != nil {
		return nil, err
	}
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"%016x","limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},"known":%s,"settings":%s}`,
		address, d.listener.Addr().String(), time.Now().UnixNano(), lim.memoryMB, lim.sockets, d.list, settings)
	path := filepath.Join(folder, "config.json")
	if err := os.WriteFile(path, []byte(config), 0o644); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(folder, "log.txt"))
	if err != nil {
		return nil, err
	}
	defer log.Close()
	n := &nodeProcess{address: address, folder: folder, ended: make(chan struct{})}
	n.process = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d; %s", lim.sockets, command))
	n.process.Dir = root
	n.process.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+address,
		"GW_DISCOVERY="+d.listener.Addr().String(), "GW_CONFIG="+path, "TMPDIR="+folder)
	n.process.Stdout, n.process.Stderr = log, log
	n.process.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	if err := n.process.Start(); err != nil {
		return nil, err
	}
	endAtExit(n)
	go func() {
		n.process.Wait()
		close(n.ended)
	}()
	return n, n.awaitReady()
}

// awaitReady waits until the node reports that it is ready.
func (n *nodeProcess) awaitReady() error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for range 300 {
		resp, err := client.Get("http://" + n.address + "/health/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the node did not become ready")
}

// health asks whether the node is ready, and returns the answer's status or the error.
func (n *nodeProcess) health(wait time.Duration) string {
	client := http.Client{Timeout: wait, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.address + "/health/ready")
	if err != nil {
		return err.Error()
	}
	resp.Body.Close()
	return resp.Status
}

// started holds the nodes that were started, so that none outlives the case.
var started struct {
	sync.Mutex
	nodes []*nodeProcess
}

func endAtExit(n *nodeProcess) {
	started.Lock()
	defer started.Unlock()
	started.nodes = append(started.nodes, n)
}

// endStarted ends all nodes that were started and removes their folders. One that has
// ended is not signalled again.
func endStarted() {
	started.Lock()
	defer started.Unlock()
	for _, n := range started.nodes {
		n.stop()
	}
}

// isRunning reports whether the process has not ended yet.
func (n *nodeProcess) isRunning() bool {
	select {
	case <-n.ended:
		return false
	default:
		return true
	}
}

// stop ends the process and removes its folder.
func (n *nodeProcess) stop() {
	n.process.Process.Kill()
	<-n.ended
	os.RemoveAll(n.folder)
}

// residentMB returns the resident memory of the process in MB: all of it, and the
// anonymous part alone. Both are 0 if the process has ended.
func (n *nodeProcess) residentMB() (all, anonymous float64) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.Process.Pid))
	if err != nil {
		return 0, 0
	}
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 2 {
			continue
		}
		kilobytes, _ := strconv.ParseFloat(fields[1], 64)
		switch fields[0] {
		case "VmRSS:":
			all = kilobytes / 1024
		case "RssAnon:":
			anonymous = kilobytes / 1024
		}
	}
	return all, anonymous
}
