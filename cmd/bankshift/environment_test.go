package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
)

// noEndpoints is an endpoint list without entries.
const noEndpoints = `{"index":0,"snapshot":true,"endpoints":[]}`

// environment holds the services that a process under test uses: a discovery
// server, whose answers can be withheld, and a backend.
type environment struct {
	discovery   string       // address of the discovery server
	backend     string       // address of the backend
	endpoints   string       // the endpoint list that discovery answers with
	polls       atomic.Int32 // number of requests that discovery has received
	discoveryUp atomic.Bool  // if false, discovery accepts connections and never answers
}

// newEnvironment starts an environment whose endpoint list has the given number of
// entries, all with the address of the one backend. Discovery does not answer until
// discoveryUp is set, and never answers a long poll for changes to version 7.
func newEnvironment(t *testing.T, entries int) *environment {
	t.Helper()
	backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "hi")
	}))
	t.Cleanup(backend.Close)
	e := &environment{backend: backend.Listener.Addr().String()}
	e.endpoints = e.endpointList(entries)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		e.polls.Add(1)
		if !e.discoveryUp.Load() || r.URL.Query().Get("from") == "7" {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, e.endpoints)
	}))
	t.Cleanup(discovery.CloseClientConnections)
	e.discovery = discovery.Listener.Addr().String()
	return e
}

// endpointList returns an endpoint list of version 7 with count entries, all with
// the address of the backend.
func (e *environment) endpointList(count int) string {
	entries := make([]string, count)
	for i := range entries {
		entries[i] = fmt.Sprintf(`{"name":"s-%08x","address":%q,"zone":"a","type":"m2","group":%d,"status":"ready","weight":1.0,"since_ms":1700000000000}`,
			i, e.backend, i%40)
	}
	return `{"index":7,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}`
}

// freeAddress returns an address on which nothing listens. Its random loopback IP
// address is used for nothing else, so that no other listener, of this test or of
// another process, takes the port before the program under test does.
func freeAddress(t *testing.T) string {
	t.Helper()
	ip := net.IPv4(127, byte(1+rand.IntN(254)), byte(rand.IntN(256)), byte(1+rand.IntN(254)))
	ln, err := net.Listen("tcp", net.JoinHostPort(ip.String(), "0"))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// refusingAddress returns an address that refuses connections: its port is bound,
// so that no other socket can take it, and nothing listens on it.
func refusingAddress(t *testing.T) string {
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
