package node

import (
	"net/http"
	"time"

	"bankshift/balancer"
)

// perform carries out one of the balancer's actions. It runs in the loop.
func (n *Node) perform(action balancer.Action) {
	switch a := action.(type) {
	case balancer.Send:
		n.startAttempt(a)
	case balancer.Reject:
		n.respond(a.ID, response{status: http.StatusServiceUnavailable, retryAfter: a.RetryAfter})
	case balancer.Fail:
		n.respond(a.ID, response{status: http.StatusBadGateway})
	case balancer.CancelAttempt:
		n.cancelAttempt(a)
	case balancer.SetTimer:
		n.setTimer(a)
	case balancer.CloseIdleConnections:
		n.pool.CloseIdle(a.Endpoint)
	case balancer.Subscribe:
		n.discovery.Request(false, a.On)
	case balancer.FetchEndpoints:
		n.discovery.Request(true, n.cfg.Settings.EndpointsOnDemand)
	case balancer.EndpointEjected:
		n.log.Info("endpoint ejected", "endpoint", a.Endpoint, "reason", a.Reason)
	case balancer.EndpointRecovered:
		n.log.Info("endpoint recovered", "endpoint", a.Endpoint, "slow_start", a.SlowStart)
	default:
		n.log.Warn("unknown balancer action", "action", action)
	}
}

func (n *Node) cancelAttempt(a balancer.CancelAttempt) {
	r := n.requests[a.ID]
	if r == nil || a.Attempt < 0 || a.Attempt >= len(r.cancelAttempts) {
		return
	}
	r.cancelAttempts[a.Attempt]()
}

func (n *Node) setTimer(a balancer.SetTimer) {
	time.AfterFunc(a.After, func() {
		n.post(func() { n.handle(balancer.TimerFired{Token: a.Token}) })
	})
}
