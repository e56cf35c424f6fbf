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

// player is a stream that is being played.
type player struct {
	Config
	start time.Time

	mu     sync.Mutex
	report *Report
	conns  map[int]*nodeConns // by node
}

// Play sends the stream, which must be sorted by At, and returns when every
// request or ctx has ended. An error means that the stream could not be played;
// failures of requests are in the report.
func Play(ctx context.Context, c Config, stream []Request) (*Report, error) {
	if err := check(c, stream); err != nil {
		return nil, err
	}
	if c.Connections <= 0 {
		c.Connections = DefaultConnections
	}
	if c.MaxSendDelay <= 0 {
		c.MaxSendDelay = DefaultMaxSendDelay
	}
	p := &player{Config: c, conns: map[int]*nodeConns{}, report: newReport()}
	defer p.close()
	if err := p.playAll(ctx, stream); err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	p.checkSendDelay()
	return p.report, nil
}

func check(c Config, stream []Request) error {
	if c.Route == nil {
		return errors.New("load: no route to the nodes")
	}
	if len(stream) > MaxRequests {
		return fmt.Errorf("load: %d requests, at most %d are played", len(stream), MaxRequests)
	}
	for i := range stream {
		r := &stream[i]
		sorted := i == 0 || r.At >= stream[i-1].At
		if r.At < 0 || r.At > MaxDuration || !sorted || r.Deadline <= 0 {
			return fmt.Errorf("load: request %d at %v with deadline %v: out of order or bounds", i, r.At, r.Deadline)
		}
	}
	return nil
}

// playAll sends the requests at their times and waits for their ends.
func (p *player) playAll(ctx context.Context, stream []Request) error {
	p.start = time.Now()
	var running sync.WaitGroup
	at := func(i int) time.Duration { return stream[i].At }
	err := sendPaced(ctx, p.start, len(stream), at, func(i int) {
		began := time.Now()
		running.Add(1)
		go func() {
			defer running.Done()
			result := p.play(ctx, &stream[i], began)
			p.record(&stream[i], result)
			if p.Done != nil {
				p.Done(i, &stream[i], result)
			}
		}()
	})
	running.Wait()
	if err == nil {
		err = ctx.Err() // requests under way were cut short
	}
	return err
}

func (p *player) record(r *Request, result Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.report.add(r.Class, result)
}

// checkSendDelay records whether the generator itself spoilt the run.
func (p *player) checkSendDelay() {
	if delay := time.Duration(p.report.SendDelay.ValueAtQuantile(99)); delay > p.MaxSendDelay {
		p.report.Violations = append(p.report.Violations, fmt.Sprintf(
			"the generator was late: %v at the 99th percentile, at most %v is allowed", delay, p.MaxSendDelay))
	}
}

// TryID is the X-Request-Id of a request's try, counted from 0. Every try has
// its own.
func TryID(id string, try int) string {
	if try == 0 {
		return id
	}
	return id + "-" + strconv.Itoa(try)
}

// minTryTime is the least time before the deadline with which a further try is
// made.
const minTryTime = 20 * time.Millisecond

// play makes a request's tries. began is when the generator started the first.
func (p *player) play(ctx context.Context, r *Request, began time.Time) Result {
	intended := p.start.Add(r.At)
	result := Result{SendDelay: began.Sub(intended), Added: -1}
	deadline := began.Add(r.Deadline)
	ctx, cancel := context.WithDeadline(ctx, deadline.Add(p.Slack))
	defer cancel()
	for {
		tryBegan := began
		if result.Tries > 0 {
			tryBegan = time.Now()
		}
		resp, err := p.try(ctx, r, deadline, result.Tries)
		result.Tries++
		result.Status = resp.status
		result.Err = err
		result.Outcome = outcomeOf(ctx, resp, err)
		if result.Outcome == Served {
			result.Latency = resp.endedAt.Sub(intended)
			if resp.serviceTime > 0 && result.Tries == 1 {
				result.Added = max(0, resp.endedAt.Sub(tryBegan)-resp.serviceTime)
			}
			return result
		}
		if !p.mayRetry(r, result, err) {
			return result
		}
		wait := resp.retryAfter
		if wait <= 0 {
			wait = p.Backoff
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

// outcomeOf is how a try ended.
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

// mayRetry reports whether the client may make a further try after the last
// one, which was not served.
func (p *player) mayRetry(r *Request, result Result, err error) bool {
	if result.Outcome == Lost || result.Tries > p.Retries {
		return false
	}
	return result.Outcome == Rejected || r.RetryOnFailure || errors.Is(err, errUnreachable)
}

// errUnreachable means that a try reached no node: it was never executed.
var errUnreachable = errors.New("no node is reachable")

// try sends a request once, and once more if the node closed an idle connection
// at that moment. A request that is not idempotent is not sent again: its
// client cannot tell such a close from a node that died after it had read the
// request.
func (p *player) try(ctx context.Context, r *Request, deadline time.Time, try int) (response, error) {
	node, address := p.Route(r, try)
	if address == "" {
		return response{}, errUnreachable
	}
	conns := p.connsOf(node)
	for fresh := false; ; fresh = true {
		c, err := p.take(ctx, conns, address, fresh)
		if err != nil {
			return response{}, fmt.Errorf("%w: %w", errUnreachable, err)
		}
		reused := c.used
		e := exchange{conn: c, request: r, id: TryID(r.ID, try), deadline: deadline, isRetry: try > 0}
		resp, err := p.run(ctx, &e)
		if err != nil || !e.reusable {
			c.Close()
			c = nil
		}
		conns.put(c)
		closedWhenIdle := err != nil && reused && !e.responseBegan && !fresh
		if closedWhenIdle && r.Idempotency != NotIdempotent && ctx.Err() == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		return resp, err
	}
}
