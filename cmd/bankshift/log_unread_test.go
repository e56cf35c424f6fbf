package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// smallPipeSize is the smallest capacity of a pipe in bytes: one page.
const smallPipeSize = 4096

// newSmallPipe returns a pipe with a capacity of smallPipeSize.
func newSmallPipe(t *testing.T) (read, write *os.File) {
	t.Helper()
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { read.Close(); write.Close() })
	if _, err := unix.FcntlInt(write.Fd(), unix.F_SETPIPE_SZ, smallPipeSize); err != nil {
		t.Fatal(err)
	}
	return read, write
}

// listWithMalformedEntries returns an endpoint list with one valid entry behind
// 1000 malformed ones. The node skips and logs each of these, which is more than
// logsink keeps for a log that is not read.
func listWithMalformedEntries(e *environment) string {
	malformed := strings.Repeat(`{"name":"","address":"127.0.0.1:1","status":"ready"},`, 1000)
	return strings.Replace(e.endpointList(1), `[{`, `[`+malformed+`{`, 1)
}

// TestLogIsNotRead guards against a program that blocks on writing its log when the
// log's pipe is full because its reader does not read: the program still has to get
// ready, serve, reload and exit in time. Once the pipe is read again, the log has to
// report how many lines were lost.
func TestLogIsNotRead(t *testing.T) {
	for name, readLater := range map[string]bool{"until the end": false, "for a while": true} {
		t.Run(name, func(t *testing.T) {
			env, moved := newEnvironment(t, 1), newEnvironment(t, 1)
			env.endpoints = listWithMalformedEntries(env)
			moved.endpoints = listWithMalformedEntries(moved)
			env.discoveryUp.Store(true)
			moved.discoveryUp.Store(true)
			listen := freeAddress(t)
			config := func(discovery string) string {
				return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","known":{},"settings":{"caps":{"max_attempts":3,"cancel":true},
					"classes":[{"name":"get","effect":"retryable","aim_ns":1000000000,"give_up_ns":1000000000,"importance":1}]}}`, listen, discovery)
			}
			cmd := newProgram(t, config(env.discovery))
			read, write := newSmallPipe(t)
			cmd.Stderr = write
			p := &process{address: listen, ended: make(chan struct{})}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			write.Close()
			t.Cleanup(func() { cmd.Process.Kill(); <-p.ended })
			var exit error
			go func() {
				defer close(p.ended)
				exit = cmd.Wait()
			}()

			if !p.awaitReady(t, 3*time.Second) {
				t.Fatal("the program is not ready within 3 s")
			}
			if failure := p.awaitServed(t, 2*time.Second); failure != "" {
				t.Errorf("no request was served within 2 s, last failure: %s", failure)
			}
			replaceFile(t, configPath(cmd), config(moved.discovery))
			mustSignal(t, cmd, syscall.SIGHUP)
			if !moved.awaitPoll(reloadDelay) {
				t.Errorf("the new discovery was not polled within %v after SIGHUP", reloadDelay)
			}
			if readLater {
				awaitLog(t, logLines(read), "log lines lost")
			}
			mustSignal(t, cmd, syscall.SIGTERM)
			select {
			case <-p.ended:
			case <-time.After(time.Second + killSlack): // the earliest SIGKILL after a longest deadline of 1 s
				t.Fatal("the program is still running at the earliest SIGKILL")
			}
			if exit != nil {
				t.Errorf("the program exits with %v, want status 0", exit)
			}
		})
	}
}

// TestExitsWhileLogPipeIsFull guards against a program that blocks for ever on
// writing its error: its configuration is invalid, and its log's pipe is full.
func TestExitsWhileLogPipeIsFull(t *testing.T) {
	cmd := newProgram(t, "no JSON")
	_, write := newSmallPipe(t)
	if _, err := write.Write(make([]byte, smallPipeSize)); err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the program exits with status 0, want another one for an invalid configuration")
		}
	case <-time.After(readyLimit):
		cmd.Process.Kill()
		t.Errorf("the program has not exited within %v", readyLimit)
	}
}

// awaitPoll waits until discovery has received a poll, up to the limit, and reports
// whether it has.
func (e *environment) awaitPoll(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if e.polls.Load() > 0 {
			return true
		}
	}
	return false
}
