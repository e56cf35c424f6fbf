package node

import (
	"net"
	"net/http"
	"time"
)

// When SIGKILL may come, from SIGTERM on: after the longest of the classes'
// deadlines, though at most maxKillDelay, and killSlack more.
const (
	maxKillDelay = 3 * time.Second
	killSlack    = 700 * time.Millisecond
)

// How the time up to SIGKILL is divided.
const (
	lastResponseMargin = 300 * time.Millisecond // from the last response to SIGKILL: a busy node takes a while to write them
	exitMargin         = 150 * time.Millisecond // from the node's exit to SIGKILL
	lateConnectTime    = 450 * time.Millisecond // new connections still arrive for 0.2 to 0.4 s after SIGTERM,
	minAcceptTime      = 600 * time.Millisecond // and are accepted also by a node that is held up for 0.15 s then
	lastRequestsTime   = time.Second            // for the last requests, once clients are asked to close, if there is time
)

const (
	clientPollInterval = 50 * time.Millisecond // between checks whether all clients have left on their own
	drainInterval      = 10 * time.Millisecond // between two drains of the idle connections
)

// shutdownPhases is when the phases of the graceful shutdown end, counted from
// the order to stop.
type shutdownPhases struct {
	keepServing time.Duration // connections are kept open; then clients are asked to close
	accepted    time.Duration // new connections are accepted at least until then
	answered    time.Duration // all requests are answered
	closed      time.Duration // the remaining connections are closed
}

// newShutdownPhases fits the shutdown into the time before SIGKILL. Clients send
// on every connection that they have up to then, so all connections have to be
// closed before, however long their deadlines are.
func newShutdownPhases(longestDeadline time.Duration) shutdownPhases {
	kill := min(longestDeadline, maxKillDelay) + killSlack
	p := shutdownPhases{
		answered: kill - lastResponseMargin,
		closed:   kill - exitMargin,
	}
	p.keepServing = min(max(lateConnectTime, p.answered-lastRequestsTime), p.answered)
	p.accepted = min(minAcceptTime, p.closed)
	return p
}

// waitForClients waits while the node goes on serving after the order to stop:
// for as long as new connections arrive, and then until all clients have left or
// the phase is over.
func (p shutdownPhases) waitForClients(openConnections func() int) {
	began := time.Now()
	arriving := min(lateConnectTime, p.keepServing)
	for {
		waited := time.Since(began)
		if waited >= arriving && (openConnections() == 0 || waited >= p.keepServing) {
			return
		}
		time.Sleep(clientPollInterval)
	}
}

// shutDown ends the server in phases. The node reports that it is not ready, and
// goes on for as long as it can still finish what it accepts: new connections
// arrive until the load balancer in front has noticed, and clients that keep
// theirs may have no other node just now. Then it asks each client to close and
// finishes the open requests. served receives the result of srv.Serve.
func (f *frontend) shutDown(srv *http.Server, ln net.Listener, served <-chan error) error {
	began := time.Now()
	f.stopping.Store(true)
	f.node.post(func() { f.node.tightenDeadlines(began.Add(f.phases.answered)) })
	f.keepServing(f.connections.openConnections)
	f.closing.Store(true)

	closedBy := began.Add(f.phases.closed)
	f.drainUntil(began.Add(f.phases.accepted))
	ln.Close()
	f.drainWhileOpen(closedBy)
	f.connections.stopWaiting() // up to here the last accepted connection may wait for its slot
	<-served                    // before it returns, Serve would close the listener again and fail
	f.drainWhileOpen(closedBy)
	// All requests have been answered: what remains are connections on which no
	// request was received to its end.
	return srv.Close()
}

// drainUntil drains the idle connections until the deadline.
func (f *frontend) drainUntil(deadline time.Time) {
	for time.Now().Before(deadline) {
		f.connections.drain(time.Now())
		time.Sleep(drainInterval)
	}
}

// drainWhileOpen drains the idle connections until none is open, at most until
// the deadline.
func (f *frontend) drainWhileOpen(deadline time.Time) {
	for time.Now().Before(deadline) && f.connections.openConnections() > 0 {
		f.connections.drain(time.Now())
		time.Sleep(drainInterval)
	}
}

// tightenDeadlines makes dueBy the latest deadline of all requests, of those that
// are open and of those still to arrive, as the node is about to exit. It runs in
// the loop.
func (n *Node) tightenDeadlines(dueBy time.Time) {
	n.responsesDueBy = dueBy
	for _, r := range n.requests {
		if !r.answered && dueBy.Before(r.deadline) {
			r.deadline = dueBy
			r.watchdog.Stop()
			r.watchdog = time.AfterFunc(time.Until(dueBy), func() {
				n.post(func() { n.endUnanswered(r) })
			})
		}
	}
}
