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

// smallPipeSize is the smallest size of a pipe.
const smallPipeSize = 4096

// newSmallPipe returns a pipe of the smallest size.
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

// listWithMalformedEntries returns an endpoint list with one endpoint and so
// many entries that are logged and skipped that their lines are more than is kept.
func listWithMalformedEntries(e *environment) string {
	malformed := strings.Repeat(`{"name":"","address":"127.0.0.1:1","status":"ready"},`, 1000)
	return strings.Replace(e.endpointList(1), `[{`, `[`+malformed+`{`, 1)
}

// TestLogIsNotRead: whoever holds the log's pipe does not read it, and it is full.
// The program gets ready, serves, reloads and ends in time. Once somebody reads
// again, the log says how many lines were lost.
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
				t.Fatal("not ready")
			}
			if failure := p.awaitServed(t, 2*time.Second); failure != "" {
				t.Errorf("not served: %s", failure)
			}
			replaceFile(t, configPath(cmd), config(moved.discovery))
			mustSignal(t, cmd, syscall.SIGHUP)
			if !moved.awaitPoll(reloadDelay) {
				t.Errorf("the new discovery is not asked within %v", reloadDelay)
			}
			if readLater {
				awaitLog(t, logLines(read), "log lines lost")
			}
			mustSignal(t, cmd, syscall.SIGTERM)
			select {
			case <-p.ended:
			case <-time.After(time.Second + killSlack): // the longest deadline and what the pages add
				t.Fatal("it has not ended when SIGKILL may come")
			}
			if exit != nil {
				t.Errorf("it ends with %v, want status 0", exit)
			}
		})
	}
}

// TestExitsWhileLogPipeIsFull: the program cannot start, and its log's pipe
// is full. It ends all the same.
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
			t.Error("it ends with status 0")
		}
	case <-time.After(readyLimit):
		cmd.Process.Kill()
		t.Error("it does not end")
	}
}

// awaitPoll waits until a discovery has been asked, up to the limit, and reports
// whether it has.
func (e *environment) awaitPoll(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if e.polls.Load() > 0 {
			return true
		}
	}
	return false
}
