package settings

import "bankshift/balancer"

// rules is the section "invariants": the time limits that a node must observe, also towards draining endpoints, and how
// endpoints warm up after they start.
type rules struct {
	ResponseSlack int64 `json:"answer_slack_ns"`
	PollInterval  int64 `json:"ask_within_ns"`

	DrainGrace        int64 `json:"drain_grace_ns"`
	DrainCloseTimeout int64 `json:"drain_close_ns"`

	SlowStartCapacity float64 `json:"cold_from"`
	SlowStartDuration int64   `json:"cold_ns"`

	OverloadFactor   float64 `json:"overload_factor"`
	OverloadDuration int64   `json:"tip_after_ns"`
}

func (r *rules) apply(s *balancer.Settings) {
	s.ResponseSlack = nanoseconds(r.ResponseSlack)
	s.PollInterval = nanoseconds(r.PollInterval)

	s.DrainGrace = nanoseconds(r.DrainGrace)
	s.DrainCloseTimeout = nanoseconds(r.DrainCloseTimeout)

	s.SlowStartCapacity = r.SlowStartCapacity
	s.SlowStartDuration = nanoseconds(r.SlowStartDuration)

	s.OverloadFactor = r.OverloadFactor
	s.OverloadDuration = nanoseconds(r.OverloadDuration)
}
