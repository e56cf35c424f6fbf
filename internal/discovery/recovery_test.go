package discovery

import (
	"math/rand"
	"testing"
	"time"

	"bankshift/balancer"
)

// seedCount is the number of random cases per kind of outage or move.
const seedCount = 150

// maxSimulatedTime limits the simulation of a node that never receives version 2.
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

// randomDuration returns a random duration in [0, limit).
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int63n(int64(limit)))
}

// outage is a kind of outage. The fields that virtualService has too are documented
// there.
type outage struct {
	onDemand            bool
	failsFast           bool
	rejects             bool
	resetsOpen          bool
	instant             bool // the outage has no duration: only requests that are open fail
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

// TestChangeIsKnownAfterAnOutage guards against a change that is known too late
// after an outage, whatever happens to the poll that is in flight at its end and to
// the poll after that. On demand, the change must be known before it counts as
// notified, with the whole drain grace left; outageRun.bound describes the
// exception. Where updates are pushed, it counts as notified at once and must be
// known within the drain grace.
func TestChangeIsKnownAfterAnOutage(t *testing.T) {
	for _, o := range outages() {
		var worst, worstAfterLongPoll time.Duration // since the change was available; since longPollEnd
		worstExcess := -time.Hour                   // of the time over the bound
		for seed := range int64(seedCount) {
			run := newOutageRun(o, seed)
			simulate(maxSimulatedTime, run.node)
			known := run.node.knownAt
			bound := run.bound()
			worstExcess = max(worstExcess, known-bound)
			if known > bound {
				t.Errorf("%+v, seed %d, drain grace %v: the change is known %v after it was available, %v past the bound", o, seed, run.settings.DrainGrace, known-run.availableAt, known-bound)
				break
			}
			longPollEnd := run.longPollEnd()
			if o.onDemand && !o.resetsOpen && longPollEnd > run.availableAt {
				worstAfterLongPoll = max(worstAfterLongPoll, known-longPollEnd)
			} else {
				worst = max(worst, known-run.availableAt)
			}
		}
		t.Logf("%+v: the change is known at most %v after it was available, %v after the LongPollTimeout of a stalled long poll; at least %v before the bound", o, worst, worstAfterLongPoll, -worstExcess)
	}
}

// outageRun is the simulation of one node in one outage.
type outageRun struct {
	outage      outage
	settings    balancer.Settings
	node        *virtualNode
	availableAt time.Duration // when discovery has the change and can be reached again
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

// longPollEnd returns the end of the LongPollTimeout of the long poll that was open
// when the outage began.
func (r *outageRun) longPollEnd() time.Duration {
	return r.node.openedAt + ScheduleFor(r.settings).LongPollTimeout
}

// bound returns when the change must be known. Where updates are pushed, that is a
// drain grace after it is available. On demand, a change counts as notified 6 s
// after it is available; one that a stalled long poll misses, 2 s after its
// LongPollTimeout. In the latter case the drain grace is used up as well if a
// further poll fails, at once or by a stall.
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

// TestChangeIsKnownAfterDiscoveryMoves guards against a list of a new discovery
// service that is known later than 4 s after SIGHUP, when it counts as notified.
// Reading the configuration may take 0.45 s, and two polls may fail, or one if the
// old service is down when the signal arrives.
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
					t.Errorf("on demand %v, %d failures, seed %d: the new service's list is known %v after SIGHUP", onDemand, failures, seed, took)
					break
				}
				worst = max(worst, took)
			}
			t.Logf("on demand %v, %d failures: the list is known at most %v after SIGHUP", onDemand, failures, worst)
		}
	}
}

// newNodeWithMovingDiscovery returns a node that switches to another discovery
// service, and the time of the SIGHUP that causes it. The first requests to the new
// service fail; failures is their number.
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

// TestOnDemandPollRateIsLimited guards against on-demand polls that overload the
// shared service: too many at rest, during an outage or after it, or nodes that lost
// the service together and poll it at the same moment when it can be reached again.
func TestOnDemandPollRateIsLimited(t *testing.T) {
	const nodes = 450
	for _, failsFast := range []bool{true, false} {
		service := &virtualService{downAt: 70 * time.Second, upAt: 78 * time.Second, failsFast: failsFast, resetsOpen: true, changeAt: Never}
		settings := fleetSettings(true, 1500*time.Millisecond)
		settings.MinEventInterval = 100 * time.Millisecond // fewer balancer ticks, which take most of this test's time
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
		t.Logf("fails fast %v: requests per node and minute: %.1f at rest, %.1f in the outage, %.1f in the 12 s after it, %.1f in the minute after those; peak in 0.1 s after the outage: %d",
			failsFast, rest, during, recovery, after, peak)
		if rest > 4 || during > 60 || after > 4 || peak > nodes/2 {
			t.Error("want at most 4 requests per node and minute at rest and after the recovery, 60 in the outage, and requests of half the nodes in 0.1 s")
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
