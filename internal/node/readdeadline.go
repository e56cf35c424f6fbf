package node

import "time"

// noteReceived records that a part of a request has been received at the given time.
// The first part starts requestDeadline, because net/http applies its timeouts for
// idle connections up to the fourth byte of a request, and none at all to its body.
// That part may have been received while an earlier request was open. The caller
// holds c.mu.
func (c *clientConn) noteReceived(receivedAt time.Time) {
	if !c.receivedSinceIdle && !c.requestOpen {
		c.requestStartedAt = time.Now()
		c.requestDeadline = c.readDeadline(receivedAt)
		c.applyDeadline()
	}
	c.receivedSinceIdle = true
}

// readDeadline returns when a request whose first part was received at the given time
// must be complete. Bytes that have arrived meanwhile can still be read by then. The
// caller holds c.mu.
func (c *clientConn) readDeadline(receivedAt time.Time) time.Time {
	deadline := receivedAt.Add(requestReadTimeout)
	firstDeadline := c.acceptedAt.Add(firstRequestTimeout)
	if !c.servedBefore && firstDeadline.Before(deadline) {
		deadline = firstDeadline
	}
	earliest := c.requestStartedAt.Add(minRequestReadTime)
	if deadline.Before(earliest) {
		return earliest
	}
	return deadline
}

// postponeRequestDeadline postpones the deadline of the request that is being received, if
// there is one, by a time for which the node has not read it.
func (c *clientConn) postponeRequestDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStartedAt.IsZero() {
		return
	}
	c.requestStartedAt = c.requestStartedAt.Add(d)
	c.requestDeadline = c.requestDeadline.Add(d)
	c.applyDeadline()
}

// setRequestDeadline replaces the deadline of a request that has been rejected
// while it is still being received.
func (c *clientConn) setRequestDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestDeadline = deadline
	c.requestStartedAt = time.Time{}
	c.applyDeadline()
}

// incompleteSince returns requestStartedAt: since when the node waits for the rest of
// the request that is being received, or zero if there is no such request.
func (c *clientConn) incompleteSince() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStartedAt
}

// expireRequestDeadline ends the reading of a request that is still incomplete,
// by setting its deadline to the present.
func (c *clientConn) expireRequestDeadline() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requestStartedAt.IsZero() {
		return
	}
	c.expiredForSlot = true
	c.requestStartedAt = time.Time{}
	c.requestDeadline = time.Now()
	c.applyDeadline()
}

// wasExpiredForSlot reports whether expireRequestDeadline has ended the reading
// of a request.
func (c *clientConn) wasExpiredForSlot() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.expiredForSlot
}

// clearRequestTimes clears the times of the request that was being received.
// The caller holds c.mu.
func (c *clientConn) clearRequestTimes() {
	c.queuedSince = time.Time{}
	c.requestDeadline = time.Time{}
	c.requestStartedAt = time.Time{}
}

// SetReadDeadline sets the deadline that applies while no request is being
// received.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.httpDeadline = t
	return c.applyDeadline()
}

// applyDeadline sets the read deadline of Conn that the connection's state
// requires. The caller holds c.mu.
func (c *clientConn) applyDeadline() error {
	switch {
	case c.readingAhead:
		return nil // stopReadAhead sets the deadline once readAheadLoop has ended
	case c.draining:
		return c.Conn.SetReadDeadline(pastDeadline)
	case !c.requestDeadline.IsZero() && !c.interruptedByHTTP():
		return c.Conn.SetReadDeadline(c.requestDeadline)
	}
	return c.Conn.SetReadDeadline(c.httpDeadline)
}

// interruptedByHTTP reports whether net/http has set its deadline to a time in
// the distant past, which is how it interrupts a read. The caller holds c.mu.
func (c *clientConn) interruptedByHTTP() bool {
	return !c.httpDeadline.IsZero() && !c.httpDeadline.After(c.acceptedAt)
}
