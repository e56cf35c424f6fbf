package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

const (
	// nanosleepWindow is how long before its time the next send is awaited in short
	// steps: the runtime's timers may be a millisecond late, the system's
	// sleep some 60 µs.
	nanosleepWindow = 2 * time.Millisecond
	// maxSleep bounds how late the end of ctx is noticed.
	maxSleep = 200 * time.Microsecond
)

// sendPaced calls send(i) at start+at(i) for i from 0 to n-1, in order, from a
// thread of its own.
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

// sleepUntil returns at a time, to some 60 µs, or with ctx's error.
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
		syscall.Nanosleep(&ts, nil) // a signal may cut it short
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
