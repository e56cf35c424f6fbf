package emulator

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Ledger notes what becomes of requests over all servers of a run, by request
// id. The zero value is ready for use, a nil one notes nothing, and it is safe
// for concurrent use. It grows by some hundred bytes a request.
type Ledger struct {
	mu   sync.Mutex
	seen map[string]Seen
}

// Seen is what the servers saw of one request. Times are since the run's
// start.
type Seen struct {
	Class    string        // as X-Class says, "" if nodes do not pass it on
	Unsafe   bool          // a POST without an idempotency key: it must run once at most
	Arrived  time.Duration // first byte of the first copy
	Deadline time.Duration // time that the node would wait for the last copy (X-Deadline); 0: not told
	Copies   int           // that reached a server
	Runs     int           // that began to run
	Overlaps int           // copies that came while another was still out
	out      int           // copies under way
}

// Account is the sum of a ledger.
type Account struct {
	Requests, Copies, Runs, Overlaps int

	Again       int      // requests that ran more than once
	UnsafeAgain []string // of them, the ids of those that must not
}

func (l *Ledger) change(id string, f func(*Seen)) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.seen[id]
	f(&s)
	if l.seen == nil {
		l.seen = map[string]Seen{}
	}
	l.seen[id] = s
}

func (l *Ledger) came(id string, r *http.Request, at time.Duration) {
	l.change(id, func(s *Seen) {
		if s.Copies == 0 {
			s.Arrived = at
			s.Class = r.Header.Get("X-Class")
			s.Unsafe = r.Method == http.MethodPost && r.Header.Get("Idempotency-Key") == ""
		}
		if wait, err := strconv.ParseFloat(r.Header.Get("X-Deadline"), 64); err == nil {
			s.Deadline = time.Duration(wait * float64(time.Second))
		}
		s.Copies++
		if s.out > 0 {
			s.Overlaps++
		}
		s.out++
	})
}

func (l *Ledger) ran(id string)  { l.change(id, func(s *Seen) { s.Runs++ }) }
func (l *Ledger) left(id string) { l.change(id, func(s *Seen) { s.out-- }) }

// Request is what was seen of a request, and whether anything was.
func (l *Ledger) Request(id string) (Seen, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.seen[id]
	return s, ok
}

// Account sums up what was seen so far.
func (l *Ledger) Account() Account {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := Account{Requests: len(l.seen)}
	for id, s := range l.seen {
		a.Copies += s.Copies
		a.Runs += s.Runs
		a.Overlaps += s.Overlaps
		if s.Runs > 1 {
			a.Again++
			if s.Unsafe {
				a.UnsafeAgain = append(a.UnsafeAgain, id)
			}
		}
	}
	return a
}
