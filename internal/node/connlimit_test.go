package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// TestSilentClientsGiveWay: clients that connect by hundreds and say nothing
// must neither shut out one that asks nor wait unheard.
func TestSilentClientsGiveWay(t *testing.T) {
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okAnswer)
		}
	}))
	most := n.front.maxConnections
	var silent []raw
	for range 2 * most {
		silent = append(silent, n.dial(t))
	}
	// A client that is turned away in the rush comes again and gets its turn.
	for i, until := 0, time.Now().Add(enough); ; i++ {
		c := n.dial(t)
		fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q%d\r\nX-Class: saldo\r\nX-Deadline: 60\r\n\r\n", i)
		if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode == 200 {
			break
		}
		if time.Now().After(until) {
			t.Fatal("no client is served")
		}
	}
	for i, c := range silent {
		if _, err := c.read.ReadByte(); err == nil || isTimeout(err) {
			t.Fatalf("silent client %d gets %v, want the end of its connection", i, err)
		}
	}
}

func isTimeout(err error) bool {
	ne, ok := err.(net.Error)
	return ok && ne.Timeout()
}

// TestHalfRequests: a head or a body that never ends is given up within the 3 s that bad clients are owed an end.
func TestHalfRequests(t *testing.T) {
	server, got, _ := silentServer(t)
	n := startNode(t, server)
	if firstByteTimeout >= owedWithin || requestReadTimeout >= owedWithin || firstRequestTimeout >= owedWithin || idleTimeout >= owedWithin {
		t.Errorf("a connection may be silent %v, a request take %v, the first one %v, a connection be idle %v", firstByteTimeout, requestReadTimeout, firstRequestTimeout, idleTimeout)
	}
	for name, text := range map[string]string{
		"half a head": "GET /api/x HTTP/1.1\r\nHost: app",
		"half a body": "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 9\r\n\r\nhal",
	} {
		c := n.dial(t)
		io.WriteString(c, text)
		resp, err := http.ReadResponse(c.read, nil)
		if err == nil && resp.StatusCode < 400 || err != nil && isTimeout(err) {
			t.Errorf("%s: %v, %v, want an error or the end of the connection", name, resp, err)
		}
	}
	// An answer to a body that is too long must reach the client though it still sends.
	c := n.dial(t)
	fmt.Fprintf(c, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: q\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: %d\r\n\r\n", 60<<20)
	go func() {
		for chunk := make([]byte, 64<<10); ; {
			if _, err := c.Write(chunk); err != nil {
				return
			}
		}
	}()
	if resp, err := http.ReadResponse(c.read, nil); err != nil || resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("60 MB: %v, %v, want 413", resp, err)
	}
	if len(got) > 0 {
		t.Error("a request reached a server")
	}
}

// TestRetireSparesNewConnections: the first request of one that has just come
// is on its way. Those that have been silent for long, or are between
// requests, are closed.
func TestRetireSparesNewConnections(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name    string
		unused  idleState
		retired bool
	}{
		{"just come", idleState{since: now.Add(-silenceAllowance / 2)}, false},
		{"silent", idleState{since: now.Add(-silenceAllowance)}, true},
		{"between requests", idleState{since: now, servedBefore: true}, true},
	} {
		lc, _ := connPair(t)
		lc.limiter.idle[lc] = c.unused
		lc.limiter.drain(now)
		lc.mu.Lock()
		if lc.draining != c.retired {
			t.Errorf("%s: retired %v, want %v", c.name, lc.draining, c.retired)
		}
		lc.mu.Unlock()
	}
}

// TestCrowdShutsNobodyOut: a crowd of idle clients takes all places at once. Requests on connections that come right
// behind it are answered, each on its first connection.
func TestCrowdShutsNobodyOut(t *testing.T) {
	server, _ := answering(t)
	n := startNodeOn(t, listen(t), func(c *Config) { c.Sockets = 128 }, server)
	for range 3 {
		var crowd sync.WaitGroup
		for range 5 * n.front.maxConnections {
			crowd.Add(1)
			go func() {
				defer crowd.Done()
				c, err := net.Dial("tcp", n.address)
				if err != nil {
					t.Errorf("a client of the crowd: %v", err)
					return
				}
				c.SetReadDeadline(time.Now().Add(enough))
				io.Copy(io.Discard, c) // until the node closes it
				c.Close()
			}()
		}
		for i := range 10 {
			for tries := 1; ; tries++ {
				began := time.Now()
				c := n.dial(t)
				c.order(t, fmt.Sprint("q", i), "20")
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
func TestFullOfRequests(t *testing.T) {
	const places = 4
	l := newConnectionLimiter(listen(t), places, quiet)
	got, release := make(chan bool, 100), make(chan struct{})
	srv := &http.Server{ConnState: l.trackState, ConnContext: l.connContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		got <- true
		<-release
		io.WriteString(w, "ok")
	})}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	var clients []raw
	for i := range 2 * places {
		c := (&running{address: l.Addr().String()}).dial(t)
		c.order(t, fmt.Sprint("q", i), "20")
		if clients = append(clients, c); i < places {
			wait(t, got, "the request")
		}
	}
	held() // the listener finds no place for the others
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
	server, _ := answering(t)
	n := startNodeOn(t, listen(t), func(c *Config) { c.Sockets = 64 }, server)
	done := make(chan struct{})
	var crowd sync.WaitGroup
	for range 16 * n.front.maxConnections {
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
					c.SetReadDeadline(time.Now().Add(enough))
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
		c.order(t, fmt.Sprint("q", i), fmt.Sprint(patience.Seconds()))
		if resp, err := http.ReadResponse(c.read, nil); err == nil && resp.StatusCode == http.StatusOK {
			served++
		}
	}
	close(done)
	n.stop()
	n.linger()
	crowd.Wait()
	if served < 9 {
		t.Errorf("%d of 10 requests are served", served)
	}
}
