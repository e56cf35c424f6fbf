package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// BenchmarkRequest measures requests that are sent one after the other on one
// connection, through a node to a backend that answers at once.
func BenchmarkRequest(b *testing.B) {
	backend := startBenchmarkBackend(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	discovery, closeDiscovery := startDiscoveryOf([]string{backend})
	cfg := testConfig(discovery)
	cfg.Known.Endpoints = []json.RawMessage{json.RawMessage(endpointJSON("s-0", backend, "ready"))}
	n := New(cfg, discardLog)
	n.frontend.keepServing = func(func() int) {}
	n.frontend.phases = shutdownPhases{}
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- n.Run(ctx, ln) }()
	b.Cleanup(func() {
		closeDiscovery()
		stop()
		<-ended
	})
	for !n.frontend.ready.Load() {
		time.Sleep(time.Millisecond)
	}
	client := &http.Client{Transport: &http.Transport{}}
	for i := 0; b.Loop(); i++ {
		req, err := http.NewRequest(http.MethodPost, "http://"+ln.Addr().String()+"/api/x", strings.NewReader("body"))
		if err != nil {
			b.Fatal(err)
		}
		req.Header = http.Header{"X-Request-Id": {fmt.Sprint(i)}, "X-Class": {"pagar"}, "X-Deadline": {"20"}}
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatalf("status %d", resp.StatusCode)
		}
	}
}

// startBenchmarkBackend starts a backend that answers each request at once.
func startBenchmarkBackend(b *testing.B) (address string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "ok")
	})}
	go srv.Serve(ln)
	b.Cleanup(func() { srv.Close() })
	return ln.Addr().String()
}
