package node

import (
	"fmt"
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

	// heldUpTime is for how long these tests hold up a request. A node that does
	// not count it exceeds the slack.
	heldUpTime = 400 * time.Millisecond
)

// lateReadListener is a listener whose connections return what they have read only
// after a delay, as in a process that does not run meanwhile.
type lateReadListener struct {
	net.Listener
	delay *atomic.Int64 // a time.Duration
}

type lateReadConn struct {
	*net.TCPConn
	delay *atomic.Int64
}

func (l lateReadListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return lateReadConn{c.(*net.TCPConn), l.delay}, nil
}

func (c lateReadConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	time.Sleep(time.Duration(c.delay.Load()))
	return n, err
}

// TestTimeUnreadCounts: a process that is held up reads a request late. The
// deadline sent to the backend is no more than what is left to the client.
func TestTimeUnreadCounts(t *testing.T) {
	const clientTimeout = 3 * time.Second
	backend, requests := startOKBackend(t)
	var delay atomic.Int64
	n := startNodeOn(t, lateReadListener{newListener(t), &delay}, func(*Config) {}, backend)
	c := n.dial(t)
	for _, name := range []string{"first", "second"} {
		delay.Store(int64(heldUpTime))
		c.sendPost(t, name, fmt.Sprint(clientTimeout.Seconds()))
		left := clientTimeout - heldUpTime // at most
		if d := deadlineOf(t, receive(t, requests, name)); d > left+deadlineSlack {
			t.Errorf("the %s request: sent with a deadline of %v, and at most %v was left", name, d, left)
		}
		delay.Store(0)
		if s := c.status(t); s != http.StatusOK {
			t.Errorf("the %s request: status %d", name, s)
		}
	}
}

// TestEachSlotWaitCounts: requests wait in the listener's queue while connections
// ahead of them wait for a slot, one after the other. They are dated by when they
// arrived.
func TestEachSlotWaitCounts(t *testing.T) {
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
		dated := receive(t, receivedAt, "a request")
		if late := dated.Sub(sentAt[i]); late > deadlineSlack {
			t.Errorf("request %d is dated %v after it was sent", i, late)
		}
		time.Sleep(heldUpTime)
		release <- true
	}
}
