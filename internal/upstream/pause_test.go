package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"strconv"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestProcessPausedAfterLastCheck guards against sending a request on the basis of
// outdated checks. The process is paused between the last checks of a request and its
// first byte; whatever changes during the pause must be taken into account.
func TestProcessPausedAfterLastCheck(t *testing.T) {
	const pauseTime = 400 * time.Millisecond
	const deadlineSlack = 150 * time.Millisecond // set by the operators: X-Deadline may exceed the time left by this
	for name, test := range map[string]struct {
		duringPause func(p *Pool) (clientDisconnected bool)
		startBy     time.Duration
		want        balancer.Outcome
	}{
		"time passes":            {func(*Pool) bool { return false }, testTimeout, balancer.OK},
		"the client disconnects": {func(*Pool) bool { return true }, testTimeout, balancer.NotSent},
		"the endpoint drains":    {func(p *Pool) bool { p.Set(endpoint, p.backends[endpoint].address, 0, true); return false }, testTimeout, balancer.NotSent},
		"the start is overdue":   {func(*Pool) bool { return false }, pauseTime, balancer.NotSent},
	} {
		t.Run(name, func(t *testing.T) {
			deadlines := make(chan time.Duration, 1)
			p := newTestPool(startEndpoint(t, func(_ int, c net.Conn, r *bufio.Reader) {
				for req := readRequest(r); req != nil; req = readRequest(r) {
					seconds, _ := strconv.ParseFloat(req.Header.Get(headerDeadline), 64)
					deadlines <- time.Duration(seconds * float64(time.Second))
					io.WriteString(c, okResponse)
				}
			}))
			ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
			defer cancel()
			startCtx := unendingContext{context.Background(), time.Now().Add(test.startBy)}
			r := newRequest()
			calls := 0
			clientDisconnected := false
			r.ClientDisconnected = func() bool {
				calls++
				disconnectedBefore := clientDisconnected
				if calls == 1 {
					clientDisconnected = test.duringPause(p)
					time.Sleep(pauseTime)
				}
				return disconnectedBefore
			}
			if got := p.Attempt(ctx, startCtx, endpoint, r); got.Outcome != test.want {
				t.Errorf("outcome %v (%v), want %v", got.Outcome, got.Err, test.want)
			}
			if test.want != balancer.OK {
				if len(deadlines) > 0 {
					t.Error("the request was sent")
				}
				return
			}
			left := testTimeout - pauseTime // upper limit
			if d := receive(t, deadlines, "the request"); d > left+deadlineSlack {
				t.Errorf("sent with X-Deadline %v, and at most %v was left", d, left)
			}
		})
	}
}
