// Package load plays a stream of requests that was drawn ahead on real nodes:
// an open-loop HTTP/1.1 generator. A request goes out at its intended time
// whatever became of those before it, and latencies count from that time, so a
// node that stalls is charged for all that had to wait.
//
// How clients talk is in PROTOCOL-bankshift.md, "Clients to nodes".
package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Effect says what a second execution of a request would do; it sets the
// method and whether a key is sent.
type Idempotency int

const (
	Idempotent      Idempotency = iota // GET
	IdempotentByKey                    // POST with Idempotency-Key
	NotIdempotent                      // POST without
)

// Request is one request of a stream.
type Request struct {
	At             time.Duration // intended time of sending, since the start
	Node           int           // to which a client's connection was dealt out
	ID             string        // of the first try; further ones are told apart by a suffix
	Class          string
	Idempotency    Idempotency
	Subject        string // the path's last part
	Tenant         string // "": none
	Key            string // Idempotency-Key of a keyed one
	Deadline       time.Duration
	RetryOnFailure bool        // a client may try again after a failure too
	Header         [][2]string // further headers, as for a stand-in
}

// Ending is how a request ended for its client, after all of its tries.
type Outcome int

const (
	Served   Outcome = iota
	Rejected         // 429 or 503, and no further try
	Failed           // any other answer, or a connection that broke or did not come up
	Lost             // nothing by the deadline and its slack
)

func (e Outcome) String() string {
	return [...]string{"served", "refused", "failed", "lost"}[e]
}

// Outcome is what became of a request.
type Result struct {
	Outcome
	Latency   time.Duration // from the intended time of the first try to the end of the answer; when served
	SendDelay time.Duration // by which the first try was late in being handed out
	Added     time.Duration // when served at the first try: from its handing out to the answer, less the server's account; <0: none
	Tries     int
	Status    int   // of the last answer; 0: none
	Err       error // why there was none
}

// Config says how to play a stream. Route is needed; the rest has defaults.
type Config struct {
	// Route says to which node a request's try goes, counted from 0, and where
	// that listens: as the front has dealt out its client's connection. "" is
	// nowhere. It is called for each try, from many goroutines.
	Route func(r *Request, try int) (node int, address string)
	// Connections bounds those to one node at once; a request beyond waits for
	// one to fall free. 0: DefaultConnections.
	Connections int
	// Retries is how many further tries a client makes that was refused or
	// found no node, after the time that Retry-After tells, or Backoff; and
	// one that failed, where Request.Repeat allows.
	Retries     int
	Backoff     time.Duration
	MarkRetries bool // X-Retry: 1 on further tries
	// Slack is how long past the deadline an answer is still waited for.
	Slack time.Duration
	// ServerTime names the answer's header in which a stand-in server says how
	// long it had the request, in seconds. "": nothing is told.
	ServiceTimeHeader string
	// LateBound is how late the 99th percentile of sends may be before the run
	// is void. 0: DefaultLateBound.
	MaxSendDelay time.Duration
	// Done is told of each request's end, from many goroutines. May be nil.
	Done func(i int, r *Request, o Result)
}

const (
	// DefaultConnections is what a node of 1,024 descriptors takes from
	// clients: half of those that it does not keep for itself.
	DefaultConnections = 400
	// DefaultLateBound is under a quarter of the 4.6 ms that a node may add.
	DefaultMaxSendDelay = time.Millisecond
	// MostRequests bounds a run: an hour at 1,000 a second.
	MaxRequests = 3_600_000
	// MostTime bounds a run's length.
	MaxDuration = time.Hour

	retrySlack = 20 * time.Millisecond // a try with less than this left is not made
)

// Report is what a stream came to.
type Report struct {
	Offered, Served, Rejected, Failed, Lost, Tries int
	Dials                                          int                                // connections that came up
	Waited                                         int                                // requests that found all connections to their node busy
	Latency                                        map[string]*hdrhistogram.Histogram // ns, by class, and "all"
	Added                                          *hdrhistogram.Histogram            // ns
	SendDelay                                      *hdrhistogram.Histogram            // ns, of all sends
	Violations                                     []string                           // why the run is void; empty: it is not
}

// NewHistogram makes one for times up to a minute, to three digits, in ns.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Nanoseconds(), 1), time.Minute.Nanoseconds())) // within bounds: never fails
}

// Play sends the stream, which must be in the order of At, and comes back when
// every request has ended or ctx has. Its error says that it could not be
// played; what went wrong with requests is in the report.
func Play(ctx context.Context, c Config, stream []Request) (*Report, error) {
	if c.Route == nil {
		return nil, errors.New("load: no route to the nodes")
	}
	if len(stream) > MaxRequests {
		return nil, fmt.Errorf("load: %d requests, at most %d are played", len(stream), MaxRequests)
	}
	for i := range stream {
		if r := &stream[i]; r.At < 0 || r.At > MaxDuration || i > 0 && r.At < stream[i-1].At || r.Deadline <= 0 {
			return nil, fmt.Errorf("load: request %d at %v with deadline %v: out of order or bounds", i, r.At, r.Deadline)
		}
	}
	if c.Connections <= 0 {
		c.Connections = DefaultConnections
	}
	if c.MaxSendDelay <= 0 {
		c.MaxSendDelay = DefaultMaxSendDelay
	}
	p := &player{Config: c, conns: map[int]*nodeConns{}, report: &Report{Latency: map[string]*hdrhistogram.Histogram{"all": NewHistogram()},
		Added: NewHistogram(), SendDelay: NewHistogram()}}
	defer p.close()
	p.start = time.Now()
	var running sync.WaitGroup
	err := sendPaced(ctx, p.start, len(stream), func(i int) time.Duration { return stream[i].At }, func(i int) {
		handed := time.Now()
		running.Add(1)
		go func() {
			defer running.Done()
			o := p.play(ctx, i, &stream[i], handed)
			p.record(&stream[i], o)
			if c.Done != nil {
				c.Done(i, &stream[i], o)
			}
		}()
	})
	running.Wait()
	if err == nil {
		err = ctx.Err() // what was still open was cut short
	}
	if err != nil {
		return nil, fmt.Errorf("load: %w", err)
	}
	p.checkSendDelay()
	return p.report, nil
}

// player is a stream under way.
type player struct {
	Config
	start time.Time

	mu     sync.Mutex
	report *Report
	conns  map[int]*nodeConns
}

func (p *player) record(r *Request, o Result) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.report
	c.Offered++
	c.Tries += o.Tries
	recordDuration(c.SendDelay, o.SendDelay)
	switch o.Outcome {
	case Served:
		c.Served++
		recordDuration(c.Latency["all"], o.Latency)
		h := c.Latency[r.Class]
		if h == nil {
			h = NewHistogram()
			c.Latency[r.Class] = h
		}
		recordDuration(h, o.Latency)
		if o.Added >= 0 {
			recordDuration(c.Added, o.Added)
		}
	case Rejected:
		c.Rejected++
	case Failed:
		c.Failed++
	case Lost:
		c.Lost++
	}
}

// judge says whether the generator itself spoilt the run.
func (p *player) checkSendDelay() {
	if late := time.Duration(p.report.SendDelay.ValueAtQuantile(99)); late > p.MaxSendDelay {
		p.report.Violations = append(p.report.Violations, fmt.Sprintf(
			"the generator was late: %v at the 99th percentile, at most %v is allowed", late, p.MaxSendDelay))
	}
}
