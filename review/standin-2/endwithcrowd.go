package main

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of the case end-with-crowd.
const (
	crowdClients   = 300 // that stop in the middle of a request
	crowdDeadline  = 400 * time.Millisecond
	crowdWork      = 40 * time.Millisecond
	crowdEvery     = 20 * time.Millisecond  // between two new connections of usual clients
	crowdWarmUp    = 2 * time.Second        // until the usual clients come
	crowdCalm      = 5 * time.Second        // from then on until SIGTERM
	crowdLastNew   = 400 * time.Millisecond // after SIGTERM no new connection comes any more
	crowdKillAfter = longestDeadline/shortDeadlineFraction + 700*time.Millisecond

	// crowdCrossing is how long before the end of its connection a request has to be
	// written whole to count.
	crowdCrossing = 100 * time.Millisecond
)

// crowdRun is a run of the case end-with-crowd.
type crowdRun struct {
	*world
	answered, lost, excused, refused atomic.Int64
	over                             chan struct{} // closed when the bad clients shall end
}

// playEndWithCrowd plays clients that stop in the middle of a request, more than the node
// has room for, and a planned restart. Usual clients come on new connections, which wait in
// the listener's queue.
func playEndWithCrowd(w *world) (broken int, err error) {
	w.short = true
	if err := w.startEndpoints(12, func(arrival) plan { return plan{work: crowdWork} }); err != nil {
		return 0, err
	}
	if err := w.startNode(64, 256); err != nil {
		return 0, err
	}
	run := &crowdRun{world: w, over: make(chan struct{})}
	var bad, usual sync.WaitGroup
	for range crowdClients {
		bad.Add(1)
		go func() {
			defer bad.Done()
			run.playStoppingClient()
		}()
	}
	time.Sleep(crowdWarmUp)
	run.openUsual(&usual, time.Now().Add(crowdCalm))
	if w.trouble {
		w.note("SIGTERM")
		w.node.command.Process.Signal(syscall.SIGTERM)
		killer := time.AfterFunc(crowdKillAfter, func() { w.node.command.Process.Kill() })
		defer killer.Stop()
	}
	run.openUsual(&usual, time.Now().Add(crowdLastNew))
	usual.Wait()
	close(run.over)
	bad.Wait()
	w.summary("answered %d, lost %d, not counted: %d that may have crossed the close, %d not connected",
		run.answered.Load(), run.lost.Load(), run.excused.Load(), run.refused.Load())
	if run.answered.Load() < 100 {
		return 0, fmt.Errorf("only %d requests were answered", run.answered.Load())
	}
	return int(run.lost.Load()), nil
}

// playStoppingClient sends the first half of a request and stays until the node ends the
// connection; it then comes again.
func (r *crowdRun) playStoppingClient() {
	for {
		select {
		case <-r.over:
			return
		default:
		}
		c, err := dialClient(r.node.address)
		if err != nil {
			time.Sleep(crowdEvery)
			continue
		}
		text := message{id: r.nextID(), class: "order-paper", deadline: crowdDeadline, body: "form"}.text()
		io.WriteString(c.conn, text[:len(text)/2])
		c.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		io.Copy(io.Discard, c.conn)
		c.conn.Close()
	}
}

// openUsual opens connections of usual clients until the given time, each for one request.
func (r *crowdRun) openUsual(clients *sync.WaitGroup, until time.Time) {
	for time.Now().Before(until) {
		clients.Add(1)
		go func() {
			defer clients.Done()
			r.playUsualRequest()
		}()
		time.Sleep(crowdEvery)
	}
}

// playUsualRequest sends a request on a new connection and waits for its answer.
func (r *crowdRun) playUsualRequest() {
	c, err := dialClient(r.node.address)
	if err != nil {
		r.refused.Add(1)
		return
	}
	defer c.conn.Close()
	m := message{id: r.nextID(), class: "order-paper", deadline: crowdDeadline, body: "form"}
	if c.send([]message{m}) != nil {
		r.refused.Add(1)
		return
	}
	written := time.Now()
	r.note("sent", m.id)
	a := c.receive(written.Add(crowdDeadline + lostAfter + limitSlack))
	after := a.at.Sub(written)
	switch {
	case a.status != 0:
		r.answered.Add(1)
		r.note("answered", m.id, a.status, "after", after)
	case isTimeout(a.err) || after >= crowdCrossing:
		r.lost.Add(1)
		r.note("no answer", m.id, "after", after, a.err)
	default:
		r.excused.Add(1)
		r.note("not counted", m.id, "after", after, a.err)
	}
}
