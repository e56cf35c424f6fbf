package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestBurstOfIdleConnections guards against clients being locked out when a
// burst of idle connections takes all slots. Requests on connections that
// arrive right after the burst are answered, each on its first connection.
func TestBurstOfIdleConnections(t *testing.T) {
	backend, _ := startOKBackend(t)
	n := startNodeOn(t, newListener(t), func(c *Config) { c.Sockets = 128 }, backend)
	for round := range 3 {
		var idleClients sync.WaitGroup
		for range 5 * n.frontend.maxConnections {
			idleClients.Add(1)
			go func() {
				defer idleClients.Done()
				c, err := net.Dial("tcp", n.address)
				if err != nil {
					t.Errorf("dialing as an idle client: %v", err)
					return
				}
				c.SetReadDeadline(time.Now().Add(testTimeout))
				io.Copy(io.Discard, c) // until the node closes it
				c.Close()
			}()
		}
		for i := range 10 {
			for tries := 1; ; tries++ {
				began := time.Now()
				c := n.dial(t)
				c.sendPost(t, fmt.Sprintf("q%d-%d", round, i), "20")
				silent := time.Since(began) // upper bound; after evictionGrace this connection may itself be evicted
				resp, err := http.ReadResponse(c.read, nil)
				if err == nil && resp.StatusCode == http.StatusOK {
					break
				}
				if silent < evictionGrace || tries == 5 {
					t.Errorf("request %d, silent %v: %v, %v; want 200", i, silent, resp, err)
					break
				}
			}
		}
		idleClients.Wait()
	}
}

// TestAllSlotsCarryRequests guards against closing a connection whose first
// request may already have been received. All slots are taken by connections
// that carry requests. Further clients wait for one of the slots and are then
// answered.
func TestAllSlotsCarryRequests(t *testing.T) {
	const slots = 4
	l := newConnectionLimiter(newListener(t), slots, discardLog)
	got, release := make(chan bool, 100), make(chan struct{})
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got <- true
		<-release
		io.WriteString(w, "ok")
	})
	srv := &http.Server{ConnState: l.trackState, ConnContext: l.connContext, Handler: handler}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	var clients []testClient
	for i := range 2 * slots {
		c := (&testNode{address: l.Addr().String()}).dial(t)
		c.sendPost(t, fmt.Sprint("q", i), "20")
		clients = append(clients, c)
		if i < slots {
			receive(t, got, "the request")
		}
	}
	delayVisibly() // the limiter has no slot for the others
	close(release)
	for i, c := range clients {
		if resp, err := http.ReadResponse(c.read, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("client %d: %v, %v; want 200", i, resp, err)
		}
	}
}

// TestSustainedIdleReconnects guards against rejecting requests as too old
// under a constant load of new connections. Idle clients reconnect for longer
// than a request's timeout, so that the listener's queue is never empty. A
// request that arrives then has not waited for all that time, and is served.
func TestSustainedIdleReconnects(t *testing.T) {
	const clientTimeout = time.Second
	backend, _ := startOKBackend(t)
	n := startNodeOn(t, newListener(t), func(c *Config) { c.Sockets = 64 }, backend)
	done := make(chan struct{})
	var idleClients sync.WaitGroup
	for range 16 * n.frontend.maxConnections {
		idleClients.Add(1)
		go func() {
			defer idleClients.Done()
			for {
				select {
				case <-done:
					return
				default:
				}
				if c, err := net.Dial("tcp", n.address); err == nil {
					c.SetReadDeadline(time.Now().Add(testTimeout))
					io.Copy(io.Discard, c) // until the node closes it
					c.Close()
				}
			}
		}()
	}
	time.Sleep(2 * clientTimeout)
	served := 0
	for i := range 10 {
		c := n.dial(t)
		c.sendPost(t, fmt.Sprint("q", i), fmt.Sprint(clientTimeout.Seconds()))
		if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode == http.StatusOK {
			served++
		}
	}
	close(done)
	n.stop()
	n.endServingPhase()
	idleClients.Wait()
	if served < 9 {
		t.Errorf("%d of 10 requests are served, want at least 9", served)
	}
}
