package node

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/upstream"
)

var quiet = slog.New(slog.DiscardHandler)

func entryJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

func TestSinceOnTheModulesClock(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	before := time.Now().UnixMilli()
	if now := n.now(); now < time.Duration(before)*time.Millisecond || now > time.Duration(before)*time.Millisecond+enough {
		t.Errorf("the module's clock reads %v at Unix time %d ms", now, before)
	}
}

func TestFollowSetsAddresses(t *testing.T) {
	n := New(testConfig("127.0.0.1:1"), quiet)
	dials := hookDials(n, func(*upstream.Config) {})
	apply := func(kind balancer.UpdateKind, entries ...string) {
		l := discovery.List{Version: 1, Snapshot: kind != balancer.IncrementalUpdate}
		for _, e := range entries {
			l.Endpoints = append(l.Endpoints, json.RawMessage(e))
		}
		n.follow(l, kind)
	}
	check := func(when string, want map[string]string) {
		t.Helper()
		pooled := map[string]string{}
		for _, name := range []string{"a", "b", "c", "d"} {
			if address, _ := dials.pooled(t, n, name, syscall.ECONNREFUSED); address != "" {
				pooled[name] = address
			}
		}
		if n.servers.Len() != len(want) || len(pooled) != len(want) {
			t.Errorf("%s: %d listed, %d in the pool, want %d", when, n.servers.Len(), len(pooled), len(want))
		}
		for name, address := range want {
			if _, listed := n.servers.ID(name); !listed || pooled[name] != address {
				t.Errorf("%s: %s is at %q, want %s", when, name, pooled[name], address)
			}
		}
		if n.front.ready.Load() != (len(want) > 0) {
			t.Errorf("%s: ready is wrong", when)
		}
	}
	check("at the start", nil)
	apply(balancer.CachedUpdate, entryJSON("a", "127.0.0.1:1", "ready"), entryJSON("b", "127.0.0.1:2", "draining"))
	check("cached", map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:2"})
	apply(balancer.IncrementalUpdate, entryJSON("a", "127.0.0.1:3", "ready"), entryJSON("b", "", "gone"), entryJSON("c", "", "gone"))
	check("changes", map[string]string{"a": "127.0.0.1:3"})
	apply(balancer.FullUpdate, entryJSON("d", "127.0.0.1:4", "ready"))
	check("full", map[string]string{"d": "127.0.0.1:4"})
	apply(balancer.FullUpdate)
	check("empty", nil)
}

// listServer is a discovery with one list, which it gives to who has another
// version; watches on it hang. watched gets a value when one begins, gone when it ends.
func listServer(t *testing.T, index int, entries ...string) (address string, watched, gone chan bool) {
	t.Helper()
	watched, gone = make(chan bool, 100), make(chan bool, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == fmt.Sprint(index) {
			watched <- true
			<-r.Context().Done()
			gone <- true
			return
		}
		fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
	}))
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String(), watched, gone
}

// startConfig starts a node that is told cfg, but for where to listen.
func startConfig(t *testing.T, cfg Config) *running {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	n := &running{Node: New(cfg, quiet), address: ln.Addr().String(), stop: stop, linger: func() {}, ended: make(chan error, 1)}
	n.front.keepServing = func(func() int) {}
	n.front.phases = shutdownPhases{answered: enough, closed: 2 * enough}
	go func() { n.ended <- n.Run(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		<-n.Node.ended
	})
	return n
}

// names waits until the node's list is want.
func (n *running) names(t *testing.T, want string) {
	t.Helper()
	for end := time.Now().Add(enough); ; time.Sleep(time.Millisecond) {
		got := make(chan string, 1)
		n.post(func() { got <- fmt.Sprint(n.servers.Names()) })
		if list := wait(t, got, "the list"); list == want {
			return
		} else if time.Now().After(end) {
			t.Fatalf("the list is %s, want %s", list, want)
		}
	}
}

// TestAskedCallHangsBehindAFailure: where lists are asked for, the call behind
// a failed one may hang through the end of an outage, so it is not one that
// may wait: what discovery has at its return is known within 6 s, the drain
// grace taken off.
func TestAskedCallHangsBehindAFailure(t *testing.T) {
	hung, broken := make(chan bool, 1), make(chan bool, 1)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, entryJSON("a", "127.0.0.1:1", "ready"))
			return
		}
		select {
		case broken <- true: // the first watch
			panic(http.ErrAbortHandler)
		default:
		}
		select {
		case hung <- true:
			<-r.Context().Done()
		default: // discovery is back
			fmt.Fprintf(w, `{"index":8,"snapshot":false,"endpoints":[%s]}`, entryJSON("b", "127.0.0.1:1", "ready"))
		}
	}))
	t.Cleanup(s.CloseClientConnections)
	cfg := testConfig(s.Listener.Addr().String())
	cfg.Settings.EndpointsOnDemand = true
	n := startConfig(t, cfg)
	n.names(t, "[a]")
	for end := time.Now().Add(enough); len(hung) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
	}
	back := time.Now() // the call that hangs has just begun
	n.names(t, "[a b]")
	if took, most := time.Since(back), 6*time.Second-cfg.Settings.DrainGrace; took > most {
		t.Errorf("known %v after discovery's return, want within %v", took, most)
	}
}

// boundPort is a port of the loopback address that refuses connections until
// listen is called.
func boundPort(t *testing.T) (address string, listen func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "bound")
	t.Cleanup(func() { f.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port), func() net.Listener {
		if err := syscall.Listen(fd, 128); err != nil {
			t.Fatal(err)
		}
		ln, err := net.FileListener(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
}

// TestAskedCallsAreRefused: discovery refuses connections, as the waits behind
// the calls have grown long, and is back.
func TestAskedCallsAreRefused(t *testing.T) {
	address, listen := boundPort(t)
	cfg := testConfig(address)
	cfg.Settings.EndpointsOnDemand = true
	cfg.Known = discovery.List{Version: 3, Endpoints: []json.RawMessage{json.RawMessage(entryJSON("a", "127.0.0.1:1", "ready"))}}
	n := startConfig(t, cfg)
	n.names(t, "[a]")
	time.Sleep(3 * time.Second) // an outage; the test holds for one of any length
	back := time.Now()
	go http.Serve(listen(), http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == "" {
			fmt.Fprintf(w, `{"index":7,"snapshot":true,"endpoints":[%s]}`, entryJSON("b", "127.0.0.1:1", "ready"))
			return
		}
		<-r.Context().Done()
	}))
	n.names(t, "[b]")
	if took, most := time.Since(back), 6*time.Second-cfg.Settings.DrainGrace; took > most {
		t.Errorf("known %v after discovery's return, want within %v", took, most)
	}
}

// TestReloadMovesDiscovery: the old watch ends, and the list at the new
// address is taken whole though its versions are lower; what comes late from
// the old one does not count.
func TestReloadMovesDiscovery(t *testing.T) {
	n := startNode(t, refusing(t))
	until := func(want string) { t.Helper(); n.names(t, want) }
	first, firstWatched, firstGone := listServer(t, 9, entryJSON("a", "127.0.0.1:1", "ready"))
	second, _, _ := listServer(t, 3, entryJSON("b", "127.0.0.1:2", "ready"))
	cfg := n.cfg
	cfg.Discovery = first
	n.Reload(cfg)
	until("[a]")
	wait(t, firstWatched, "the old watch") // the list is known before it begins
	var late *discovery.Client
	n.post(func() { late = n.discovery })
	cfg.Discovery = second
	n.Reload(cfg)
	wait(t, firstGone, "the end of the old watch")
	until("[b]")
	late.OnUpdate(discovery.List{Version: 10, Snapshot: true})
	until("[b]")
	n.Reload(cfg) // the same again changes nothing
	until("[b]")
}

// TestNewProcessTakesTheWholeList: the version of the list that a node is
// started with may be of another discovery, where it means nothing.
func TestNewProcessTakesTheWholeList(t *testing.T) {
	first := make(chan string, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		first <- r.URL.RawQuery
		<-r.Context().Done()
	}))
	t.Cleanup(s.CloseClientConnections)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cfg := testConfig(s.Listener.Addr().String())
	cfg.Known.Version = 9
	n := New(cfg, quiet)
	n.follow(cfg.Known, balancer.CachedUpdate)
	go n.discovery.Run(ctx)
	if q := wait(t, first, "the first call"); q != "" {
		t.Errorf("the first call is for %s, want the whole list", q)
	}
}
