package node

import (
	"bankshift/balancer"
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestGuard: a module that forgets a request must not cost it its answer.
func TestDeadlineWatchdog(t *testing.T) {
	server, got, gone := stallingServer(t)
	n := startNode(t, server)
	answers := make(chan clientResponse, 1)
	go func() { answers <- sendRequest(t, n.request(t, "GET", "saldo", "q", "60", nil)) }()
	receive(t, got, "the attempt")
	n.post(func() {
		n.balancer = balancer.New(n.cfg.Settings, 1)
		n.requests["q"].watchdog.Reset(0)
	})
	if a := receive(t, answers, "the answer"); a.status != http.StatusGatewayTimeout {
		t.Errorf("answer %+v, want 504", a)
	}
	receive(t, gone, "the attempt's end")
}

func TestAnsweredByDeadline(t *testing.T) {
	server, _, gone := stallingServer(t)
	n := startNode(t, server)
	began := time.Now()
	got := sendRequest(t, n.request(t, "POST", "pagar", "q", "2", strings.NewReader("x")))
	if got.status != http.StatusBadGateway || time.Since(began) < 1500*time.Millisecond {
		t.Errorf("answer %+v after %v, want a failure at the deadline", got, time.Since(began))
	}
	receive(t, gone, "the attempt's end")
}

// TestGivenUpIsAnsweredAtOnce, long before its deadline and with the advice to wait.
func TestRejectedAtOnce(t *testing.T) {
	n := startNode(t, refusingAddress(t))
	began := time.Now()
	got := sendRequest(t, n.request(t, "POST", "pagar", "q", "600", strings.NewReader("x")))
	if got.status != http.StatusServiceUnavailable || time.Since(began) > testTimeout {
		t.Errorf("answer %+v after %v, want a refusal at once", got, time.Since(began))
	}
	if wait, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64); err != nil || wait <= 0 || wait > 2 {
		t.Errorf("Retry-After %q, want up to 2 s", got.header.Get("Retry-After"))
	}
}

// TestOneIDOpenTwice: two requests under one id must not get each other's answers.
func TestSameIDTwice(t *testing.T) {
	release, got := make(chan struct{}), make(chan bool, 2)
	n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
	if a := receive(t, first, "the answer"); a.status != 200 {
		t.Errorf("the first: %+v, want 200", a)
	}
}

// TestRefusedAtTheLimitIsToldToWait: a request beyond those that the settings let a node have open is refused at once,
// with the time to come back, where clients are told one.
func TestRejectedAtMaxOpenRequests(t *testing.T) {
	for _, holdOffs := range []bool{true, false} {
		server, got, _ := stallingServer(t)
		n := startNodeWith(t, func(s *balancer.Settings) { s.MaxOpenRequests, s.RetryAfterAllowed = 1, holdOffs }, server)
		c := n.dial(t)
		c.sendGet(t, "saldo", "q", "60")
		receive(t, got, "the attempt")
		a := sendRequest(t, n.request(t, "GET", "saldo", "r", "60", nil))
		after, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64)
		if told := err == nil && after > 0 && after <= n.cfg.Settings.MaxRetryAfter.Seconds(); a.status != http.StatusServiceUnavailable || told != holdOffs {
			t.Errorf("hold-offs %v: answer %d with Retry-After %q", holdOffs, a.status, a.header.Get("Retry-After"))
		}
	}
}
