package main

import (
	"bytes"
	"net"
	"sync"
	"time"
)

func init() { cases["hang"] = hang }

// Sizes of the case. For requests, clients hold at most a third of the descriptors.
const (
	hangSockets = 256
	hangClients = 40
	hangBad     = 200
	hangAfter   = 4 * time.Second  // the bad clients connect then
	hangTime    = 20 * time.Second // and stay for so long, if the node lets them
)

// hang: bad clients send a request and, right behind it, a part of a second one, and
// stay. The rule is broken if a request of a usual client gets no final answer in time.
func hang(root string, rec *record, trouble bool) (broken bool, err error) {
	w, err := startWorld(root, rec, 12, limits{memoryMB: 128, sockets: hangSockets})
	if err != nil {
		return false, err
	}
	defer w.stop()
	begun := time.Now()
	load := usualLoad{clients: hangClients, pause: 250 * time.Millisecond, end: begun.Add(hangAfter + hangTime)}
	var stayed tally
	var wg sync.WaitGroup
	if trouble {
		for range hangBad {
			wg.Go(func() {
				time.Sleep(hangAfter)
				stayed.add(stopInSecondRequest(w))
			})
		}
	}
	ready := make(chan string, 1)
	time.AfterFunc(hangAfter+hangTime/2, func() { ready <- w.node.health(3 * time.Second) })
	results := load.run(w)
	wg.Wait()
	counts := map[int]int{}
	lost, never := 0, 0
	for _, r := range results {
		counts[r.status]++
		if r.status == 0 {
			never++
		}
		if r.lost() {
			lost++
			rec.linef("lost: %s, its client waits %.3f s, answered %d after %.3f s, %v", r.id, r.timeout.Seconds(), r.status, r.after.Seconds(), r.err)
		}
	}
	rec.sayf("bad clients: %d, %d of them still connected 3 s after they had connected, %d at the end", stayed.all, stayed.over3, stayed.atEnd)
	rec.sayf("the platform asked for /health/ready %v after they had connected: %s", hangTime/2, <-ready)
	rec.sayf("%d requests of usual clients, by status %v; %d lost, %d of them without an answer in 2 s", len(results), counts, lost, never)
	return lost > 0, nil
}

// tally counts for how long bad clients stayed connected.
type tally struct {
	mu                sync.Mutex
	all, over3, atEnd int
}

func (t *tally) add(connected time.Duration, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.all++
	if connected > 3*time.Second {
		t.over3++
	}
	if !closed {
		t.atEnd++
	}
}

// stopInSecondRequest is a bad client. It sends a whole request and the first part of
// another one at once, reads what it is sent, and stays. It returns how long it was
// connected and whether the node closed the connection.
func stopInSecondRequest(w *world) (connected time.Duration, closed bool) {
	c, err := net.DialTimeout("tcp", w.node.address, 5*time.Second)
	if err != nil {
		return 0, true
	}
	defer c.Close()
	begun := time.Now()
	first := request{id: newID(), class: "save-page", timeout: 500 * time.Millisecond}
	second := request{id: newID(), class: "order-paper", timeout: 600 * time.Millisecond, bodySize: 212}
	message := bytes.Join([][]byte{first.encode(), second.encode()}, nil)
	if _, err := c.Write(message[:len(message)-100]); err != nil {
		return time.Since(begun), true
	}
	c.SetReadDeadline(begun.Add(hangTime))
	buffer := make([]byte, 4096)
	for {
		n, err := c.Read(buffer)
		if n > 0 {
			w.record.linef("bad client: got %q", firstLine(buffer[:n]))
		}
		if err != nil {
			timeout, ok := err.(net.Error)
			closed = !ok || !timeout.Timeout()
			w.record.linef("bad client: connected for %.3f s, closed by the node: %v", time.Since(begun).Seconds(), closed)
			return time.Since(begun), closed
		}
	}
}

func firstLine(text []byte) []byte {
	line, _, _ := bytes.Cut(text, []byte("\r\n"))
	return line
}
