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

const listPath = "/registry/instances"

// RegistryConfig is what a discovery is.
type RegistryConfig struct {
	model.RegistryConfig
	Rand  model.Rand // see model.NewRegistry
	Epoch time.Time  // start of the run, the zero of all its times; zero: now
}

// Registry is discovery, with an address for each node: its agent, or its way
// to the service. All its methods are safe for concurrent use.
type Registry struct {
	cfg   RegistryConfig
	gates []*gate
	done  chan struct{}

	mu       sync.Mutex
	model    *model.Registry
	refusing bool
	waiting  map[uint64]chan model.Answer
	timer    *time.Timer // for the model's Next
	closed   bool
}

// NewRegistry starts a discovery with an empty list, on free ports of the
// loopback address.
func NewRegistry(cfg RegistryConfig) (*Registry, error) {
	if cfg.Epoch.IsZero() {
		cfg.Epoch = time.Now()
	}
	r := &Registry{cfg: cfg, done: make(chan struct{}), waiting: map[uint64]chan model.Answer{},
		model: model.NewRegistry(cfg.RegistryConfig, cfg.Rand)}
	r.timer = time.AfterFunc(time.Hour, r.tick)
	r.timer.Stop()
	for node := range cfg.Nodes {
		g := &gate{hs: http.Server{MaxHeaderBytes: maxHead,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) { r.serve(node, w, req) })}}
		if err := g.listen(func(*conn) {}); err != nil {
			return nil, errors.Join(err, r.Close())
		}
		r.gates = append(r.gates, g)
	}
	return r, nil
}

// Addr is where a node finds it.
func (r *Registry) Addr(node int) string { return r.gates[node].addr.String() }

// do lets the model do something now, and what follows from it.
func (r *Registry) do(f func(now time.Duration)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(time.Since(r.cfg.Epoch))
	for _, a := range r.model.Advance(time.Since(r.cfg.Epoch)) {
		if c := r.waiting[a.Call]; c != nil {
			delete(r.waiting, a.Call)
			c <- a
		}
	}
	next, ok := r.model.Next()
	if !ok || r.closed {
		r.timer.Stop()
		return
	}
	r.timer.Reset(next - time.Since(r.cfg.Epoch))
}

func (r *Registry) tick() { r.do(func(time.Duration) {}) }

func (r *Registry) serve(node int, w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != listPath || req.Method != http.MethodGet {
		http.NotFound(w, req)
		return
	}
	from, hold, err := query(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	answer := make(chan model.Answer, 1)
	var call uint64
	r.do(func(now time.Duration) {
		call = r.model.Call(now, node, from, hold)
		r.waiting[call] = answer
	})
	select {
	case a := <-answer:
		if a.Ending != model.Served {
			connOf(req).reset()
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
		w.Write(a.Body)
		return
	case <-req.Context().Done(): // the node has gone
	case <-r.done:
	}
	r.do(func(now time.Duration) {
		r.model.Hangup(now, call)
		delete(r.waiting, call)
	})
	panic(http.ErrAbortHandler)
}

// query reads what is asked for; without a version that is the whole list.
func query(req *http.Request) (from uint64, hold time.Duration, err error) {
	q := req.URL.Query()
	if q.Has("from") {
		if from, err = strconv.ParseUint(q.Get("from"), 10, 64); err != nil {
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

// Change makes a new version; see [model.Registry.Change].
func (r *Registry) Change(entries ...model.Entry) (err error) {
	r.do(func(now time.Duration) { err = r.model.Change(now, entries...) })
	return err
}

// Index is the newest version.
func (r *Registry) Index() (index uint64) {
	r.do(func(time.Duration) { index = r.model.Index() })
	return index
}

// Refuse makes discovery refuse connections, and resets those that it has; or
// take them again.
func (r *Registry) Refuse(on bool) {
	r.do(func(now time.Duration) {
		if r.refusing == on {
			return
		}
		r.refusing = on
		r.model.Refuse(now, on)
		for _, g := range r.gates {
			if on {
				g.shut(false)
			} else {
				g.reopen()
			}
		}
	})
}

// Silence makes discovery take calls and say nothing; see [model.Registry.Silence].
func (r *Registry) Silence(on bool) { r.do(func(now time.Duration) { r.model.Silence(now, on) }) }

// Cut cuts a node off, or ends it; see [model.Registry.Cut]. Connections still
// come up, but calls that go unanswered do so for good.
func (r *Registry) Cut(node int, on bool) {
	r.do(func(now time.Duration) { r.model.Cut(now, node, on) })
}

// BreakWatches resets the calls that are held.
func (r *Registry) BreakWatches() { r.do(r.model.BreakWatches) }

// RegistryStats is what a discovery counts, with the bytes of its connections,
// heads included.
type RegistryStats struct {
	model.RegistryStats
	In, Out int64
}

// Stats counts over all nodes.
func (r *Registry) Stats() (st RegistryStats) {
	r.do(func(time.Duration) { st.RegistryStats = r.model.Stats() })
	for _, g := range r.gates {
		st.In += g.in.Load()
		st.Out += g.out.Load()
	}
	return st
}

// NodeStats counts for one node.
func (r *Registry) NodeStats(node int) (st RegistryStats) {
	r.do(func(time.Duration) { st.RegistryStats = r.model.NodeStats(node) })
	st.In, st.Out = r.gates[node].in.Load(), r.gates[node].out.Load()
	return st
}

// Close ends discovery, and returns when nothing of it is left. Its
// connections are reset. The error tells of a port that was lost on the way.
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
	for _, g := range r.gates {
		err = errors.Join(err, g.close())
	}
	return err
}
