package emulator

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// ExecutionLog records what happens to each request, by request id, at all
// servers that share the log. The zero value is ready for use and a nil log
// records nothing. It is safe for concurrent use and grows by about a hundred
// bytes per request.
type ExecutionLog struct {
	mu       sync.Mutex
	requests map[string]RequestLog
}

// RequestLog is what the servers that share an ExecutionLog record of one request.
// Arrived is relative to the start of the run.
type RequestLog struct {
	Class         string        // from X-Class; "" if nodes do not pass it on
	NotIdempotent bool          // a POST without an idempotency key: it must run at most once
	Arrived       time.Duration // when the first byte of the first copy arrived
	Deadline      time.Duration // how long the node waits for a copy, by the last valid X-Deadline; 0: unknown
	Copies        int           // received by a server
	Executions    int           // copies whose execution began
	Overlaps      int           // copies received while another was still in flight
	inFlight      int           // copies that are at a server now
}

// Summary sums up all requests of an ExecutionLog.
type Summary struct {
	Requests   int
	Copies     int
	Executions int
	Overlaps   int

	Repeated       int      // requests executed more than once
	RepeatedUnsafe []string // ids of those that are NotIdempotent
}

func (l *ExecutionLog) update(id string, change func(*RequestLog)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	entry := l.requests[id]
	change(&entry)
	if l.requests == nil {
		l.requests = map[string]RequestLog{}
	}
	l.requests[id] = entry
}

// received records that a copy of a request reached a server; its first byte
// arrived at the given time.
func (l *ExecutionLog) received(id string, r *http.Request, at time.Duration) {
	l.update(id, func(entry *RequestLog) {
		if entry.Copies == 0 {
			entry.Arrived = at
			entry.Class = r.Header.Get("X-Class")
			entry.NotIdempotent = r.Method == http.MethodPost && r.Header.Get("Idempotency-Key") == ""
		}
		if seconds, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64); err == nil {
			entry.Deadline = time.Duration(seconds * float64(time.Second))
		}
		entry.Copies++
		if entry.inFlight > 0 {
			entry.Overlaps++
		}
		entry.inFlight++
	})
}

// executed records that the execution of a copy began.
func (l *ExecutionLog) executed(id string) {
	l.update(id, func(entry *RequestLog) { entry.Executions++ })
}

// finished records that a copy has left its server.
func (l *ExecutionLog) finished(id string) {
	l.update(id, func(entry *RequestLog) { entry.inFlight-- })
}

// Request returns the record of a request and whether there is one.
func (l *ExecutionLog) Request(id string) (RequestLog, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	entry, ok := l.requests[id]
	return entry, ok
}

// Summary returns the sums over all requests recorded so far.
func (l *ExecutionLog) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	sum := Summary{Requests: len(l.requests)}
	for id, entry := range l.requests {
		sum.Copies += entry.Copies
		sum.Executions += entry.Executions
		sum.Overlaps += entry.Overlaps
		if entry.Executions <= 1 {
			continue
		}
		sum.Repeated++
		if entry.NotIdempotent {
			sum.RepeatedUnsafe = append(sum.RepeatedUnsafe, id)
		}
	}
	return sum
}
