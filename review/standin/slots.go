package main

import (
	"net"
	"sync"
	"time"
)

func init() { cases["slots"] = slots }

// Sizes of the case. For requests, clients hold at most a third of the descriptors.
const (
	slotsSockets = 256
	slotsClients = 80
	slotsBad     = 300
	troubleTime  = 4 * time.Second
)

// slots: bad clients send bodies of 60 MB. The rule is broken if a request of a usual
// client gets no final answer in time.
func slots(root string, rec *record, trouble bool) (broken bool, err error) {
	w, err := startWorld(root, rec, 12, limits{memoryMB: 128, sockets: slotsSockets})
	if err != nil {
		return false, err
	}
	defer w.stop()
	load := usualLoad{clients: slotsClients, pause: 500 * time.Millisecond, end: time.Now().Add(12 * time.Second)}
	var wg sync.WaitGroup
	if trouble {
		for range slotsBad {
			wg.Go(func() {
				time.Sleep(4 * time.Second)
				beBad(w, sendHugeBody, time.Now().Add(troubleTime))
			})
		}
	}
	results := load.run(w)
	wg.Wait()
	counts := map[int]int{}
	lost, never := 0, 0
	latest := time.Duration(0)
	for _, r := range results {
		counts[r.status]++
		if r.lost() {
			lost++
			latest = max(latest, r.after-r.timeout)
			w.record.linef("lost: %s, its client waits %.3f s, answered %d after %.3f s", r.id, r.timeout.Seconds(), r.status, r.after.Seconds())
		}
		if r.status == 0 {
			never++
		}
	}
	rec.sayf("%d requests of usual clients, by status %v; %d lost (%d of them without any answer), the latest answer %.3f s past its time",
		len(results), counts, lost, never, latest.Seconds())
	return lost > 0, nil
}

// beBad is one bad client: it connects again as soon as it is turned away.
func beBad(w *world, send func(net.Conn), end time.Time) {
	for time.Now().Before(end) {
		first := badClient{address: w.node.address, send: send}.run()
		w.record.linef("bad client: turned away after %.3f s", first.Seconds())
	}
}
