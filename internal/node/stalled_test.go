package node

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// owedWithin is the time in which a client that stops in the middle of a request gets an error or the end of its connection.
const owedWithin = 3 * time.Second

// askedAt is a connection of a client, with the time at which it was made; one that has spoken has had an answer.
func (n *running) askedAt(t *testing.T, spoken bool) (raw, time.Time) {
	t.Helper()
	c, made := n.dial(t), time.Now()
	if spoken {
		io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n")
		if s := c.status(t); s != http.StatusOK {
			t.Fatalf("answer %d", s)
		}
	}
	return c, made
}

// watchStalls measures the longest time in which this process, node and client alike, was kept from running: what a test
// times is late by that.
func watchStalls(t *testing.T) (longest func() time.Duration) {
	const step = 5 * time.Millisecond
	var most atomic.Int64
	done := make(chan struct{})
	t.Cleanup(func() { close(done) })
	go func() {
		for last := time.Now(); ; {
			select {
			case <-time.After(step):
			case <-done:
				return
			}
			now := time.Now()
			most.Store(max(most.Load(), int64(now.Sub(last)-step)))
			last = now
		}
	}()
	return func() time.Duration { return time.Duration(most.Load()) }
}

// TestStalledRequest: a client sends a part of a request, some of it later, and stays. It is owed an end within 3 s: of
// the first byte, and on a new connection of its making.
func TestStalledRequest(t *testing.T) {
	server, _ := answering(t)
	n := startNode(t, server)
	text := requests(1)
	for _, spoken := range []bool{false, true} {
		for _, first := range []int{1, 2, 3, 4, 20} {
			for _, rest := range []time.Duration{0, 1900 * time.Millisecond} { // before it begins
				for _, more := range []int{0, 10} { // bytes that come 1.5 s later
					t.Run(fmt.Sprintf("spoken %v, rest %v, %d and %d bytes", spoken, rest, first, more), func(t *testing.T) {
						t.Parallel()
						stalled := watchStalls(t)
						c, from := n.askedAt(t, spoken)
						time.Sleep(rest)
						if spoken {
							from = time.Now()
						}
						io.WriteString(c, text[:first])
						if more > 0 && (spoken || rest == 0) {
							time.Sleep(1500 * time.Millisecond)
							io.WriteString(c, text[first:first+more])
						}
						resp, err := http.ReadResponse(c.read, nil)
						if took := time.Since(from); took > owedWithin+stalled() || err == nil && resp.StatusCode < 400 || isTimeout(err) {
							t.Errorf("%v, %v after %v, want an error or the end within %v", resp, err, took, owedWithin)
						}
					})
				}
			}
		}
	}
}

// TestSlowRequestIsAwaited: a request begins just before its connection would be closed for being silent, and comes in
// two parts. It is no connection between requests any more, and is served.
func TestSlowRequestIsAwaited(t *testing.T) {
	server, _ := answering(t)
	n := startNode(t, server)
	for _, spoken := range []bool{false, true} {
		for _, first := range []int{1, 3, 20} {
			text := orderText(fmt.Sprintf("%v-%d", spoken, first), "20")
			t.Run(fmt.Sprintf("spoken %v, %d bytes first", spoken, first), func(t *testing.T) {
				t.Parallel()
				const tries, busy = 5, 100 * time.Millisecond
				for range tries {
					stalled := watchStalls(t)
					c, _ := n.askedAt(t, spoken)
					rest := firstByteTimeout
					if spoken {
						rest = idleTimeout
					}
					time.Sleep(rest - 200*time.Millisecond)
					io.WriteString(c, text[:first])
					time.Sleep(500 * time.Millisecond)
					io.WriteString(c, text[first:])
					resp, err := http.ReadResponse(c.read, nil)
					if err == nil && resp.StatusCode == http.StatusOK {
						return
					}
					if stalled() < busy { // else its parts came later than meant
						t.Fatalf("%v, %v; want 200", resp, err)
					}
				}
				t.Errorf("not served in %d tries, each kept from running for over %v", tries, busy)
			})
		}
	}
}

// TestStalledRequestsGiveWay: bad clients stop in the middle of their requests on all connections that a node has places
// for. Trouble with other clients frees no request of its answer: one that comes then is answered in its time.
func TestStalledRequestsGiveWay(t *testing.T) {
	const patience = time.Second
	server, _ := answering(t)
	for name, part := range map[string]string{
		"heads":  "GET /api/x HTTP/1.1\r\nHost: app",
		"bodies": strings.Replace(orderText("stalled", "20"), "Content-Length: 0", "Content-Length: 9", 1) + "part",
		"a byte": "G",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			n := startNodeOn(t, listen(t), func(c *Config) { c.Sockets = 128 }, server)
			for range 2 * n.front.maxConnections {
				io.WriteString(n.dial(t), part)
			}
			c := n.dial(t)
			asked := time.Now()
			c.order(t, "q", strconv.FormatFloat(patience.Seconds(), 'f', 3, 64))
			if s := c.status(t); s != http.StatusOK || time.Since(asked) > patience {
				t.Errorf("answer %d after %v, want 200 within %v", s, time.Since(asked), patience)
			}
		})
	}
}
