package node

import (
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
		e := stagesOf(longest)
		if e.leave > e.answered || e.answered >= e.closed || e.closed >= kill {
			t.Errorf("longest deadline %v: %+v, want one after the other and all before %v", longest, e, kill)
		}
		if longest >= 50*time.Millisecond && e.leave <= 400*time.Millisecond {
			t.Errorf("longest deadline %v: clients are asked to close after %v, while new ones come", longest, e.leave)
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
	n.front.stages.answered = 0
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
