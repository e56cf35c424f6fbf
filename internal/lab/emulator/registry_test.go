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

// newRegistryClient starts a registry for two nodes with one entry.
func newRegistryClient(t *testing.T) (*registryClient, model.Entry) {
	t.Helper()
	r, err := NewRegistry(RegistryConfig{RegistryConfig: model.RegistryConfig{Nodes: 2}})
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, r)
	c := &registryClient{t: t, registry: r}
	c.transport.DisableKeepAlives = true // it would call again after the reset of a reused connection
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

// call calls the registry for a node, without waiting for the response.
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

// watch calls for what is newer than a version, and waits until it is held.
func (c *registryClient) watch(ctx context.Context, node int, version uint64) <-chan listResponse {
	c.t.Helper()
	response := c.call(ctx, node, fmt.Sprintf("?from=%d&hold_ms=60000", version))
	waitFor(c.t, "the call is held", func() bool { return c.registry.heldCalls() == 1 })
	return response
}

// heldCalls counts the calls that wait.
func (r *Registry) heldCalls() (n int) {
	r.withModel(func(time.Duration) { n = r.model.HeldCalls() })
	return n
}

func TestRegistryLists(t *testing.T) {
	checkGoroutineLeaks(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*longTimeout)
	defer cancel()
	c, e := newRegistryClient(t)
	if l := <-c.call(ctx, 0, ""); l.err != nil || l.Index != 1 || !l.Snapshot || len(l.Endpoints) != 1 || l.Endpoints[0] != e {
		t.Errorf("%+v", l)
	}
	began := time.Now()
	if l := <-c.call(ctx, 0, "?from=1&hold_ms=50"); l.err != nil || l.Index != 1 || l.Snapshot || len(l.Endpoints) != 0 || time.Since(began) < 50*time.Millisecond {
		t.Errorf("%+v after %v", l, time.Since(began))
	}
	watch := c.watch(ctx, 1, 1)
	e.Status = model.Draining
	c.registry.Change(e)
	if l := <-watch; l.err != nil || l.Index != 2 || l.Snapshot || l.Endpoints[0] != e {
		t.Errorf("%+v", l)
	}
	if l := <-c.call(ctx, 1, "?from=x"); l.err == nil {
		t.Errorf("%+v", l)
	}
	all := c.registry.Stats()
	node := c.registry.NodeStats(0)
	if all.Snapshots != 1 || node.Snapshots != 1 || all.Responses != 3 || all.Calls != 3 {
		t.Errorf("%+v, node 0 %+v", all, node)
	}
	if node.BytesIn == 0 || all.BytesIn <= node.BytesIn || node.BytesOut <= node.Bytes {
		t.Errorf("%+v, node 0 %+v", all, node)
	}
}

func TestRegistryOutages(t *testing.T) {
	checkGoroutineLeaks(t)
	ctx, cancel := context.WithTimeout(context.Background(), 3*longTimeout)
	defer cancel()
	c, e := newRegistryClient(t)
	c.registry.Change(e)
	watch := c.watch(ctx, 1, 2)
	c.registry.ResetWatches()
	if l := <-watch; l.err == nil {
		t.Errorf("%+v", l)
	}
	watch = c.watch(ctx, 1, 2)
	c.registry.SetRefusing(true)
	if l := <-watch; l.err == nil {
		t.Errorf("%+v", l)
	}
	if l := <-c.call(ctx, 0, ""); !errors.Is(l.err, syscall.ECONNREFUSED) {
		t.Errorf("%+v", l)
	}
	c.registry.SetRefusing(false)
	if l := <-c.call(ctx, 0, ""); l.err != nil || l.Index != 2 {
		t.Errorf("%+v", l)
	}
	short, stop := context.WithTimeout(ctx, quietPeriod)
	defer stop()
	watch = c.watch(short, 0, 2)
	c.registry.SetSilent(true)
	c.registry.Change(e)
	c.registry.SetSilent(false)
	if l := <-watch; !errors.Is(l.err, context.DeadlineExceeded) {
		t.Errorf("%+v", l)
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
		t.Errorf("%+v, node 0 %+v", all, node)
	}
}
