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

// TestReadyAfterARestart: whatever discovery is doing, a process whose
// configuration names endpoints is ready in time. One without is ready as soon as
// discovery has named some, and not before, as it could only reject requests.
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
// known: its configuration names the endpoints.
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
			t.Error("ready without a known endpoint")
		}
		env.discoveryUp.Store(true)
		if state == "down" {
			return // nothing ever listens on that port
		}
		began = time.Now()
	}
	ready := p.awaitReady(t, testTimeout)
	took := time.Since(began)
	if !ready || took > readyLimit {
		t.Fatalf("ready after %v (%v), want within %v", took, ready, readyLimit)
	}
	t.Logf("ready after %v", took)
	if failure := p.awaitServed(t, testTimeout); failure != "" {
		t.Errorf("nothing is served, at last %s", failure)
	}
}

// TestIdleClientsWhileDiscoveryIsDown: clients take all connections that they can
// get and do not use them, while discovery is out of order. When it returns, the
// node has a descriptor for it, and serves.
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

// testIdleClientsWhileDiscoveryIsDown: known means that the configuration names an
// endpoint, at which nothing listens any more.
func testIdleClientsWhileDiscoveryIsDown(t *testing.T, mode string, known bool) {
	const sockets = 64 // the fewest with which a node starts
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
			t.Fatalf("only %d connections come up", opened.Load())
		}
	}
	time.Sleep(2 * time.Second) // polls of discovery hang all the while
	env.discoveryUp.Store(true)
	began := time.Now()
	if !p.awaitReady(t, testTimeout) {
		t.Error("not ready")
	}
	if failure := p.awaitServed(t, testTimeout); failure != "" {
		t.Errorf("nothing is served, at last %s", failure)
	}
	t.Logf("served %v after discovery's return, %d connections opened", time.Since(began), opened.Load())
}

// connectIdleClients starts clients that connect and send nothing, again after the
// node has closed their connection, until stop is called. opened counts the
// connections.
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
				c.Read(make([]byte, 1)) // until the node closes it
				c.Close()
			}
		}()
	}
	return opened, sync.OnceFunc(func() {
		close(done)
		clients.Wait()
	})
}
