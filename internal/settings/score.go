package settings

import "bankshift/balancer"

// costs is the section "charges": the points that one unit of each cost takes off the operators' result.
type costs struct {
	Connection     float64 `json:"connection"`
	Handshake      float64 `json:"handshake"`
	CrossZone      float64 `json:"cross_zone"`
	Waste          float64 `json:"waste"`
	LateFailure    float64 `json:"late_fail"`
	HealthCheck    float64 `json:"probe"`
	Gossip         float64 `json:"peer"`
	Migration      float64 `json:"moves"`
	Origin         float64 `json:"origin"`
	EndpointUpdate float64 `json:"membership_mode"`
	Fleet          float64 `json:"fleet"`
}

func (c *costs) apply(s *balancer.Settings) {
	s.Costs = balancer.Costs{
		Connection:     c.Connection,
		Handshake:      c.Handshake,
		CrossZone:      c.CrossZone,
		Waste:          c.Waste,
		LateFailure:    c.LateFailure,
		HealthCheck:    c.HealthCheck,
		Gossip:         c.Gossip,
		Migration:      c.Migration,
		Origin:         c.Origin,
		EndpointUpdate: c.EndpointUpdate,
		Fleet:          c.Fleet,
	}
}

// goal is the section "goal": the weights of the parts that make up the operators' result.
type goal struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
}

func (g goal) apply(s *balancer.Settings) {
	s.Goal = balancer.Goal{
		Whole:       g.Whole,
		WorstWindow: g.WorstWindow,
		WorstClass:  g.WorstClass,
		WorstTenant: g.WorstTenant,
	}
}
