package main

import (
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestLogIsNotReadAnyMore: whoever reads the log has gone. That is no reason to end.
func TestLogIsNotReadAnyMore(t *testing.T) {
	st := newStand(t, 1)
	st.answers.Store(true)
	listen := freeAddress(t)
	cmd := program(t, fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","settings":{},"known":%s}`, listen, st.discovery, st.whole))
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
	p := &started{address: listen, ended: make(chan struct{})}
	go func() {
		cmd.Wait()
		close(p.ended)
	}()
	if !p.ready(t, readyTime) {
		t.Fatal("not ready")
	}
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	for range 3 { // each is logged, as the file can't be read
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		for range 15 {
			if !p.ready(t, readyTime) { // fails where the program has ended
				t.Fatal("not ready any more")
			}
			time.Sleep(50 * time.Millisecond) // it reads the file for 0.45 s
		}
	}
}
