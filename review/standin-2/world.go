package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// readyLimit is the time within which a node has to be ready.
const readyLimit = 30 * time.Second

// world is what surrounds the node: its folder, its process, discovery, the endpoints and
// the record.
type world struct {
	trouble   bool // play the disruption
	short     bool // the deadlines of the classes are short
	folder    string
	began     time.Time
	discovery *agent
	endpoints []*endpoint
	node      *node

	mu     sync.Mutex // guards what follows
	record *bufio.Writer
	file   *os.File
	number int // of the last request
	closed bool
}

// node is a process of the project's program.
type node struct {
	address string
	command *exec.Cmd
	log     *os.File
	ended   chan struct{} // closed when the process has ended
}

// newWorld opens the record and a temporary folder.
func newWorld(record string, trouble bool) (*world, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, folder: folder, began: time.Now(), file: file, record: bufio.NewWriter(file)}
	w.note("started", "trouble", trouble)
	return w, nil
}

// note writes a line to the record: the time in seconds since the start, and what
// happened.
func (w *world) note(what string, details ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	fmt.Fprintf(w.record, "%9.4f %s", time.Since(w.began).Seconds(), what)
	for _, detail := range details {
		fmt.Fprintf(w.record, " %v", detail)
	}
	fmt.Fprintln(w.record)
}

// summary writes a line to the record and to the standard output.
func (w *world) summary(format string, arguments ...any) {
	line := fmt.Sprintf(format, arguments...)
	w.note(line)
	fmt.Println(line)
}

// nextID returns the ID of a new request.
func (w *world) nextID() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.number++
	return fmt.Sprintf("%08x%08x", os.Getpid(), w.number)
}

// close ends all processes and servers, and closes the record. Further calls have no
// effect.
func (w *world) close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	w.record.Flush()
	w.file.Close()
	w.mu.Unlock()
	if w.node != nil {
		w.node.command.Process.Kill()
		<-w.node.ended
		w.node.log.Close()
	}
	if w.discovery != nil {
		w.discovery.listener.Close()
	}
	for _, e := range w.endpoints {
		e.listener.Close()
	}
	os.RemoveAll(w.folder)
}

// startEndpoints starts discovery and this many endpoints, which behave as behave says.
func (w *world) startEndpoints(count int, behave behaviour) error {
	zones := []string{"karlin", "vysocany", "liben"}
	for i := range count {
		e := &endpoint{world: w, behave: behave, entry: entry{
			Name: fmt.Sprintf("s-%08x", 0x5be2a07c+i), Zone: zones[i%len(zones)], Type: "new-2c", Group: i % len(zones), Status: "ready", Weight: 1,
		}}
		if err := e.start(); err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, e)
	}
	w.discovery = &agent{world: w, index: 1, changed: make(chan struct{})}
	return w.discovery.start()
}

// startNode starts the node with the run command of the deploy file, and waits until it is
// ready.
func (w *world) startNode(memoryMB, sockets int) error {
	run, err := runCommand()
	if err != nil {
		return err
	}
	address, err := freeAddress()
	if err != nil {
		return err
	}
	config := filepath.Join(w.folder, "config.json")
	if err := os.WriteFile(config, w.configuration(address, memoryMB, sockets), 0o644); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(w.folder, "node.log"))
	if err != nil {
		return err
	}
	command := exec.Command("/bin/sh", "-c", run)
	command.Env = append(os.Environ(), "GW_NAME=n0", "GW_LISTEN="+address, "GW_DISCOVERY="+w.discovery.address(), "GW_CONFIG="+config, "TMPDIR="+w.folder)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	n := &node{address: address, command: command, log: log, ended: make(chan struct{})}
	w.node = n
	go func() {
		command.Wait()
		close(n.ended)
	}()
	return n.awaitReady()
}

// runCommand returns the run command of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, `run = "`); ok {
			command, _, _ := strings.Cut(rest, `"`)
			return command, nil
		}
	}
	return "", errors.New("the deploy file has no run command")
}

func freeAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// awaitReady waits until the node answers its readiness check with 200.
func (n *node) awaitReady() error {
	for began := time.Now(); time.Since(began) < readyLimit; time.Sleep(20 * time.Millisecond) {
		select {
		case <-n.ended:
			return errors.New("the node has ended at its start")
		default:
		}
		if n.isReady() {
			return nil
		}
	}
	return fmt.Errorf("the node is not ready after %v", readyLimit)
}

func (n *node) isReady() bool {
	c, err := net.Dial("tcp", n.address)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Second))
	io.WriteString(c, "GET /health/ready HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.Contains(line, " 200 ")
}

// hasEnded reports whether the node's process has ended.
func (n *node) hasEnded() bool {
	select {
	case <-n.ended:
		return true
	default:
		return false
	}
}

type object = map[string]any

// Times of the settings.
const (
	longestDeadline = 1500 * time.Millisecond
	drainGrace      = time.Second

	// shortDeadlineFraction is the part of the usual deadlines that holds where they are short.
	shortDeadlineFraction = 3
)

// configuration returns the node's configuration. Its settings are those of a small
// deployment: the classes, times and limits of the brief's fleet.
func (w *world) configuration(listen string, memoryMB, sockets int) []byte {
	ms := func(n int) int64 { return int64(n) * int64(time.Millisecond) }
	class := func(name, effect, scope string, aim, giveUp, window int, importance float64) object {
		if w.short {
			aim, giveUp = aim/shortDeadlineFraction, giveUp/shortDeadlineFraction
		}
		return object{"name": name, "effect": effect, "key_scope": scope, "aim_ns": ms(aim), "give_up_ns": ms(giveUp),
			"dedup_window_ns": ms(window), "importance": importance, "late_worth": 0.5, "streamed": false}
	}
	settings := object{
		"balancers": 1, "slot_no": 0, "tick_ns": ms(5), "tier": 0, "tiers": []string{"form-web"}, "family": "proxy",
		"zone": "karlin", "failure_domains": []string{"karlin", "vysocany", "liben"}, "kinds": []string{"new-2c"},
		"membership_mode": "pushed", "weight_kind": "none", "worth_by": "work", "over_share_worth": 0.1, "accounts": []any{},
		"report": object{"how": "none", "fields": []any{}}, "client_habits": object{"marks_retry": false}, "specifics": object{"warm_keys": true},
		"caps": object{"cancel": true, "may_duplicate": true, "max_attempts": 3, "connect_timeout_ns": ms(150), "conn_idle_ns": ms(60000),
			"multiplex": 1, "most_held": 20000, "retry_after": true, "max_retry_after_ns": ms(1500), "cpu_us_per_s": 8000, "probes": false, "peers": false},
		"invariants": object{"answer_slack_ns": ms(20), "ask_within_ns": ms(10000), "drain_grace_ns": int64(drainGrace),
			"cold_from": 0.12, "cold_ns": ms(23000), "overload_factor": 4.0, "tip_after_ns": ms(1000)},
		"classes": []object{
			class("save-page", "retryable", "all", 400, 1000, 5000, 5),
			class("order-paper", "fragile", "all", 600, 1200, 5000, 2),
			class("submit-form", "dedup", "cell", 300, int(longestDeadline.Milliseconds()), 7500, 3),
		},
	}
	text, err := json.Marshal(object{
		"name": "n0", "listen": listen, "discovery": w.discovery.address(), "seed": "8c1f30d27a5be964",
		"limits": object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets}, "known": w.discovery.list(0), "settings": settings,
	})
	if err != nil {
		panic(err) // the object holds only values that JSON has
	}
	return text
}
