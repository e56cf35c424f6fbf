package main

import (
	"sync"
	"time"
)

// result is what a usual client saw of one request.
type result struct {
	request
	answer
	ended time.Time
}

// answerSlack is how long after its time a request may be answered: half a second,
// and 50 ms more on sockets.
const answerSlack = 550 * time.Millisecond

// lost reports whether the request got no final answer in time.
func (r result) lost() bool { return r.status == 0 || r.after > r.timeout+answerSlack }

// usualLoad is the load of usual clients.
type usualLoad struct {
	clients int
	pause   time.Duration // longest pause of a client between two requests
	end     time.Time
}

// usualRequest returns a request of the class whose turn it is. A try is given up
// after half of the class's give-up time.
func usualRequest(turn int) request {
	if turn%2 == 0 {
		return request{id: newID(), class: "save-page", timeout: 500 * time.Millisecond}
	}
	return request{id: newID(), class: "order-paper", timeout: 600 * time.Millisecond, bodySize: 212}
}

// run sends requests until the end, each client one at a time on a connection that it
// keeps, and returns the results.
func (l usualLoad) run(w *world) []result {
	var mu sync.Mutex
	var results []result
	var wg sync.WaitGroup
	for number := range l.clients {
		wg.Go(func() {
			c := &usualClient{address: w.node.address}
			defer c.close()
			time.Sleep(between(0, l.pause))
			for turn := number; time.Now().Before(l.end) && w.node.isRunning(); turn++ {
				r := usualRequest(turn)
				seen := result{request: r, answer: c.send(r, 2*time.Second), ended: time.Now()}
				w.record.linef("usual client: %s answered %d after %.3f s, %v", r.id, seen.status, seen.after.Seconds(), seen.err)
				mu.Lock()
				results = append(results, seen)
				mu.Unlock()
				time.Sleep(between(0, l.pause))
			}
		})
	}
	wg.Wait()
	return results
}
