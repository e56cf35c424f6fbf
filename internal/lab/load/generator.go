package load

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"sync"
	"time"
)

// generator sends one stream and collects its report.
type generator struct {
	Config
	start time.Time

	mu     sync.Mutex
	report *Report
	pools  map[int]*connPool // by node
}

// Run sends the stream, which must be sorted by At, and returns when all requests
// have ended, which they also do when ctx ends. An error means that the
// configuration or the stream is invalid or that ctx has ended; failed requests
// are counted in the report.
func Run(ctx context.Context, c Config, stream []Request) (*Report, error) {
	if err := validate(c, stream); err != nil {
		return nil, err
	}
	if c.Connections <= 0 {
		c.Connections = DefaultConnections
	}
	if c.MaxSendDelay <= 0 {
		c.MaxSendDelay = DefaultMaxSendDelay
	}
	g := &generator{Config: c, pools: map[int]*connPool{}, report: newReport()}
	defer g.close()
	if err := g.sendAll(ctx, stream); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	g.checkSendDelay()
	return g.report, nil
}

func validate(c Config, stream []Request) error {
	if c.Route == nil {
		return errors.New("load: Config.Route is nil")
	}
	if len(stream) > MaxRequests {
		return fmt.Errorf("load: the stream has %d requests, want at most %d", len(stream), MaxRequests)
	}
	for i := range stream {
		r := &stream[i]
		sorted := i == 0 || r.At >= stream[i-1].At
		if r.At < 0 || r.At > MaxRequestTime || !sorted || r.Deadline <= 0 {
			return fmt.Errorf("load: request %d has time %v and deadline %v, want ascending times from 0 to %v and a positive deadline", i, r.At, r.Deadline, MaxRequestTime)
		}
	}
	return nil
}

// sendAll sends the requests at their intended times and waits until all have
// ended.
func (g *generator) sendAll(ctx context.Context, stream []Request) error {
	g.start = time.Now()
	var running sync.WaitGroup
	at := func(i int) time.Duration { return stream[i].At }
	err := sendPaced(ctx, g.start, len(stream), at, func(i int) {
		began := time.Now()
		running.Add(1)
		go func() {
			defer running.Done()
			result := g.sendRequest(ctx, &stream[i], began)
			g.record(&stream[i], result)
			if g.Done != nil {
				g.Done(i, &stream[i], result)
			}
		}()
	})
	running.Wait()
	if err == nil {
		err = ctx.Err() // requests that were under way have been aborted
	}
	return err
}

func (g *generator) record(r *Request, result Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.report.add(r.Class, result)
}

// checkSendDelay records a violation if the generator itself was too slow for the
// run to be valid.
func (g *generator) checkSendDelay() {
	if delay := time.Duration(g.report.SendDelay.ValueAtQuantile(99)); delay > g.MaxSendDelay {
		g.report.Violations = append(g.report.Violations, fmt.Sprintf(
			"the generator was late: %v at the 99th percentile, at most %v is allowed", delay, g.MaxSendDelay))
	}
}

// TryID returns the X-Request-Id of a try of the request with the given ID. Tries
// count from 0, and each has an ID of its own.
func TryID(id string, try int) string {
	if try == 0 {
		return id
	}
	return id + "-" + strconv.Itoa(try)
}

// minTryTime is how much time must be left until the deadline for a further try
// to be made.
const minTryTime = 20 * time.Millisecond

// sendRequest makes a request's tries until one is served or no further one is
// allowed. began is when the generator started the first.
func (g *generator) sendRequest(ctx context.Context, r *Request, began time.Time) Result {
	intended := g.start.Add(r.At)
	result := Result{SendDelay: began.Sub(intended), AddedLatency: -1}
	deadline := began.Add(r.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(g.Slack))
	defer cancel()
	for {
		tryBegan := began
		if result.Tries > 0 {
			tryBegan = time.Now()
		}
		resp, err := g.try(ctx, r, deadline, result.Tries)
		result.Tries++
		result.Status = resp.status
		result.Err = err
		result.Outcome = outcomeOf(ctx, resp, err)
		if result.Outcome == Served {
			result.Latency = resp.endedAt.Sub(intended)
			if resp.serviceTime > 0 && result.Tries == 1 {
				result.AddedLatency = max(0, resp.endedAt.Sub(tryBegan)-resp.serviceTime)
			}
			return result
		}
		if !g.mayRetry(r, result, err) {
			return result
		}
		wait := resp.retryAfter
		if wait <= 0 {
			wait = g.Backoff
		}
		if time.Until(deadline)-wait < minTryTime {
			return result
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return result
		}
	}
}

// outcomeOf returns the outcome of a try.
func outcomeOf(ctx context.Context, resp response, err error) Outcome {
	switch {
	case resp.status == http.StatusOK:
		return Served
	case errors.Is(ctx.Err(), context.DeadlineExceeded), errors.Is(err, os.ErrDeadlineExceeded):
		return Lost
	case resp.status == http.StatusTooManyRequests, resp.status == http.StatusServiceUnavailable:
		return Rejected
	}
	return Failed
}

// mayRetry reports whether the client may make a further try after one that was
// not served.
func (g *generator) mayRetry(r *Request, result Result, err error) bool {
	if result.Outcome == Lost || result.Tries > g.Retries {
		return false
	}
	return result.Outcome == Rejected || r.RetryOnFailure || errors.Is(err, errUnreachable)
}

// errUnreachable means that a try reached no node and so was never executed.
var errUnreachable = errors.New("no node is reachable")

// try makes one try of a request. If a reused connection ends before the first
// byte of a response, the node may have closed it as idle at that moment, and try
// sends the request once more on another connection. It does not do so for a
// request that is not idempotent: the client cannot tell such a close from a node
// that died after it had read the request.
func (g *generator) try(ctx context.Context, r *Request, deadline time.Time, try int) (response, error) {
	node, address := g.Route(r, try)
	if address == "" {
		return response{}, errUnreachable
	}
	pool := g.poolOf(node)
	for fresh := false; ; fresh = true {
		c, err := g.get(ctx, pool, address, fresh)
		if err != nil {
			return response{}, fmt.Errorf("%w: %w", errUnreachable, err)
		}
		reused := c.used
		e := exchange{conn: c, request: r, id: TryID(r.ID, try), deadline: deadline, isRetry: try > 0}
		resp, err := g.roundTrip(ctx, &e)
		if err != nil || !e.reusable {
			c.Close()
			c = nil
		}
		pool.put(c)
		closedWhenIdle := err != nil && reused && !e.responseBegan && !fresh
		if closedWhenIdle && r.Idempotency != NotIdempotent && ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return resp, err
	}
}
