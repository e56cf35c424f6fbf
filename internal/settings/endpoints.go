package settings

import "bankshift/balancer"

// onDemand maps the values of membership_mode to balancer.Settings.EndpointsOnDemand: whether endpoint updates come
// only on demand.
var onDemand = map[string]bool{
	"pushed":     false,
	"on_request": true,
}

func applyUpdateMode(mode string, s *balancer.Settings) error {
	var err error
	s.EndpointsOnDemand, err = lookupOptional(onDemand, "membership_mode", mode)
	return err
}

// weightKind says what the weights on the endpoint list mean.
type weightKind struct {
	known       bool // a weight depends on the machine's capacity
	approximate bool // it is not exact
	dynamic     bool // it falls as the endpoint fills up
}

var weightKinds = map[string]weightKind{
	"none":    {},
	"nominal": {known: true},
	"rough":   {known: true, approximate: true},
	"live":    {known: true, dynamic: true},
}

func applyWeightKind(kind string, s *balancer.Settings) error {
	weight, err := lookupOptional(weightKinds, "weight_kind", kind)
	s.WeightKnown = weight.known
	s.WeightApproximate = weight.approximate
	s.WeightDynamic = weight.dynamic
	return err
}

// endpoints is the section "specifics": how the endpoints of this kind of service treat keys and deadlines.
type endpoints struct {
	KeyAffinity        bool `json:"warm_keys"`
	PropagatesDeadline bool `json:"passes_deadline"`
}

func (e endpoints) apply(s *balancer.Settings) {
	s.KeyAffinity = e.KeyAffinity
	s.PropagatesDeadline = e.PropagatesDeadline
}
