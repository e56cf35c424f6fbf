package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestRetireSparesAReadRequest: a connection comes to rest and is given up in
// the same instant, at the node's end or at the limit of connections, while
// its next request has been read already behind the one before. That one is
// served, and its connection counts for as long.
func TestRetireSparesAReadRequest(t *testing.T) {
	for name, give := range map[string]func(l *connectionLimiter){
		"at the end": func(l *connectionLimiter) { l.drain(time.Now()) },
		"at the limit": func(l *connectionLimiter) {
			l.mu.Lock()
			defer l.mu.Unlock()
			if !l.evict(time.Now()) {
				t.Error("no connection is given up")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			got, release := make(chan bool, 2), make(chan bool, 2)
			n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for readRequest(r) != nil {
					got <- true
					<-release
					io.WriteString(c, okAnswer)
				}
			}))
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			l := newConnectionLimiter(ln, 1, quiet)
			given := sync.OnceFunc(func() { give(l) })
			srv := &http.Server{Handler: n.front, ConnContext: l.connContext, IdleTimeout: idleTimeout, ConnState: func(c net.Conn, s http.ConnState) {
				if l.trackState(c, s); s == http.StateIdle {
					given()
				}
			}}
			go srv.Serve(l)
			defer srv.Close()
			c := (&running{address: ln.Addr().String()}).dial(t)
			io.WriteString(c, requests(2))
			for i := range 2 {
				wait(t, got, "a request")
				if open := l.openConnections(); open != 1 {
					t.Errorf("%d connections count, want 1", open)
				}
				release <- true
				if s := c.status(t); s != 200 {
					t.Errorf("request %d is answered %d", i, s)
				}
			}
		})
	}
}

// TestEndAmongRequests: clients go on sending, some two requests at a time,
// while the node ends. Each request is answered, or has reached no server.
func TestEndAmongRequests(t *testing.T) {
	var mu sync.Mutex
	ran, unanswered := map[string]bool{}, []string{}
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			mu.Lock()
			ran[req.Header.Get("X-Request-Id")] = true
			mu.Unlock()
			io.WriteString(c, okAnswer)
		}
	}))
	var clients, served sync.WaitGroup
	for i := range 40 {
		c := n.dial(t)
		clients.Add(1)
		served.Add(1)
		go func() {
			defer clients.Done()
			begun := sync.OnceFunc(served.Done)
			defer begun()
			var open []string
			for k := 0; ; k++ {
				if len(open) == 0 {
					open = []string{fmt.Sprintf("%d-%d", i, k), fmt.Sprintf("%d-%d-next", i, k)}[:1+i%2]
					var text string
					for _, id := range open {
						text += strings.Replace(requests(1), "p0", id, 1)
					}
					io.WriteString(c, text)
				}
				resp, err := http.ReadResponse(c.read, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, resp.Body)
				}
				if err != nil {
					mu.Lock()
					defer mu.Unlock()
					if unanswered = append(unanswered, open...); isTimeout(err) {
						t.Errorf("client %d hears nothing", i)
					}
					return
				}
				open = open[1:]
				begun()
			}
		}()
	}
	served.Wait()
	n.stop()
	n.linger()
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
	clients.Wait()
	for _, id := range unanswered {
		if ran[id] {
			t.Errorf("request %s was sent on and has no answer", id)
		}
	}
}

// TestUnsentIsRefusedAtTheEnd: a request whose connection is still coming up
// when the node has to answer all has not been sent, so its client may try again.
func TestUnsentIsRefusedAtTheEnd(t *testing.T) {
	address, got := listening(t)
	n := startNode(t, address)
	n.front.phases.answered = 0
	begun, release := slowDials(n.dials)
	answers := make(chan reply, 1)
	go func() { answers <- do(t, n.request(t, "POST", "pagar", "q", "600", strings.NewReader("x"))) }()
	wait(t, begun, "the connection to begin")
	n.stop()
	if a := wait(t, answers, "an answer"); a.status != http.StatusServiceUnavailable {
		t.Errorf("answer %d, want 503", a.status)
	}
	close(release)
	n.linger()
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
	if len(got) > 0 && <-got != "" {
		t.Error("the request was sent")
	}
}
