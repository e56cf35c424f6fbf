package discovery

import (
	"math/rand"
	"testing"
	"time"

	"bankshift/balancer"
)

// seedCount is the number of random cases of each kind.
const seedCount = 150

// maxSimulatedTime ends the simulation of a node that never knows version 2.
const maxSimulatedTime = 5 * time.Minute

var drainGraces = []time.Duration{400 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond, 4 * time.Second}

func fleetSettings(onDemand bool, grace time.Duration) balancer.Settings {
	return balancer.Settings{
		Nodes:             450,
		EndpointsOnDemand: onDemand,
		PollInterval:      10 * time.Second,
		DrainGrace:        grace,
		MinEventInterval:  5 * time.Millisecond,
	}
}

// randomDuration returns a random time randomDuration limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int63n(int64(limit)))
}

// outage is a kind of outage. Its fields are those of virtualService.
type outage struct {
	onDemand            bool
	failsFast           bool
	rejects             bool
	resetsOpen          bool
	instant             bool // it only breaks what is open
	failuresAfterOutage int
}

func outages() []outage {
	var all []outage
	for _, onDemand := range []bool{true, false} {
		for failures := range 2 {
			all = append(all,
				outage{onDemand: onDemand, failuresAfterOutage: failures, instant: true},
				outage{onDemand: onDemand, failuresAfterOutage: failures},
				outage{onDemand: onDemand, failuresAfterOutage: failures, failsFast: true, resetsOpen: true},
				outage{onDemand: onDemand, failuresAfterOutage: failures, failsFast: true, resetsOpen: true, rejects: true},
				outage{onDemand: onDemand, failuresAfterOutage: failures, resetsOpen: true})
		}
	}
	return all
}

// TestChangeIsKnownAfterAnOutage: whatever happens to the poll in flight as
// discovery can be reached again, and to the next one, a change is known before
// it counts as notified, with the drain grace still whole. Where updates are
// pushed it counts at once, and is known within the grace.
func TestChangeIsKnownAfterAnOutage(t *testing.T) {
	for _, o := range outages() {
		var worst, worstAfterLongPoll time.Duration // since discovery's return; since the end of a stalled long poll's time
		worstExcess := -time.Hour                   // over the bound
		for seed := range int64(seedCount) {
			run := newOutageRun(o, seed)
			simulate(maxSimulatedTime, run.node)
			known := run.node.knownAt
			bound := run.bound()
			worstExcess = max(worstExcess, known-bound)
			if known > bound {
				t.Errorf("%+v, seed %d, grace %v: known %v after the return, %v past the bound", o, seed, run.settings.DrainGrace, known-run.availableAt, known-bound)
				break
			}
			longPollEnd := run.longPollEnd()
			if o.onDemand && !o.resetsOpen && longPollEnd > run.availableAt {
				worstAfterLongPoll = max(worstAfterLongPoll, known-longPollEnd)
			} else {
				worst = max(worst, known-run.availableAt)
			}
		}
		t.Logf("%+v: at most %v after the return, %v after a long poll's time; %v before the bound", o, worst, worstAfterLongPoll, -worstExcess)
	}
}

// outageRun is one node in one outage.
type outageRun struct {
	outage      outage
	settings    balancer.Settings
	node        *virtualNode
	availableAt time.Duration // when discovery has the change and can be reached
}

func newOutageRun(o outage, seed int64) *outageRun {
	r := rand.New(rand.NewSource(seed))
	settings := fleetSettings(o.onDemand, drainGraces[r.Intn(len(drainGraces))])
	service := &virtualService{
		downAt:              2*time.Second + randomDuration(r, 20*time.Second),
		failsFast:           o.failsFast,
		rejects:             o.rejects,
		resetsOpen:          o.resetsOpen,
		failuresAfterOutage: o.failuresAfterOutage,
		stallsAfterOutage:   r.Intn(2) == 0,
	}
	service.upAt = service.downAt
	if !o.instant {
		service.upAt += randomDuration(r, 12*time.Second)
	}
	service.changeAt = service.downAt + randomDuration(r, service.upAt-service.downAt+time.Second)
	return &outageRun{
		outage:      o,
		settings:    settings,
		node:        newVirtualNode(settings, service, seed, 0),
		availableAt: max(service.changeAt, service.upAt),
	}
}

// longPollEnd is the end of the time of the long poll that was open as the outage
// began.
func (r *outageRun) longPollEnd() time.Duration {
	return r.node.openedAt + ScheduleFor(r.settings).LongPollTimeout
}

// bound is when the change must be known. On demand, what a stalled long poll
// misses counts as notified 2 s after its time; with a further failure, seen at
// once or not, the drain grace is used up as well.
func (r *outageRun) bound() time.Duration {
	if !r.outage.onDemand {
		return r.availableAt + r.settings.DrainGrace
	}
	bound := r.availableAt + 6*time.Second
	if r.outage.resetsOpen {
		return bound
	}
	afterLongPoll := r.longPollEnd() + 2*time.Second
	if r.outage.failuresAfterOutage > 0 {
		afterLongPoll += r.settings.DrainGrace
	}
	return max(bound, afterLongPoll)
}

// TestChangeIsKnownAfterDiscoveryMoves: what a new discovery has counts as notified 4 s
// after SIGHUP. The configuration may take 0.45 s to read, and two polls may
// fail; where the old discovery is down as the signal comes, one.
func TestChangeIsKnownAfterDiscoveryMoves(t *testing.T) {
	const limit = 4 * time.Second
	for _, onDemand := range []bool{true, false} {
		for failures := range 3 {
			var worst time.Duration
			for seed := range int64(seedCount) {
				node, sighup := newNodeWithMovingDiscovery(onDemand, failures, seed)
				simulate(maxSimulatedTime, node)
				took := node.knownAt - sighup
				if took > limit {
					t.Errorf("on demand %v, %d failures, seed %d: the new discovery's list is known %v after SIGHUP", onDemand, failures, seed, took)
					break
				}
				worst = max(worst, took)
			}
			t.Logf("on demand %v, %d failures: known %v after SIGHUP at most", onDemand, failures, worst)
		}
	}
}

// newNodeWithMovingDiscovery makes a node that moves to another discovery after SIGHUP.
func newNodeWithMovingDiscovery(onDemand bool, failures int, seed int64) (node *virtualNode, sighup time.Duration) {
	const reloadTime = 450 * time.Millisecond
	r := rand.New(rand.NewSource(seed))
	settings := fleetSettings(onDemand, drainGraces[r.Intn(len(drainGraces))])
	sighup = 12*time.Second + randomDuration(r, 20*time.Second)
	old := &virtualService{downAt: Never, upAt: Never, changeAt: Never}
	if failures < 2 && r.Intn(2) == 0 {
		old.downAt = sighup - randomDuration(r, 10*time.Second)
	}
	node = newVirtualNode(settings, old, seed, 0)
	node.moveTo = &virtualService{downAt: Never, upAt: 0, failuresAfterOutage: failures, stallsAfterOutage: r.Intn(2) == 0}
	node.moveAt = sighup + reloadTime
	return node, sighup
}

// TestOnDemandPollRateIsLimited: on demand, polls are work of a shared service. At rest and
// through an outage they stay few, and nodes that lost the service together do
// not return together.
func TestOnDemandPollRateIsLimited(t *testing.T) {
	const nodes = 450
	for _, failsFast := range []bool{true, false} {
		service := &virtualService{downAt: 70 * time.Second, upAt: 78 * time.Second, failsFast: failsFast, resetsOpen: true, changeAt: Never}
		settings := fleetSettings(true, 1500*time.Millisecond)
		settings.MinEventInterval = 100 * time.Millisecond // the balancers' ticks are most of this test's work
		var all []*virtualNode
		for i := range nodes {
			settings.NodeIndex = i
			all = append(all, newVirtualNode(settings, service, int64(i), time.Duration(i)*20*time.Millisecond))
		}
		simulate(151*time.Second, all...)

		perNodeMinute := func(from, to time.Duration) float64 {
			return float64(service.requestsBetween(from, to)) / nodes / (to - from).Minutes()
		}
		recovered := service.upAt + 12*time.Second
		rest := perNodeMinute(10*time.Second, 70*time.Second)
		during := perNodeMinute(service.downAt, service.upAt)
		recovery := perNodeMinute(service.upAt, recovered)
		after := perNodeMinute(recovered, recovered+time.Minute)
		peak := 0
		for at := service.upAt; at < recovered; at += 100 * time.Millisecond {
			peak = max(peak, service.requestsBetween(at, at+100*time.Millisecond))
		}
		t.Logf("fails fast %v: requests a node and minute: %.1f at rest, %.1f in the outage, %.1f in the 12 s after it, %.1f in the minute after those; most in 0.1 s of the return: %d",
			failsFast, rest, during, recovery, after, peak)
		if rest > 4 || during > 60 || after > 4 || peak > nodes/2 {
			t.Error("too many requests, or too many at once")
		}
	}
}

func (s *virtualService) requestsBetween(from, to time.Duration) int {
	count := 0
	for _, at := range s.requestTimes {
		if at >= from && at < to {
			count++
		}
	}
	return count
}
