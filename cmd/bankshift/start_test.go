package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const (
	enough    = 60 * time.Second // bounds what a test waits for; a passing one takes far less
	readyTime = 6 * time.Second  // in which a restarted process has to be ready: 10 s, or 6 s where the day ends sooner
)

// stand is what a process is started beside: a discovery that can be out of
// order, and a server.
type stand struct {
	discovery, server string
	answers           atomic.Bool // discovery does; before, it takes connections and says nothing
	whole             string      // its list
}

// newStand has a list of so many servers, of which the first is real.
func newStand(t *testing.T, servers int) *stand {
	t.Helper()
	app := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "hi")
	}))
	t.Cleanup(app.Close)
	s := &stand{server: app.Listener.Addr().String()}
	s.whole = s.list(servers)
	d := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.answers.Load() || r.URL.Query().Get("from") == "7" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, s.whole)
	}))
	t.Cleanup(d.CloseClientConnections)
	s.discovery = d.Listener.Addr().String()
	return s
}

func (s *stand) list(servers int) string {
	entries := make([]string, servers)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"name":"s-%08x","address":%q,"zone":"a","type":"m2","group":%d,"status":"ready","weight":1.0,"since_ms":1700000000000}`,
			i, s.server, i%40)
	}
	return `{"index":7,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}`
}

func freeAddress(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// refusing is an address that stays taken and refuses connections.
func refusing(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port)
}

// started is a process under test.
type started struct {
	address string
	began   time.Time
	ended   chan struct{}
	log     *strings.Builder // read it after the end
}

// start runs the program. With sockets over 0 that is its limit of
// descriptors, and the system's for it. Where the address that was free has
// been taken meanwhile it starts again.
func start(t *testing.T, discovery, known, mode string, sockets int) *started {
	t.Helper()
	for range 5 {
		s := &started{address: freeAddress(t), ended: make(chan struct{}), log: &strings.Builder{}}
		config := fmt.Sprintf(`{"name":"n0","listen":%q,"discovery":%q,"seed":"1f","limits":{"sockets":%d},"known":%s,
			"settings":{"balancers":1,"membership_mode":%q,"caps":{"connect_timeout_ns":500000000,"max_attempts":3,"cancel":true},
			"invariants":{"drain_grace_ns":1000000000,"ask_within_ns":10000000000},
			"classes":[{"name":"get","effect":"retryable","aim_ns":2000000000,"deadline_ns":4000000000}]}}`,
			s.address, discovery, sockets, known, mode)
		cmd := program(t, config)
		if sockets > 0 {
			limited := exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q", sockets, os.Args[0]))
			limited.Env = cmd.Env
			cmd = limited
		}
		stderr, err := cmd.StderrPipe()
		if err != nil {
			t.Fatal(err)
		}
		s.began = time.Now()
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		go func() {
			defer close(s.ended)
			for lines := bufio.NewScanner(stderr); lines.Scan(); {
				fmt.Fprintln(s.log, lines.Text())
			}
			cmd.Wait()
		}()
		t.Cleanup(func() {
			cmd.Process.Kill()
			<-s.ended
			if t.Failed() {
				t.Logf("the program says\n%s", s.log)
			}
		})
		if s.listens(t) {
			return s
		}
	}
	t.Fatal("the program does not start")
	return nil
}

// listens waits until the program takes connections, and tells whether it got its address.
func (s *started) listens(t *testing.T) bool {
	t.Helper()
	for end := time.Now().Add(enough); time.Now().Before(end); time.Sleep(time.Millisecond) {
		select {
		case <-s.ended:
			if strings.Contains(s.log.String(), "address already in use") {
				return false
			}
			t.Fatal("the program ends")
		default:
		}
		if c, err := net.Dial("tcp", s.address); err == nil {
			c.Close()
			return true
		}
	}
	return true
}

// ready waits for readiness, for so long at most.
func (s *started) ready(t *testing.T, most time.Duration) bool {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Second}
	for began := time.Now(); time.Since(began) < most; time.Sleep(5 * time.Millisecond) {
		select {
		case <-s.ended:
			t.Fatal("the program has ended")
		default:
		}
		resp, err := c.Get("http://" + s.address + "/health/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

var requests atomic.Int32

// served asks until a request is answered by a server.
func (s *started) served(t *testing.T, most time.Duration) (last string) {
	t.Helper()
	c := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 5 * time.Second}
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		req, err := http.NewRequest("GET", "http://"+s.address+"/api/x", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Request-Id", fmt.Sprint("q-", requests.Add(1)))
		req.Header.Set("X-Class", "get")
		req.Header.Set("X-Deadline", "4")
		resp, err := c.Do(req)
		if err != nil {
			last = err.Error()
			continue
		}
		body, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK && string(body) == "hi" {
			return ""
		}
		last = resp.Status
	}
	return last
}

const nothing = `{"index":0,"snapshot":true,"endpoints":[]}`

// TestReadyAfterARestart: whatever discovery is doing, a process that is told
// of servers is ready in time; one that is told of none is as discovery has
// told it, and not before, as it could only turn requests away.
func TestReadyAfterARestart(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		for _, servers := range []int{60, 4500} {
			for _, state := range []string{"up", "down", "silent"} {
				for _, known := range []bool{true, false} {
					t.Run(fmt.Sprintf("%s/%d/%s/known=%v", mode, servers, state, known), func(t *testing.T) {
						st := newStand(t, servers)
						st.answers.Store(state == "up")
						discovery, list := st.discovery, nothing
						if state == "down" {
							discovery = refusing(t)
						}
						if known {
							list = st.whole
						}
						p := start(t, discovery, list, mode, 0)
						began := p.began
						if !known && state != "up" {
							if p.ready(t, 500*time.Millisecond) {
								t.Error("ready with no server known")
							}
							if st.answers.Store(true); state == "down" {
								return // nothing else comes to that port
							}
							began = time.Now()
						}
						ok := p.ready(t, enough)
						took := time.Since(began)
						if !ok || took > readyTime {
							t.Fatalf("ready after %v (%v), want within %v", took, ok, readyTime)
						}
						t.Logf("ready after %v", took)
						if last := p.served(t, enough); last != "" {
							t.Errorf("nothing is served, at last %s", last)
						}
					})
				}
			}
		}
	}
}

// TestIdleClientsWhileDiscoveryIsDown: clients take all connections that they
// get and do nothing with them, while discovery is out of order. At its return
// the node has a descriptor for it, and serves.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	for _, mode := range []string{"pushed", "on_request"} {
		for _, state := range []string{"silent", "known"} {
			t.Run(mode+"/"+state, func(t *testing.T) {
				t.Parallel()
				const sockets = 64 // the least with which a node starts
				st := newStand(t, 1)
				list := nothing
				if state == "known" {
					list = strings.Replace(st.list(1), st.server, refusing(t), 1) // no server is there any more
				}
				p := start(t, st.discovery, list, mode, sockets)
				var filling sync.WaitGroup
				done := make(chan struct{})
				var opened atomic.Int32
				for range 2 * sockets {
					filling.Add(1)
					go func() {
						defer filling.Done()
						for {
							select {
							case <-done:
								return
							case <-time.After(200 * time.Millisecond):
							}
							c, err := net.Dial("tcp", p.address)
							if err != nil {
								continue
							}
							opened.Add(1)
							c.SetReadDeadline(time.Now().Add(2 * time.Second))
							c.Read(make([]byte, 1)) // until the node closes it
							c.Close()
						}
					}()
				}
				stop := sync.OnceFunc(func() { close(done); filling.Wait() })
				defer stop()
				for end := time.Now().Add(enough); opened.Load() < 6*sockets; time.Sleep(5 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("only %d connections come up", opened.Load())
					}
				}
				time.Sleep(2 * time.Second) // calls to discovery hang all the while
				st.answers.Store(true)
				began := time.Now()
				if ok := p.ready(t, enough); !ok {
					t.Error("not ready")
				}
				if last := p.served(t, enough); last != "" {
					t.Errorf("nothing is served, at last %s", last)
				}
				t.Logf("served %v after discovery's return, %d connections opened", time.Since(began), opened.Load())
			})
		}
	}
}
