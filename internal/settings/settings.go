// Package settings decodes the operators' settings object into
// balancer.Settings. The simulator and a node's configuration file hold the
// object in the same form. The package translates the operators' keys and
// enumerated values, so that the balancer does not depend on them.
//
// The object has sections. Each section has a type whose fields are named after
// those of balancer.Settings and tagged with the operators' keys, and whose
// apply method fills in balancer.Settings. Unknown keys are ignored, and an
// absent key leaves its setting at zero.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	"bankshift/balancer"
)

// settingsObject is the settings object with all of its sections.
type settingsObject struct {
	Nodes            int      `json:"balancers"`
	NodeIndex        int      `json:"slot_no"`
	Zone             string   `json:"zone"`
	Zones            []string `json:"failure_domains"`
	MachineTypes     []string `json:"kinds"`
	MinEventInterval int64    `json:"tick_ns"`

	ServiceFamily string   `json:"family"`
	Tier          int      `json:"tier"`
	Tiers         []string `json:"tiers"`

	Classes         []class  `json:"classes"`
	PriorityBasis   string   `json:"worth_by"`
	Tenants         []tenant `json:"accounts"`
	OverQuotaWeight float64  `json:"over_share_worth"`

	Limits    limits    `json:"caps"`
	Rules     rules     `json:"invariants"`
	Clients   clients   `json:"client_habits"`
	Endpoints endpoints `json:"specifics"`

	UpdateMode  string      `json:"membership_mode"`
	WeightKind  string      `json:"weight_kind"`
	LoadReports loadReports `json:"report"`

	ResultPenalties resultPenalties `json:"charges"`
	ResultWeights   resultWeights   `json:"goal"`
}

// Decode decodes the settings object of a node. It returns an error that wraps an
// *Error if a value is not among those allowed for its key, and ErrNull for
// JSON null.
func Decode(raw json.RawMessage) (balancer.Settings, error) {
	var in *settingsObject
	if err := json.Unmarshal(raw, &in); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings object: %w", err)
	}
	if in == nil {
		return balancer.Settings{}, ErrNull
	}
	var settings balancer.Settings
	if err := in.apply(&settings); err != nil {
		return balancer.Settings{}, err
	}
	return settings, nil
}

// apply fills in s. It stops at the first value that is not allowed for its key.
func (o *settingsObject) apply(s *balancer.Settings) error {
	o.applyTopology(s)
	if err := applyUpdateMode(o.UpdateMode, s); err != nil {
		return err
	}
	if err := o.LoadReports.apply(s); err != nil {
		return err
	}
	if err := applyWeightKind(o.WeightKind, s); err != nil {
		return err
	}
	if err := applyPriorityBasis(o.PriorityBasis, s); err != nil {
		return err
	}
	if err := applyClasses(o.Classes, s); err != nil {
		return err
	}
	applyTenants(o.Tenants, s)
	s.OverQuotaWeight = o.OverQuotaWeight
	o.Limits.apply(s)
	o.Rules.apply(s)
	o.Clients.apply(s)
	o.Endpoints.apply(s)
	o.ResultPenalties.apply(s)
	o.ResultWeights.apply(s)
	return nil
}

// applyTopology sets the node's position among the nodes, zones and tiers, and what else the top-level keys say about
// the service: its family, its machine types and the minimum interval between events.
func (o *settingsObject) applyTopology(s *balancer.Settings) {
	s.Nodes = o.Nodes
	s.NodeIndex = o.NodeIndex
	s.Zone = o.Zone
	s.Zones = o.Zones
	s.MachineTypes = o.MachineTypes
	s.MinEventInterval = nanoseconds(o.MinEventInterval)
	s.ServiceFamily = o.ServiceFamily
	s.Tier = o.Tier
	s.Tiers = o.Tiers
}

// nanoseconds converts the value of a key that ends in _ns.
func nanoseconds(n int64) time.Duration { return time.Duration(n) }

// microseconds converts the value of a key that counts microseconds, which may have a fraction.
func microseconds(n float64) time.Duration { return time.Duration(n * float64(time.Microsecond)) }
