package main

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestLogIsNotReadAnyMore guards against SIGPIPE ending the program when it logs
// after the reader of its log has closed the pipe.
func TestLogIsNotReadAnyMore(t *testing.T) {
	env := newEnvironment(t, 1)
	env.discoveryUp.Store(true)
	listen := freeAddress(t)
	cmd := newProgram(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":{},"known":%s}`, listen, env.discovery, env.endpoints))
	read, write, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stderr = write
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	write.Close()
	read.Close()
	p := &process{address: listen, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	if !p.awaitReady(t, readyLimit) {
		t.Fatal("the program is not ready")
	}
	if err := os.Remove(configPath(cmd)); err != nil {
		t.Fatal(err)
	}
	for range 3 { // each reload fails and is logged, as the file is missing
		mustSignal(t, cmd, syscall.SIGHUP)
		for range 15 {
			if !p.awaitReady(t, readyLimit) { // fails the test if the program has exited
				t.Fatal("the program is not ready any more after SIGHUP")
			}
			time.Sleep(50 * time.Millisecond) // the program retries the load for 0.45 s before it logs the failure
		}
	}
}
