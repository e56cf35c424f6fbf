package balancer_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
)

// mutation returns the actions of one event with changes that violate a rule.
type mutation func(*simulation, []balancer.Action) []balancer.Action

// simulate runs a simulation with arriving requests for the duration, and then without until all deadlines have passed.
func simulate(seed int64, duration time.Duration, mutate mutation) *simulation {
	const rate = 60 // arrivals per second
	s := newSimulation(seed)
	s.capacity = rate / 3
	s.mutate = mutate
	s.run(duration, rate, true)
	s.run(12*time.Second, 0, false)
	return s
}

// Guards against actions that violate the rules, under random settings and random but legal orders of events.
func TestRulesUnderRandomEvents(t *testing.T) {
	for seed := int64(1); seed <= 60; seed++ {
		violations := simulate(seed, 15*time.Second, nil).violations
		if len(violations) > 0 {
			first := violations[:min(5, len(violations))]
			t.Fatalf("seed %d: %d violations, the first:\n%s", seed, len(violations), strings.Join(first, "\n"))
		}
	}
}

// FuzzRules is TestRulesUnderRandomEvents with seeds that the fuzzer chooses.
func FuzzRules(f *testing.F) {
	for seed := int64(1000); seed < 1005; seed++ {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, seed int64) {
		if s := simulate(seed, 5*time.Second, nil); len(s.violations) > 0 {
			t.Fatal(s.violations[0])
		}
	})
}

// Guards against actions that depend on anything but the settings, the seed and the events: two balancers for which
// these are the same must return the same actions.
func TestSameEventsSameActions(t *testing.T) {
	simulateActions := func() []string {
		s := newSimulation(7)
		s.run(10*time.Second, 60, false)
		return s.actions
	}
	first, again := simulateActions(), simulateActions()
	if len(first) < 500 || len(first) != len(again) {
		t.Fatalf("%d and %d events, want the same number, at least 500", len(first), len(again))
	}
	for i := range first {
		if first[i] != again[i] {
			t.Fatalf("event %d: actions %s in the first run, %s in the second", i, first[i], again[i])
		}
	}
}

// mutateEach returns a mutation that replaces each action by the actions that change returns for it.
func mutateEach(change func(*simulation, balancer.Action) []balancer.Action) mutation {
	return func(s *simulation, actions []balancer.Action) []balancer.Action {
		var changed []balancer.Action
		for _, action := range actions {
			changed = append(changed, change(s, action)...)
		}
		return changed
	}
}

// mutateSends returns a mutation that replaces each Send and leaves other actions as they are.
func mutateSends(change func(*simulation, balancer.Send) []balancer.Action) mutation {
	return mutateEach(func(s *simulation, action balancer.Action) []balancer.Action {
		if send, ok := action.(balancer.Send); ok {
			return change(s, send)
		}
		return []balancer.Action{action}
	})
}

// redirectSends returns a mutation that sends each attempt to the endpoint that was listed last of those for which the
// condition holds.
func redirectSends(condition func(*simulation, *simulatedEndpoint) bool) mutation {
	return mutateSends(func(s *simulation, send balancer.Send) []balancer.Action {
		for _, id := range s.endpointIDs {
			if condition(s, s.endpoints[id]) {
				send.Endpoint = id
			}
		}
		return []balancer.Action{send}
	})
}

// toAnother returns the attempt with another endpoint that is ready, or unchanged if there is none.
func toAnother(s *simulation, send balancer.Send) balancer.Send {
	for _, id := range s.endpointIDs {
		if id != send.Endpoint && s.endpoints[id].notReadySince == 0 {
			send.Endpoint = id
			return send
		}
	}
	return send
}

// sendTwice is a mutation that sends each attempt to another endpoint as well.
var sendTwice = mutateSends(func(s *simulation, send balancer.Send) []balancer.Action {
	return []balancer.Action{send, toAnother(s, send)}
})

// Guards against checks of the simulation that miss a kind of violation: each case changes actions in a way that the
// rules forbid, and the violation must be found.
func TestViolationsAreFound(t *testing.T) {
	for _, c := range []struct {
		want   string // part of the recorded violation
		mutate mutation
	}{
		{"no answer in time", mutateEach(func(_ *simulation, action balancer.Action) []balancer.Action {
			switch action.(type) {
			case balancer.Fail, balancer.Reject:
				return nil
			}
			return []balancer.Action{action}
		})},
		{"second final answer", mutateEach(func(_ *simulation, action balancer.Action) []balancer.Action {
			if fail, ok := action.(balancer.Fail); ok {
				return []balancer.Action{action, fail}
			}
			return []balancer.Action{action}
		})},
		{"never listed", mutateSends(func(_ *simulation, send balancer.Send) []balancer.Action {
			send.Endpoint = 12345
			return []balancer.Action{send}
		})},
		{"drains or was removed", redirectSends(func(_ *simulation, endpoint *simulatedEndpoint) bool {
			return endpoint.notReadySince > 0
		})},
		{"not idempotent sent again", sendTwice},
		{"two attempts in flight", sendTwice},
		{"outside its scope or window", sendTwice},
		{"more than", mutateSends(func(_ *simulation, send balancer.Send) []balancer.Action {
			return []balancer.Action{send, send, send, send, send, send}
		})},
		{"for a request that is over", mutateEach(func(s *simulation, action balancer.Action) []balancer.Action {
			if reject, ok := action.(balancer.Reject); ok {
				return []balancer.Action{action, balancer.Send{ID: reject.ID, Endpoint: s.endpointIDs[0]}}
			}
			return []balancer.Action{action}
		})},
		{"rejected although", mutateEach(func(_ *simulation, action balancer.Action) []balancer.Action {
			if fail, ok := action.(balancer.Fail); ok {
				return []balancer.Action{balancer.Reject{ID: fail.ID}}
			}
			return []balancer.Action{action}
		})},
		{"its budget is", redirectSends(func(s *simulation, endpoint *simulatedEndpoint) bool {
			young := s.now-endpoint.StartedAt < 2*time.Second
			return endpoint.startKnown && endpoint.notReadySince == 0 && young
		})},
		{"not allowed for", mutateSends(func(s *simulation, send balancer.Send) []balancer.Action {
			return []balancer.Action{toAnother(s, send)}
		})},
		{"left open", mutateEach(func(_ *simulation, action balancer.Action) []balancer.Action {
			if _, ok := action.(balancer.CloseIdleConnections); ok {
				return nil
			}
			return []balancer.Action{action}
		})},
		{"cancel", mutateSends(func(_ *simulation, send balancer.Send) []balancer.Action {
			return []balancer.Action{send, balancer.CancelAttempt{ID: send.ID, Attempt: 9}}
		})},
		{"forbidden health check", mutateEach(func(s *simulation, action balancer.Action) []balancer.Action {
			return []balancer.Action{action, balancer.HealthCheck{Endpoint: s.endpointIDs[0]}}
		})},
		{"forbidden message", mutateEach(func(_ *simulation, action balancer.Action) []balancer.Action {
			return []balancer.Action{action, balancer.SendMessage{ToAll: true}}
		})},
	} {
		found := false
		for seed := int64(1); seed <= 25 && !found; seed++ {
			s := simulate(seed, 10*time.Second, c.mutate)
			found = strings.Contains(fmt.Sprint(s.violations), c.want)
		}
		if !found {
			t.Errorf("25 simulations with mutated actions recorded no violation with %q", c.want)
		}
	}
}
