package node

import (
	"cmp"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"bankshift/internal/sockets"
)

// What is read ahead of a connection is bounded, and so is what is read ahead
// of all: a client that sends many requests at once is served them all, one
// after the other, and one that goes on sending behind an open one is at fault.
const (
	aheadMost   = 128 << 10 // of one connection
	aheadLeast  = 16 << 10  // the same where all have used up what they share
	aheadShared = 4 << 20
)

// A request behind which more was sent waits until that has been read ahead.
const (
	aheadStep = time.Millisecond      // between looks at whether it has: an honest client's next request costs as much
	aheadTime = 20 * time.Millisecond // at most: aheadMost is read far sooner, and some clients' time is short
)

// longAgo as a deadline ends a read that is under way.
var longAgo = time.Unix(1, 0)

// limitedConn is a client's connection. net/http reads it; what is added here
// lets the node see that a client has left which had sent more than its open
// request, and close a connection without cutting a request that has begun.
type limitedConn struct {
	net.Conn
	of     *limited
	closed bool // guarded by of.mu

	mu       sync.Mutex
	changed  sync.Cond          // pumping ends
	made     time.Time          // when it was accepted
	deadline time.Time          // as net/http sets it for reads
	wholeBy  time.Time          // in its place, when the request that has begun to come is to be whole; zero: none has begun
	begun    time.Time          // when its first byte came; zero: none has begun, or it is to end
	hurried  bool               // it was ended for others, that need its place
	spoken   bool               // it has carried a request
	came     time.Time          // when bytes have last come
	queued   time.Time          // what the first request is read from may have come then already; zero: it did not
	heard    bool               // bytes have come since it last came to rest
	early    bool               // a byte of the next request has come while one was open
	retired  bool               // nothing is to be read from it any more
	open     bool               // a request has been read whole and has no answer yet
	pumping  bool               // pump reads the connection
	ahead    []byte             // what it has read, counted in of.ahead
	shut     bool               // Close has been called
	err      error              // how it has ended, if not by being stopped
	leave    context.CancelFunc // ends the contexts of its requests
}

// newLimitedConn takes a connection that may have waited since then to be accepted.
func newLimitedConn(c net.Conn, of *limited, since time.Time) *limitedConn {
	lc := &limitedConn{Conn: c, of: of, made: time.Now(), leave: func() {}}
	lc.changed.L = &lc.mu
	if !sockets.Quiet(c) {
		lc.queued = since
	}
	return lc
}

// Read reads what was read ahead first. While a request is open, net/http
// waits for a single byte or the connection's end. After that byte it no
// longer looks, so the rest is read ahead from here.
func (c *limitedConn) Read(b []byte) (int, error) {
	c.mu.Lock()
	if c.pumping && len(c.ahead) == 0 {
		c.Conn.SetReadDeadline(longAgo)
		for c.pumping {
			c.changed.Wait()
		}
		c.setDeadline()
	}
	if n := copy(b, c.ahead); n > 0 || c.err != nil {
		defer c.mu.Unlock()
		if n == 0 {
			return 0, c.err
		}
		c.of.ahead.Add(int64(-n))
		if c.ahead = c.ahead[n:]; len(c.ahead) == 0 {
			c.ahead = nil // hundreds of connections would keep their buffers
		}
		c.note(len(b))
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n == 0 {
		return n, err
	}
	c.came = cmp.Or(c.queued, time.Now())
	if c.begin(); c.retired { // it came as the connection was given up, and is owed an answer
		c.retired = false
		c.setDeadline()
	}
	c.note(len(b))
	return n, err
}

// begin notes that a part of a request has come. From its first byte on it has
// a time of its own, as net/http's time-outs are those of a connection at rest
// up to its fourth byte. The caller holds c.mu.
func (c *limitedConn) begin() {
	if !c.heard && !c.open {
		c.begun = time.Now()
		c.wholeBy = c.begun.Add(readTime)
		if first := c.made.Add(firstTime); !c.spoken && first.Before(c.wholeBy) {
			c.wholeBy = first
		}
		c.setDeadline()
	}
	c.heard = true
}

// endReading ends the time for the request that is being read.
func (c *limitedConn) endReading(by time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wholeBy, c.begun = by, time.Time{}
	c.setDeadline()
}

// readingSince is when a request began that has not come whole; zero: there is none.
func (c *limitedConn) readingSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.begun
}

// hurry ends the reading of a request, if it has still not come whole.
func (c *limitedConn) hurry() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.begun.IsZero() {
		c.hurried, c.begun, c.wholeBy = true, time.Time{}, time.Now()
		c.setDeadline()
	}
}

func (c *limitedConn) wasHurried() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hurried
}

// note sees to it that what comes behind a single byte is read ahead. The
// caller holds c.mu.
func (c *limitedConn) note(wanted int) {
	if wanted > 1 {
		return
	}
	if c.early = true; !c.pumping && c.err == nil && !c.aheadFull() {
		c.pumping = true
		c.Conn.SetReadDeadline(time.Time{})
		go c.pump()
	}
}

// aheadFull tells whether no more is to be read ahead. The caller holds c.mu.
func (c *limitedConn) aheadFull() bool {
	most := aheadMost
	if c.of.ahead.Load() > aheadShared {
		most = aheadLeast
	}
	return len(c.ahead) > most
}

// judge takes a client for gone that has sent too much behind a request that
// is not answered. One that has its answer may have sent its next request
// already, and that can be as long as it likes. The caller holds c.mu.
func (c *limitedConn) judge() {
	if c.open && c.aheadFull() {
		c.quit(errors.New("too much was sent behind a request"))
	}
}

// quit ends the connection's requests. The caller holds c.mu.
func (c *limitedConn) quit(err error) {
	if c.err == nil {
		c.err = err
		c.leave()
	}
}

// lastCame is when bytes have last come, which is no earlier than what has been
// read of them was sent.
func (c *limitedConn) lastCame() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.came
}

// left tells whether the client has left as its request has been read. That
// may have reached the socket long before, and net/http has only begun to look
// for it. It can stand behind more that the client has sent, which is being
// read ahead.
func (c *limitedConn) left(ctx context.Context) bool {
	for waited := time.Duration(0); ; waited += aheadStep {
		n, err := sockets.Peek(c.Conn)
		if sockets.Closed(n, err) {
			return true
		}
		if n < 1 || waited >= aheadTime || !sockets.Sleep(ctx, aheadStep) {
			return ctx.Err() != nil // it left while earlier requests of its were served, or sent too much
		}
	}
}

// hasLeft tells whether the client's end is the next to be read, which nobody
// may have done yet.
func (c *limitedConn) hasLeft() bool { return sockets.Closed(sockets.Peek(c.Conn)) }

// setOpen tells whether a request, which has come whole, waits for its answer.
func (c *limitedConn) setOpen(open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open, c.queued, c.wholeBy, c.begun = open, time.Time{}, time.Time{}, time.Time{}
	c.setDeadline()
	c.judge()
}

// pump reads ahead until the client leaves, has sent as much as is read ahead,
// or Read wants the connection back.
func (c *limitedConn) pump() {
	var chunk [2048]byte
	for {
		n, err := c.Conn.Read(chunk[:])
		c.mu.Lock()
		if n > 0 && !c.shut {
			c.came = time.Now()
			c.ahead = append(c.ahead, chunk[:n]...)
			c.of.ahead.Add(int64(n))
		}
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.quit(err)
		}
		c.judge()
		if err != nil || c.err != nil || c.aheadFull() {
			c.pumping = false
			c.changed.Broadcast()
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
	}
}

func (c *limitedConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.setDeadline()
}

// setDeadline passes the deadline on to where it counts just now. The caller
// holds c.mu.
func (c *limitedConn) setDeadline() error {
	switch {
	case c.pumping:
		return nil // Read sets it as it takes over
	case c.retired:
		return c.Conn.SetReadDeadline(longAgo)
	case !c.wholeBy.IsZero() && (c.deadline.IsZero() || c.deadline.After(c.made)): // an earlier one is an order to stop
		return c.Conn.SetReadDeadline(c.wholeBy)
	}
	return c.Conn.SetReadDeadline(c.deadline)
}

// use notes that the connection carries a request, all bytes read so far being
// its own. They may have been read behind the request before, and the
// connection given up in between: it is owed an answer.
func (c *limitedConn) use() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.early = false; c.retired {
		c.retired = false
		c.setDeadline()
	}
}

// rest notes that the connection carries no request.
func (c *limitedConn) rest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heard, c.spoken, c.queued, c.wholeBy, c.begun = false, true, time.Time{}, time.Time{}, time.Time{}
	if c.early || len(c.ahead) > 0 {
		c.begin()
	}
}

// retire has the connection closed if nothing of a request has come on it: by
// its reader, who then cannot have read one. A request that comes later is one
// that the node has not read, and its client sends it again.
func (c *limitedConn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heard || c.pumping || !sockets.Quiet(c.Conn) {
		return c.retired
	}
	c.retired = true
	c.setDeadline()
	return true
}
