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
	enough = 20 * time.Second       // for what must happen, on a busy machine
	while  = 100 * time.Millisecond // for what must not
)

// leavesNothing checks, when the test ends, that no goroutine of it is left.
func leavesNothing(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		for end := time.Now().Add(enough); runtime.NumGoroutine() > before; runtime.Gosched() {
			if time.Now().After(end) {
				stacks := make([]byte, 1<<20)
				t.Fatalf("goroutines are left:\n%s", stacks[:runtime.Stack(stacks, true)])
			}
		}
	})
}

func closing(t *testing.T, c io.Closer) {
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
	closing(t, s)
	return s
}

// client is one connection.
type client struct {
	net.Conn
	read *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, enough)
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

// answer reads one answer to its end.
func (c *client) answer(limit time.Duration) (*http.Response, string, error) {
	c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (c *client) want(t *testing.T, status int) (*http.Response, string) {
	t.Helper()
	resp, body, err := c.answer(enough)
	if err != nil || resp.StatusCode != status {
		t.Fatalf("answer %v, %v, want %d", resp, err, status)
	}
	return resp, body
}

func (c *client) wantSilence(t *testing.T) {
	t.Helper()
	if resp, _, err := c.answer(while); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("answer %v, %v, want silence", resp, err)
	}
}

func (c *client) wantError(t *testing.T, want error) {
	t.Helper()
	if resp, _, err := c.answer(enough); !errors.Is(err, want) {
		t.Fatalf("answer %v, %v, want %v", resp, err, want)
	}
}

// until waits for something that another goroutine brings about.
func until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(enough); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal(what)
		}
	}
}

func TestAnswers(t *testing.T) {
	leavesNothing(t)
	s := newServer(t, ServerConfig{Body: 100, ServerConfig: model.ServerConfig{Handshake: 30 * time.Millisecond, Connections: 2}})
	began := time.Now()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r1", "X-Lab-Work: 20000")
	if _, body := c.want(t, 200); len(body) != 100 || !strings.HasPrefix(body, "r1.") || time.Since(began) < 50*time.Millisecond {
		t.Errorf("%q after %v: a handshake of 30 ms and work of 20", body, time.Since(began))
	}
	c.send(t, "GET", "")
	c.want(t, 404)
	c.send(t, "GET", "r2", "X-Lab-Work: much")
	c.want(t, 400)
	c.send(t, "GET", "r3", "X-Lab-Scope: galaxy")
	c.want(t, 400)
	s.Fail(1)
	c.send(t, "POST", "r4")
	c.want(t, 500)
	s.Fail(-1)
	s.Drain(true)
	c.send(t, "POST", "r5")
	if resp, _ := c.want(t, 503); resp.Header.Get("X-Not-Run") != "1" || resp.Close {
		t.Errorf("%v", resp.Header)
	}
	s.Drain(false)
	slow := dial(t, s.Addr())
	slow.send(t, "GET", "r6", "X-Lab-Work: 60000000")
	until(t, "the work begins", func() bool { return s.Stats().Running == 1 && s.Stats().Connections == 2 && s.Stats().Handshakes == 2 })
	until(t, "the handshake ends", func() bool { return s.Stats().Work >= 80*time.Millisecond })
	until(t, "the request begins", func() bool { return s.Stats().Running == 1 })
	c.send(t, "GET", "r7") // no queue
	c.want(t, 503)
	third := dial(t, s.Addr())
	third.send(t, "GET", "r8")
	if resp, _ := third.want(t, 503); resp.Header.Get("X-Not-Run") != "1" || !resp.Close {
		t.Errorf("over the limit of connections: %v", resp.Header)
	}
	if st := s.Stats(); st.Served != 1 || st.Failed != 1 || st.Full != 2 || st.TurnedAway != 1 || st.Peak != 2 {
		t.Errorf("%+v", st)
	}
	if in, out := s.Bytes(); in < 500 || out < 500 {
		t.Errorf("%d bytes in, %d out", in, out)
	}
}

func TestKill(t *testing.T) {
	leavesNothing(t)
	s := newServer(t, ServerConfig{ServerConfig: model.ServerConfig{ColdFrom: 0.5, ColdTime: time.Hour}})
	busy, idle := dial(t, s.Addr()), dial(t, s.Addr())
	busy.send(t, "GET", "r1", "X-Lab-Work: 60000000")
	idle.send(t, "GET", "r2", "X-Lab-Work: 0")
	until(t, "the work begins", func() bool { st := s.Stats(); return st.Running == 1 && st.Served+st.Full == 1 })
	idle.answer(enough)
	s.Kill()
	busy.wantError(t, syscall.ECONNRESET)
	idle.wantError(t, syscall.ECONNRESET)
	if _, err := net.DialTimeout("tcp", s.Addr(), enough); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to a killed server: %v", err)
	}
	s.Start()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.want(t, 200)
	s.Start() // at once
	c.wantError(t, syscall.ECONNRESET)
	if st := s.Stats(); st.Starts != 2 || st.Broken != 1 {
		t.Errorf("%+v", st)
	}
}

func TestLost(t *testing.T) {
	leavesNothing(t)
	s := newServer(t, ServerConfig{ServerConfig: model.ServerConfig{Queue: 9, IdleClose: 2 * while}})
	busy, idle := dial(t, s.Addr()), dial(t, s.Addr())
	busy.send(t, "GET", "r1", "X-Lab-Work: 60000000")
	until(t, "the work begins", func() bool { st := s.Stats(); return st.Running == 1 && st.Connections == 2 })
	s.Lose()
	for range 3 {
		var late net.Error
		if _, err := net.DialTimeout("tcp", s.Addr(), while); !errors.As(err, &late) || !late.Timeout() {
			t.Errorf("a connection to a lost server: %v", err)
		}
	}
	idle.send(t, "GET", "r2")
	for range 3 { // longer than an idle connection lives
		busy.wantSilence(t)
		idle.wantSilence(t)
	}
	s.Kill()
	if _, err := net.DialTimeout("tcp", s.Addr(), enough); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("a connection to a machine that is back: %v", err)
	}
	busy.wantError(t, syscall.ECONNRESET)
	idle.wantError(t, syscall.ECONNRESET)
	s.Lose()
	s.Start()
	c := dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.want(t, 200)
	c.wantError(t, io.ErrUnexpectedEOF) // idle
	until(t, "the idle connection is closed", func() bool { return s.Stats().Connections == 0 })
}

func TestHangAndFall(t *testing.T) {
	leavesNothing(t)
	s := newServer(t, ServerConfig{Work: time.Millisecond, ServerConfig: model.ServerConfig{Queue: 9, ColdFrom: 0.5, ColdTime: time.Hour,
		FallFactor: 4, FallTime: time.Hour, FallRest: while, MeanCost: time.Hour}})
	c := dial(t, s.Addr())
	s.Hang(true)
	c.send(t, "GET", "r1")
	c.wantSilence(t)
	s.Hang(false)
	c = dial(t, s.Addr())
	c.send(t, "GET", "r2")
	c.want(t, 200)
	s.Start()
	c = dial(t, s.Addr())
	c.send(t, "GET", "r3")
	c.want(t, 200)
	// N is 2, of which an hour's span stands 6.8 hours of work.
	for i := range 7 {
		c = dial(t, s.Addr())
		c.send(t, "GET", fmt.Sprint("push", i), "X-Lab-Work: 3600000000")
		until(t, "the request comes", func() bool { st := s.Stats(); return st.Running+st.Waiting == i+1 || st.Falls > 0 })
	}
	c.wantError(t, syscall.ECONNRESET)
	until(t, "it comes back by itself", func() bool { return s.Stats().Starts == 2 })
	c = dial(t, s.Addr())
	c.send(t, "GET", "r4")
	c.want(t, 200)
	if st := s.Stats(); st.Falls != 1 || st.WorstPush <= 1 {
		t.Errorf("%+v", st)
	}
}

func TestLedger(t *testing.T) {
	leavesNothing(t)
	var ledger Ledger
	var keys model.Keys
	cfg := ServerConfig{Ledger: &ledger, Window: time.Hour, Epoch: time.Now(),
		ServerConfig: model.ServerConfig{Queue: 9, Keys: [model.ScopeCell + 1]*model.Keys{&keys}}}
	a, b := newServer(t, cfg), newServer(t, cfg)
	one, two, gone := dial(t, a.Addr()), dial(t, b.Addr()), dial(t, a.Addr())
	for _, c := range []*client{one, two} { // one after the other
		c.send(t, "POST", "unsafe", "X-Class: pay", "X-Deadline: 0.480")
		c.want(t, 200)
		c.send(t, "POST", "keyed", "Idempotency-Key: k")
		c.want(t, 200)
	}
	one.send(t, "GET", "safe", "X-Lab-Work: 60000000")
	until(t, "the work begins", func() bool { return a.Stats().Running == 1 })
	two.send(t, "GET", "safe")
	two.want(t, 200)
	gone.send(t, "POST", "gone")
	until(t, "the request waits", func() bool { return a.Stats().Waiting == 1 })
	gone.Close()
	until(t, "the request is dropped", func() bool { return a.Stats().Dropped == 1 })
	got := ledger.Account()
	if got.Requests != 4 || got.Copies != 7 || got.Runs != 5 || got.Overlaps != 1 || got.Again != 2 || len(got.UnsafeAgain) != 1 || got.UnsafeAgain[0] != "unsafe" {
		t.Errorf("%+v", got)
	}
	if s, ok := ledger.Request("unsafe"); !ok || s.Class != "pay" || s.Deadline != 480*time.Millisecond || s.Arrived <= 0 || s.Copies != 2 {
		t.Errorf("%+v", s)
	}
	if a.Stats().Repeats+b.Stats().Repeats != 1 {
		t.Error("a repeat of a key is not known at the other server")
	}
}

func TestManyServers(t *testing.T) {
	leavesNothing(t)
	const servers, each = 100, 5
	var ledger Ledger
	var wg sync.WaitGroup
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for n := range servers {
		s := newServer(t, ServerConfig{Ledger: &ledger, Work: time.Millisecond, ServerConfig: model.ServerConfig{Queue: model.Unlimited}})
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
	if a := ledger.Account(); a.Runs != servers*each || a.Again != 0 {
		t.Errorf("%+v", a)
	}
}

func TestRegistry(t *testing.T) {
	leavesNothing(t)
	r, err := NewRegistry(RegistryConfig{RegistryConfig: model.RegistryConfig{Nodes: 2}})
	if err != nil {
		t.Fatal(err)
	}
	closing(t, r)
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
	ctx, cancel := context.WithTimeout(context.Background(), 3*enough)
	defer cancel()
	held := func(n int) { until(t, "the call is held", func() bool { return r.held() == n }) }
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
	r.BreakWatches()
	if l := <-watch; l.err == nil {
		t.Errorf("%+v", l)
	}
	watch = call(ctx, 1, "?from=2&hold_ms=60000")
	held(1)
	r.Refuse(true)
	if l := <-watch; l.err == nil {
		t.Errorf("%+v", l)
	}
	if l := <-call(ctx, 0, ""); !errors.Is(l.err, syscall.ECONNREFUSED) {
		t.Errorf("%+v", l)
	}
	r.Refuse(false)
	if l := <-call(ctx, 0, ""); l.err != nil || l.Index != 2 {
		t.Errorf("%+v", l)
	}
	short, stop := context.WithTimeout(ctx, while)
	defer stop()
	watch = call(short, 0, "?from=2&hold_ms=60000")
	held(1)
	r.Silence(true)
	r.Change(e)
	r.Silence(false)
	if l := <-watch; !errors.Is(l.err, context.DeadlineExceeded) {
		t.Errorf("%+v", l)
	}
	r.Cut(0, true)
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
	if st.Whole != 2 || node.Whole != 2 || st.Answers != 6 || st.Calls != 9 || node.In == 0 || st.In <= node.In || node.Out <= node.Bytes {
		t.Errorf("%+v, node 0 %+v", st, node)
	}
}

// held is how many calls wait.
func (r *Registry) held() (n int) {
	r.do(func(time.Duration) { n = r.model.Held() })
	return n
}
