package main

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

func init() { cases["twice"] = twice }

// Sizes of the case. A node receives 200 to 320 requests a second.
const (
	twiceTime       = 20 * time.Second
	twiceClients    = 16
	twiceBadClients = 4
	copyPause       = 20 * time.Millisecond // between two copies of one bad client
)

// openRequest is a request of a usual client.
type openRequest struct {
	request
	answeredAt time.Time // when its client had the whole answer; zero: it is open
	copiedAt   time.Time // when the last byte of the copy was written; zero: there is no whole copy
	copyStatus int       // the status with which the copy was answered
	behind     bool      // the copy was sent right behind another request
	taken      bool      // a bad client copies it
}

// registry holds the requests of the usual clients, from the time at which their
// last byte was written.
type registry struct {
	mu   sync.Mutex
	open []*openRequest
	all  []*openRequest
}

func (r *registry) add(o *openRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = append(r.open, o)
	r.all = append(r.all, o)
}

func (r *registry) answered(o *openRequest) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	o.answeredAt = now
	r.open = slices.DeleteFunc(r.open, func(other *openRequest) bool { return other == o })
}

// take returns an open request that no bad client has copied yet, or nil.
func (r *registry) take() *openRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.open) == 0 {
		return nil
	}
	o := r.open[rand.IntN(len(r.open))]
	if o.taken {
		return nil
	}
	o.taken = true
	return o
}

// twice: bad clients send the ID of another client's open request. The rule is
// broken if such a copy is served and the request runs twice.
func twice(root string, rec *record, trouble bool) (broken bool, err error) {
	w, err := startWorld(root, rec, 10, limits{memoryMB: 128, sockets: 1024})
	if err != nil {
		return false, err
	}
	defer w.stop()
	end := time.Now().Add(twiceTime)
	var reg registry
	var wg sync.WaitGroup
	for range twiceClients {
		wg.Go(func() { orderPaper(w, &reg, end) })
	}
	if trouble {
		for number := range twiceBadClients {
			wg.Go(func() { copyOpenRequests(w, &reg, end, number%2 == 1) })
		}
	}
	wg.Wait()
	return judgeTwice(w, &reg), nil
}

// orderPaper is a usual client: one request at a time, on a connection that it keeps.
func orderPaper(w *world, reg *registry, end time.Time) {
	c := &usualClient{address: w.node.address}
	defer c.close()
	for time.Now().Before(end) {
		o := &openRequest{request: request{id: newID(), class: "order-paper", timeout: 600 * time.Millisecond, bodySize: 212}}
		c.written = func() { reg.add(o) }
		a := c.exchange(o.request, 2*time.Second)
		reg.answered(o)
		w.record.linef("usual client: %s answered %d after %.3f s, %v", o.id, a.status, a.after.Seconds(), a.err)
		if a.status == 0 {
			c.close()
		}
		time.Sleep(between(0, 40*time.Millisecond))
	}
}

// copyOpenRequests is a bad client: it sends copies of requests that are open. With
// behind, it sends two requests at once, the second of which is the copy.
func copyOpenRequests(w *world, reg *registry, end time.Time, behind bool) {
	c := &usualClient{address: w.node.address}
	defer c.close()
	for time.Now().Before(end) {
		if o := reg.take(); o != nil {
			o.behind = behind
			c.written = func() { o.copiedAt = time.Now() }
			a := sendCopy(c, o)
			o.copyStatus = a.status
			w.record.linef("bad client: copy of %s (behind another request: %v) answered %d after %.4f s, %v", o.id, behind, a.status, a.after.Seconds(), a.err)
			if a.status == 0 {
				c.close()
			}
		}
		time.Sleep(copyPause)
	}
}

// sendCopy sends the copy and returns its answer.
func sendCopy(c *usualClient, o *openRequest) answer {
	if !o.behind {
		return c.exchange(o.request, 2*time.Second)
	}
	first := request{id: newID(), class: "order-paper", timeout: 600 * time.Millisecond, bodySize: 212}
	if a := c.exchangeAll([]request{first, o.request}, 2*time.Second); a[0].status != 0 {
		return a[1]
	}
	return answer{}
}

// copies counts the copies of one kind that were sent while the request was open.
type copies struct {
	sent, served int
	twice        int           // served, so that the request ran twice
	longest      time.Duration // from the last byte of such a copy to the answer to the first
}

// judgeTwice counts the copies that were sent while the request was open, and
// reports whether one of them was served so that the request ran twice.
func judgeTwice(w *world, reg *registry) (broken bool) {
	runs := w.runs()
	kinds := map[bool]*copies{false: {}, true: {}}
	alone := 0
	for _, o := range reg.all {
		if o.copiedAt.IsZero() && runs[o.id] > 1 {
			alone++
			w.record.linef("%s was sent once and ran %d times", o.id, runs[o.id])
		}
		if o.copiedAt.IsZero() || !o.copiedAt.Before(o.answeredAt) {
			continue
		}
		kind := kinds[o.behind]
		kind.sent++
		if o.copyStatus != 200 {
			continue
		}
		kind.served++
		if runs[o.id] > 1 {
			kind.twice++
			lead := o.answeredAt.Sub(o.copiedAt)
			kind.longest = max(kind.longest, lead)
			w.record.linef("%s ran %d times; its copy was written %.2f ms before the answer to the first", o.id, runs[o.id], 1000*lead.Seconds())
		}
	}
	w.record.sayf("%d requests of usual clients; %d of those that were sent once ran twice", len(reg.all), alone)
	for _, behind := range []bool{false, true} {
		k := kinds[behind]
		w.record.sayf("copies sent while the request was open, behind another request %v: %d, of these served %d, so that the request ran twice %d, written up to %.1f ms before the answer to the first",
			behind, k.sent, k.served, k.twice, 1000*k.longest.Seconds())
	}
	return alone+kinds[false].twice+kinds[true].twice > 0
}
