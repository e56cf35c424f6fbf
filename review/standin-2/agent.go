package main

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// entry is an entry of discovery's list.
type entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// agent is discovery's agent on the node's machine: it answers at once with what it has, and
// holds a watch until something changes.
type agent struct {
	world    *world
	listener net.Listener

	mu      sync.Mutex // guards what follows
	index   int
	changed chan struct{} // closed at the next change
}

func (a *agent) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	a.listener = listener
	go http.Serve(listener, a)
	return nil
}

func (a *agent) address() string { return a.listener.Addr().String() }

// list returns the whole list. From is the version that the caller has; nothing changes
// in these cases, so a caller that has the present one gets no entries.
func (a *agent) list(from int) object {
	a.mu.Lock()
	defer a.mu.Unlock()
	entries := []entry{}
	if from < a.index {
		for _, e := range a.world.endpoints {
			entries = append(entries, e.entry)
		}
	}
	return object{"index": a.index, "snapshot": from == 0, "endpoints": entries}
}

// ServeHTTP answers a call for the list.
func (a *agent) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	a.mu.Lock()
	changed, current := a.changed, a.index
	a.mu.Unlock()
	if from >= current {
		select {
		case <-changed:
		case <-time.After(time.Duration(hold) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(a.list(from))
}
