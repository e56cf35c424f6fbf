package main

import (
	"net"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"
)

// pauseNode repeatedly pauses the node process by SIGSTOP, every 100 to 500 ms for
// 10 ms less than maxNodePause, until the run is over.
func (s *soakRun) pauseNode(cmd *exec.Cmd) {
	for over := false; !over; {
		time.Sleep(time.Duration(100+s.draw(400)) * time.Millisecond)
		cmd.Process.Signal(syscall.SIGSTOP) // fails only once the process has exited
		time.Sleep(maxNodePause - 10*time.Millisecond)
		cmd.Process.Signal(syscall.SIGCONT)
		s.locked(func() { over = s.over })
	}
}

// injectEvents brings about the events of a run in order: reloads with a new address
// of discovery, a silent discovery, the drain of a backend, a burst of connections,
// SIGTERM and further signals.
func (s *soakRun) injectEvents(t *testing.T, cmd *exec.Cmd, listen string) {
	t.Helper()
	time.Sleep(time.Second + s.drawMilliseconds(500))
	for range s.draw(3) {
		s.moveDiscovery(t, cmd, listen)
		time.Sleep(s.drawMilliseconds(300))
	}
	if s.silentDiscovery {
		s.locked(func() { s.discoveryBackAt = time.Now().Add(time.Duration(300+s.rng.Intn(1200)) * time.Millisecond) })
		time.Sleep(s.drawMilliseconds(300))
	}
	s.drain(s.draw(len(s.backends)))
	if s.connectionBurst {
		s.openConnectionBurst(t, listen)
	}
	time.Sleep(s.drawMilliseconds(2500))
	s.locked(func() { s.sigtermAt = time.Now() })
	sendSignal(t, cmd, syscall.SIGTERM)
	for range s.draw(3) {
		time.Sleep(s.drawMilliseconds(100))
		sendSignal(t, cmd, []os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[s.draw(3)])
	}
}

// sendSignal sends a signal to the node, and reports a failure without ending the
// test.
func sendSignal(t *testing.T, cmd *exec.Cmd, signal os.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(signal); err != nil {
		t.Errorf("sending the signal %v: %v", signal, err)
	}
}

// moveDiscovery starts one more discovery server and makes the node reload a
// configuration with its address.
func (s *soakRun) moveDiscovery(t *testing.T, cmd *exec.Cmd, listen string) {
	t.Helper()
	replaceFile(t, configPath(cmd), s.config(listen, s.startDiscovery(t)))
	s.locked(func() { s.reloadedAt = time.Now() })
	sendSignal(t, cmd, syscall.SIGHUP)
}

// replaceFile replaces a file atomically by renaming, so that a reader finds either
// the old text or the new one.
func replaceFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path+".new", []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
}

// openConnectionBurst opens 300 connections that carry no request, and closes each
// after up to 3 s.
func (s *soakRun) openConnectionBurst(t *testing.T, address string) {
	t.Helper()
	for range 300 {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Errorf("opening a connection of the burst: %v", err)
			break
		}
		time.AfterFunc(s.drawMilliseconds(3000), func() { c.Close() })
	}
}
