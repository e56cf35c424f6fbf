package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The slack and the times that the pages give.
const (
	soakSlack     = 150 * time.Millisecond // of the time told to a server
	soakLate      = 500 * time.Millisecond // an answer later than this past its deadline is lost
	soakGone      = 100 * time.Millisecond // an attempt that begins later than this after its client has left is lost
	soakGrace     = time.Second            // of a drain, as the settings say,
	soakGraceTol  = 50 * time.Millisecond  // and what the pages add to each limit
	soakAsked     = 6 * time.Second        // where lists are asked for a change counts as told by then
	soakMoved     = 4 * time.Second        // after SIGHUP it does
	soakHoldUp    = 150 * time.Millisecond // for which a node may be held up
	soakComing    = 400 * time.Millisecond // after SIGTERM new connections come
	soakKillSlack = 700 * time.Millisecond // SIGKILL comes so long after SIGTERM, and the longest deadline, at the earliest
	soakWindow    = time.Second            // in which servers drop a keyed request's repeat
)

// soakRequest is what is known of one request.
type soakRequest struct {
	effect   string
	deadline time.Duration
	sent     time.Time // its last byte has been written; zero: not yet
	left     time.Time // when its client closed its connection; zero: it waits
	arrivals []soakArrival
}

// soakArrival is an attempt as its server saw it.
type soakArrival struct {
	server       int
	began, ended time.Time // its first and last byte
	told         time.Duration
	turnedAway   bool // with proof that it has not run
}

// soakServer is a backend with a way of its own.
type soakServer struct {
	name, address string
	way           string
	drained       time.Time // zero: it is ready
}

// soak is one node's life, of which the events are drawn from a seed.
type soak struct {
	seed    int64
	asked   bool          // lists are asked for
	longest time.Duration // of the classes' deadlines
	crowd   bool
	holdUps bool // the process is stopped for moments
	leaving int  // one in so many clients leaves early
	silent  bool // discovery is, for a while, as a server begins to drain
	stale   bool // the node starts with a list that does not know of a drain
	rude    bool // bad clients come

	mu       sync.Mutex
	rng      *rand.Rand
	requests map[string]*soakRequest
	servers  []*soakServer
	version  int
	changed  chan struct{} // closed by the next change of the list
	broken   []string
	counts   map[string]int
	back     time.Time // discovery answers from then on
	ordered  time.Time // SIGTERM; zero: not yet
	moved    time.Time // the last SIGHUP
	killed   time.Time // SIGKILL; zero: not sent
	over     bool
	ticked   time.Time     // by watch
	waited   runDelay      // the node's threads, for a processor
	stalled  time.Duration // the longest time of late in which this process, the judge, did not run
}

// watch sees how long this process is kept from running: its own stamps are late by that.
func (s *soak) watch(done <-chan struct{}) {
	const step, forget = 5 * time.Millisecond, 0.995 // halves the longest in 0.7 s
	const readings = 10                              // steps between two of the node's account
	for i := 0; ; i++ {
		select {
		case <-time.After(step):
		case <-done:
			return
		}
		s.locked(func() {
			now := time.Now()
			if !s.ticked.IsZero() {
				s.stalled = max(now.Sub(s.ticked)-step, time.Duration(forget*float64(s.stalled)))
			}
			s.ticked = now
			if i%readings == 0 && s.waited.pid > 0 {
				s.waited.read(now)
			}
		})
	}
}

// stall is by how much the judge's stamps may be late. The caller holds s.mu.
func (s *soak) stall() time.Duration {
	if s.ticked.IsZero() {
		return 0
	}
	return max(s.stalled, time.Since(s.ticked))
}

// fault notes a broken rule. It is none where the machine has kept the node from running for longer than the pages let
// it be held up, as the system's own account of its threads tells; that is counted.
func (s *soak) fault(format string, args ...any) {
	if s.waited.within(time.Now()) > soakHoldUp {
		s.counts["excused: the machine was too busy"]++
		return
	}
	s.broken = append(s.broken, fmt.Sprintf(format, args...))
}

// runDelay is how long threads of a process have waited for a processor, by /proc/PID/task/TID/schedstat.
type runDelay struct {
	pid     int
	threads map[string]time.Duration // in all, when last read
	recent  []delayed
}

// delayed is the longest wait of one thread up to a time.
type delayed struct {
	at   time.Time
	wait time.Duration
}

// read takes the account as it stands.
func (d *runDelay) read(now time.Time) {
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", d.pid)) // fails on bad patterns only
	longest := time.Duration(0)
	for _, file := range files {
		raw, err := os.ReadFile(file)
		var ran, waited, slices int64
		if err != nil {
			continue // the thread has ended
		}
		if _, err := fmt.Sscan(string(raw), &ran, &waited, &slices); err != nil {
			continue
		}
		if before, known := d.threads[file]; known {
			longest = max(longest, time.Duration(waited)-before)
		}
		d.threads[file] = time.Duration(waited)
	}
	d.recent = append(d.recent, delayed{now, longest})
	for now.Sub(d.recent[0].at) > 2*time.Second {
		d.recent = d.recent[1:]
	}
}

// within is the longest wait of one thread between two readings in the last two seconds.
func (d *runDelay) within(now time.Time) (longest time.Duration) {
	for _, r := range d.recent {
		if now.Sub(r.at) < 2*time.Second {
			longest = max(longest, r.wait)
		}
	}
	return longest
}

func (s *soak) locked(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// draw gives a random number below n.
func (s *soak) draw(n int) (v int) {
	s.locked(func() { v = s.rng.Intn(n) })
	return v
}

// serveBackend answers on one connection as its server does.
func (s *soak) serveBackend(i int, c net.Conn) {
	defer c.Close()
	server := s.servers[i]
	r := bufio.NewReader(c)
	for {
		if server.way == "closes early" {
			c.SetReadDeadline(time.Now().Add(time.Duration(50+s.draw(200)) * time.Millisecond))
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		a := soakArrival{server: i, began: time.Now(), turnedAway: server.way == "full" && s.draw(3) > 0 || server.way == "full late"}
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		a.ended = time.Now()
		told, err := strconv.ParseFloat(req.Header.Get("X-Deadline"), 64)
		if a.told = time.Duration(told * float64(time.Second)); err != nil {
			a.told = time.Hour
		}
		id := req.Header.Get("X-Request-Id")
		s.arrive(id, a)
		time.Sleep(time.Duration(s.draw(20)) * time.Millisecond)
		if server.way == "full late" { // the next attempt begins long behind a client that has left meanwhile
			time.Sleep(time.Duration(150+s.draw(150)) * time.Millisecond)
		}
		switch {
		case server.way == "hangs":
			io.Copy(io.Discard, r) // until the node gives up
			return
		case a.turnedAway:
			io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
		case server.way == "fails" && s.draw(3) == 0:
			io.WriteString(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
		case server.way == "resets" && s.draw(5) == 0:
			c.(*net.TCPConn).SetLinger(0)
			return
		default:
			if !s.answer(c, id) {
				return
			}
		}
	}
}

// answer sends a good answer in one of its forms, in pieces, and tells whether the connection goes on.
func (s *soak) answer(c net.Conn, id string) bool {
	text, goOn := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id), true
	switch s.draw(8) {
	case 0:
		text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		for _, b := range id {
			text += fmt.Sprintf("1;x=y\r\n%c\r\n", b)
		}
		text += "0\r\nX-Trailer: t\r\n\r\n"
	case 1:
		text, goOn = "HTTP/1.1 200 OK\r\n\r\n"+id, false
	case 2:
		text = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text
	case 3:
		text += text // a second copy
	case 4:
		text, goOn = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1), false
	}
	if at := s.draw(len(text)); s.draw(4) == 0 {
		io.WriteString(c, text[:at])
		time.Sleep(time.Duration(s.draw(10)) * time.Millisecond)
		text = text[at:]
	}
	_, err := io.WriteString(c, text)
	return goOn && err == nil
}

// arrive holds an attempt against the rules.
func (s *soak) arrive(id string, a soakArrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts["attempts"]++
	q := s.requests[id]
	if q == nil {
		s.fault("request %q, which no client sent, came to %s", id, s.servers[a.server].name)
		return
	}
	left := q.deadline
	if !q.sent.IsZero() {
		left -= a.ended.Sub(q.sent)
	}
	if a.told > left+soakSlack+s.stall() {
		s.fault("%s: told %v where %v is left", id, a.told, left)
	}
	if !q.left.IsZero() && a.began.Sub(q.left) > soakGone+s.stall() {
		s.fault("%s: an attempt begins %v after its client has left", id, a.began.Sub(q.left))
	}
	if server := s.servers[a.server]; !server.drained.IsZero() {
		told := server.drained
		if s.back.After(told) {
			told = s.back
		}
		if s.asked {
			told = told.Add(soakAsked)
		}
		if m := s.moved.Add(soakMoved); s.moved.Before(told) && m.After(told) {
			told = m
		}
		if late := a.began.Sub(told); late > soakGrace+soakGraceTol+s.stall() {
			s.fault("%s: sent to %s %v after it was told as draining", id, server.name, late)
		}
	}
	for _, before := range q.arrivals {
		if before.turnedAway {
			continue
		}
		if q.effect == "fragile" {
			s.fault("%s: an unsafe request comes to %s after %s", id, s.servers[a.server].name, s.servers[before.server].name)
		} else if q.effect == "dedup" && a.began.Sub(before.ended) > soakWindow {
			s.fault("%s: a keyed request comes again after %v", id, a.began.Sub(before.ended))
		}
	}
	q.arrivals = append(q.arrivals, a)
}

// discover answers calls for the list; changes come to watches at once.
func (s *soak) discover(w http.ResponseWriter, r *http.Request) {
	if from := r.URL.Query().Get("from"); from != "" {
		hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		var version int
		var changed chan struct{}
		s.locked(func() { version, changed = s.version, s.changed })
		if from == strconv.Itoa(version) {
			select {
			case <-changed:
			case <-time.After(time.Duration(hold) * time.Millisecond):
			case <-r.Context().Done():
				return
			}
		}
	}
	s.mu.Lock()
	list, silent := s.list(false), time.Now().Before(s.back)
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	io.WriteString(w, list)
}

// list is the list as it stands, or as it stood before any drain. The caller holds s.mu.
func (s *soak) list(old bool) string {
	var entries []string
	for _, server := range s.servers {
		status := "ready"
		if !server.drained.IsZero() && !old {
			status = "draining"
		}
		entries = append(entries, fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m","group":1,"status":%q,"weight":1,"since_ms":0}`,
			server.name, server.address, status))
	}
	return fmt.Sprintf(`{"index":%d,"snapshot":true,"endpoints":[%s]}`, s.version, strings.Join(entries, ","))
}

// drain has the list name a server as draining.
func (s *soak) drain(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servers[i].drained = time.Now()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// soakClient sends one request after the other on a connection that it keeps.
type soakClient struct {
	*soak
	address string
	conn    *net.TCPConn
	read    *bufio.Reader
}

var errElsewhere = errors.New("the front sends new connections elsewhere")

func (c *soakClient) connect() error {
	coming := true
	c.locked(func() { coming = !c.over && (c.ordered.IsZero() || time.Since(c.ordered) < soakComing) })
	if !coming {
		return errElsewhere
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	c.conn = conn.(*net.TCPConn)
	c.read = bufio.NewReader(conn)
	return nil
}

func (c *soakClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// run sends requests until the node is gone.
func (c *soakClient) run(number int) {
	defer c.close()
	for k := 0; ; k++ {
		id := fmt.Sprintf("%d-%d-%d", c.seed, number, k)
		if !c.ask(id) {
			return
		}
		pause := time.Duration(c.draw(60)) * time.Millisecond
		if c.draw(40) == 0 {
			pause = time.Duration(2500+c.draw(600)) * time.Millisecond // it crosses the end of a resting connection
		}
		time.Sleep(pause)
	}
}

// ask sees one request through. It tells whether there is a node to go on with.
func (c *soakClient) ask(id string) bool {
	effects := []string{"retryable", "fragile", "dedup"}
	effect := effects[c.draw(len(effects))]
	deadline := c.longest * time.Duration(40+c.draw(61)) / 100
	q, began := &soakRequest{effect: effect, deadline: deadline}, time.Now()
	for try := 0; ; try++ {
		if c.conn == nil {
			if err := c.connect(); err != nil {
				return !errors.Is(err, errElsewhere) && c.pause()
			}
		}
		answered, err := c.exchange(id, q)
		if err == nil {
			return true
		}
		c.close()
		if answered {
			return true // it has left, or has been told so
		}
		lost := false
		c.locked(func() {
			if lost = len(q.arrivals) > 0 || try > 0 || c.foundByKill(q); lost && !c.over {
				c.fault("%s (%s): no answer after %v of %v (try %d, sent on %d times): %v; %v after SIGTERM", id, effect,
					time.Since(began), deadline, try, len(q.arrivals), err, c.sinceOrdered())
			}
		})
		if lost {
			return true
		}
	}
}

// foundByKill tells whether SIGKILL has found a request unanswered that came so late that this loses it. The caller holds mu.
func (s *soak) foundByKill(q *soakRequest) bool {
	return !s.killed.IsZero() && !q.sent.IsZero() && q.sent.Before(s.killed) && q.sent.Sub(s.ordered) > soakKillSlack
}

// sinceOrdered is the time since SIGTERM. The caller holds mu.
func (s *soak) sinceOrdered() time.Duration {
	if s.ordered.IsZero() {
		return 0
	}
	return time.Since(s.ordered)
}

// pause waits a little before the next connection, and tells whether the run goes on.
func (c *soakClient) pause() (goOn bool) {
	time.Sleep(5 * time.Millisecond)
	c.locked(func() { goOn = !c.over })
	return goOn
}

// exchange sends a request and reads its answer. It tells whether nothing more is owed, also where the client leaves.
func (c *soakClient) exchange(id string, q *soakRequest) (answered bool, err error) {
	method, key := "POST", ""
	switch q.effect {
	case "retryable":
		method = "GET"
	case "dedup":
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	text := fmt.Sprintf("%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n%s", method, id,
		q.effect, q.deadline.Seconds(), key)
	if method == "POST" {
		text += "Content-Length: 4\r\n\r\nbody"
	} else {
		text += "\r\n"
	}
	if c.draw(4) == 0 { // slowly
		half := 1 + c.draw(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:half]); err != nil {
			return false, err
		}
		time.Sleep(time.Duration(c.draw(30)) * time.Millisecond)
		text = text[half:]
	}
	c.locked(func() {
		c.requests[id], q.sent = q, time.Time{}
		c.counts["requests"]++
	})
	if _, err := io.WriteString(c.conn, text); err != nil {
		return false, err
	}
	c.locked(func() { q.sent = time.Now() })
	if c.draw(c.leaving) == 0 {
		time.Sleep(time.Duration(c.draw(int(q.deadline / 4))))
		c.locked(func() { q.left = time.Now() })
		return true, errors.New("left")
	}
	c.conn.SetReadDeadline(q.sent.Add(q.deadline + soakLate))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	c.locked(func() {
		c.counts[strconv.Itoa(resp.StatusCode)]++
		if resp.StatusCode == http.StatusOK && string(body) != id {
			c.fault("%s: answered with %q", id, body)
		}
		if ran := resp.StatusCode == http.StatusServiceUnavailable && q.effect == "fragile"; ran {
			for _, a := range q.arrivals {
				if !a.turnedAway {
					c.fault("%s: refused, though it may have run", id)
				}
			}
		}
		if c.read.Buffered() > 0 {
			c.fault("%s: more than one answer", id)
		}
	})
	if resp.Close {
		return true, errors.New("closed")
	}
	return true, nil
}

// listenAs serves connections on a port of its own until the test's end.
func (s *soak) listenAs(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// discovery starts one more of them.
func (s *soak) discovery(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(s.discover)}
	go srv.Serve(ln)
	t.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}

// config is the node's, with the list as it stands.
func (s *soak) config(listen, discovery string) string {
	mode := "pushed"
	if s.asked {
		mode = "on_request"
	}
	var classes []string
	for _, effect := range []string{"retryable", "fragile", "dedup"} {
		classes = append(classes, fmt.Sprintf(`{"name":%q,"effect":%q,"aim_ns":%d,"give_up_ns":%d,"importance":1,"late_worth":0.5,"key_scope":"all","dedup_window_ns":%d}`,
			effect, effect, s.longest/2, s.longest, soakWindow))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"%x","limits":{"memory_mb":192,"sockets":256},"known":%s,
		"settings":{"balancers":1,"membership_mode":%q,"tick_ns":5000000,"caps":{"connect_timeout_ns":150000000,"max_attempts":3,"cancel":true,
		"may_duplicate":true,"retry_after":true,"max_retry_after_ns":500000000,"conn_idle_ns":60000000000,"most_held":20000},
		"invariants":{"drain_grace_ns":%d,"ask_within_ns":10000000000,"answer_slack_ns":20000000,"cold_from":0.12,"cold_ns":23000000000,
		"overload_factor":4,"tip_after_ns":1000000000},"classes":[%s]}}`,
		listen, discovery, s.seed, s.list(true), mode, soakGrace, strings.Join(classes, ","))
}

// play has a node live from its start to the earliest SIGKILL.
func (s *soak) play(t *testing.T) {
	done := make(chan struct{})
	defer close(done)
	go s.watch(done)
	for i, way := range []string{"answers", "answers", "answers", "hangs", "full", "full late", "fails", "resets", "closes early"} {
		s.servers = append(s.servers, &soakServer{name: fmt.Sprint("s-", i), way: way})
	}
	for i, server := range s.servers {
		server.address = s.listenAs(t, func(c net.Conn) { s.serveBackend(i, c) })
	}
	listen := freeAddress(t)
	cmd := program(t, s.config(listen, s.discovery(t)))
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "GW_CONFIG=")
	var said strings.Builder
	cmd.Stderr = &said
	if s.stale {
		s.drain(0)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	s.locked(func() { s.waited = runDelay{pid: cmd.Process.Pid, threads: map[string]time.Duration{}} })
	ended := make(chan error, 1)
	go func() { ended <- cmd.Wait() }()
	defer cmd.Process.Kill()
	p := &started{address: listen, ended: make(chan struct{})}
	if !p.ready(t, readyTime) {
		t.Fatalf("not ready; it says\n%s", &said)
	}
	var clients sync.WaitGroup
	for i := range 24 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			(&soakClient{soak: s, address: listen}).run(i)
		}()
	}
	if s.holdUps {
		go s.holdUp(cmd)
	}
	if s.rude {
		for i := range 4 {
			clients.Add(1)
			go func() {
				defer clients.Done()
				s.misbehave(listen, i)
			}()
		}
	}
	s.disturb(t, cmd, path, listen)
	kill := min(s.longest, 3*time.Second) + soakKillSlack
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("it ends with %v and says\n%s", err, &said)
		}
	case <-time.After(time.Until(s.ordered.Add(kill))):
		s.locked(func() {
			s.counts["killed"]++
			s.killed = time.Now()
		})
		cmd.Process.Kill()
		<-ended
	}
	time.Sleep(50 * time.Millisecond) // what has ended unanswered shows
	s.locked(func() { s.over = true })
	clients.Wait()
}

// hidden is a request that no client sends: it is part of another one's body.
const hidden = "GET /api/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nX-Class: retryable\r\nX-Deadline: 1\r\n\r\n"

// rudeTexts are what bad clients send, and stay. The first part of each is no request that could be served.
func rudeTexts(id string) []string {
	head := "POST /api/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: fragile\r\nX-Deadline: 1\r\n"
	return []string{
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 noise\r\n\r\n",
		"GET /api/x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 60<<10),
		head + fmt.Sprintf("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", hidden),
		head + fmt.Sprintf("Content-Length: %d\r\nContent-Length: 0\r\n\r\n%s", len(hidden), hidden),
		head + "Content-Length: -1\r\n\r\n" + hidden,
		head + "Content-Length: 99999999999999999999\r\n\r\n",
		head + fmt.Sprintf("Content-Length: %d\r\n\r\nhalf", 60<<20),
		strings.Replace(head, "X-Deadline: 1", "X-Deadline: soon", 1) + "Content-Length: 4\r\n\r\nbody",
		strings.Replace(head, "fragile", "nobody", 1) + "Content-Length: 4\r\n\r\nbody",
		strings.Replace(head, "X-Request-Id", "X-Nothing", 1) + "Content-Length: 4\r\n\r\nbody",
		head[:len(head)/2],
		"G",
		"",
	}
}

// misbehave sends what no client should, and is owed an error or a close within 3 s.
func (s *soak) misbehave(address string, number int) {
	const owed = 3 * time.Second
	for k := 0; ; k++ {
		goOn := true
		s.locked(func() { goOn = !s.over && s.ordered.IsZero() })
		if !goOn {
			return
		}
		texts := rudeTexts(fmt.Sprintf("rude-%d-%d", number, k))
		i := s.draw(len(texts))
		began := time.Now()
		c, err := net.Dial("tcp", address)
		if err != nil {
			return
		}
		c.SetDeadline(began.Add(owed + soakHoldUp))
		io.WriteString(c, texts[i]) // may be cut short
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		s.locked(func() {
			s.counts["rude"]++
			if err == nil && resp.StatusCode < 400 || errors.Is(err, os.ErrDeadlineExceeded) && !s.over {
				s.fault("bad client %d: %v, %v after %v", i, resp, err, time.Since(began))
			}
		})
		c.Close()
	}
}

// holdUp stops the process for moments until the run's end.
func (s *soak) holdUp(cmd *exec.Cmd) {
	for over := false; !over; {
		time.Sleep(time.Duration(100+s.draw(400)) * time.Millisecond)
		cmd.Process.Signal(syscall.SIGSTOP) // fails only once it has ended
		time.Sleep(soakHoldUp - 10*time.Millisecond)
		cmd.Process.Signal(syscall.SIGCONT)
		s.locked(func() { over = s.over })
	}
}

// disturb brings about what befalls the node, up to SIGTERM.
func (s *soak) disturb(t *testing.T, cmd *exec.Cmd, path, listen string) {
	t.Helper()
	send := func(signals ...os.Signal) {
		for _, signal := range signals {
			if err := cmd.Process.Signal(signal); err != nil {
				t.Errorf("%v: %v", signal, err)
			}
		}
	}
	time.Sleep(time.Second + time.Duration(s.draw(500))*time.Millisecond)
	for range s.draw(3) {
		if err := os.WriteFile(path+".new", []byte(s.config(listen, s.discovery(t))), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := os.Rename(path+".new", path); err != nil {
			t.Fatal(err)
		}
		s.locked(func() { s.moved = time.Now() })
		send(syscall.SIGHUP)
		time.Sleep(time.Duration(s.draw(300)) * time.Millisecond)
	}
	if s.silent {
		s.locked(func() { s.back = time.Now().Add(time.Duration(300+s.rng.Intn(1200)) * time.Millisecond) })
		time.Sleep(time.Duration(s.draw(300)) * time.Millisecond)
	}
	s.drain(s.draw(len(s.servers)))
	if s.crowd {
		for range 300 {
			c, err := net.Dial("tcp", listen)
			if err != nil {
				t.Errorf("a client of the crowd: %v", err)
				break
			}
			time.AfterFunc(time.Duration(s.draw(3000))*time.Millisecond, func() { c.Close() })
		}
	}
	time.Sleep(time.Duration(s.draw(2500)) * time.Millisecond)
	s.locked(func() { s.ordered = time.Now() })
	send(syscall.SIGTERM)
	for range s.draw(3) {
		time.Sleep(time.Duration(s.draw(100)) * time.Millisecond)
		send([]os.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT}[s.draw(3)])
	}
}

// TestSoak plays lives of a node with servers that hang, fail and reset, clients that leave, write slowly and rest, lists
// that change, configurations in a row, crowds, signals in series, and SIGKILL at its earliest. SOAK_SEEDS sets how many,
// and SOAK_FIRST the first seed; without them it is short.
func TestSoak(t *testing.T) {
	seeds, first := 6, int64(1)
	if n, err := strconv.Atoi(os.Getenv("SOAK_SEEDS")); err == nil {
		seeds = n
	}
	if n, err := strconv.ParseInt(os.Getenv("SOAK_FIRST"), 10, 64); err == nil {
		first = n
	}
	longest := []time.Duration{300 * time.Millisecond, time.Second, 3500 * time.Millisecond}
	for i := range int64(seeds) {
		seed := first + i
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := &soak{seed: seed, asked: seed%4 == 3, longest: longest[seed%3], crowd: seed%2 == 0,
				holdUps: seed%5 < 2, silent: seed%5 > 2, stale: seed%3 == 1, rude: seed%4 < 2, leaving: []int{20, 3}[seed%2], rng: rand.New(rand.NewSource(seed)),
				requests: map[string]*soakRequest{}, version: 1, changed: make(chan struct{}), counts: map[string]int{}}
			s.play(t)
			s.locked(func() {
				t.Log(s.counts, "stalled", s.stalled)
				for i, line := range s.broken {
					if t.Error(line); i == 20 {
						t.Fatalf("and %d more", len(s.broken)-i)
					}
				}
				if s.counts["200"] < s.counts["requests"]/4 {
					t.Errorf("hardly anything is served: %v", s.counts)
				}
			})
		})
	}
}
