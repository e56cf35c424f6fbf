package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestWatchdogAnswersLostRequest guards against a client that never receives a
// response, because the balancer has lost track of its request. The test replaces
// the balancer by one that does not know the request.
func TestWatchdogAnswersLostRequest(t *testing.T) {
	backend, got, disconnected := startStallingBackend(t)
	n := startNode(t, backend)
	responses := make(chan clientResponse, 1)
	go func() { responses <- sendRequest(t, n.request(t, "GET", "saldo", "q", "60", nil)) }()
	receive(t, got, "the attempt")
	n.post(func() {
		n.balancer = balancer.New(n.cfg.Settings, 1)
		n.requests["q"].watchdog.Reset(0)
	})
	if a := receive(t, responses, "the response"); a.status != http.StatusGatewayTimeout {
		t.Errorf("response %+v, want 504", a)
	}
	receive(t, disconnected, "the attempt's end")
}

// TestWatchdogAsksBalancer guards against a wrong status when the watchdog fires
// before the balancer has ended the request by itself: the balancer still has to
// choose the response, a 503 with Retry-After if the client may repeat the request
// and a 502 if not.
func TestWatchdogAsksBalancer(t *testing.T) {
	for class, want := range map[string]int{"saldo": http.StatusServiceUnavailable, "pagar": http.StatusBadGateway} {
		t.Run(class, func(t *testing.T) {
			backend, got, disconnected := startStallingBackend(t)
			n := startNode(t, backend)
			method := map[string]string{"saldo": "GET", "pagar": "POST"}[class]
			responses := make(chan clientResponse, 1)
			go func() { responses <- sendRequest(t, n.request(t, method, class, "q", "60", nil)) }()
			receive(t, got, "the attempt")
			n.post(func() { n.requests["q"].watchdog.Reset(0) })
			a := receive(t, responses, "the response")
			if told := a.header.Get("Retry-After") != ""; a.status != want || told != (want == http.StatusServiceUnavailable) {
				t.Errorf("response %+v, want %d", a, want)
			}
			receive(t, disconnected, "the attempt's end")
		})
	}
}

// TestAnsweredByDeadline guards against a request that outlasts its deadline, or is
// failed long before it, because its backend does not answer.
func TestAnsweredByDeadline(t *testing.T) {
	backend, _, disconnected := startStallingBackend(t)
	n := startNode(t, backend)
	began := time.Now()
	got := sendRequest(t, n.request(t, "POST", "pagar", "q", "2", strings.NewReader("x")))
	if got.status != http.StatusBadGateway || time.Since(began) < 1500*time.Millisecond {
		t.Errorf("response %+v after %v, want a failure at the deadline", got, time.Since(began))
	}
	receive(t, disconnected, "the attempt's end")
}

// TestRejectedAtOnce guards against a request that waits for its deadline although
// no backend accepts connections: it has to be rejected at once, with a Retry-After.
func TestRejectedAtOnce(t *testing.T) {
	n := startNode(t, refusingAddress(t))
	began := time.Now()
	got := sendRequest(t, n.request(t, "POST", "pagar", "q", "600", strings.NewReader("x")))
	if got.status != http.StatusServiceUnavailable || time.Since(began) > testTimeout {
		t.Errorf("response %+v after %v, want a rejection at once", got, time.Since(began))
	}
	if wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || wait <= 0 || wait > 2 {
		t.Errorf("Retry-After %q, want up to 2 s", got.header.Get("Retry-After"))
	}
}

// TestDuplicateIDRejected guards against two open requests with the same ID that
// receive each other's responses: the second one has to be rejected.
func TestDuplicateIDRejected(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 2)
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if readRequest(r) != nil {
			got <- true
			<-release
			io.WriteString(c, okResponse)
		}
	}))
	first := make(chan clientResponse, 1)
	go func() { first <- sendRequest(t, n.request(t, "GET", "saldo", "q", "60", nil)) }()
	receive(t, got, "the attempt")
	if a := sendRequest(t, n.request(t, "GET", "saldo", "q", "60", nil)); a.status != http.StatusConflict {
		t.Errorf("the second: %+v, want 409", a)
	}
	close(release)
	if a := receive(t, first, "the response"); a.status != 200 {
		t.Errorf("the first: %+v, want 200", a)
	}
}

// TestRejectedAtMaxOpenRequests guards against a node that holds more open requests
// than the settings allow. A further request has to be rejected at once, with a
// Retry-After only if the settings allow one.
func TestRejectedAtMaxOpenRequests(t *testing.T) {
	for _, retryAfterAllowed := range []bool{true, false} {
		backend, got, _ := startStallingBackend(t)
		n := startNodeWith(t, func(s *balancer.Settings) { s.MaxOpenRequests, s.RetryAfterAllowed = 1, retryAfterAllowed }, backend)
		c := n.dial(t)
		c.sendGet(t, "saldo", "q", "60")
		receive(t, got, "the attempt")
		a := sendRequest(t, n.request(t, "GET", "saldo", "r", "60", nil))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		advised := err == nil && after > 0 && after <= n.cfg.Settings.MaxRetryAfter.Seconds()
		if a.status != http.StatusServiceUnavailable || advised != retryAfterAllowed {
			t.Errorf("Retry-After allowed %v: status %d with Retry-After %q", retryAfterAllowed, a.status, a.header.Get("Retry-After"))
		}
	}
}
