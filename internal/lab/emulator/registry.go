package emulator

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"bankshift/internal/lab/model"
)

const instancesPath = "/registry/instances"

// RegistryConfig configures a Registry.
type RegistryConfig struct {
	model.RegistryConfig
	Rand  model.Rand // see model.NewRegistry
	Epoch time.Time  // start of the run, which is time 0 of the model; zero: now
}

// Registry emulates discovery. It has one address for each node, which stands
// for the node's discovery agent or, with OnDemand, for the node's path to the
// discovery service. All methods are safe for concurrent use. The owner must
// call Close.
type Registry struct {
	cfg       RegistryConfig
	listeners []*faultListener // by node
	done      chan struct{}    // closed by Close

	mu       sync.Mutex
	model    *model.Registry
	refusing bool
	waiting  map[uint64]chan model.Response // by call id
	timer    *time.Timer                    // fires at model.Next
	closed   bool
}

// NewRegistry starts a registry with an empty endpoint list, on free ports of
// the loopback address.
func NewRegistry(cfg RegistryConfig) (*Registry, error) {
	if cfg.Epoch.IsZero() {
		cfg.Epoch = time.Now()
	}
	r := &Registry{
		cfg:     cfg,
		done:    make(chan struct{}),
		waiting: map[uint64]chan model.Response{},
		model:   model.NewRegistry(cfg.RegistryConfig, cfg.Rand),
	}
	r.timer = time.AfterFunc(time.Hour, r.advance)
	r.timer.Stop()
	for node := range cfg.Nodes {
		f := &faultListener{}
		f.httpServer.MaxHeaderBytes = maxHeaderBytes
		f.httpServer.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(node, w, req) })
		if err := f.listen(func(*conn) {}); err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.listeners = append(r.listeners, f)
	}
	return r, nil
}

// Addr returns the address at which a node reaches the registry.
func (r *Registry) Addr(node int) string { return r.listeners[node].addr.String() }

// withModel calls f, with mu held, to use the model at the current time. It then
// delivers the responses that are due and sets the timer for the next ones.
func (r *Registry) withModel(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Since(r.cfg.Epoch))
	for _, response := range r.model.Advance(time.Since(r.cfg.Epoch)) {
		if waiter := r.waiting[response.CallID]; waiter != nil {
			delete(r.waiting, response.CallID)
			waiter <- response
		}
	}
	next, ok := r.model.Next()
	if !ok || r.closed {
		r.timer.Stop()
		return
	}
	r.timer.Reset(next - time.Since(r.cfg.Epoch))
}

func (r *Registry) advance() { r.withModel(func(time.Duration) {}) }

// serve answers one HTTP request from a node.
func (r *Registry) serve(node int, w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != instancesPath || req.Method != http.MethodGet {
		http.NotFound(w, req)
		return
	}
	from, hold, err := parsePoll(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waiter := make(chan model.Response, 1)
	var call uint64
	r.withModel(func(now time.Duration) {
		call = r.model.Call(now, node, from, hold)
		r.waiting[call] = waiter
	})
	select {
	case response := <-waiter:
		r.respond(w, req, response)
		return
	case <-req.Context().Done(): // the node has closed the connection
	case <-r.done:
	}
	r.withModel(func(now time.Duration) {
		r.model.CancelCall(now, call)
		delete(r.waiting, call)
	})
	panic(http.ErrAbortHandler)
}

// respond writes the model's response, or resets the connection if the outcome
// is not Served.
func (r *Registry) respond(w http.ResponseWriter, req *http.Request, response model.Response) {
	if response.Outcome != model.Served {
		connOf(req).reset()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	w.Write(response.Body)
}

// parsePoll parses the query of a poll: from is the version that the node has (0
// requests the whole list), hold is how long the registry may hold the call.
func parsePoll(req *http.Request) (from uint64, hold time.Duration, err error) {
	q := req.URL.Query()
	if q.Has("from") {
		from, err = strconv.ParseUint(q.Get("from"), 10, 64)
		if err != nil {
			return 0, 0, fmt.Errorf("from: %w", err)
		}
	}
	if q.Has("hold_ms") {
		ms, err := strconv.ParseUint(q.Get("hold_ms"), 10, 32)
		if err != nil {
			return 0, 0, fmt.Errorf("hold_ms: %w", err)
		}
		hold = time.Duration(ms) * time.Millisecond
	}
	return from, hold, nil
}

// Change publishes a new version of the endpoint list; see
// [model.Registry.Change].
func (r *Registry) Change(entries ...model.Entry) (err error) {
	r.withModel(func(now time.Duration) { err = r.model.Change(now, entries...) })
	return err
}

// Version returns the newest version of the endpoint list.
func (r *Registry) Version() (version uint64) {
	r.withModel(func(time.Duration) { version = r.model.Version() })
	return version
}

// SetRefusing makes the registry reset its connections and refuse new ones, or
// accept them again.
func (r *Registry) SetRefusing(on bool) {
	r.withModel(func(now time.Duration) {
		if r.refusing == on {
			return
		}
		r.refusing = on
		r.model.SetRefusing(now, on)
		for _, f := range r.listeners {
			if on {
				f.stop(false)
			} else {
				f.resume()
			}
		}
	})
}

// SetSilent makes the registry accept calls without answering them, or answer
// again; see [model.Registry.SetSilent].
func (r *Registry) SetSilent(on bool) {
	r.withModel(func(now time.Duration) { r.model.SetSilent(now, on) })
}

// SetIsolated cuts off a node from discovery, or connects it again; see
// [model.Registry.SetIsolated]. The registry still accepts the node's
// connections. A call that the model does not answer stays open until the node
// ends it or the registry is closed.
func (r *Registry) SetIsolated(node int, on bool) {
	r.withModel(func(now time.Duration) { r.model.SetIsolated(now, node, on) })
}

// ResetWatches resets the calls that are held or being answered.
func (r *Registry) ResetWatches() { r.withModel(r.model.ResetWatches) }

// RegistryStats holds a registry's counts. BytesIn and BytesOut are all bytes on
// its connections, headers included.
type RegistryStats struct {
	model.RegistryStats
	BytesIn  int64
	BytesOut int64
}

// Stats returns the counts over all nodes.
func (r *Registry) Stats() (stats RegistryStats) {
	r.withModel(func(time.Duration) { stats.RegistryStats = r.model.Stats() })
	for _, f := range r.listeners {
		stats.BytesIn += f.bytesIn.Load()
		stats.BytesOut += f.bytesOut.Load()
	}
	return stats
}

// NodeStats returns the counts for one node.
func (r *Registry) NodeStats(node int) (stats RegistryStats) {
	r.withModel(func(time.Duration) { stats.RegistryStats = r.model.NodeStats(node) })
	stats.BytesIn = r.listeners[node].bytesIn.Load()
	stats.BytesOut = r.listeners[node].bytesOut.Load()
	return stats
}

// Close resets all connections and returns when the registry's goroutines have
// ended. The error reports ports that could not be held or bound again after a
// refusal. Later calls do nothing.
func (r *Registry) Close() error {
	r.mu.Lock()
	if r.closed {
		r.mu.Unlock()
		return nil
	}
	r.closed = true
	r.timer.Stop()
	r.mu.Unlock()
	close(r.done)
	var err error
	for _, f := range r.listeners {
		err = errors.Join(err, f.close())
	}
	return err
}
