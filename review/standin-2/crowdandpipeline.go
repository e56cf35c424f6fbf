package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// Sizes of the case crowd-and-pipeline.
const (
	idleClients         = 150
	idlePause           = 100 * time.Millisecond // of an idle client until it comes again
	crowdedPipelines    = 10                     // clients that send some requests at once
	crowdedPipelineTime = 10 * time.Second
)

// playCrowdAndPipeline plays idle clients that fill the node's descriptors, and clients that
// send some requests at once on the connections that they keep. What counts as lost is as
// in playEndWithPipeline.
func playCrowdAndPipeline(w *world) (broken int, err error) {
	if err := w.startEndpoints(10, func(arrival) plan { return plan{work: pipelineWork} }); err != nil {
		return 0, err
	}
	if err := w.startNode(64, 256); err != nil {
		return 0, err
	}
	run := &pipelineRun{world: w, over: make(chan struct{})}
	var clients sync.WaitGroup
	if w.trouble {
		for range idleClients {
			clients.Add(1)
			go func() {
				defer clients.Done()
				run.playIdleClient()
			}()
		}
	}
	for i := range crowdedPipelines {
		clients.Add(1)
		go func() {
			defer clients.Done()
			time.Sleep(time.Duration(i) * 11 * time.Millisecond)
			run.playClient()
		}()
	}
	time.Sleep(crowdedPipelineTime)
	close(run.over)
	clients.Wait()
	w.summary("answered %d, lost %d, not counted as they may have crossed the close %d", run.answered.Load(), run.lost.Load(), run.excused.Load())
	if run.answered.Load() < 100 {
		return 0, fmt.Errorf("only %d requests were answered", run.answered.Load())
	}
	return int(run.lost.Load()), nil
}

// playIdleClient connects, sends nothing, and connects again when the node has ended the
// connection.
func (r *pipelineRun) playIdleClient() {
	for !r.isOver() {
		c, err := dialClient(r.node.address)
		if err != nil {
			time.Sleep(pipelinePause)
			continue
		}
		c.conn.SetReadDeadline(time.Now().Add(4 * time.Second))
		io.Copy(io.Discard, c.conn)
		c.conn.Close()
		time.Sleep(idlePause)
	}
}
