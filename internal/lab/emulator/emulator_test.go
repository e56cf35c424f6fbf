package emulator

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"bankshift/internal/lab/model"
)

const (
	longTimeout = 20 * time.Second       // for what must happen, on a busy machine
	quietPeriod = 100 * time.Millisecond // for what must not happen
)

// checkGoroutineLeaks checks at the end of the test that its goroutines have ended.
func checkGoroutineLeaks(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		for end := time.Now().Add(longTimeout); runtime.NumGoroutine() > before; runtime.Gosched() {
			if time.Now().After(end) {
				stacks := make([]byte, 1<<20)
				t.Fatalf("goroutines are left:\n%s", stacks[:runtime.Stack(stacks, true)])
			}
		}
	})
}

func closeAtEnd(t *testing.T, c io.Closer) {
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}

func newServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	s, err := NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, s)
	return s
}

// client is one connection.
type client struct {
	net.Conn
	read *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, longTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(t *testing.T, method, id string, header ...string) {
	t.Helper()
	text := method + " /api/x HTTP/1.1\r\nHost: app\r\nX-Request-Id: " + id + "\r\n" + strings.Join(append(header, ""), "\r\n")
	if method == "POST" {
		text += "Content-Length: 2\r\n\r\n{}"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response to its end.
func (c *client) readResponse(limit time.Duration) (*http.Response, string, error) {
	c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (c *client) wantStatus(t *testing.T, status int) (*http.Response, string) {
	t.Helper()
	resp, body, err := c.readResponse(longTimeout)
	if err != nil || resp.StatusCode != status {
		t.Fatalf("response %v, %v, want %d", resp, err, status)
	}
	return resp, body
}

func (c *client) wantNoResponse(t *testing.T) {
	t.Helper()
	if resp, _, err := c.readResponse(quietPeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("response %v, %v, want none", resp, err)
	}
}

func (c *client) wantError(t *testing.T, want error) {
	t.Helper()
	if resp, _, err := c.readResponse(longTimeout); !errors.Is(err, want) {
		t.Fatalf("response %v, %v, want %v", resp, err, want)
	}
}

// until waits for something that another goroutine brings about.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(longTimeout); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestResponses(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{ResponseBytes: 100, ServerConfig: model.ServerConfig{Handshake: 30 * time.Millisecond, MaxConnections: 2}})
	began := time.Now()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r1", "X-Lab-Work: 20000")
	if _, body := c.wantStatus(t, 200); len(body) != 100 || !strings.HasPrefix(body, "r1.") || time.Since(began) < 50*time.Millisecond {
		t.Errorf("%q after %v: a handshake of 30 ms and work of 20", body, time.Since(began))
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
		t.Errorf("%v", resp.Header)
	}
	s.SetDraining(false)
	slow := dial(t, s.Addr())
	slow.send(t, "GET", "r6", "X-Lab-Work: 60000000")
	waitFor(t, "the work begins", func() bool { return s.Stats().Running == 1 && s.Stats().Connections == 2 && s.Stats().Handshakes == 2 })
	waitFor(t, "the handshake ends", func() bool { return s.Stats().Work >= 80*time.Millisecond })
	waitFor(t, "the request begins", func() bool { return s.Stats().Running == 1 })
	c.send(t, "GET", "r7") // no queue
	c.wantStatus(t, 503)
	third := dial(t, s.Addr())
	third.send(t, "GET", "r8")
	if resp, _ := third.wantStatus(t, 503); resp.Header.Get("X-Not-Run") != "1" || !resp.Close {
		t.Errorf("over the limit of connections: %v", resp.Header)
	}
	if st := s.Stats(); st.Served != 1 || st.Failed != 1 || st.Rejected != 2 || st.RejectedConnections != 1 || st.PeakConnections != 2 {
		t.Errorf("%+v", st)
	}
	if in, out := s.Bytes(); in < 500 || out < 500 {
		t.Errorf("%d bytes in, %d out", in, out)
	}
}

func TestKill(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{ServerConfig: model.ServerConfig{ColdCapacity: 0.5, WarmupTime: time.Hour}})
	busy, idle := dial(t, s.Addr()), dial(t, s.Addr())
	busy.send(t, "GET", "r1", "X-Lab-Work: 60000000")
	idle.send(t, "GET", "r2", "X-Lab-Work: 0")
	waitFor(t, "the work begins", func() bool { st := s.Stats(); return st.Running == 1 && st.Served+st.Rejected == 1 })
	idle.readResponse(longTimeout)
	s.Kill()
	busy.wantError(t, syscall.ECONNRESET)
	idle.wantError(t, syscall.ECONNRESET)
	if _, err := net.DialTimeout("tcp", s.Addr(), longTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to a killed server: %v", err)
	}
	s.Start()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.wantStatus(t, 200)
	s.Start() // at once
	c.wantError(t, syscall.ECONNRESET)
	if st := s.Stats(); st.Starts != 2 || st.Broken != 1 {
		t.Errorf("%+v", st)
	}
}

func TestVanishedMachine(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{ServerConfig: model.ServerConfig{QueueLimit: 9, IdleTimeout: 2 * quietPeriod}})
	busy, idle := dial(t, s.Addr()), dial(t, s.Addr())
	busy.send(t, "GET", "r1", "X-Lab-Work: 60000000")
	waitFor(t, "the work begins", func() bool { st := s.Stats(); return st.Running == 1 && st.Connections == 2 })
	s.Disconnect()
	for range 3 {
		var late net.Error
		if _, err := net.DialTimeout("tcp", s.Addr(), quietPeriod); !errors.As(err, &late) || !late.Timeout() {
			t.Errorf("a connection to a vanished machine: %v", err)
		}
	}
	idle.send(t, "GET", "r2")
	for range 3 { // longer than an idle connection lives
		busy.wantNoResponse(t)
		idle.wantNoResponse(t)
	}
	s.Kill()
	if _, err := net.DialTimeout("tcp", s.Addr(), longTimeout); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to a machine that is back: %v", err)
	}
	busy.wantError(t, syscall.ECONNRESET)
	idle.wantError(t, syscall.ECONNRESET)
	s.Disconnect()
	s.Start()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.wantStatus(t, 200)
	c.wantError(t, io.ErrUnexpectedEOF) // idle
	waitFor(t, "the idle connection is closed", func() bool { return s.Stats().Connections == 0 })
}

func TestHangAndCrash(t *testing.T) {
	checkGoroutineLeaks(t)
	s := newServer(t, ServerConfig{DefaultWork: time.Millisecond, ServerConfig: model.ServerConfig{QueueLimit: 9, ColdCapacity: 0.5, WarmupTime: time.Hour,
		CrashFactor: 4, CrashWindow: time.Hour, CrashDowntime: quietPeriod, MeanCost: time.Hour}})
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
	// N is 2, of which an hour's span stands 6.8 hours of work.
	for i := range 7 {
		c = dial(t, s.Addr())
		c.send(t, "GET", fmt.Sprint("load", i), "X-Lab-Work: 3600000000")
		waitFor(t, "the request comes", func() bool { st := s.Stats(); return st.Running+st.Waiting == i+1 || st.Crashes > 0 })
	}
	c.wantError(t, syscall.ECONNRESET)
	waitFor(t, "it comes back by itself", func() bool { return s.Stats().Starts == 2 })
	c = dial(t, s.Addr())
	c.send(t, "GET", "r4")
	c.wantStatus(t, 200)
	if st := s.Stats(); st.Crashes != 1 || st.WorstColdLoad <= 1 {
		t.Errorf("%+v", st)
	}
}

func TestExecutionLog(t *testing.T) {
	checkGoroutineLeaks(t)
	var executions ExecutionLog
	var keys model.KeyStore
	cfg := ServerConfig{ExecutionLog: &executions, DefaultWindow: time.Hour, Epoch: time.Now(),
		ServerConfig: model.ServerConfig{QueueLimit: 9, KeyStores: [model.ScopeCell + 1]*model.KeyStore{&keys}}}
	a, b := newServer(t, cfg), newServer(t, cfg)
	one, two, canceled := dial(t, a.Addr()), dial(t, b.Addr()), dial(t, a.Addr())
	for _, c := range []*client{one, two} { // one after the other
		c.send(t, "POST", "unsafe", "X-Class: pay", "X-Deadline: 0.480")
		c.wantStatus(t, 200)
		c.send(t, "POST", "keyed", "Idempotency-Key: k")
		c.wantStatus(t, 200)
	}
	one.send(t, "GET", "safe", "X-Lab-Work: 60000000")
	waitFor(t, "the work begins", func() bool { return a.Stats().Running == 1 })
	two.send(t, "GET", "safe")
	two.wantStatus(t, 200)
	canceled.send(t, "POST", "canceled")
	waitFor(t, "the request waits", func() bool { return a.Stats().Waiting == 1 })
	canceled.Close()
	waitFor(t, "the request is dropped", func() bool { return a.Stats().Dropped == 1 })
	got := executions.Summary()
	if got.Requests != 4 || got.Copies != 7 || got.Executions != 5 || got.Overlaps != 1 || got.Repeated != 2 || len(got.RepeatedUnsafe) != 1 || got.RepeatedUnsafe[0] != "unsafe" {
		t.Errorf("%+v", got)
	}
	if s, ok := executions.Request("unsafe"); !ok || s.Class != "pay" || s.Deadline != 480*time.Millisecond || s.Arrived <= 0 || s.Copies != 2 {
		t.Errorf("%+v", s)
	}
	if a.Stats().Repeats+b.Stats().Repeats != 1 {
		t.Error("a repeat of a key is not known at the other server")
	}
}

func TestManyServers(t *testing.T) {
	checkGoroutineLeaks(t)
	const servers, each = 100, 5
	var executions ExecutionLog
	var wg sync.WaitGroup
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := range servers {
		s := newServer(t, ServerConfig{ExecutionLog: &executions, DefaultWork: time.Millisecond, ServerConfig: model.ServerConfig{QueueLimit: model.Unlimited}})
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := range each {
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
	if a := executions.Summary(); a.Executions != servers*each || a.Repeated != 0 {
		t.Errorf("%+v", a)
	}
}

func TestRegistry(t *testing.T) {
	checkGoroutineLeaks(t)
	r, err := NewRegistry(RegistryConfig{RegistryConfig: model.RegistryConfig{Nodes: 2}})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, r)
	transport := &http.Transport{DisableKeepAlives: true} // on a connection in use it would call anew after a reset
	type list struct {
		Index     uint64
		Snapshot  bool
		Endpoints []model.Entry
		err       error
	}
	call := func(ctx context.Context, node int, query string) <-chan list {
		out := make(chan list, 1)
		go func() {
			var l list
			defer func() { out <- l }()
			req, _ := http.NewRequestWithContext(ctx, "GET", "http://"+r.Addr(node)+"/registry/instances"+query, nil)
			var resp *http.Response
			if resp, l.err = transport.RoundTrip(req); l.err != nil {
				return
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				l.err = errors.New(resp.Status)
				return
			}
			l.err = json.NewDecoder(resp.Body).Decode(&l)
		}()
		return out
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*longTimeout)
	defer cancel()
	held := func(n int) { waitFor(t, "the call is held", func() bool { return r.held() == n }) }
	e := model.Entry{Name: "s", Address: "127.0.0.1:1", Status: model.Ready, Weight: 1}
	if err := r.Change(e); err != nil {
		t.Fatal(err)
	}
	if l := <-call(ctx, 0, ""); l.err != nil || l.Index != 1 || !l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0] != e {
		t.Errorf("%+v", l)
	}
	began := time.Now()
	if l := <-call(ctx, 0, "?from=1&hold_ms=50"); l.err != nil || l.Index != 1 || l.Snapshot || len(l.Endpoints) != 0 || time.Since(began) < 50*time.Millisecond {
		t.Errorf("%+v after %v", l, time.Since(began))
	}
	watch := call(ctx, 1, "?from=1&hold_ms=60000")
	held(1)
	e.Status = model.Draining
	r.Change(e)
	if l := <-watch; l.err != nil || l.Index != 2 || l.Snapshot || l.Endpoints[0] != e {
		t.Errorf("%+v", l)
	}
	watch = call(ctx, 1, "?from=2&hold_ms=60000")
	held(1)
	r.ResetWatches()
	if l := <-watch; l.err == nil {
		t.Errorf("%+v", l)
	}
	watch = call(ctx, 1, "?from=2&hold_ms=60000")
	held(1)
	r.SetRefusing(true)
	if l := <-watch; l.err == nil {
		t.Errorf("%+v", l)
	}
	if l := <-call(ctx, 0, ""); !errors.Is(l.err, syscall.ECONNREFUSED) {
		t.Errorf("%+v", l)
	}
	r.SetRefusing(false)
	if l := <-call(ctx, 0, ""); l.err != nil || l.Index != 2 {
		t.Errorf("%+v", l)
	}
	short, stop := context.WithTimeout(ctx, quietPeriod)
	defer stop()
	watch = call(short, 0, "?from=2&hold_ms=60000")
	held(1)
	r.SetSilent(true)
	r.Change(e)
	r.SetSilent(false)
	if l := <-watch; !errors.Is(l.err, context.DeadlineExceeded) {
		t.Errorf("%+v", l)
	}
	r.SetIsolated(0, true)
	r.Change(e)
	if l := <-call(ctx, 0, "?from=2&hold_ms=0"); l.err != nil || l.Index != 3 {
		t.Errorf("cut: %+v", l)
	}
	if l := <-call(ctx, 1, "?from=2&hold_ms=0"); l.err != nil || l.Index != 4 {
		t.Errorf("not cut: %+v", l)
	}
	if l := <-call(ctx, 1, "?from=x"); l.err == nil {
		t.Errorf("%+v", l)
	}
	st, node := r.Stats(), r.NodeStats(0)
	if st.Snapshots != 2 || node.Snapshots != 2 || st.Responses != 6 || st.Calls != 9 || node.BytesIn == 0 || st.BytesIn <= node.BytesIn || node.BytesOut <= node.Bytes {
		t.Errorf("%+v, node 0 %+v", st, node)
	}
}

// held counts the calls that wait.
func (r *Registry) held() (n int) {
	r.withModel(func(time.Duration) { n = r.model.HeldCalls() })
	return n
}
