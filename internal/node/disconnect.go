package node

import (
	"context"
	"time"

	"bankshift/internal/sockets"
)

// If the end of a client's connection could not be seen, its request waits until the bytes
// before the end have been read ahead.
const (
	disconnectPollInterval = time.Millisecond
	maxDisconnectWait      = 20 * time.Millisecond // for which reading ahead may pause; some deadlines are short
	maxHiddenEndWait       = 2 * maxDisconnectWait // for a pause of reading ahead and for reading maxReadAhead

	// windowSettleTime is how long after the receive window was full the client's end can
	// have arrived, if there is one.
	windowSettleTime = 2 * time.Millisecond
)

// clientState tells whether a client is still there.
type clientState int

const (
	clientPresent  clientState = iota
	clientGone                 // it has ended its connection
	clientHidden               // it has sent more than the kernel has room for, so that its end could not be seen
	clientArriving             // its end could not be seen until just now
)

// awaitClientState returns whether the client is present or gone. While its end could not
// be seen, it waits until the bytes before it have been read ahead, for maxHiddenEndWait at
// most, and returns clientHidden if they cannot be.
func (c *clientConn) awaitClientState(ctx context.Context) clientState {
	for waited := time.Duration(0); waited < maxHiddenEndWait; waited += disconnectPollInterval {
		switch state := c.clientState(); state {
		case clientPresent, clientGone:
			return state
		case clientHidden:
			if !c.resumeReadAhead() {
				return clientHidden
			}
		}
		if !sockets.Sleep(ctx, disconnectPollInterval) {
			return clientGone
		}
	}
	return clientHidden
}

// clientState returns the state of the client as the kernel knows it now. It asks the
// kernel for the connection's state only if there are unread bytes: without them, Peek
// itself detects the end.
func (c *clientConn) clientState() clientState {
	n, err := sockets.Peek(c.Conn)
	if sockets.Closed(n, err) {
		return clientGone
	}
	var state sockets.State
	if n > 0 {
		state = sockets.InspectAcknowledged(c.Conn)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.noteWindow(state, now)
	switch {
	case state.PeerClosed:
		return clientGone
	case state.WindowFull:
		return clientHidden
	case now.Sub(c.windowFullAt) < windowSettleTime:
		return clientArriving
	}
	return clientPresent
}

// noteWindow records whether the connection's receive window is full at the given time.
// The caller holds c.mu.
func (c *clientConn) noteWindow(state sockets.State, now time.Time) {
	if state.WindowFull {
		c.windowFullAt = now
	}
}
