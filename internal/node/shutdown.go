package node

import (
	"net"
	"net/http"
	"time"

	"bankshift/internal/sockets"
)

// SIGKILL may follow SIGTERM after the longest deadline of all classes, but at most
// maxKillDelay, plus killSlack.
const (
	maxKillDelay = 3 * time.Second
	killSlack    = 700 * time.Millisecond
)

// Division of the time from SIGTERM to SIGKILL.
const (
	lastResponseMargin = 300 * time.Millisecond // from the last response to SIGKILL; a busy node is slow to write it
	exitMargin         = 150 * time.Millisecond // from the node's exit to SIGKILL
	lateConnectTime    = 450 * time.Millisecond // new connections still arrive for 0.2 to 0.4 s after SIGTERM
	minAcceptTime      = 600 * time.Millisecond // lateConnectTime plus 0.15 s for which the node may be paused
	lastRequestsTime   = time.Second            // for the last requests once clients are asked to close, if time allows
)

const (
	clientPollInterval = 50 * time.Millisecond // between checks whether all clients have closed their connections
	drainInterval      = 10 * time.Millisecond // between two drains of the idle connections
)

// shutdownPhases states when the phases of the graceful shutdown end, counted from
// the stop signal.
type shutdownPhases struct {
	keepServing time.Duration // connections are kept open; then clients are asked to close
	accepted    time.Duration // new connections are accepted at least until then, and until answered while some wait
	answered    time.Duration // all requests are answered
	closed      time.Duration // the remaining connections are closed
}

// newShutdownPhases fits the shutdown into the time before SIGKILL. Clients go on
// sending on every connection that is open, so all connections have to be closed
// before SIGKILL, however long the clients' deadlines are.
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

// waitForClients waits while the node goes on serving after the stop signal: for
// as long as new connections may arrive, and then until no connection is open or
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

// shutDown ends the server in phases. First the node reports that it is not ready,
// but goes on serving for as long as it can still finish what it accepts: new
// connections arrive until the load balancer in front of it has noticed, and
// clients that keep their connections may have no other node to use at that time.
// Then it asks each client to close its connection and finishes the open requests.
// served receives the result of srv.Serve.
func (f *frontend) shutDown(srv *http.Server, ln net.Listener, served <-chan error) error {
	began := time.Now()
	f.stopping.Store(true)
	f.node.post(func() { f.node.tightenDeadlines(began.Add(f.phases.answered)) })
	f.keepServing(f.connections.openConnections)
	f.connections.closing.Store(true)

	closedBy := began.Add(f.phases.closed)
	f.drainWhile(func() bool { return true }, began.Add(f.phases.accepted))
	// What waits in the listener's queue is reset with it, although it may hold requests.
	f.drainWhile(func() bool { return sockets.QueueLength(ln) > 0 }, began.Add(f.phases.answered))
	ln.Close()
	isOpen := func() bool { return f.connections.openConnections() > 0 }
	f.drainWhile(isOpen, closedBy)
	f.connections.stopWaiting() // until here, the connection that was accepted last may wait for a slot
	<-served                    // before Serve returns, srv.Close would close the listener a second time and fail
	f.drainWhile(isOpen, closedBy)
	// All requests have been answered. No complete request was received on the
	// connections that remain.
	return srv.Close()
}

// drainWhile drains the idle connections while a condition holds, at most until the
// deadline.
func (f *frontend) drainWhile(holds func() bool, deadline time.Time) {
	for time.Now().Before(deadline) && holds() {
		f.connections.drain(time.Now())
		time.Sleep(drainInterval)
	}
}

// tightenDeadlines limits the deadlines of all requests, open ones and later ones,
// to dueBy, because the node is about to exit. It runs in the loop.
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
