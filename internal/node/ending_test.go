package node

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"
)

// TestEndingBeforeTheKill: SIGKILL may come as soon as the longest deadline,
// or 3 s, and 0.7 s more have passed, and new connections come for up to 0.4 s.
func TestEndingBeforeTheKill(t *testing.T) {
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
func TestOpenRequestsAreAnsweredBeforeTheEnd(t *testing.T) {
	server, got, _ := silentServer(t)
	n := startNode(t, server)
	n.front.phases.answered = 0
	c, later := n.dial(t), n.dial(t)
	c.ask(t, "saldo", "q", "600")
	wait(t, got, "the attempt")
	n.stop()
	if s := c.status(t); s != http.StatusGatewayTimeout {
		t.Errorf("the open request is answered %d, want 504", s)
	}
	later.ask(t, "saldo", "r", "600")
	if s := later.status(t); s < 500 {
		t.Errorf("the later request is answered %d, want a failure", s)
	}
	n.linger()
	if err := wait(t, n.ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}

// lateListener tells of its end only when it is let go.
type lateListener struct {
	net.Listener
	closed, release chan struct{}
}

func (l lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		close(l.closed)
		<-l.release
	}
	return c, err
}

// TestEndWaitsForTheListener: the node's end is no failure, though the server
// still has its listener when there is nothing left to wait for.
func TestEndWaitsForTheListener(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ln := lateListener{inner, make(chan struct{}), make(chan struct{})}
	n := New(testConfig(refusing(t)), quiet)
	n.front.keepServing = func(func() int) {}
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
	wait(t, ln.closed, "the listener's end")
	select {
	case err := <-ended:
		t.Errorf("the node ends with %v", err)
	case <-time.After(100 * time.Millisecond): // a node that does not wait has ended long ago
	}
	close(ln.release)
	if err := wait(t, ended, "the node's end"); err != nil {
		t.Errorf("the node ends with %v", err)
	}
}
