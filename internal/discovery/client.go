package discovery

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// maxConnections limits the connections to discovery. It allows for all requests of
// a long poll and for one earlier request that has not ended yet.
const maxConnections = maxLongPollRequests + 1

// Client polls discovery over HTTP as its Watcher schedules it. The callbacks must
// be set before Run, which calls them one at a time from the goroutine that it runs
// on. Request and Close may be called from any goroutine.
type Client struct {
	OnUpdate  func(List) // receives each list, in order
	OnFailure func()     // called for each failed poll of an on-demand schedule; may be nil otherwise

	url       string
	http      *http.Client
	schedule  PollSchedule
	log       *slog.Logger
	startTime time.Time
	closed    chan struct{} // closed by Close
	requested chan struct{} // wakes sleep; holds a value after a Request

	mu         sync.Mutex // guards the fields below
	watcher    *Watcher
	cancelPoll context.CancelFunc // cancels the poll in flight; nil if there is none

	// closesConnections is set once discovery has closed a connection after its
	// response. On-demand long polls use new connections from then on.
	closesConnections atomic.Bool
}

// NewClient returns a Client for the discovery service at address (host:port).
// random is the source of jitter and returns values in [0,1). Nothing is sent before
// Run.
func NewClient(address string, schedule PollSchedule, random func() float64, log *slog.Logger) *Client {
	dialer := &net.Dialer{Timeout: schedule.ResponseTimeout}
	transport := &http.Transport{
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: 1,
		DialContext:         dialer.DialContext,
	}
	return &Client{
		url:       "http://" + address + "/registry/instances",
		http:      &http.Client{Transport: transport},
		schedule:  schedule,
		log:       log,
		startTime: time.Now(),
		closed:    make(chan struct{}),
		requested: make(chan struct{}, 1),
		watcher:   NewWatcher(schedule, random),
	}
}

// Run polls until ctx is done or Close is called. It then closes the connections.
func (c *Client) Run(ctx context.Context) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	defer c.http.CloseIdleConnections()
	go func() {
		select {
		case <-c.closed:
			stop()
		case <-ctx.Done():
		}
	}()
	for ctx.Err() == nil {
		poll, at, ok, pollCtx := c.next(ctx)
		if ok {
			c.pollOnce(ctx, pollCtx, poll)
		} else {
			c.sleep(ctx, at)
		}
	}
}

// Request passes what the caller wants on demand to Watcher.Request, and cancels the
// poll in flight if its result no longer counts. It does not block.
func (c *Client) Request(fetch, subscribe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	cancel := c.watcher.Request(c.now(), fetch, subscribe)
	if cancel && c.cancelPoll != nil {
		c.cancelPoll()
	}
	select {
	case c.requested <- struct{}{}:
	default:
	}
}

// Close makes Run cancel the poll in flight, close the connections and return. It
// must be called only once.
func (c *Client) Close() { close(c.closed) }

// now returns the time on the Watcher's clock, which starts when the Client is
// created.
func (c *Client) now() time.Duration { return time.Since(c.startTime) }

// next returns the poll that is due and a context for it that Request can cancel. If
// no poll is due, ok is false and at is the time to call next again.
func (c *Client) next(ctx context.Context) (poll Poll, at time.Duration, ok bool, pollCtx context.Context) {
	c.mu.Lock()
	defer c.mu.Unlock()
	poll, at, ok = c.watcher.Next(c.now())
	if ok {
		ctx, c.cancelPoll = context.WithCancel(ctx)
	}
	return poll, at, ok, ctx
}

// sleep waits until a time on the Watcher's clock, a Request or the end of ctx,
// whichever comes first.
func (c *Client) sleep(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(until - c.now())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-c.requested:
	case <-ctx.Done():
	}
}

// pollOnce sends a poll and passes its result to the Watcher and to the callbacks.
func (c *Client) pollOnce(ctx, pollCtx context.Context, poll Poll) {
	list, err := c.fetch(pollCtx, poll)
	report := c.finish(poll, list, err)
	if !report || ctx.Err() != nil {
		return
	}
	if err == nil {
		c.OnUpdate(list)
		return
	}
	c.log.Warn("discovery failed", "err", err)
	if c.schedule.OnDemand {
		c.OnFailure()
	}
}

// finish passes the result of a poll to the Watcher. It returns whether to report
// the result to the callbacks.
func (c *Client) finish(poll Poll, list List, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancelPoll()
	c.cancelPoll = nil
	switch {
	case err == nil:
		return c.watcher.Succeeded(c.now(), poll, list)
	case errors.Is(err, errRejected):
		return c.watcher.Rejected(c.now(), poll)
	default:
		return c.watcher.Failed(c.now(), poll)
	}
}

// fetch sends the requests of a poll at its RequestTimes. It returns the first list,
// or the last error once all requests sent so far have failed. It cancels the
// requests that are still running.
func (c *Client) fetch(ctx context.Context, poll Poll) (List, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type result struct {
		list List
		err  error
	}
	started := time.Now()
	times := poll.RequestTimes()
	results := make(chan result, len(times))
	send := func(request Poll) {
		request.Timeout -= time.Since(started)
		go func() {
			list, err := c.request(ctx, request)
			results <- result{list, err}
		}()
	}
	send(poll)
	sent, running := 1, 1
	for {
		var hedge <-chan time.Time // nil: no request is left to send
		if sent < len(times) {
			hedge = time.After(times[sent] - time.Since(started))
		}
		select {
		case r := <-results:
			running--
			if r.err == nil || running == 0 {
				return r.list, r.err
			}
		case <-hedge:
			send(poll.short())
			sent++
			running++
		}
	}
}
