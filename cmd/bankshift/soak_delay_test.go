package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// watchTestPauses measures, until done is closed, for how long the test process is
// paused: the time stamps that the test takes are late by that. It also reads the
// node's scheduling delay.
func (s *soakRun) watchTestPauses(done <-chan struct{}) {
	const step = 5 * time.Millisecond
	const decay = 0.995 // factor for the longest pause at each step, which halves it in 0.7 s
	const stepsPerReading = 10
	for i := 0; ; i++ {
		select {
		case <-time.After(step):
		case <-done:
			return
		}
		s.locked(func() {
			now := time.Now()
			if !s.lastTick.IsZero() {
				s.maxTestPause = max(now.Sub(s.lastTick)-step, time.Duration(decay*float64(s.maxTestPause)))
			}
			s.lastTick = now
			if i%stepsPerReading == 0 && s.nodeDelay.pid > 0 {
				s.nodeDelay.read(now)
			}
		})
	}
}

// timingError returns by how much the time stamps of the test process may be late.
// The caller holds s.mu.
func (s *soakRun) timingError() time.Duration {
	if s.lastTick.IsZero() {
		return 0
	}
	return max(s.maxTestPause, time.Since(s.lastTick))
}

// schedulingDelay records how long the threads of a process have waited for a CPU,
// according to /proc/PID/task/TID/schedstat.
type schedulingDelay struct {
	pid     int
	threads map[string]time.Duration // each thread's total wait when it was last read, by path of its schedstat file
	recent  []delayReading
}

// delayReading holds the longest time that any single thread has waited for a CPU
// since the reading before.
type delayReading struct {
	at      time.Time
	longest time.Duration
}

// recentDelayTime is the age up to which readings count.
const recentDelayTime = 2 * time.Second

// read adds a reading and drops those older than recentDelayTime.
func (d *schedulingDelay) read(now time.Time) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", d.pid)) // Glob fails only on malformed patterns
	longest := time.Duration(0)
	for _, file := range files {
		total, ok := readSchedstat(file)
		if !ok {
			continue // the thread has ended
		}
		if before, known := d.threads[file]; known {
			longest = max(longest, total-before)
		}
		d.threads[file] = total
	}
	d.recent = append(d.recent, delayReading{now, longest})
	for now.Sub(d.recent[0].at) > recentDelayTime {
		d.recent = d.recent[1:]
	}
}

// readSchedstat returns how long a thread has waited for a CPU in total. ok is false
// if the file cannot be read or parsed.
func readSchedstat(file string) (waited time.Duration, ok bool) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return 0, false
	}
	var ran, waitedNS, slices int64
	if _, err := fmt.Sscan(string(raw), &ran, &waitedNS, &slices); err != nil {
		return 0, false
	}
	return time.Duration(waitedNS), true
}

// longestRecent returns the longest time that a single thread waited for a CPU
// between two readings, of the readings of the last 2 s (recentDelayTime).
func (d *schedulingDelay) longestRecent(now time.Time) (longest time.Duration) {
	for _, r := range d.recent {
		if now.Sub(r.at) < recentDelayTime {
			longest = max(longest, r.longest)
		}
	}
	return longest
}
