package settings

import "bankshift/balancer"

// limits is the section "caps": what a node may do, and how much of it.
type limits struct {
	MaxAttempts  int  `json:"max_attempts"`
	MayDuplicate bool `json:"may_duplicate"`
	Cancel       bool `json:"cancel"`
	Probes       bool `json:"probes"`
	Peers        bool `json:"peers"`

	RetryAfter    bool  `json:"retry_after"`
	MaxRetryAfter int64 `json:"max_retry_after_ns"`

	ConnectTimeout int64 `json:"connect_timeout_ns"`
	ConnIdle       int64 `json:"conn_idle_ns"`
	Multiplex      int   `json:"multiplex"`
	MostHeld       int   `json:"most_held"`

	CPUPerSecond  float64 `json:"cpu_us_per_s"`
	CPUPerRequest float64 `json:"cpu_us_per_request"`
}

func (l *limits) apply(s *balancer.Settings) {
	s.MaxAttempts = l.MaxAttempts
	s.HedgingAllowed = l.MayDuplicate
	s.CancelAllowed = l.Cancel
	s.HealthChecksAllowed = l.Probes
	s.GossipAllowed = l.Peers

	s.RetryAfterAllowed = l.RetryAfter
	s.MaxRetryAfter = nanoseconds(l.MaxRetryAfter)

	s.ConnectTimeout = nanoseconds(l.ConnectTimeout)
	s.IdleConnectionTimeout = nanoseconds(l.ConnIdle)
	s.StreamsPerConnection = l.Multiplex
	s.MaxOpenRequests = l.MostHeld

	s.CPUPerSecond = microseconds(l.CPUPerSecond)
	s.CPUPerRequest = microseconds(l.CPUPerRequest)
}

// clients is the section "client_habits".
type clients struct {
	MarksRetry bool `json:"marks_retry"`
}

func (c clients) apply(s *balancer.Settings) {
	s.ClientsMarkRetries = c.MarksRetry
}
