package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// world is a node with its backends and its discovery.
type world struct {
	node     *nodeProcess
	backends []*backend
	agent    *agent
	record   *record
}

// startWorld starts backends and discovery, and a node with the given limits.
func startWorld(root string, rec *record, backends int, lim limits) (*world, error) {
	w := &world{record: rec}
	for i := range backends {
		b, err := startBackend(fmt.Sprintf("s-%04x", i), rec)
		if err != nil {
			return nil, err
		}
		w.backends = append(w.backends, b)
	}
	var err error
	if w.agent, err = startAgent(w.backends); err != nil {
		return nil, err
	}
	if w.node, err = startNode(root, lim, w.agent); err != nil {
		w.stop()
		return nil, err
	}
	return w, nil
}

func (w *world) stop() {
	if w.node != nil {
		w.node.stop()
	}
}

// runs returns how often each request was run, by all backends together.
func (w *world) runs() map[string]int {
	sum := map[string]int{}
	for _, b := range w.backends {
		b.mu.Lock()
		for id, count := range b.runs {
			sum[id] += count
		}
		b.mu.Unlock()
	}
	return sum
}

// between returns a random time from least to most.
func between(least, most time.Duration) time.Duration {
	return least + rand.N(most-least+1)
}

// usualService is the service time of a calm backend: the work of the site's
// classes on a fast machine.
func usualService(*http.Request) time.Duration {
	return between(15*time.Millisecond, 45*time.Millisecond)
}
