// Package load plays a stream of requests that was drawn ahead on real nodes:
// an open-loop HTTP/1.1 generator. A request is sent at its intended time
// whatever became of those before it, and latencies count from that time, so
// that a node that stalls is charged for all requests that had to wait.
//
// How clients talk is in PROTOCOL-bankshift.md, "Clients to nodes".
package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Idempotency says what a second execution of a request does. It determines the
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
	Node           int           // that the client is connected to
	ID             string        // of the first try; see TryID
	Class          string
	Idempotency    Idempotency
	Subject        string // the last part of the path
	Tenant         string // "": none
	Key            string // with IdempotentByKey
	Deadline       time.Duration
	RetryOnFailure bool     // the client may try again after a failure, not only after a rejection
	Headers        []Header // further ones, for emulated servers
}

// Header is a header of a request.
type Header struct {
	Name  string
	Value string
}

// Outcome is how a request ended for its client, after all of its tries.
type Outcome int

const (
	Served   Outcome = iota
	Rejected         // 429 or 503, and no further try
	Failed           // any other response, or a connection that broke or was not established
	Lost             // no response by the deadline and its slack
)

// String returns the outcome in a word.
func (o Outcome) String() string {
	return [...]string{"served", "rejected", "failed", "lost"}[o]
}

// Result is what became of a request.
type Result struct {
	Outcome
	Latency   time.Duration // when served: from the intended time of the first try to the end of the response
	SendDelay time.Duration // from the intended time of the first try until the generator started it
	Added     time.Duration // when served at the first try: from its start to the response, less the service time; below 0: unknown
	Tries     int
	Status    int   // of the last response; 0: none
	Err       error // why there was none
}

// Config says how to play a stream. Route is required.
type Config struct {
	// Route returns the node to which a request's try goes, and its address;
	// tries count from 0. The address "" means that no node is reachable. It
	// is called for each try, from many goroutines.
	Route func(r *Request, try int) (node int, address string)
	// Connections limits the open connections to one node. Requests beyond
	// wait for a free one. 0: DefaultConnections.
	Connections int
	// Retries is how many further tries a client makes after a rejection or
	// if it reached no node, after Retry-After or Backoff; and after a failure
	// where Request.RetryOnFailure allows.
	Retries     int
	Backoff     time.Duration
	MarkRetries bool // X-Retry: 1 on further tries
	// Slack is how long past the deadline a client waits for a response.
	Slack time.Duration
	// ServiceTimeHeader is the response header in which an emulated server
	// reports how long it had the request, in seconds. "": none.
	ServiceTimeHeader string
	// MaxSendDelay is the largest 99th percentile of Result.SendDelay with
	// which a run is valid. 0: DefaultMaxSendDelay.
	MaxSendDelay time.Duration
	// Done is called at the end of each request, from many goroutines. It may
	// be nil.
	Done func(i int, r *Request, result Result)
}

const (
	// DefaultConnections is what a node of 1,024 descriptors accepts from
	// clients: half of those that it does not keep for itself.
	DefaultConnections = 400
	// DefaultMaxSendDelay is less than a quarter of the 4.6 ms that a node may
	// add.
	DefaultMaxSendDelay = time.Millisecond
	// MaxRequests bounds a run: an hour at 1,000 a second.
	MaxRequests = 3_600_000
	// MaxDuration bounds a run's length.
	MaxDuration = time.Hour
)

// Report sums up a stream.
type Report struct {
	Offered  int
	Served   int
	Rejected int
	Failed   int
	Lost     int
	Tries    int

	Dials  int // connections established
	Waited int // requests that found all connections to their node busy

	Latency    map[string]*hdrhistogram.Histogram // ns, by class, and "all"
	Added      *hdrhistogram.Histogram            // ns
	SendDelay  *hdrhistogram.Histogram            // ns, of all requests
	Violations []string                           // why the run is not valid; empty: it is
}

func newReport() *Report {
	return &Report{
		Latency:   map[string]*hdrhistogram.Histogram{"all": NewHistogram()},
		Added:     NewHistogram(),
		SendDelay: NewHistogram(),
	}
}

// maxRecorded is the longest time that histograms tell apart.
const maxRecorded = time.Minute

// NewHistogram returns a histogram for times up to a minute, to three digits,
// in ns.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Nanoseconds(), 3)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Nanoseconds(), 1), maxRecorded.Nanoseconds())) // fails only out of bounds
}

// add counts a request's result.
func (r *Report) add(class string, result Result) {
	r.Offered++
	r.Tries += result.Tries
	recordDuration(r.SendDelay, result.SendDelay)
	switch result.Outcome {
	case Served:
		r.Served++
		r.addLatency(class, result)
	case Rejected:
		r.Rejected++
	case Failed:
		r.Failed++
	case Lost:
		r.Lost++
	}
}

func (r *Report) addLatency(class string, result Result) {
	recordDuration(r.Latency["all"], result.Latency)
	h := r.Latency[class]
	if h == nil {
		h = NewHistogram()
		r.Latency[class] = h
	}
	recordDuration(h, result.Latency)
	if result.Added >= 0 {
		recordDuration(r.Added, result.Added)
	}
}
