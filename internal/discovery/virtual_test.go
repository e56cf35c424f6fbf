package discovery

import (
	"container/heap"
	"math/rand"
	"slices"
	"time"

	"bankshift/balancer"
)

// virtualService is a discovery service on a virtual clock. It has one outage, and
// its list changes once, from version 1 to 2.
type virtualService struct {
	downAt, upAt time.Duration // the outage
	changeAt     time.Duration

	failsFast  bool // requests in the outage fail at once; otherwise they stall
	rejects    bool // failures that are not stalls are rejections
	resetsOpen bool // requests that are open as the outage begins are reset; otherwise they stall

	failuresAfterOutage int  // number of requests of each node that still fail after the outage
	stallsAfterOutage   bool // those requests stall; otherwise they fail at once

	requestTimes []time.Duration
}

const (
	responseTime = 20 * time.Millisecond // of a request that is not held
	failureTime  = time.Millisecond      // of a request that fails without a stall
)

func (s *virtualService) version(at time.Duration) uint64 {
	if at >= s.changeAt {
		return 2
	}
	return 1
}

// virtualNode is the part of a node that follows the endpoint list, on a virtual
// clock.
type virtualNode struct {
	service  *virtualService
	settings balancer.Settings
	watcher  *Watcher
	balancer *balancer.Balancer // nil where endpoint updates are pushed
	timerAt  time.Duration      // when the balancer's timer fires

	poll         Poll
	polling      bool
	pollEnd      time.Duration
	willSucceed  bool
	lastRejected bool // the last request fails at once, which is a rejection if the service rejects

	openedAt time.Duration // start of the request that was open when the outage began
	failures int           // requests that failed after the outage
	knownAt  time.Duration // when it received version 2

	moveAt time.Duration // when it moves to another service
	moveTo *virtualService

	dueAt time.Duration
}

func newVirtualNode(s balancer.Settings, service *virtualService, seed int64, start time.Duration) *virtualNode {
	n := &virtualNode{
		service:  service,
		settings: s,
		watcher:  NewWatcher(ScheduleFor(s), rand.New(rand.NewSource(seed)).Float64),
		moveAt:   Never,
		timerAt:  Never,
		knownAt:  Never,
		dueAt:    start,
	}
	if s.EndpointsOnDemand {
		n.balancer = balancer.New(s, seed)
		n.handle(start, balancer.EndpointUpdate{Kind: balancer.CachedUpdate})
	}
	return n
}

// handle passes an event to the balancer and applies the actions that concern
// discovery or the timer.
func (n *virtualNode) handle(now time.Duration, event balancer.Event) {
	if n.balancer == nil {
		return
	}
	for _, action := range n.balancer.Handle(now, event) {
		switch action := action.(type) {
		case balancer.SetTimer:
			n.timerAt = now + action.After
		case balancer.Subscribe:
			n.request(now, false, action.On)
		case balancer.FetchEndpoints:
			n.request(now, true, true)
		}
	}
}

func (n *virtualNode) request(now time.Duration, fetch, subscribe bool) {
	if n.watcher.Request(now, fetch, subscribe) {
		n.polling = false
	}
}

// startPoll computes how and when a poll will end: with its first request that
// succeeds, or else with the last to fail.
func (n *virtualNode) startPoll(now time.Duration, poll Poll) {
	n.poll = poll
	n.polling = true
	n.willSucceed = false
	n.pollEnd = now
	for i, after := range poll.RequestTimes() {
		at := now + after
		hasResult := n.willSucceed || i > 0 && n.pollEnd < now+poll.Timeout // or no request is running any more
		if at >= n.pollEnd && hasResult {
			break
		}
		request := poll
		if i > 0 {
			request = poll.short()
		}
		ok, end := n.sendRequest(at, request, now+poll.Timeout)
		if ok && (!n.willSucceed || end < n.pollEnd) {
			n.willSucceed = true
			n.pollEnd = end
		} else if !n.willSucceed {
			n.pollEnd = max(n.pollEnd, end)
		}
	}
}

// sendRequest computes whether a request will succeed and when it will end.
func (n *virtualNode) sendRequest(now time.Duration, poll Poll, timeout time.Duration) (ok bool, end time.Duration) {
	s := n.service
	s.requestTimes = append(s.requestTimes, now)
	end = n.responseEnd(now, poll)
	n.lastRejected = false
	switch {
	case now >= s.downAt && now < s.upAt:
		return false, n.failureEnd(now, timeout, s.failsFast)
	case now >= s.upAt && n.failures < s.failuresAfterOutage:
		n.failures++
		return false, n.failureEnd(now, timeout, !s.stallsAfterOutage)
	case now < s.downAt && end > s.downAt: // open when the outage begins
		n.openedAt = now
		if s.resetsOpen {
			return false, s.downAt + failureTime
		}
		return false, timeout
	case end > timeout:
		return false, timeout
	default:
		return true, end
	}
}

// responseEnd returns when the response to a request ends if the service is up.
func (n *virtualNode) responseEnd(now time.Duration, poll Poll) time.Duration {
	s := n.service
	held := !poll.Full && poll.FromVersion == s.version(now)
	if !held {
		return now + responseTime
	}
	changes := s.changeAt > now && s.changeAt <= now+poll.LongPollTimeout
	if changes {
		return s.changeAt + responseTime
	}
	return now + responseTime + poll.LongPollTimeout
}

// failureEnd returns when a failing request ends, and sets lastRejected.
func (n *virtualNode) failureEnd(now, timeout time.Duration, fast bool) time.Duration {
	n.lastRejected = fast
	if fast {
		return now + failureTime
	}
	return timeout
}

// step processes all that is due and sets dueAt.
func (n *virtualNode) step(now time.Duration) {
	if now >= n.moveAt {
		n.move(now)
	}
	if n.polling && now >= n.pollEnd {
		n.polling = false
		n.endPoll(now)
	}
	if now >= n.timerAt {
		n.handle(now, balancer.TimerFired{})
	}
	poll, at, ok := n.watcher.Next(now)
	if ok {
		n.startPoll(now, poll)
	}
	n.dueAt = min(at, n.timerAt, n.moveAt)
	if n.polling {
		n.dueAt = min(n.dueAt, n.pollEnd)
	}
}

// move switches to the service moveTo, with a new Watcher.
func (n *virtualNode) move(now time.Duration) {
	n.service = n.moveTo
	n.failures = 0
	n.moveAt = Never
	n.polling = false
	n.watcher = NewWatcher(ScheduleFor(n.settings), n.watcher.random)
	if n.balancer != nil {
		n.request(now, true, true)
	}
}

func (n *virtualNode) endPoll(now time.Duration) {
	if !n.willSucceed {
		rejected := n.lastRejected && n.service.rejects
		if rejected && n.watcher.Rejected(now, n.poll) || n.watcher.Failed(now, n.poll) {
			n.handle(now, balancer.EndpointUpdate{Kind: balancer.FailedUpdate})
		}
		return
	}
	list := List{Version: n.service.version(now - responseTime), Snapshot: n.poll.Full}
	if list.Version == 2 && n.knownAt == Never {
		n.knownAt = now
	}
	if n.watcher.Succeeded(now, n.poll, list) {
		n.handle(now, balancer.EndpointUpdate{Kind: list.Kind()})
	}
}

// byDue is a heap of nodes, ordered by dueAt.
type byDue []*virtualNode

func (b byDue) Len() int           { return len(b) }
func (b byDue) Less(i, j int) bool { return b[i].dueAt < b[j].dueAt }
func (b byDue) Swap(i, j int)      { b[i], b[j] = b[j], b[i] }
func (b *byDue) Push(x any)        { *b = append(*b, x.(*virtualNode)) }
func (b *byDue) Pop() any          { panic("nodes are never removed from the heap") }

// simulate runs nodes until a time. The simulation of a single node stops early once
// it has received version 2.
func simulate(until time.Duration, nodes ...*virtualNode) {
	queue := byDue(slices.Clone(nodes))
	heap.Init(&queue)
	for queue[0].dueAt < until {
		queue[0].step(queue[0].dueAt)
		if len(nodes) == 1 && nodes[0].knownAt != Never {
			return
		}
		heap.Fix(&queue, 0)
	}
}
