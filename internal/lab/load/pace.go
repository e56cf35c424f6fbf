package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	// nanosleepWindow is how long before the next send the wait switches from
	// a Go timer, which may be a millisecond late, to nanosleep(2), which is
	// late by about 60 µs.
	nanosleepWindow = 2 * time.Millisecond
	// maxSleep limits one nanosleep, which the end of ctx cannot interrupt, and
	// so how late that end is noticed.
	maxSleep = 200 * time.Microsecond
)

// sendPaced calls send(i) at start+at(i) for i from 0 to n-1, in order. It locks
// its goroutine to an OS thread, which runs nothing else meanwhile.
func sendPaced(ctx context.Context, start time.Time, n int, at func(int) time.Duration, send func(int)) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range n {
		if err := sleepUntil(ctx, start.Add(at(i))); err != nil {
			return err
		}
		send(i)
	}
	return nil
}

// sleepUntil returns nil at the given time, up to about 60 µs late, or ctx's error
// if ctx ends first.
func sleepUntil(ctx context.Context, until time.Time) error {
	for ctx.Err() == nil {
		left := time.Until(until)
		if left <= 0 {
			return nil
		}
		if left > nanosleepWindow {
			sleep(ctx, left-nanosleepWindow)
			continue
		}
		ts := syscall.NsecToTimespec(min(left, maxSleep).Nanoseconds())
		syscall.Nanosleep(&ts, nil) // may end early because of a signal
	}
	return ctx.Err()
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
