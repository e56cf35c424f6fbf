package discovery

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"
)

// TestRequestErrors guards against an error that hides why a request failed.
func TestRequestErrors(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Query().Get("from") {
		case "1":
			w.WriteHeader(http.StatusServiceUnavailable)
		case "2":
			<-r.Context().Done()
		case "3":
			w.WriteHeader(http.StatusOK)
			http.NewResponseController(w).Flush()
			<-r.Context().Done()
		case "4":
			w.Write([]byte(strings.Repeat(" ", maxListSize+1)))
		}
	}))
	defer s.Close()
	defer s.CloseClientConnections()
	c := newClient(s, PollSchedule{ResponseTimeout: testTimeout}, nil)
	for _, request := range []struct {
		name  string
		poll  Poll
		cause error
	}{
		{"status 503", Poll{FromVersion: 1, Timeout: testTimeout, StallTimeout: testTimeout}, errRejected},
		{"no response", Poll{FromVersion: 2, Timeout: 20 * time.Millisecond, StallTimeout: testTimeout}, errStalled},
		{"half a response", Poll{FromVersion: 3, Timeout: testTimeout, StallTimeout: 20 * time.Millisecond}, errStalled},
		{"endless list", Poll{FromVersion: 4, Timeout: testTimeout, StallTimeout: testTimeout}, errListTooLong},
	} {
		if _, err := c.request(context.Background(), request.poll); !errors.Is(err, request.cause) {
			t.Errorf("%s: error %v, want %v", request.name, err, request.cause)
		}
	}
}

// TestBrokenLongPollIsNotSentAgain guards against a broken long poll that goes
// unnoticed: the HTTP client must not send it again by itself when a reused
// connection breaks.
func TestBrokenLongPollIsNotSentAgain(t *testing.T) {
	longPolls := make(chan bool, 10)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			w.Write([]byte(`{"index":1,"snapshot":true}`))
			return
		}
		longPolls <- true
		time.Sleep(2 * staleConnectionTime)
		panic(http.ErrAbortHandler) // resets the connection
	}))
	defer s.Close()
	c := newClient(s, PollSchedule{OnDemand: true, ResponseTimeout: testTimeout}, nil)
	if _, err := c.request(context.Background(), Poll{Full: true, Timeout: testTimeout, StallTimeout: testTimeout}); err != nil {
		t.Fatal(err)
	}
	longPoll := Poll{FromVersion: 1, LongPollTimeout: time.Second, Timeout: testTimeout, StallTimeout: testTimeout}
	if _, err := c.request(context.Background(), longPoll); !errors.Is(err, errLongPollBroken) {
		t.Errorf("error %v, want %v", err, errLongPollBroken)
	}
	if len(longPolls) != 1 {
		t.Errorf("%d long polls arrived, want 1", len(longPolls))
	}
	if c.closesConnections.Load() {
		t.Error("a connection that broke during a long poll counts as closed after its last response")
	}
}
