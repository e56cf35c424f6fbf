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

// TestCrowdShutsNobodyOut: a crowd of idle clients takes all places at once. Requests on connections that come right
// behind it are answered, each on its first connection.
func TestCrowdOfIdleClients(t *testing.T) {
	server, _ := okServer(t)
	n := startNodeOn(t, newListener(t), func(c *Config) { c.Sockets = 128 }, server)
	for range 3 {
		var crowd sync.WaitGroup
		for range 5 * n.frontend.maxConnections {
			crowd.Add(1)
			go func() {
				defer crowd.Done()
				c, err := net.Dial("tcp", n.address)
				if err != nil {
					t.Errorf("a client of the crowd: %v", err)
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
				c.sendPost(t, fmt.Sprint("q", i), "20")
				silent := time.Since(began) // at most: a client that is so for longer than it is spared gives way itself
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
		crowd.Wait()
	}
}

// TestFullOfRequests: all places are taken by connections that carry requests. A further client waits for one of them.
func TestAllSlotsCarryRequests(t *testing.T) {
	const places = 4
	l := newConnectionLimiter(newListener(t), places, discardLog)
	got, release := make(chan bool, 100), make(chan struct{})
	srv := &http.Server{ConnState: l.trackState, ConnContext: l.connContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got <- true
		<-release
		io.WriteString(w, "ok")
	})}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	var clients []testClient
	for i := range 2 * places {
		c := (&testNode{address: l.Addr().String()}).dial(t)
		c.sendPost(t, fmt.Sprint("q", i), "20")
		if clients = append(clients, c); i < places {
			receive(t, got, "the request")
		}
	}
	delayVisibly() // the listener finds no place for the others
	close(release)
	for i, c := range clients {
		if resp, err := http.ReadResponse(c.read, nil); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("client %d: %v, %v; want 200", i, resp, err)
		}
	}
}

// TestLastingCrowd: idle clients come again and again for longer than a request's time, so that the listener's queue is
// never empty. What comes then has not waited all along, and is served.
func TestLastingCrowd(t *testing.T) {
	const patience = time.Second
	server, _ := okServer(t)
	n := startNodeOn(t, newListener(t), func(c *Config) { c.Sockets = 64 }, server)
	done := make(chan struct{})
	var crowd sync.WaitGroup
	for range 16 * n.frontend.maxConnections {
		crowd.Add(1)
		go func() {
			defer crowd.Done()
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
	time.Sleep(2 * patience)
	served := 0
	for i := range 10 {
		c := n.dial(t)
		c.sendPost(t, fmt.Sprint("q", i), fmt.Sprint(patience.Seconds()))
		if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode == http.StatusOK {
			served++
		}
	}
	close(done)
	n.stop()
	n.endServingPhase()
	crowd.Wait()
	if served < 9 {
		t.Errorf("%d of 10 requests are served", served)
	}
}
