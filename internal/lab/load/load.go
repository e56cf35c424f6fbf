// Package load is an open-loop HTTP/1.1 load generator for real nodes. It sends a
// stream of requests that was generated in advance, each request at its intended
// time, whether or not earlier ones have ended, and measures latencies from that
// time. The latencies thus include how long requests wait while a node is paused.
//
// PROTOCOL-bankshift.md, "Clients to nodes", specifies the requests.
package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Idempotency says whether a request may be executed twice. It determines the
// method and whether an idempotency key is sent.
type Idempotency int

const (
	Idempotent      Idempotency = iota // GET
	IdempotentByKey                    // POST with Idempotency-Key
	NotIdempotent                      // POST without a key
)

// Request is one request of a stream.
type Request struct {
	At             time.Duration // intended time of sending, since the start of the run
	Node           int           // number of the node that the client is connected to
	ID             string        // X-Request-Id of the first try; see TryID
	Class          string
	Idempotency    Idempotency
	Subject        string // last part of the path
	Tenant         string // "": none
	Key            string // idempotency key, with IdempotentByKey
	Deadline       time.Duration
	RetryOnFailure bool     // the client may try again after a failure, not only after a rejection
	Headers        []Header // additional ones, for emulated servers
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
	Lost             // no response by the deadline plus Config.Slack
)

// String returns the outcome as one lower-case word.
func (o Outcome) String() string {
	return [...]string{"served", "rejected", "failed", "lost"}[o]
}

// Result says how a request ended and how long it took.
type Result struct {
	Outcome
	Latency   time.Duration // when served: from the intended time of the first try to the end of the response
	SendDelay time.Duration // from the intended time of the first try until the generator started it
	// AddedLatency is what the node added to the latency of a request served
	// at the first try: the time from the start of the try to the end of the
	// response, less the service time. Below 0: unknown.
	AddedLatency time.Duration
	Tries        int
	Status       int   // of the last try's response; 0: none
	Err          error // why the last try got no response; nil: it got one
}

// Config configures Run. Route is required.
type Config struct {
	// Route returns the node to which a request's try goes, and its address;
	// tries count from 0. The address "" means that no node is reachable. It
	// is called for each try, from many goroutines.
	Route func(r *Request, try int) (node int, address string)
	// Connections limits the open connections to one node. Requests above the
	// limit wait for a free connection. 0: DefaultConnections.
	Connections int
	// Retries limits the tries of a request after the first. A client tries
	// again after a rejection, if it reached no node, and after any other
	// failure if Request.RetryOnFailure is set. It first waits for the time in
	// Retry-After, or else for Backoff.
	Retries     int
	Backoff     time.Duration
	MarkRetries bool // send X-Retry: 1 with tries after the first
	// Slack is how long past the deadline a client waits for a response.
	Slack time.Duration
	// ServiceTimeHeader is the response header in which an emulated server
	// reports the seconds from the request's arrival to the response. "": none.
	ServiceTimeHeader string
	// MaxSendDelay limits the 99th percentile of Result.SendDelay in a valid
	// run. 0: DefaultMaxSendDelay.
	MaxSendDelay time.Duration
	// Done is called at the end of each request, from many goroutines. It may
	// be nil.
	Done func(i int, r *Request, result Result)
}

const (
	// DefaultConnections is within what a node with 1,024 file descriptors
	// accepts from clients: half of those that it does not reserve.
	DefaultConnections = 400
	// DefaultMaxSendDelay is less than a quarter of the 4.6 ms that a node may
	// add to a request's latency.
	DefaultMaxSendDelay = time.Millisecond
	// MaxRequests limits the length of a stream: an hour at 1,000 requests a
	// second.
	MaxRequests = 3_600_000
	// MaxRequestTime limits Request.At and so the length of a run.
	MaxRequestTime = time.Hour
)

// Report holds the counts and times of all requests of a run.
type Report struct {
	Offered  int
	Served   int
	Rejected int
	Failed   int
	Lost     int
	Tries    int

	Dials           int // connections established
	ConnectionWaits int // waits for a connection because Config.Connections were open to the node

	Latency      map[string]*hdrhistogram.Histogram // in ns, of served requests, by class and for "all"
	AddedLatency *hdrhistogram.Histogram            // in ns, of Result.AddedLatency where known
	SendDelay    *hdrhistogram.Histogram            // in ns, of all requests
	Violations   []string                           // why the run is not valid; empty: it is valid
}

func newReport() *Report {
	return &Report{
		Latency:      map[string]*hdrhistogram.Histogram{"all": NewHistogram()},
		AddedLatency: NewHistogram(),
		SendDelay:    NewHistogram(),
	}
}

// maxRecorded is the longest time that histograms can hold. Longer times are
// recorded as this one.
const maxRecorded = time.Minute

// NewHistogram returns a histogram for times up to a minute, in ns and with three
// significant digits.
func NewHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxRecorded.Nanoseconds(), 3)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	h.RecordValue(min(max(d.Nanoseconds(), 1), maxRecorded.Nanoseconds())) // fails only for values out of bounds
}

// add adds a request's result to the counts and histograms.
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
	if result.AddedLatency >= 0 {
		recordDuration(r.AddedLatency, result.AddedLatency)
	}
}
