package main

import (
	"fmt"
	"os"
	"syscall"
	"testing"
	"time"
)

// TestLogIsNotReadAnyMore: whoever reads the log has gone. The program goes on.
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
		t.Fatal("not ready")
	}
	if err := os.Remove(configPath(cmd)); err != nil {
		t.Fatal(err)
	}
	for range 3 { // each is logged, as the file cannot be read
		mustSignal(t, cmd, syscall.SIGHUP)
		for range 15 {
			if !p.awaitReady(t, readyLimit) { // fails if the program has ended
				t.Fatal("not ready any more")
			}
			time.Sleep(50 * time.Millisecond) // it tries to read the file for 0.45 s
		}
	}
}
