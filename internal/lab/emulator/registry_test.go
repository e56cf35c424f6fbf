package emulator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"bankshift/internal/lab/model"
)

// registryClient calls a registry as nodes do.
type registryClient struct {
	t         *testing.T
	registry  *Registry
	transport http.Transport
}

// newRegistryClient starts a registry for two nodes, with one entry in its list,
// and returns a client and the entry.
func newRegistryClient(t *testing.T) (*registryClient, model.Entry) {
	t.Helper()
	r, err := NewRegistry(RegistryConfig{RegistryConfig: model.RegistryConfig{Nodes: 2}})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, r)
	c := &registryClient{t: t, registry: r}
	c.transport.DisableKeepAlives = true // http.Transport would repeat a call after the reset of a reused connection
	e := model.Entry{Name: "s", Address: "127.0.0.1:1", Status: model.Ready, Weight: 1}
	if err := r.Change(e); err != nil {
		t.Fatal(err)
	}
	return c, e
}

// listResponse is a response of the registry, or the error of the call.
type listResponse struct {
	Index     uint64
	Snapshot  bool
	Endpoints []model.Entry
	err       error
}

// call sends a node's call to the registry and returns without waiting for the
// response.
func (c *registryClient) call(ctx context.Context, node int, query string) <-chan listResponse {
	response := make(chan listResponse, 1)
	go func() { response <- c.get(ctx, node, query) }()
	return response
}

func (c *registryClient) get(ctx context.Context, node int, query string) (l listResponse) {
	req, err := http.NewRequestWithContext(ctx, "GET", "http://"+c.registry.Addr(node)+"/registry/instances"+query, nil)
	if err != nil {
		return listResponse{err: err}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return listResponse{err: err}
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return listResponse{err: errors.New(resp.Status)}
	}
	l.err = json.NewDecoder(resp.Body).Decode(&l)
	return l
}

// watch sends a long poll for changes after a version, and waits until the
// registry holds it.
func (c *registryClient) watch(ctx context.Context, node int, version uint64) <-chan listResponse {
	c.t.Helper()
	response := c.call(ctx, node, fmt.Sprintf("?from=%d&hold_ms=60000", version))
	waitUntil(c.t, "the registry holds the call", func() bool { return c.registry.heldCalls() == 1 })
	return response
}

// heldCalls returns the number of calls that the registry holds.
func (r *Registry) heldCalls() (n int) {
	r.withModel(func(time.Duration) { n = r.model.HeldCalls() })
	return n
}

// TestRegistryLists guards against wrong responses and counts: the whole list,
// an empty response at the end of a poll's hold time, a change sent to a held
// poll, and a malformed query.
func TestRegistryLists(t *testing.T) {
	checkGoroutineLeaks(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	defer cancel()
	c, e := newRegistryClient(t)
	if l := <-c.call(ctx, 0, ""); l.err != nil || l.Index != 1 || !l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0] != e {
		t.Errorf("whole list: %+v", l)
	}
	began := time.Now()
	if l := <-c.call(ctx, 0, "?from=1&hold_ms=50"); l.err != nil || l.Index != 1 || l.Snapshot || len(l.Endpoints) != 0 || time.Since(began) < 50*time.Millisecond {
		t.Errorf("empty poll: %+v after %v, want version 1 without entries after 50 ms", l, time.Since(began))
	}
	watch := c.watch(ctx, 1, 1)
	e.Status = model.Draining
	c.registry.Change(e)
	if l := <-watch; l.err != nil || l.Index != 2 || l.Snapshot || l.Endpoints[0] != e {
		t.Errorf("held poll after a change: %+v", l)
	}
	if l := <-c.call(ctx, 1, "?from=x"); l.err == nil {
		t.Errorf("from=x: %+v, want an error", l)
	}
	all := c.registry.Stats()
	node := c.registry.NodeStats(0)
	if all.Snapshots != 1 || node.Snapshots != 1 || all.Responses != 3 || all.Calls != 3 {
		t.Errorf("all nodes %+v, node 0 %+v", all, node)
	}
	if node.BytesIn == 0 || all.BytesIn <= node.BytesIn || node.BytesOut <= node.Bytes {
		t.Errorf("all nodes %+v, node 0 %+v", all, node)
	}
}

// TestRegistryOutages guards against an emulated outage that the nodes don't
// see: watches that are reset, a registry that refuses or does not answer, and a
// node that is cut off while others get new versions.
func TestRegistryOutages(t *testing.T) {
	checkGoroutineLeaks(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*testTimeout)
	defer cancel()
	c, e := newRegistryClient(t)
	c.registry.Change(e)
	watch := c.watch(ctx, 1, 2)
	c.registry.ResetWatches()
	if l := <-watch; l.err == nil {
		t.Errorf("reset watch: %+v, want an error", l)
	}
	watch = c.watch(ctx, 1, 2)
	c.registry.SetRefusing(true)
	if l := <-watch; l.err == nil {
		t.Errorf("watch at a refusing registry: %+v, want an error", l)
	}
	if l := <-c.call(ctx, 0, ""); !errors.Is(l.err, syscall.ECONNREFUSED) {
		t.Errorf("call to a refusing registry: %+v, want ECONNREFUSED", l)
	}
	c.registry.SetRefusing(false)
	if l := <-c.call(ctx, 0, ""); l.err != nil || l.Index != 2 {
		t.Errorf("call after the refusal: %+v, want version 2", l)
	}
	short, stop := context.WithTimeout(ctx, quietPeriod)
	defer stop()
	watch = c.watch(short, 0, 2)
	c.registry.SetSilent(true)
	c.registry.Change(e)
	c.registry.SetSilent(false)
	if l := <-watch; !errors.Is(l.err, context.DeadlineExceeded) {
		t.Errorf("watch at a silent registry: %+v, want no response", l)
	}
	c.registry.SetIsolated(0, true)
	c.registry.Change(e)
	if l := <-c.call(ctx, 0, "?from=2&hold_ms=0"); l.err != nil || l.Index != 3 {
		t.Errorf("isolated: %+v", l)
	}
	if l := <-c.call(ctx, 1, "?from=2&hold_ms=0"); l.err != nil || l.Index != 4 {
		t.Errorf("not isolated: %+v", l)
	}
	all := c.registry.Stats()
	node := c.registry.NodeStats(0)
	if all.Snapshots != 1 || node.Snapshots != 1 || all.Responses != 3 || all.Calls != 6 {
		t.Errorf("all nodes %+v, node 0 %+v", all, node)
	}
}
