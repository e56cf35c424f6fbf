package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// TestSignalsInARow: SIGHUPs one right behind the other take up the last
// configuration, and a file that is missing costs nothing. Once the node has
// been told to end, no further signal ends it sooner or otherwise.
func TestSignalsInARow(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	listen := ln.Addr().String()
	ln.Close()
	config := func(discovery int) string {
		return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":"127.0.0.1:%d","seed":"1f","settings":{},
			"known":{"index":1,"endpoints":[{"name":"s","address":"127.0.0.1:1","status":"ready"}]}}`, listen, discovery)
	}
	cmd := program(t, config(1))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	defer time.AfterFunc(time.Minute, func() { cmd.Process.Kill() }).Stop()
	said := bufio.NewScanner(stderr)
	hear := func(what string) {
		t.Helper()
		for said.Scan() {
			if strings.Contains(said.Text(), what) {
				return
			}
		}
		t.Fatalf("the program ends and has not said %q", what)
	}
	send := func(signals ...os.Signal) {
		t.Helper()
		for _, s := range signals {
			if err := cmd.Process.Signal(s); err != nil {
				t.Fatal(err)
			}
		}
	}
	ready := func() bool {
		resp, err := http.Get("http://" + listen + "/health/ready")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	}
	hear("discovery failed") // it runs
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	send(syscall.SIGHUP)
	hear("not reloaded")
	for i := 2; i <= 20; i++ {
		// Renamed into place, as a file that is half written waits to be read again.
		if err := os.WriteFile(path+".new", []byte(config(i)), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
		send(syscall.SIGHUP)
	}
	hear("address=127.0.0.1:20")
	if !ready() {
		t.Error("not ready after the reloads")
	}
	began := time.Now()
	send(syscall.SIGTERM)
	for until := began.Add(30 * time.Second); ready() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	send(syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT)
	if err := cmd.Wait(); err != nil {
		t.Errorf("it ends with %v, want status 0", err)
	}
	if took := time.Since(began); took < 300*time.Millisecond {
		t.Errorf("it ends after %v, while new connections still come", took)
	}
}
