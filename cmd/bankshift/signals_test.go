package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"
)

// mustSignal sends a signal to a program, and ends the test if that fails.
func mustSignal(t *testing.T, cmd *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Fatal(err)
	}
}

// TestSignalsInARow guards against signals that follow each other closely: of
// several SIGHUPs the last configuration has to take effect, and one that finds no
// file must not end the program. After SIGTERM, further signals must neither shorten
// the shutdown nor change the exit status.
func TestSignalsInARow(t *testing.T) {
	listen := freeAddress(t)
	config := func(discoveryPort int) string {
		return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:%d","seed":"1f","settings":{},
			"known":{"index":1,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"ready"}]}}`, listen, discoveryPort)
	}
	cmd := newProgram(t, config(1))
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	defer time.AfterFunc(time.Minute, func() { cmd.Process.Kill() }).Stop()
	lines := bufio.NewScanner(stderr)
	awaitLine := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the program exited without logging %q", text)
	}
	awaitLine("discovery failed") // the program is running
	if err := os.Remove(configPath(cmd)); err != nil {
		t.Fatal(err)
	}
	mustSignal(t, cmd, syscall.SIGHUP)
	awaitLine("not reloaded")
	for port := 2; port <= 20; port++ {
		replaceFile(t, configPath(cmd), config(port)) // atomic: a half-written file would be read again after a wait
		mustSignal(t, cmd, syscall.SIGHUP)
	}
	awaitLine("address=127.0.0.1:20")
	if !isReady(http.DefaultClient, listen) {
		t.Error("the program is not ready after the reloads")
	}
	began := time.Now()
	mustSignal(t, cmd, syscall.SIGTERM)
	for until := began.Add(30 * time.Second); isReady(http.DefaultClient, listen) && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	for _, signal := range []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT} {
		mustSignal(t, cmd, signal)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the program exits with %v, want status 0", err)
	}
	if took := time.Since(began); took < 300*time.Millisecond {
		t.Errorf("the program exits %v after SIGTERM, want at least 300ms, as new connections still arrive", took)
	}
}
