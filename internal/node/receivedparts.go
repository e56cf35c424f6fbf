package node

import (
	"io"
	"time"
)

// startBody records that the request whose head has been read has a body of the given
// length, or one of unknown length if it is negative.
func (c *clientConn) startBody(length int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyUnread = int(max(length, 0))
}

// headReadSize is the most that one read of a head returns, in bytes. It holds the whole
// head of most requests. What it holds of a body that follows is kept until the body is
// read, also while the request waits for memory.
const headReadSize = 1 << 10

// limitToPart returns the part of a buffer that the part of the message being read may
// fill. The caller holds c.mu.
func (c *clientConn) limitToPart(b []byte) []byte {
	switch {
	case !c.serving:
		return b[:min(len(b), headReadSize)]
	case c.bodyUnread > 0:
		return b[:min(len(b), c.bodyUnread)]
	}
	return b
}

// countReceived counts bytes that net/http is about to be given, and returns how many
// of them it may get now: if they hold the end of a head, those up to there. The caller
// holds c.mu.
func (c *clientConn) countReceived(data []byte) int {
	if c.serving {
		c.bodyUnread -= min(c.bodyUnread, len(data))
		return len(data)
	}
	if c.head.Ended() {
		c.head.Restart() // net/http did not take it for the end
	}
	return c.head.Add(data)
}

// headSize returns the size of the head of the request that is being served.
func (c *clientConn) headSize() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head.Size()
}

// beforeBody returns how many bytes of a body of the given length have not been read
// from Conn, and when the body must be complete. Nothing is read ahead any more when it
// returns. It must be called before the body is read: net/http does not monitor the
// connection until then.
func (c *clientConn) beforeBody(length int) (unread int, deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readingAhead {
		c.stopReadAhead()
	}
	return max(length-c.readAhead.size, 0), c.requestDeadline
}

// reserveHead reserves memory for the head that is being received. It reports false if
// there is none.
func (c *clientConn) reserveHead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.memory.heads.Extend(&c.headMemory, &c.head)
}

// rejectHead rejects a request whose head is being received, because the node is short
// of memory. It reads and drops what the client still sends, for rejectionTimeout at
// most: the kernel resets a connection that is closed with unread bytes, and the client
// might not receive the response.
func (c *clientConn) rejectHead() {
	c.Conn.SetDeadline(time.Now().Add(rejectionTimeout))
	io.WriteString(c.Conn, bareRejection)
	c.CloseWrite()
	io.Copy(io.Discard, c.Conn)
}
