package emulator

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bankshift/internal/lab/model"
)

// TestResponses guards against responses that do not match the model's outcome or
// the request's headers: statuses, body size, delay, X-Not-Run, and the close of
// a connection over the limit.
func TestResponses(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{ResponseBytes: 100, ServerConfig: model.ServerConfig{Handshake: 30 * time.Millisecond, MaxConnections: 2}})
	began := time.Now()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r1", "X-Lab-Work: 20000")
	if _, body := c.wantStatus(t, 200); len(body) != 100 || !strings.HasPrefix(body, "r1.") || time.Since(began) < 50*time.Millisecond {
		t.Errorf("body %q after %v, want r1 padded to 100 bytes after a handshake of 30 ms and 20 ms of work", body, time.Since(began))
	}
	c.send(t, "GET", "")
	c.wantStatus(t, 404)
	c.send(t, "GET", "r2", "X-Lab-Work: much")
	c.wantStatus(t, 400)
	c.send(t, "GET", "r3", "X-Lab-Scope: galaxy")
	c.wantStatus(t, 400)
	s.SetFailureRate(1)
	c.send(t, "POST", "r4")
	c.wantStatus(t, 500)
	s.SetFailureRate(-1)
	s.SetDraining(true)
	c.send(t, "POST", "r5")
	if resp, _ := c.wantStatus(t, 503); resp.Header.Get("X-Not-Run") != "1" || resp.Close {
		t.Errorf("draining server: headers %v, want X-Not-Run: 1 and a connection that stays open", resp.Header)
	}
	s.SetDraining(false)
	slow := dial(t, s.Addr())
	slow.send(t, "GET", "r6", "X-Lab-Work: 60000000")
	waitUntil(t, "the work begins", func() bool { return s.Stats().Running == 1 && s.Stats().Connections == 2 && s.Stats().Handshakes == 2 })
	waitUntil(t, "the handshake ends", func() bool { return s.Stats().Work >= 80*time.Millisecond })
	waitUntil(t, "the request begins", func() bool { return s.Stats().Running == 1 })
	c.send(t, "GET", "r7") // rejected: all cores are busy and QueueLimit is 0
	c.wantStatus(t, 503)
	third := dial(t, s.Addr())
	third.send(t, "GET", "r8")
	if resp, _ := third.wantStatus(t, 503); resp.Header.Get("X-Not-Run") != "1" || !resp.Close {
		t.Errorf("over the limit of connections: headers %v, want X-Not-Run: 1 and a closed connection", resp.Header)
	}
	if st := s.Stats(); st.Served != 1 || st.Failed != 1 || st.Rejected != 2 || st.RejectedConnections != 1 || st.PeakConnections != 2 {
		t.Errorf("stats %+v", st)
	}
	if in, out := s.Bytes(); in < 500 || out < 500 {
		t.Errorf("%d bytes in, %d out, want at least 500 each", in, out)
	}
}

// TestKill guards against connections that survive the end of their process, and
// against a restart after which the server does not serve.
func TestKill(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{ServerConfig: model.ServerConfig{InitialCapacity: 0.5, WarmupTime: time.Hour}})
	busy, idle := dial(t, s.Addr()), dial(t, s.Addr())
	busy.send(t, "GET", "r1", "X-Lab-Work: 60000000")
	idle.send(t, "GET", "r2", "X-Lab-Work: 0")
	waitUntil(t, "the work begins", func() bool { st := s.Stats(); return st.Running == 1 && st.Served+st.Rejected == 1 })
	idle.readResponse(testTimeout)
	s.Kill()
	busy.wantError(t, syscall.ECONNRESET)
	idle.wantError(t, syscall.ECONNRESET)
	if _, err := net.DialTimeout("tcp", s.Addr(), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to a killed server: %v, want ECONNREFUSED", err)
	}
	s.Start()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.wantStatus(t, 200)
	s.Start() // replaces the running process
	c.wantError(t, syscall.ECONNRESET)
	if st := s.Stats(); st.Starts != 2 || st.LostRequests != 1 {
		t.Errorf("stats %+v", st)
	}
}

// TestDisconnect guards against a machine that is off the network but still
// answers: its clients would see a response, a close or a refusal instead of
// nothing. Once the machine is back, old connections must be reset.
func TestDisconnect(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{ServerConfig: model.ServerConfig{QueueLimit: 9, IdleTimeout: 2 * quietPeriod}})
	busy, idle := dial(t, s.Addr()), dial(t, s.Addr())
	busy.send(t, "GET", "r1", "X-Lab-Work: 60000000")
	waitUntil(t, "the work begins", func() bool { st := s.Stats(); return st.Running == 1 && st.Connections == 2 })
	s.Disconnect()
	for range 3 {
		var netErr net.Error
		if _, err := net.DialTimeout("tcp", s.Addr(), quietPeriod); !errors.As(err, &netErr) || !netErr.Timeout() {
			t.Errorf("a connection to a machine off the network: %v, want a timeout", err)
		}
	}
	idle.send(t, "GET", "r2")
	for range 3 { // longer than IdleTimeout in total
		busy.wantNoResponse(t)
		idle.wantNoResponse(t)
	}
	s.Kill()
	if _, err := net.DialTimeout("tcp", s.Addr(), testTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to a machine that is back, without a process: %v, want ECONNREFUSED", err)
	}
	busy.wantError(t, syscall.ECONNRESET)
	idle.wantError(t, syscall.ECONNRESET)
	s.Disconnect()
	s.Start()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.wantStatus(t, 200)
	c.wantError(t, io.ErrUnexpectedEOF) // closed after IdleTimeout
	waitUntil(t, "the idle connection is closed", func() bool { return s.Stats().Connections == 0 })
}

// TestHangAndCrash guards against a hung server that responds, and against a
// server that does not crash from overload while it warms up, or does not come
// back after CrashDowntime.
func TestHangAndCrash(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{DefaultWork: time.Millisecond, ServerConfig: model.ServerConfig{QueueLimit: 9, InitialCapacity: 0.5, WarmupTime: time.Hour,
		CrashFactor: 4, CrashWindow: time.Hour, CrashDowntime: quietPeriod, MeanWork: time.Hour}})
	c := dial(t, s.Addr())
	s.SetHung(true)
	c.send(t, "GET", "r1")
	c.wantNoResponse(t)
	s.SetHung(false)
	c = dial(t, s.Addr())
	c.send(t, "GET", "r2")
	c.wantStatus(t, 200)
	s.Start()
	c = dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.wantStatus(t, 200)
	// By model.ServerConfig, N is CrashFactor 4 x capacity 0.5 x CrashWindow 1 h / MeanWork
	// 1 h = 2, so the server survives 6.8 requests of an hour's work within an hour.
	for i := range 7 {
		c = dial(t, s.Addr())
		c.send(t, "GET", fmt.Sprint("load", i), "X-Lab-Work: 3600000000")
		waitUntil(t, "the request reaches the server", func() bool { st := s.Stats(); return st.Running+st.Waiting == i+1 || st.Crashes > 0 })
	}
	c.wantError(t, syscall.ECONNRESET)
	waitUntil(t, "the crashed server starts again by itself", func() bool { return s.Stats().Starts == 2 })
	c = dial(t, s.Addr())
	c.send(t, "GET", "r4")
	c.wantStatus(t, 200)
	if st := s.Stats(); st.Crashes != 1 || st.WorstWarmupLoad <= 1 {
		t.Errorf("stats %+v", st)
	}
}

// TestExecutionLog guards against miscounted copies and executions when servers
// share a log: a wrong count would hide an unsafe request that ran twice.
func TestExecutionLog(t *testing.T) {
	checkGoroutineLeaks(t)
	var executions ExecutionLog
	var keys model.KeyStore
	cfg := ServerConfig{ExecutionLog: &executions, DefaultWindow: time.Hour, Epoch: time.Now(),
		ServerConfig: model.ServerConfig{QueueLimit: 9, KeyStores: [model.ScopeCell + 1]*model.KeyStore{&keys}}}
	a, b := newServer(t, cfg), newServer(t, cfg)
	one, two, canceled := dial(t, a.Addr()), dial(t, b.Addr()), dial(t, a.Addr())
	for _, c := range []*client{one, two} { // the copies do not overlap
		c.send(t, "POST", "unsafe", "X-Class: pay", "X-Deadline: 0.480")
		c.wantStatus(t, 200)
		c.send(t, "POST", "keyed", "Idempotency-Key: k")
		c.wantStatus(t, 200)
	}
	one.send(t, "GET", "safe", "X-Lab-Work: 60000000")
	waitUntil(t, "the work begins", func() bool { return a.Stats().Running == 1 })
	two.send(t, "GET", "safe")
	two.wantStatus(t, 200)
	canceled.send(t, "POST", "canceled")
	waitUntil(t, "the request waits", func() bool { return a.Stats().Waiting == 1 })
	canceled.Close()
	waitUntil(t, "the server drops the request", func() bool { return a.Stats().Dropped == 1 })
	got := executions.Summary()
	if got.Requests != 4 || got.Copies != 7 || got.Executions != 5 || got.Overlaps != 1 || got.Repeated != 2 || len(got.RepeatedUnsafe) != 1 || got.RepeatedUnsafe[0] != "unsafe" {
		t.Errorf("summary %+v", got)
	}
	if s, ok := executions.Request("unsafe"); !ok || s.Class != "pay" || s.Deadline != 480*time.Millisecond || s.Arrived <= 0 || s.Copies != 2 {
		t.Errorf("record of the request unsafe: %+v", s)
	}
	if a.Stats().Repeats+b.Stats().Repeats != 1 {
		t.Error("the servers saw no or more than one repeat of the key, want 1")
	}
}

// TestManyServers guards against servers in one process that lose requests or
// execute them twice under concurrent load.
func TestManyServers(t *testing.T) {
	checkGoroutineLeaks(t)
	const servers, requestsPerServer = 100, 5
	var executions ExecutionLog
	var wg sync.WaitGroup
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := range servers {
		s := newServer(t, ServerConfig{ExecutionLog: &executions, DefaultWork: time.Millisecond, ServerConfig: model.ServerConfig{QueueLimit: model.Unlimited}})
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range requestsPerServer {
				req, _ := http.NewRequest("GET", "http://"+s.Addr()+"/", nil)
				req.Header.Set("X-Request-Id", fmt.Sprint(n, "-", i))
				resp, err := transport.RoundTrip(req)
				if err != nil {
					t.Error(err)
					return
				}
				io.Copy(io.Discard, resp.Body)
				resp.Body.Close()
			}
		}()
	}
	wg.Wait()
	if a := executions.Summary(); a.Executions != servers*requestsPerServer || a.Repeated != 0 {
		t.Errorf("summary %+v, want each request executed once", a)
	}
}
