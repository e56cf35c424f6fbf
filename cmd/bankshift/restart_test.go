package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestReadyAfterARestart guards against a process that waits for discovery before
// it is ready although its configuration names endpoints: it has to be ready within
// readyLimit whether discovery answers, refuses connections or is silent. Without
// endpoints in its configuration, a process has to be ready within readyLimit once
// discovery answers, and not before, as it could only reject requests.
func TestReadyAfterARestart(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		for _, endpoints := range []int{60, 4500} {
			for _, state := range []string{"up", "down", "silent"} {
				for _, known := range []bool{true, false} {
					name := fmt.Sprintf("%s/%d/%s/known=%v", mode, endpoints, state, known)
					t.Run(name, func(t *testing.T) { testReadyAfterARestart(t, mode, endpoints, state, known) })
				}
			}
		}
	}
}

// testReadyAfterARestart starts a process while discovery is in the given state.
// known says whether the process's configuration names the endpoints.
func testReadyAfterARestart(t *testing.T, mode string, endpoints int, state string, known bool) {
	env := newEnvironment(t, endpoints)
	env.discoveryUp.Store(state == "up")
	discovery := env.discovery
	if state == "down" {
		discovery = refusingAddress(t)
	}
	list := noEndpoints
	if known {
		list = env.endpoints
	}
	p := startProcess(t, discovery, list, mode, 0)
	began := p.startedAt
	if !known && state != "up" {
		if p.awaitReady(t, 500*time.Millisecond) {
			t.Error("the program is ready without a known endpoint")
		}
		env.discoveryUp.Store(true)
		if state == "down" {
			return // nothing will ever listen on that port
		}
		began = time.Now()
	}
	ready := p.awaitReady(t, testTimeout)
	took := time.Since(began)
	if !ready || took > readyLimit {
		t.Fatalf("after %v: ready is %v, want true within %v", took, ready, readyLimit)
	}
	t.Logf("ready after %v", took)
	if failure := p.awaitServed(t, testTimeout); failure != "" {
		t.Errorf("no request was served, last failure: %s", failure)
	}
}

// TestIdleClientsWhileDiscoveryIsDown guards against idle client connections that
// use up the node's file descriptors while discovery does not answer: when discovery
// answers again, the node has to have a descriptor to poll it, and to serve.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		for _, state := range []string{"silent", "known"} {
			t.Run(mode+"/"+state, func(t *testing.T) {
				t.Parallel()
				testIdleClientsWhileDiscoveryIsDown(t, mode, state == "known")
			})
		}
	}
}

// testIdleClientsWhileDiscoveryIsDown runs one case. If known is true, the
// configuration names an endpoint, at which nothing listens any more.
func testIdleClientsWhileDiscoveryIsDown(t *testing.T, mode string, known bool) {
	const sockets = 64 // the fewest file descriptors with which a node starts
	env := newEnvironment(t, 1)
	list := noEndpoints
	if known {
		list = strings.Replace(env.endpointList(1), env.backend, refusingAddress(t), 1)
	}
	p := startProcess(t, env.discovery, list, mode, sockets)
	opened, stop := connectIdleClients(p.address, 2*sockets)
	defer stop()
	for end := time.Now().Add(testTimeout); opened.Load() < 6*sockets; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("only %d connections of idle clients opened, want %d", opened.Load(), 6*sockets)
		}
	}
	time.Sleep(2 * time.Second) // polls of discovery are not answered in this time
	env.discoveryUp.Store(true)
	began := time.Now()
	if !p.awaitReady(t, testTimeout) {
		t.Error("the program is not ready after discovery answers again")
	}
	if failure := p.awaitServed(t, testTimeout); failure != "" {
		t.Errorf("no request was served, last failure: %s", failure)
	}
	t.Logf("served %v after discovery answered again, %d connections opened", time.Since(began), opened.Load())
}

// connectIdleClients starts count clients that connect and send nothing. Each
// connects again when the node has closed its connection, or after 2 s, until stop
// is called. opened counts the connections.
func connectIdleClients(address string, count int) (opened *atomic.Int32, stop func()) {
	opened = &atomic.Int32{}
	done := make(chan struct{})
	var clients sync.WaitGroup
	for range count {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				c, err := net.Dial("tcp", address)
				if err != nil {
					continue
				}
				opened.Add(1)
				c.SetReadDeadline(time.Now().Add(2 * time.Second))
				c.Read(make([]byte, 1)) // returns when the node closes the connection, or after 2 s
				c.Close()
			}
		}()
	}
	return opened, sync.OnceFunc(func() {
		close(done)
		clients.Wait()
	})
}
