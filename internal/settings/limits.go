package settings

import "bankshift/balancer"

// limits is the section "caps": which actions a node may take, and its limits on attempts, Retry-After, connections,
// open requests and processor time.
type limits struct {
	MaxAttempts  int  `json:"max_attempts"`
	Hedging      bool `json:"may_duplicate"`
	Cancel       bool `json:"cancel"`
	HealthChecks bool `json:"probes"`
	Gossip       bool `json:"peers"`

	RetryAfter    bool  `json:"retry_after"`
	MaxRetryAfter int64 `json:"max_retry_after_ns"`

	ConnectTimeout        int64 `json:"connect_timeout_ns"`
	IdleConnectionTimeout int64 `json:"conn_idle_ns"`
	StreamsPerConnection  int   `json:"multiplex"`
	MaxOpenRequests       int   `json:"most_held"`

	CPUPerSecond  float64 `json:"cpu_us_per_s"`
	CPUPerRequest float64 `json:"cpu_us_per_request"`
}

func (l *limits) apply(s *balancer.Settings) {
	s.MaxAttempts = l.MaxAttempts
	s.HedgingAllowed = l.Hedging
	s.CancelAllowed = l.Cancel
	s.HealthChecksAllowed = l.HealthChecks
	s.GossipAllowed = l.Gossip

	s.RetryAfterAllowed = l.RetryAfter
	s.MaxRetryAfter = nanoseconds(l.MaxRetryAfter)

	s.ConnectTimeout = nanoseconds(l.ConnectTimeout)
	s.IdleConnectionTimeout = nanoseconds(l.IdleConnectionTimeout)
	s.StreamsPerConnection = l.StreamsPerConnection
	s.MaxOpenRequests = l.MaxOpenRequests

	s.CPUPerSecond = microseconds(l.CPUPerSecond)
	s.CPUPerRequest = microseconds(l.CPUPerRequest)
}

// clients is the section "client_habits": how clients behave.
type clients struct {
	MarkRetries bool `json:"marks_retry"`
}

func (c clients) apply(s *balancer.Settings) {
	s.ClientsMarkRetries = c.MarkRetries
}
