package settings

import "bankshift/balancer"

// resultPenalties is the section "charges": the points deducted from the operators' result for one unit of what each
// field names.
type resultPenalties struct {
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

func (p *resultPenalties) apply(s *balancer.Settings) {
	s.ResultPenalties = balancer.ResultPenalties{
		Connection:     p.Connection,
		Handshake:      p.Handshake,
		CrossZone:      p.CrossZone,
		Waste:          p.Waste,
		LateFailure:    p.LateFailure,
		HealthCheck:    p.HealthCheck,
		Gossip:         p.Gossip,
		Migration:      p.Migration,
		Origin:         p.Origin,
		EndpointUpdate: p.EndpointUpdate,
		Fleet:          p.Fleet,
	}
}

// resultWeights is the section "goal": the weights of the parts that make up the operators' result.
type resultWeights struct {
	Whole       float64 `json:"whole"`
	WorstWindow float64 `json:"worst_window"`
	WorstClass  float64 `json:"worst_class"`
	WorstTenant float64 `json:"worst_tenant"`
}

func (w resultWeights) apply(s *balancer.Settings) {
	s.ResultWeights = balancer.ResultWeights{
		Whole:       w.Whole,
		WorstWindow: w.WorstWindow,
		WorstClass:  w.WorstClass,
		WorstTenant: w.WorstTenant,
	}
}
