package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// startDiscovery starts one more discovery server, which runs until the end of the
// test. All of them serve the same endpoint list.
func (s *soakRun) startDiscovery(t *testing.T) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(s.serveDiscovery)}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// serveDiscovery answers a poll for the endpoint list. A long poll is answered as
// soon as the list changes. Until discoveryBackAt, polls are not answered.
func (s *soakRun) serveDiscovery(w http.ResponseWriter, r *http.Request) {
	if !s.awaitChange(r) {
		return
	}
	var list string
	var silent bool
	s.locked(func() {
		list = s.endpointList(false)
		silent = time.Now().Before(s.discoveryBackAt)
	})
	if silent {
		<-r.Context().Done()
		return
	}
	io.WriteString(w, list)
}

// awaitChange waits until a poll is to be answered: at once, or for a long poll with
// the current version when the list changes or the poll's hold time (hold_ms) ends.
// It returns false if the node cancels the poll meanwhile.
func (s *soakRun) awaitChange(r *http.Request) bool {
	from := r.URL.Query().Get("from")
	if from == "" {
		return true
	}
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	var version int
	var changed chan struct{}
	s.locked(func() {
		version = s.version
		changed = s.changed
	})
	if from != strconv.Itoa(version) {
		return true
	}
	select {
	case <-changed:
	case <-time.After(time.Duration(hold) * time.Millisecond):
	case <-r.Context().Done():
		return false
	}
	return true
}

// endpointList returns the current endpoint list. With beforeDrains set, all of its
// backends are ready. The caller holds s.mu.
func (s *soakRun) endpointList(beforeDrains bool) string {
	var entries []string
	for _, backend := range s.backends {
		status := "ready"
		if !backend.drainedAt.IsZero() && !beforeDrains {
			status = "draining"
		}
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
			backend.name, backend.address, status))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, s.version, strings.Join(entries, ","))
}

// drain marks a backend as draining in the endpoint list, and releases the long
// polls that wait for a change.
func (s *soakRun) drain(number int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.backends[number].drainedAt = time.Now()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}
