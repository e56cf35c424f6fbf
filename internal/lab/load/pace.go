package load

import (
	"context"
	"runtime"
	"syscall"
	"time"
)

// spin is how long before its time the next send is waited for in small
// steps: the runtime's timers may be a millisecond late, the system's sleep
// some 60 µs.
const (
	spin = 2 * time.Millisecond
	step = 200 * time.Microsecond // bounds how late the end of ctx is seen
)

// paced calls send(i) at start+at(i) for i under n, in order, from a thread of
// its own.
func sendPaced(ctx context.Context, start time.Time, n int, at func(int) time.Duration, send func(int)) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	for i := range n {
		for {
			left := at(i) - time.Since(start)
			if left <= 0 {
				break
			}
			if left > spin {
				t := time.NewTimer(left - spin)
				select {
				case <-t.C:
				case <-ctx.Done():
					t.Stop()
				}
			} else {
				ts := syscall.NsecToTimespec(min(left, step).Nanoseconds())
				syscall.Nanosleep(&ts, nil) // cut short by a signal: the loop sleeps on
			}
			if ctx.Err() != nil {
				return ctx.Err()
			}
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		send(i)
	}
	return nil
}
