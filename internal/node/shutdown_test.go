package node

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestHeldUpAtTheEnd: new connections come for up to 0.4 s after the order to stop, and the node is held up for 0.15 s
// just then. They are answered, or refused, and none is cut.
func TestShutdownWhileHeldUp(t *testing.T) {
	for _, longest := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			server, _ := okServer(t)
			inner := newListener(t)
			var stopped atomic.Pointer[time.Time]
			ln := faultyListener{inner, func() error {
				if at := stopped.Load(); at != nil {
					if since := time.Since(*at); since > 380*time.Millisecond && since < 540*time.Millisecond {
						time.Sleep(540*time.Millisecond - since)
					}
				}
				return nil
			}}
			cfg := testConfig(refusingAddress(t))
			for i := range cfg.Settings.Classes {
				cfg.Settings.Classes[i].Deadline = longest
			}
			n := startNodeWithPhases(t, cfg, ln, server)
			at := time.Now()
			stopped.Store(&at)
			n.stop()
			time.Sleep(385 * time.Millisecond)
			n.dial(t) // taken by the Accept that is under way; the next one is held up
			time.Sleep(5 * time.Millisecond)
			var clients []testClient
			for i := range 3 {
				c := n.dial(t)
				c.sendPost(t, fmt.Sprint("q", i), strconv.FormatFloat(longest.Seconds(), 'f', 3, 64))
				clients = append(clients, c)
			}
			for i, c := range clients {
				if s := c.status(t); s != http.StatusOK && s != http.StatusServiceUnavailable {
					t.Errorf("client %d is answered %d", i, s)
				}
			}
			if err := receive(t, n.ended, "the node's end"); err != nil {
				t.Errorf("the node ends with %v", err)
			}
			if took, kill := time.Since(at), min(longest, 3*time.Second)+700*time.Millisecond; took >= kill {
				t.Errorf("the node ends after %v, and may be killed after %v", took, kill)
			}
		})
	}
}

// TestEndSparesHalfARequest: at the node's end a connection between requests
// is closed, and one on which a request has begun to come gets its answer.
func TestShutdownAnswersIncompleteRequest(t *testing.T) {
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	}))
	half, idle := n.dial(t), n.dial(t)
	for i, c := range []testClient{half, idle} {
		c.sendGet(t, "saldo", fmt.Sprint("first", i), "60")
		if s := c.status(t); s != 200 {
			t.Fatalf("answer %d", s)
		}
	}
	text := pipelinedGets(1)
	io.WriteString(half, text[:20])
	heard := func(c net.Conn) bool {
		n.frontend.connections.mu.Lock()
		defer n.frontend.connections.mu.Unlock()
		for lc := range n.frontend.connections.idle {
			if lc.RemoteAddr().String() == c.LocalAddr().String() {
				lc.mu.Lock()
				defer lc.mu.Unlock()
				return lc.receivedSinceIdle
			}
		}
		return false
	}
	for until := time.Now().Add(testTimeout); !heard(half); time.Sleep(time.Millisecond) {
		if time.Now().After(until) {
			t.Fatal("the half request is not read")
		}
	}
	n.stop()
	n.endServingPhase()
	if _, err := idle.read.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	io.WriteString(half, text[20:])
	resp, err := http.ReadResponse(half.read, nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	var body bytes.Buffer
	body.ReadFrom(resp.Body)
	if resp.StatusCode != 200 || body.String() != "hi" || !resp.Close {
		t.Errorf("answer %d %q, close %v", resp.StatusCode, &body, resp.Close)
	}
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// TestEndAmongRequests: clients go on sending, some two requests at a time,
// while the node ends. Each request is answered, or has reached no server.
func TestShutdownAmongRequests(t *testing.T) {
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
			io.WriteString(c, okResponse)
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
						text += strings.Replace(pipelinedGets(1), "p0", id, 1)
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
	n.endServingPhase()
	if err := receive(t, n.ended, "the node's end"); err != nil {
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
func TestShutdownRejectsUnsentRequest(t *testing.T) {
	address, got := recordingServer(t)
	n := startNode(t, address)
	n.frontend.phases.answered = 0
	begun, release := blockDials(n.dials)
	answers := make(chan clientResponse, 1)
	go func() { answers <- sendRequest(t, n.request(t, "POST", "pagar", "q", "600", strings.NewReader("x"))) }()
	receive(t, begun, "the connection to begin")
	n.stop()
	if a := receive(t, answers, "an answer"); a.status != http.StatusServiceUnavailable {
		t.Errorf("answer %d, want 503", a.status)
	}
	close(release)
	n.endServingPhase()
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
	if len(got) > 0 && <-got != "" {
		t.Error("the request was sent")
	}
}

// TestEndingBeforeTheKill: SIGKILL may come as soon as the longest deadline,
// or 3 s, and 0.7 s more have passed, and new connections come for up to 0.4 s.
func TestShutdownPhasesEndBeforeKill(t *testing.T) {
	for _, longest := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond,
		3 * time.Second, 4096 * time.Millisecond, time.Minute} {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		e := newShutdownPhases(longest)
		if e.keepServing > e.answered || e.answered >= e.closed || e.closed >= kill {
			t.Errorf("longest deadline %v: %+v, want one after the other and all before %v", longest, e, kill)
		}
		if longest >= 50*time.Millisecond && e.keepServing <= 400*time.Millisecond {
			t.Errorf("longest deadline %v: clients are asked to close after %v, while new ones come", longest, e.keepServing)
		}
		if later := kill - e.answered; later < 200*time.Millisecond || later > 400*time.Millisecond {
			t.Errorf("longest deadline %v: the last answers are due %v before the kill", longest, later)
		}
	}
}

// TestOpenRequestsAreAnsweredBeforeTheEnd: a request may be open at the order
// to stop, or come after it, whose deadline is past the node's end.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	server, got, _ := stallingServer(t)
	n := startNode(t, server)
	n.frontend.phases.answered = 0
	c, later := n.dial(t), n.dial(t)
	c.sendGet(t, "saldo", "q", "600")
	receive(t, got, "the attempt")
	n.stop()
	if s := c.status(t); s != http.StatusGatewayTimeout {
		t.Errorf("the open request is answered %d, want 504", s)
	}
	later.sendGet(t, "saldo", "r", "600")
	if s := later.status(t); s < 500 {
		t.Errorf("the later request is answered %d, want a failure", s)
	}
	n.endServingPhase()
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// TestEndWaitsForTheListener: the node's end is no failure, though the server
// still has its listener when there is nothing left to wait for.
func TestShutdownWaitsForListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := lateListener{inner, make(chan struct{}), make(chan struct{})}
	n := New(testConfig(refusingAddress(t)), discardLog)
	n.frontend.keepServing = func(func() int) {}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, ln) }()
	if resp, err := http.Get("http://" + inner.Addr().String() + "/health/live"); err != nil { // it serves
		t.Fatal(err)
	} else {
		resp.Body.Close()
	}
	http.DefaultClient.CloseIdleConnections()
	stop()
	receive(t, ln.closed, "the listener's end")
	select {
	case err := <-ended:
		t.Errorf("the node ends with %v", err)
	case <-time.After(100 * time.Millisecond): // a node that does not wait has ended long ago
	}
	close(ln.release)
	if err := receive(t, ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// TestStop: after SIGTERM new connections still come for a while; they and
// what is open get their answers, with the word to close.
func TestShutdownFinishesRequests(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 2)
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			got <- true
			<-release
			io.WriteString(c, okResponse)
		}
	}))
	answers := make(chan clientResponse, 2)
	ask := func(id string) { answers <- sendRequest(t, n.request(t, "GET", "saldo", id, "20", nil)) }
	go ask("before")
	receive(t, got, "the attempt before the stop")
	n.stop()
	go ask("after")
	receive(t, got, "the attempt after the stop")
	select {
	case err := <-n.ended:
		t.Fatalf("the node ends with requests open: %v", err)
	default:
	}
	n.endServingPhase()
	close(release)
	for range 2 {
		if a := receive(t, answers, "an answer"); a.status != 200 || a.body != "hi" {
			t.Errorf("answer %+v", a)
		}
	}
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
	if c, err := net.Dial("tcp", n.address); err == nil {
		c.Close()
		t.Error("it listens on")
	}
}

// TestStopKeepsServing: clients that have connections may have no other node
// just now, so a node that was told to stop serves them until its time is up.
func TestShutdownKeepsServing(t *testing.T) {
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	}))
	c := n.dial(t)
	ask := func(id string) *http.Response {
		t.Helper()
		c.sendGet(t, "saldo", id, "20")
		resp, err := http.ReadResponse(c.read, nil)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != 200 {
			t.Errorf("%s is answered %d", id, resp.StatusCode)
		}
		return resp
	}
	ask("before")
	n.stop()
	for until := time.Now().Add(testTimeout); !n.frontend.stopping.Load() && time.Now().Before(until); {
		time.Sleep(time.Millisecond)
	}
	if resp := ask("after"); resp.Close {
		t.Error("the client is told to close while the node can still serve it")
	}
	n.frontend.closing.Store(true)
	if resp := ask("last"); !resp.Close {
		t.Error("the client is not told to close at the end")
	}
	n.endServingPhase()
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}
