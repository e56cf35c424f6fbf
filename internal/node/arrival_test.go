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
	// deadlineSlack is by how much the deadline sent to a backend may exceed what
	// is left of the client's timeout, by the operators' pages.
	deadlineSlack = 150 * time.Millisecond

	// injectedDelay is for how long these tests hold up a request. A node that does
	// not count it exceeds the slack.
	injectedDelay = 400 * time.Millisecond
)

// TestUnreadTimeReducesDeadline: a process that is held up reads a request late. The
// deadline sent to the backend is no more than what is left to the client.
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
			t.Errorf("the %s request: sent with a deadline of %v, and at most %v was left", name, d, left)
		}
		delay.Store(0)
		if s := c.status(t); s != http.StatusOK {
			t.Errorf("the %s request: status %d", name, s)
		}
	}
}

// TestPipelinedRequestDeadline: a request waits behind another one of its
// connection, and a third arrives later. The deadline sent with the second is no
// more than what is left to its client.
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
			delayVisibly() // until the node has read it
			left := clientTimeout - time.Since(sentAt)
			release <- true
			if d := deadlineOf(t, receive(t, requests, "the second")); d > left+deadlineSlack {
				t.Errorf("sent with a deadline of %v, and at most %v was left", d, left)
			}
			release <- true
			receive(t, requests, "the third")
			release <- true
			for i := range 3 {
				if s := c.status(t); s != http.StatusOK {
					t.Errorf("request %d: status %d", i, s)
				}
			}
		})
	}
}

// TestSlotWaitKeepsReceiveTime: requests wait in the listener's queue while connections
// ahead of them wait for a slot, one after the other. They are dated by when they
// arrived.
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
			t.Errorf("request %d is dated %v after it was sent", i, late)
		}
		time.Sleep(injectedDelay)
		release <- true
	}
}
