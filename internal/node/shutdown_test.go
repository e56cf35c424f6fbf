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

// TestShutdownDuringPause guards against connections that are cut off without a
// response during a shutdown. New connections arrive for up to 0.4 s after the stop
// signal, and the node is paused for 0.15 s at that time. All of them have to be
// answered or rejected.
func TestShutdownDuringPause(t *testing.T) {
	for _, longest := range []time.Duration{100 * time.Millisecond, time.Second, 10 * time.Second} {
		t.Run(longest.String(), func(t *testing.T) {
			t.Parallel()
			backend, _ := startOKBackend(t)
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
			n := startNodeWithPhases(t, cfg, ln, backend)
			at := time.Now()
			stopped.Store(&at)
			n.stop()
			time.Sleep(385 * time.Millisecond)
			n.dial(t) // accepted by the pending Accept; the next Accept is delayed
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

// TestShutdownAnswersIncompleteRequest guards against a shutdown that cuts off a
// request of which a part has arrived, while it closes the idle connections. The
// request has to be answered.
func TestShutdownAnswersIncompleteRequest(t *testing.T) {
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	}))
	incomplete, idle := n.dial(t), n.dial(t)
	for i, c := range []testClient{incomplete, idle} {
		c.sendGet(t, "saldo", fmt.Sprint("first", i), "60")
		if s := c.status(t); s != 200 {
			t.Fatalf("status %d", s)
		}
	}
	text := pipelinedGets(1)
	io.WriteString(incomplete, text[:20])
	waitUntil(t, "the incomplete request to be read", func() bool { return n.hasReceivedFrom(incomplete) })
	n.stop()
	n.endServingPhase()
	if _, err := idle.read.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v, want its end", err)
	}
	io.WriteString(incomplete, text[20:])
	resp, err := http.ReadResponse(incomplete.read, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	var body bytes.Buffer
	body.ReadFrom(resp.Body)
	if resp.StatusCode != 200 || body.String() != "hi" || !resp.Close {
		t.Errorf("status %d %q, close %v", resp.StatusCode, &body, resp.Close)
	}
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// TestShutdownUnderLoad guards against requests that a backend has received and that
// the shutdown leaves without a response. Clients go on sending while the node shuts
// down, some of them two requests at a time.
func TestShutdownUnderLoad(t *testing.T) {
	var mu sync.Mutex // guards received and unanswered
	received := map[string]bool{}
	unanswered := []string{}
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			mu.Lock()
			received[req.Header.Get("X-Request-Id")] = true
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
			servedOne := sync.OnceFunc(served.Done)
			defer servedOne()
			open, err := c.sendUntilClosed(fmt.Sprint(i), 1+i%2, servedOne)
			mu.Lock()
			defer mu.Unlock()
			unanswered = append(unanswered, open...)
			if isTimeout(err) {
				t.Errorf("client %d receives neither a response nor the connection's end", i)
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
		if received[id] {
			t.Errorf("request %s was sent to the backend and has no response", id)
		}
	}
}

// sendUntilClosed sends requests, atATime of them in one write, until reading a
// response fails. It calls served after each response, and returns the IDs of the
// requests without a response, and the error.
func (c testClient) sendUntilClosed(name string, atATime int, served func()) (open []string, err error) {
	for k := 0; ; k++ {
		if len(open) == 0 {
			open = []string{fmt.Sprintf("%s-%d", name, k), fmt.Sprintf("%s-%d-next", name, k)}[:atATime]
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
			return open, err
		}
		open = open[1:]
		served()
	}
}

// TestShutdownRejectsUnsentRequest guards against a shutdown that fails a request
// which has not been sent, because its connection is still being established when
// all responses are due. The request has to be rejected, so that its client may send
// it again.
func TestShutdownRejectsUnsentRequest(t *testing.T) {
	address, got := startRecordingBackend(t)
	n := startNode(t, address)
	n.frontend.phases.answered = 0
	begun, release := holdDials(n.dials)
	responses := make(chan clientResponse, 1)
	go func() { responses <- sendRequest(t, n.request(t, "POST", "pagar", "q", "600", strings.NewReader("x"))) }()
	receive(t, begun, "the connection to begin")
	n.stop()
	if a := receive(t, responses, "a response"); a.status != http.StatusServiceUnavailable {
		t.Errorf("status %d, want 503", a.status)
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

// TestShutdownPhasesEndBeforeKill guards against a node that is killed before it has
// shut down, or that asks clients to close too early. SIGKILL may come after the
// longest deadline, but at most 3 s, plus 0.7 s, and new connections arrive for up to
// 0.4 s, both counted from the stop signal.
func TestShutdownPhasesEndBeforeKill(t *testing.T) {
	for _, longest := range []time.Duration{0, 50 * time.Millisecond, 300 * time.Millisecond, 1500 * time.Millisecond,
		3 * time.Second, 4096 * time.Millisecond, time.Minute} {
		kill := min(longest, 3*time.Second) + 700*time.Millisecond
		p := newShutdownPhases(longest)
		if p.keepServing > p.answered || p.answered >= p.closed || p.closed >= kill {
			t.Errorf("longest deadline %v: %+v, want one after the other and all before %v", longest, p, kill)
		}
		if longest >= 50*time.Millisecond && p.keepServing <= 400*time.Millisecond {
			t.Errorf("longest deadline %v: clients are asked to close after %v, while new connections arrive", longest, p.keepServing)
		}
		if later := kill - p.answered; later < 200*time.Millisecond || later > 400*time.Millisecond {
			t.Errorf("longest deadline %v: the last responses are due %v before the kill", longest, later)
		}
	}
}

// TestShutdownAnswersOpenRequests guards against requests that are left without a
// response because their deadline lies after the node's exit: one that is open at
// the stop signal, and one that arrives after it.
func TestShutdownAnswersOpenRequests(t *testing.T) {
	backend, got, _ := startStallingBackend(t)
	n := startNode(t, backend)
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

// TestShutdownWaitsForListener guards against a shutdown that ends with an error
// because the HTTP server's Accept has not returned yet when everything else is
// done: the server would then close the listener a second time.
func TestShutdownWaitsForListener(t *testing.T) {
	inner := newListener(t)
	ln := lateAcceptErrorListener{inner, make(chan struct{}), make(chan struct{})}
	n := New(testConfig(refusingAddress(t)), discardLog)
	n.frontend.keepServing = func(func() int) {}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, ln) }()
	resp, err := http.Get("http://" + inner.Addr().String() + "/health/live")
	if err != nil {
		t.Fatal(err) // the node does not serve
	}
	resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	stop()
	receive(t, ln.closed, "the listener's end")
	select {
	case err := <-ended:
		t.Errorf("the node ends before its Accept has returned, with %v", err)
	case <-time.After(100 * time.Millisecond): // a node that does not wait would have ended by now
	}
	close(ln.release)
	if err := receive(t, ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// TestShutdownServesListenerQueue guards against resetting connections that wait in the
// listener's queue with a request at the end of the time for new ones (review case 8).
func TestShutdownServesListenerQueue(t *testing.T) {
	const queued = 5
	release := make(chan bool)
	backend := startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			<-release
			io.WriteString(c, okResponse)
		}
	})
	n := startNodeOn(t, newListener(t), func(c *Config) { c.Sockets = reservedSockets + 4 }, backend)
	slots := n.frontend.maxConnections
	var clients []testClient
	for i := range slots + queued {
		c := n.dial(t)
		c.sendPost(t, fmt.Sprint("q", i), "60")
		clients = append(clients, c)
	}
	waitUntil(t, "all slots to be taken by open requests", func() bool { return n.openRequests(t) == slots })
	n.stop()
	n.endServingPhase()
	waitUntil(t, "the clients to be asked to close", n.frontend.connections.closing.Load)
	delayVisibly() // the listener would be closed by then
	close(release)
	for i, c := range clients {
		if s := c.status(t); s != http.StatusOK {
			t.Errorf("client %d of %d is answered %d, want 200", i, len(clients), s)
		}
	}
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// TestShutdownAnswersRequestsReadAhead guards against a shutdown that ends a connection
// with requests that have been read behind an open one (review case 7).
func TestShutdownAnswersRequestsReadAhead(t *testing.T) {
	const count = 4
	backend, got, release := startReleasedBackend(t)
	n := startNode(t, backend)
	c := n.dial(t)
	io.WriteString(c, pipelinedPosts("q", count))
	receive(t, got, "the first attempt")
	n.stop()
	n.endServingPhase()
	waitUntil(t, "the clients to be asked to close", n.frontend.connections.closing.Load)
	close(release)
	for i := range count {
		resp, err := http.ReadResponse(c.read, nil)
		if err != nil {
			t.Fatalf("request %d of %d: %v", i, count, err)
		}
		io.Copy(io.Discard, resp.Body)
		if last := i == count-1; resp.StatusCode != http.StatusOK || resp.Close != last {
			t.Errorf("request %d of %d is answered %d, close %v; want 200, close %v", i, count, resp.StatusCode, resp.Close, last)
		}
	}
}

// TestShutdownFinishesRequests guards against requests that fail because the node
// shuts down: open ones, and those on new connections, which still arrive for a while
// after SIGTERM. All have to be answered.
func TestShutdownFinishesRequests(t *testing.T) {
	backend, got, release := startReleasedBackend(t)
	n := startNode(t, backend)
	responses := make(chan clientResponse, 2)
	send := func(id string) { responses <- sendRequest(t, n.request(t, "GET", "saldo", id, "20", nil)) }
	go send("before")
	receive(t, got, "the attempt before the stop")
	n.stop()
	go send("after")
	receive(t, got, "the attempt after the stop")
	select {
	case err := <-n.ended:
		t.Fatalf("the node ends with requests open: %v", err)
	default:
	}
	n.endServingPhase()
	close(release)
	for range 2 {
		if a := receive(t, responses, "a response"); a.status != 200 || a.body != "hi" {
			t.Errorf("response %+v", a)
		}
	}
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
	if c, err := net.Dial("tcp", n.address); err == nil {
		c.Close()
		t.Error("the node still listens on its port")
	}
}

// TestShutdownKeepsServing guards against a node that asks clients to close too
// early. Clients with connections may have no other node at that time, so a node
// serves them after the stop signal until that phase of the shutdown is over.
func TestShutdownKeepsServing(t *testing.T) {
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	}))
	c := n.dial(t)
	serve := func(id string) *http.Response {
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
	serve("before")
	n.stop()
	waitUntil(t, "the stop signal to be handled", n.frontend.stopping.Load)
	if resp := serve("after"); resp.Close {
		t.Error("the client is asked to close while the node can still serve it")
	}
	n.frontend.connections.closing.Store(true)
	if resp := serve("last"); !resp.Close {
		t.Error("the client is not asked to close at the end")
	}
	n.endServingPhase()
	if err := receive(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}
