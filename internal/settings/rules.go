package settings

import "bankshift/balancer"

// rules is the section "invariants": what a node must keep to, and how endpoints
// behave while they drain and after they start.
type rules struct {
	AnswerSlack int64 `json:"answer_slack_ns"`
	AskWithin   int64 `json:"ask_within_ns"`

	DrainGrace int64 `json:"drain_grace_ns"`
	DrainClose int64 `json:"drain_close_ns"`

	ColdFrom float64 `json:"cold_from"`
	Cold     int64   `json:"cold_ns"`

	OverloadFactor float64 `json:"overload_factor"`
	TipAfter       int64   `json:"tip_after_ns"`
}

func (r *rules) apply(s *balancer.Settings) {
	s.ResponseSlack = nanoseconds(r.AnswerSlack)
	s.PollInterval = nanoseconds(r.AskWithin)

	s.DrainGrace = nanoseconds(r.DrainGrace)
	s.DrainCloseTimeout = nanoseconds(r.DrainClose)

	s.SlowStartCapacity = r.ColdFrom
	s.SlowStartDuration = nanoseconds(r.Cold)

	s.OverloadFactor = r.OverloadFactor
	s.OverloadDuration = nanoseconds(r.TipAfter)
}
