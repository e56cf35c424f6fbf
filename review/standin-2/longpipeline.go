package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Sizes of the case long-pipeline.
const (
	longClients  = 5
	longLength   = 4        // requests that a client sends at once
	longBody     = 60 << 10 // bytes; a body holds 64 KiB at most
	longDeadline = 1200 * time.Millisecond
	longWork     = 60 * time.Millisecond
	longTime     = 6 * time.Second
	longCounted  = 2 // requests behind the first one that the node has read whole, see playLongPipeline
)

// playLongPipeline plays clients that send four long requests at once. Of these, the node
// reads 128 KiB behind the first one, which is two whole requests, and then ends the
// connection. Only the first one and these two are counted: that the fourth was read
// cannot be seen from outside.
func playLongPipeline(w *world) (broken int, err error) {
	if err := w.startEndpoints(10, func(arrival) plan { return plan{work: longWork} }); err != nil {
		return 0, err
	}
	if err := w.startNode(192, 1024); err != nil {
		return 0, err
	}
	var answered, lost atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(longTime)
	for range longClients {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for time.Now().Before(end) {
				a, l := w.playLongRequests()
				answered.Add(int64(a))
				lost.Add(int64(l))
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	clients.Wait()
	w.summary("answered %d, lost %d", answered.Load(), lost.Load())
	if answered.Load() == 0 {
		return 0, fmt.Errorf("no request was answered")
	}
	return int(lost.Load()), nil
}

// playLongRequests sends long requests on a new connection, all at once or, without
// trouble, each after the answer to the one before. It returns how many were answered, and
// how many the node has read and not answered.
func (w *world) playLongRequests() (answered, lost int) {
	c, err := dialClient(w.node.address)
	if err != nil {
		w.note("not connected", err)
		return 0, 0
	}
	defer c.conn.Close()
	var messages []message
	for range longLength {
		messages = append(messages, message{id: w.nextID(), class: "order-paper", deadline: longDeadline, body: strings.Repeat("f", longBody)})
	}
	atOnce := 1
	if w.trouble {
		atOnce = len(messages)
	}
	for len(messages) > 0 {
		batch := messages[:atOnce]
		messages = messages[atOnce:]
		for _, m := range batch {
			w.note("sent", m.id)
		}
		if err := c.send(batch); err != nil {
			w.note("not written whole", err)
			return answered, lost
		}
		written := time.Now()
		for i, m := range batch {
			a := c.receive(written.Add(longDeadline + lostAfter + limitSlack))
			if a.status != 0 {
				answered++
				w.note("answered", m.id, a.status)
				continue
			}
			w.note("no answer", m.id, "written", a.at.Sub(written), "before:", a.err)
			return answered, lost + max(0, longCounted+1-i)
		}
	}
	return answered, lost
}
