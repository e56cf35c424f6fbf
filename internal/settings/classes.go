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

// byWork maps the values of worth_by to balancer.Settings.PriorityByWork: whether priority weights count per unit of
// work.
var byWork = map[string]bool{
	"request": false,
	"work":    true,
}

func applyPriorityBasis(basis string, s *balancer.Settings) error {
	var err error
	s.PriorityByWork, err = lookupOptional(byWork, "worth_by", basis)
	return err
}

// class is an element of the list "classes": one kind of request.
type class struct {
	Name             string  `json:"name"`
	PriorityWeight   float64 `json:"importance"`
	LatencyObjective int64   `json:"aim_ns"`
	ObjectivePerWork float64 `json:"aim_stretch"`
	Deadline         int64   `json:"give_up_ns"`
	LateWeight       float64 `json:"late_worth"`

	Idempotency         string `json:"effect"`
	DeduplicationScope  string `json:"key_scope"`
	DeduplicationWindow int64  `json:"dedup_window_ns"`

	Streamed            bool     `json:"streamed"`
	AllowedZones        []string `json:"failure_domains_open"`
	AllowedMachineTypes []string `json:"allowed_on"`
}

func applyClasses(classes []class, s *balancer.Settings) error {
	for i, c := range classes {
		decoded, err := c.decode()
		if err != nil {
			return wrapClassError(err, i, c.Name)
		}
		s.Classes = append(s.Classes, decoded)
	}
	return nil
}

// wrapClassError wraps an error of class.decode with the class's name. If the error is an *Error, its Element is
// set to the class's place in the list, such as "classes[1]".
func wrapClassError(err error, index int, name string) error {
	var invalid *Error
	if errors.As(err, &invalid) {
		invalid.Element = fmt.Sprintf("classes[%d]", index)
	}
	return fmt.Errorf("class %s: %w", name, err)
}

func (c class) decode() (balancer.Class, error) {
	idempotency, err := lookup(idempotencies, "effect", c.Idempotency)
	if err != nil {
		return balancer.Class{}, err
	}
	scope, err := c.deduplicationScope(idempotency)
	if err != nil {
		return balancer.Class{}, err
	}
	return balancer.Class{
		Name:                c.Name,
		PriorityWeight:      c.PriorityWeight,
		LatencyObjective:    nanoseconds(c.LatencyObjective),
		ObjectivePerWork:    c.ObjectivePerWork,
		Deadline:            nanoseconds(c.Deadline),
		LateWeight:          c.LateWeight,
		Idempotency:         idempotency,
		DeduplicationScope:  scope,
		DeduplicationWindow: nanoseconds(c.DeduplicationWindow),
		Streamed:            c.Streamed,
		AllowedZones:        c.AllowedZones,
		AllowedMachineTypes: c.AllowedMachineTypes,
	}, nil
}

// deduplicationScope decodes key_scope, which is required for classes whose requests carry an idempotency key and
// optional for all others.
func (c class) deduplicationScope(i balancer.Idempotency) (balancer.DeduplicationScope, error) {
	if i == balancer.IdempotentByKey {
		return lookup(deduplicationScopes, "key_scope", c.DeduplicationScope)
	}
	return lookupOptional(deduplicationScopes, "key_scope", c.DeduplicationScope)
}
