package main

import (
	"sync"
	"time"
)

func init() { cases["memory"] = memory }

// Sizes of the case.
const (
	memoryMB      = 32
	memorySockets = 1024
	memoryBad     = 400
	longestBody   = 64 << 10 // a body holds 64 KiB at most
)

// memory: bad clients stop in the middle of a request and stay. The platform kills
// the node if its memory goes over the limit; the rule is broken if it does.
func memory(root string, rec *record, trouble bool) (broken bool, err error) {
	w, err := startWorld(root, rec, 12, limits{memoryMB: memoryMB, sockets: memorySockets})
	if err != nil {
		return false, err
	}
	defer w.stop()
	load := usualLoad{clients: 40, pause: 250 * time.Millisecond, end: time.Now().Add(10 * time.Second)}
	var wg sync.WaitGroup
	platform := &memoryWatch{world: w}
	wg.Go(func() { platform.run(load.end) })
	if trouble {
		for range memoryBad {
			wg.Go(func() {
				time.Sleep(4 * time.Second)
				first := badClient{address: w.node.address, send: sendPart}.run()
				rec.linef("bad client: first byte or close after %.3f s", first.Seconds())
			})
		}
	}
	results := load.run(w)
	wg.Wait()
	lost := 0
	for _, r := range results {
		if r.lost() {
			lost++
		}
	}
	rec.sayf("largest memory %.1f MB anonymous (%.1f MB with mapped files), limit %d MB; killed: %v",
		platform.anonymous, platform.all, memoryMB, platform.killed)
	rec.sayf("%d requests of usual clients, %d without a final answer in time", len(results), lost)
	return platform.killed, nil
}

// memoryWatch is the platform's watch over a node's memory. Mapped files, such as the
// program itself, are not held against the node.
type memoryWatch struct {
	world          *world
	all, anonymous float64 // largest seen, in MB
	killed         bool
}

// run watches until the end, and kills the node if it is over its limit.
func (m *memoryWatch) run(end time.Time) {
	for time.Now().Before(end) {
		all, anonymous := m.world.node.residentMB()
		m.all, m.anonymous = max(m.all, all), max(m.anonymous, anonymous)
		if anonymous > memoryMB {
			m.world.record.linef("platform: the node holds %.1f MB, %.1f MB with mapped files, and is killed", anonymous, all)
			m.killed = true
			m.world.node.process.Process.Kill()
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
}
