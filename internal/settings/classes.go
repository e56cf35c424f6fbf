package settings

import (
	"errors"
	"fmt"

	"bankshift/balancer"
)

var idempotencies = map[string]balancer.Idempotency{
	"retryable": balancer.Idempotent,
	"dedup":     balancer.IdempotentByKey,
	"fragile":   balancer.NotIdempotent,
}

var deduplicationScopes = map[string]balancer.DeduplicationScope{
	"cell": balancer.DeduplicatedByCell,
	"zone": balancer.DeduplicatedByZone,
	"all":  balancer.DeduplicatedByFleet,
}

// byWork translates worth_by: whether priority weights count per unit of work.
var byWork = map[string]bool{
	"request": false,
	"work":    true,
}

func applyWorthBy(worthBy string, s *balancer.Settings) error {
	var err error
	s.PriorityByWork, err = lookupOptional(byWork, "worth_by", worthBy)
	return err
}

// class is an element of the section "classes".
type class struct {
	Name       string  `json:"name"`
	Importance float64 `json:"importance"`
	Aim        int64   `json:"aim_ns"`
	AimStretch float64 `json:"aim_stretch"`
	GiveUp     int64   `json:"give_up_ns"`
	LateWorth  float64 `json:"late_worth"`

	Effect      string `json:"effect"`
	KeyScope    string `json:"key_scope"`
	DedupWindow int64  `json:"dedup_window_ns"`

	Streamed  bool     `json:"streamed"`
	Domains   []string `json:"failure_domains_open"`
	AllowedOn []string `json:"allowed_on"`
}

func applyClasses(classes []class, s *balancer.Settings) error {
	for i, c := range classes {
		decoded, err := c.decode()
		if err != nil {
			return inClass(err, i, c.Name)
		}
		s.Classes = append(s.Classes, decoded)
	}
	return nil
}

// inClass adds the class to an error of class.decode.
func inClass(err error, index int, name string) error {
	var invalid *Error
	if errors.As(err, &invalid) {
		invalid.Element = fmt.Sprintf("classes[%d]", index)
	}
	return fmt.Errorf("class %s: %w", name, err)
}

func (c class) decode() (balancer.Class, error) {
	idempotency, err := lookup(idempotencies, "effect", c.Effect)
	if err != nil {
		return balancer.Class{}, err
	}
	scope, err := c.deduplicationScope(idempotency)
	if err != nil {
		return balancer.Class{}, err
	}
	return balancer.Class{
		Name:                c.Name,
		PriorityWeight:      c.Importance,
		LatencyObjective:    nanoseconds(c.Aim),
		ObjectivePerWork:    c.AimStretch,
		Deadline:            nanoseconds(c.GiveUp),
		LateWeight:          c.LateWorth,
		Idempotency:         idempotency,
		DeduplicationScope:  scope,
		DeduplicationWindow: nanoseconds(c.DedupWindow),
		Streamed:            c.Streamed,
		AllowedZones:        c.Domains,
		AllowedMachineTypes: c.AllowedOn,
	}, nil
}

// deduplicationScope must be stated only where requests carry an idempotency key.
func (c class) deduplicationScope(i balancer.Idempotency) (balancer.DeduplicationScope, error) {
	if i == balancer.IdempotentByKey {
		return lookup(deduplicationScopes, "key_scope", c.KeyScope)
	}
	return lookupOptional(deduplicationScopes, "key_scope", c.KeyScope)
}
