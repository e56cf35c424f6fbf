package node

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestRecentIDsRetention guards against an ID that is forgotten before its retention
// is over, wherever in a generation it was added, and against IDs that stay forever.
func TestRecentIDsRetention(t *testing.T) {
	const retention = 10 * time.Second
	const step = time.Second
	ids := newRecentIDs(retention)
	start := time.Now()
	for i := range 100 {
		ids.add(balancer.RequestID(fmt.Sprint(i)), start.Add(time.Duration(i)*step))
		for earlier := range i {
			age := time.Duration(i-earlier) * step
			known := ids.contains(balancer.RequestID(fmt.Sprint(earlier)))
			if !known && age < retention || known && age > 2*retention {
				t.Errorf("an ID of age %v is known: %v; want true below %v, false above %v", age, known, retention, 2*retention)
			}
		}
	}
}

// TestRecentIDsAreLimited guards against memory that grows with the number of requests
// in a burst: the oldest IDs are forgotten first.
func TestRecentIDsAreLimited(t *testing.T) {
	ids := newRecentIDs(time.Hour)
	now := time.Now()
	id := func(i int) balancer.RequestID { return balancer.RequestID(fmt.Sprint(i)) }
	const count = 3 * maxRecentIDs
	for i := range count {
		ids.add(id(i), now)
		if size := len(ids.newer) + len(ids.older); size > maxRecentIDs {
			t.Fatalf("%d IDs are remembered, want at most %d", size, maxRecentIDs)
		}
	}
	for i := count - maxRecentIDs/2; i < count; i++ {
		if !ids.contains(id(i)) {
			t.Fatalf("ID %d of %d is forgotten", i, count)
		}
	}
}

// TestOldRequestRejected guards against a copy whose original has been forgotten: a
// request that has waited on this machine for longer than clients of any class wait is
// rejected, however long its client claims to wait, and not with a 503, which would
// promise that the original has not run.
func TestOldRequestRejected(t *testing.T) {
	backend, received := startRecordingBackend(t)
	n := startNode(t, backend)
	for id, test := range map[string]struct {
		waited time.Duration
		want   int
	}{
		"old": {waited: n.maxRequestAge + time.Second, want: http.StatusRequestTimeout},
		"new": {waited: 0, want: http.StatusOK},
	} {
		r := &request{
			arrival:    balancer.RequestArrived{ID: balancer.RequestID(id), Class: "pagar"},
			upstream:   newUpstreamRequest(http.MethodPost, "/api/x", id),
			receivedAt: time.Now().Add(-test.waited),
			deadline:   time.Now().Add(time.Hour),
			response:   make(chan response, 1),
		}
		resp, _ := n.frontend.awaitResponse(t.Context(), r)
		if resp.status != test.want {
			t.Errorf("a request that has waited for %v is answered %d, want %d", test.waited, resp.status, test.want)
		}
	}
	if id := receive(t, received, "the new request"); id != "new" {
		t.Errorf("request %q has reached the backend", id)
	}
}
