package main

import (
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Sizes of the case end-with-pipeline.
const (
	pipelineClients  = 20
	pipelineLength   = 4 // requests that a client sends at once
	pipelineDeadline = time.Second
	pipelineWork     = 60 * time.Millisecond
	pipelinePause    = 40 * time.Millisecond // between a client's last answer and its next requests
	pipelineCalm     = 5 * time.Second       // before SIGTERM
	pipelineEnd      = 8 * time.Second       // of the case, without SIGTERM

	// crossing is how long before the end of its connection a request has to be written
	// whole to count: a later one may cross the close.
	crossing = 20 * time.Millisecond

	// killAfter is when SIGKILL comes at the earliest.
	killAfter = longestDeadline + 700*time.Millisecond
)

// pipelineRun is a run of the case end-with-pipeline.
type pipelineRun struct {
	*world
	answered, lost, excused atomic.Int64
	over                    chan struct{} // closed when no client shall send any more
}

// playEndWithPipeline plays clients that send some requests at once on each connection, and
// a planned restart. A request is lost if the node ends its connection without an answer
// after it has read the request: the connection then ends with an end of file. With a
// request left unread, the kernel would reset it.
func playEndWithPipeline(w *world) (broken int, err error) {
	if err := w.startEndpoints(10, func(arrival) plan { return plan{work: pipelineWork} }); err != nil {
		return 0, err
	}
	if err := w.startNode(192, 1024); err != nil {
		return 0, err
	}
	run := &pipelineRun{world: w, over: make(chan struct{})}
	var clients sync.WaitGroup
	for i := range pipelineClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 11 * time.Millisecond)
			run.playClient()
		}()
	}
	time.Sleep(pipelineCalm)
	if w.trouble {
		w.note("SIGTERM")
		w.node.command.Process.Signal(syscall.SIGTERM)
		select {
		case <-w.node.ended:
			w.note("the node has ended")
		case <-time.After(killAfter):
			w.note("SIGKILL")
			w.node.command.Process.Kill()
		}
	} else {
		time.Sleep(pipelineEnd - pipelineCalm)
	}
	close(run.over)
	clients.Wait()
	w.summary("answered %d, lost %d, not counted as they may have crossed the close %d", run.answered.Load(), run.lost.Load(), run.excused.Load())
	if run.answered.Load() < 1000 {
		return 0, fmt.Errorf("only %d requests were answered", run.answered.Load())
	}
	return int(run.lost.Load()), nil
}

// playClient opens one connection after another until the case is over or the node refuses
// them.
func (r *pipelineRun) playClient() {
	for !r.isOver() {
		c, err := dialClient(r.node.address)
		if err != nil {
			return // the client turns to another node
		}
		for !r.isOver() && r.sendPipeline(c) {
			time.Sleep(pipelinePause)
		}
		c.conn.Close()
	}
}

func (r *pipelineRun) isOver() bool {
	select {
	case <-r.over:
		return true
	default:
		return false
	}
}

// sendPipeline sends some requests at once and reads their answers. It reports whether the
// connection can carry more.
func (r *pipelineRun) sendPipeline(c *client) bool {
	classes := []string{"save-page", "order-paper", "save-page", "submit-form"}
	var messages []message
	for i := range pipelineLength {
		messages = append(messages, message{id: r.nextID(), class: classes[i%len(classes)], deadline: pipelineDeadline, body: "form"})
	}
	for _, m := range messages {
		r.note("sent", m.id, m.class)
	}
	if err := c.send(messages); err != nil {
		return false // they are not written whole
	}
	written := time.Now()
	closes := false
	for i, m := range messages {
		a := c.receive(written.Add(pipelineDeadline + lostAfter + limitSlack))
		if a.status != 0 {
			r.answered.Add(1)
			closes = closes || a.close
			r.note("answered", m.id, a.status, "close", a.close)
			continue
		}
		r.noteUnanswered(messages[i:], written, a)
		return false
	}
	return !closes
}

// noteUnanswered counts requests that got no answer.
func (r *pipelineRun) noteUnanswered(messages []message, written time.Time, a answer) {
	ended := errors.Is(a.err, io.EOF) || errors.Is(a.err, io.ErrUnexpectedEOF)
	resetOrKilled := !ended && !isTimeout(a.err)
	count := &r.lost
	if resetOrKilled || ended && a.at.Sub(written) < crossing {
		count = &r.excused
	}
	count.Add(int64(len(messages)))
	for _, m := range messages {
		r.note("no answer", m.id, "written", a.at.Sub(written), "before:", a.err)
	}
}

func isTimeout(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
