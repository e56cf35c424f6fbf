package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// deadlineSlack is by how much the deadline sent to a backend may exceed
	// what is left of the client's timeout, by the operators' rules.
	deadlineSlack = 150 * time.Millisecond

	// injectedDelay is for how long these tests delay a request. It is longer
	// than deadlineSlack, so a node that ignores the delay fails.
	injectedDelay = 400 * time.Millisecond
)

// TestUnreadTimeReducesDeadline guards against ignoring the time for which a
// request has been waiting unread because the process was paused. The deadline
// sent to the backend must not exceed what is left of the client's timeout.
func TestUnreadTimeReducesDeadline(t *testing.T) {
	const clientTimeout = 3 * time.Second
	backend, requests := startOKBackend(t)
	var delay atomic.Int64
	n := startNodeOn(t, lateReadListener{newListener(t), &delay}, func(*Config) {}, backend)
	c := n.dial(t)
	for _, name := range []string{"first", "second"} {
		delay.Store(int64(injectedDelay))
		c.sendPost(t, name, fmt.Sprint(clientTimeout.Seconds()))
		left := clientTimeout - injectedDelay // at most
		if d := deadlineOf(t, receive(t, requests, name)); d > left+deadlineSlack {
			t.Errorf("the %s request: sent with a deadline of %v, but at most %v was left", name, d, left)
		}
		delay.Store(0)
		if s := c.status(t); s != http.StatusOK {
			t.Errorf("the %s request: status %d, want 200", name, s)
		}
	}
}

// TestPipelinedRequestDeadline guards against timing a request from the arrival
// of a later one. The second request waits behind the first on their
// connection, and a third arrives later. The deadline sent with the second must
// not exceed what is left of its client's timeout.
func TestPipelinedRequestDeadline(t *testing.T) {
	const clientTimeout = 20 * time.Second
	for name, withFirst := range map[string]bool{"sent with the first": true, "sent while the first is open": false} {
		t.Run(name, func(t *testing.T) {
			requests, release := make(chan *http.Request, 3), make(chan bool, 3)
			n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for req := readRequest(r); req != nil; req = readRequest(r) {
					requests <- req
					<-release
					io.WriteString(c, okResponse)
				}
			}))
			c := n.dial(t)
			first, second := postText("first", "20"), postText("second", "20")
			sentAt := time.Now()
			if withFirst {
				io.WriteString(c, first+second)
			} else {
				io.WriteString(c, first)
			}
			receive(t, requests, "the first")
			if !withFirst {
				sentAt = time.Now()
				io.WriteString(c, second)
			}
			time.Sleep(injectedDelay)
			io.WriteString(c, postText("third", "20"))
			delayVisibly() // gives the node time to read it
			left := clientTimeout - time.Since(sentAt)
			release <- true
			if d := deadlineOf(t, receive(t, requests, "the second")); d > left+deadlineSlack {
				t.Errorf("sent with a deadline of %v, but at most %v was left", d, left)
			}
			release <- true
			receive(t, requests, "the third")
			release <- true
			for i := range 3 {
				if s := c.status(t); s != http.StatusOK {
					t.Errorf("request %d: status %d, want 200", i, s)
				}
			}
		})
	}
}

// TestSlotWaitKeepsReceiveTime guards against timing requests from when their
// connections are accepted. The requests wait in the listener's queue while
// connections ahead of them wait for a slot, one after the other. Each must be
// timed from its arrival.
func TestSlotWaitKeepsReceiveTime(t *testing.T) {
	const clients = 4
	l := newConnectionLimiter(newListener(t), 1, discardLog)
	receivedAt, release := make(chan time.Time, clients), make(chan bool, clients)
	srv := &http.Server{ConnState: l.trackState, ConnContext: l.connContext, Handler: http.HandlerFunc(
		func(w http.ResponseWriter, r *http.Request) {
			receivedAt <- requestReceivedAt(r)
			<-release
			w.Header().Set("Connection", "close")
		})}
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	var sentAt []time.Time
	for i := range clients {
		c := (&testNode{address: l.Addr().String()}).dial(t)
		c.sendPost(t, fmt.Sprint("q", i), "20")
		sentAt = append(sentAt, time.Now())
	}
	for i := range clients {
		received := receive(t, receivedAt, "a request")
		if late := received.Sub(sentAt[i]); late > deadlineSlack {
			t.Errorf("request %d: receive time is %v after it was sent", i, late)
		}
		time.Sleep(injectedDelay)
		release <- true
	}
}
