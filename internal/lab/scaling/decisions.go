package scaling

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"bankshift/balancer"
	"bankshift/internal/discovery"
	"bankshift/internal/lab/model"
	"bankshift/internal/lab/setup"
	"bankshift/internal/node"
)

const (
	arrivalInterval = time.Second / plannedRate
	tickInterval    = 25 * time.Millisecond
	serviceTime     = 5 * time.Millisecond
	warmupRequests  = 2000 // after these the balancer has estimates of latencies and rates
	requestsPerTick = 5
)

// benchBalancer is a balancer for benchmarks. It has applied an endpoint list and
// handled warmupRequests requests.
type benchBalancer struct {
	balancer  *balancer.Balancer
	now       balancer.Time
	endpoints []balancer.Endpoint
	entries   []model.Entry
	classes   []balancer.Class
	directory discovery.Directory
	changes   int // list changes made so far
	requests  int // requests handled so far
}

func newBenchBalancer(servers int) (*benchBalancer, error) {
	raw, err := configOf(servers, 0)
	if err != nil {
		return nil, err
	}
	cfg, err := node.ParseConfig(raw)
	if err != nil {
		return nil, err
	}
	b := &benchBalancer{
		balancer: balancer.New(cfg.Settings, 1),
		now:      time.Hour,
		entries:  entriesOf(plannedScenario(nodesFor(servers), servers)),
		classes:  cfg.Settings.Classes,
	}
	update, err := b.decode(model.EncodeSnapshot(1, b.entries))
	if err != nil {
		return nil, err
	}
	b.endpoints = update.Endpoints
	b.balancer.Handle(b.now, update)
	for range warmupRequests {
		b.request()
		if b.requests%requestsPerTick == 0 {
			b.tick()
		}
	}
	return b, nil
}

// decode parses a list in discovery's format and applies it to the directory.
func (b *benchBalancer) decode(raw []byte) (balancer.EndpointUpdate, error) {
	var list discovery.List
	if err := json.Unmarshal(raw, &list); err != nil {
		return balancer.EndpointUpdate{}, err
	}
	update, _ := b.directory.Apply(list, list.Kind())
	return update, nil
}

func (b *benchBalancer) tick() {
	b.now += tickInterval
	b.balancer.Handle(b.now, balancer.TimerFired{})
}

// request passes the balancer a request, and a successful result for each attempt
// that the balancer sends.
func (b *benchBalancer) request() {
	b.requests++
	b.now += arrivalInterval
	id := balancer.RequestID(fmt.Sprintf("%016x", b.requests))
	class := b.classes[b.requests%len(b.classes)].Name
	for _, action := range b.balancer.Handle(b.now, balancer.RequestArrived{ID: id, Class: class, Timeout: time.Second}) {
		send, ok := action.(balancer.Send)
		if !ok {
			continue
		}
		b.balancer.Handle(b.now+serviceTime, balancer.AttemptEnded{
			ID:          id,
			Endpoint:    send.Endpoint,
			RequestDone: true,
			Elapsed:     serviceTime,
			Outcome:     balancer.OK,
		})
	}
}

// applyChange passes the balancer a list change that sets the weight of one
// endpoint. i selects the endpoint and the weight.
func (b *benchBalancer) applyChange(i int) {
	endpoint := b.endpoints[scatteredIndex(i, len(b.endpoints))]
	endpoint.Weight = setup.ChangedWeight(i)
	b.changes++
	b.balancer.Handle(b.now, balancer.EndpointUpdate{
		Kind:      balancer.IncrementalUpdate,
		Version:   b.listVersion(),
		Endpoints: []balancer.Endpoint{endpoint},
	})
}

// encodeChange returns the next list change, of one entry, in discovery's format.
func (b *benchBalancer) encodeChange() []byte {
	b.changes++
	raw, err := json.Marshal(map[string]any{
		"index":     b.listVersion(),
		"snapshot":  false,
		"endpoints": []model.Entry{changedEntry(b.entries, b.changes)},
	})
	if err != nil {
		panic(err) // entries consist of strings and finite numbers
	}
	return raw
}

// listVersion returns the version of the list that includes all changes so far.
func (b *benchBalancer) listVersion() uint64 { return 1 + uint64(b.changes) }

// decisions measures the time that the balancer takes for a tick, a list change
// and a request, and the time to decode a list change and to apply it to the
// directory, which precede the balancer's part.
func decisions(ctx context.Context, e *Env) ([]Figure, error) {
	figure := func(name, mechanism, note string) Figure {
		return Figure{Name: name, Unit: "µs", Over: "servers", Planned: plannedServers, Mechanism: mechanism, Note: note}
	}
	const note = "nodes = servers/10"
	tick := figure("decide: tick", mechanismTickParts, note+"; 40 a second")
	change := figure("decide: list change of one entry", mechanismApply, note)
	request := figure("decide: request with its outcome", mechanismRequest, note)
	decode := figure("discovery: list change of one entry", mechanismDirectory,
		"decoding and directory, before the decisions; the pool's part is in the processor time by list changes")
	for _, n := range e.servers() {
		b, err := newBenchBalancer(n)
		if err != nil {
			return nil, err
		}
		for _, benchmark := range []struct {
			figure *Figure
			do     func(i int) error
		}{
			{&request, func(int) error { b.request(); return nil }},
			{&tick, func(int) error { b.tick(); return nil }},
			{&change, func(i int) error { b.applyChange(i); return nil }},
		} {
			seconds, err := e.benchmark(ctx, benchmark.do)
			if err != nil {
				return nil, err
			}
			benchmark.figure.add(float64(n), seconds*1e6)
		}
		seconds, err := e.benchmark(ctx, b.decodeChanges())
		if err != nil {
			return nil, err
		}
		decode.add(float64(n), seconds*1e6)
	}
	return []Figure{tick, change, request, decode}, nil
}

// decodeChanges encodes 64 list changes and returns a function that decodes one
// of them, selected by i.
func (b *benchBalancer) decodeChanges() func(i int) error {
	changes := make([][]byte, 64)
	for i := range changes {
		changes[i] = b.encodeChange()
	}
	return func(i int) error {
		_, err := b.decode(changes[i%len(changes)])
		return err
	}
}
