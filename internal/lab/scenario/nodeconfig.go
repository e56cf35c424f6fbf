package scenario

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"
)

// Values of settings that scenarios do not vary, from the documentation of the
// wire protocol.
const (
	minEventInterval = 5 * time.Millisecond
	responseSlack    = 20 * time.Millisecond   // for which a final response still counts after the deadline
	maxRetryAfter    = 1500 * time.Millisecond // longest Retry-After that clients follow
	overQuotaWeight  = 0.1                     // fraction of its weight that a request over quota has
)

// NodeStartParams holds the parts of a node's configuration that do not come from
// the scenario.
type NodeStartParams struct {
	Incarnation int             // number of earlier starts of the node
	Listen      string          // address for clients
	Discovery   string          // address of discovery
	KnownList   json.RawMessage // the endpoint list as the node last had it, encoded as by discovery; nil: empty list
}

// A node's configuration file, as the wire protocol defines it. Durations are in
// nanoseconds.
type (
	nodeConfig struct {
		Name      string          `json:"name"`
		Listen    string          `json:"listen"`
		Discovery string          `json:"discovery"`
		Seed      string          `json:"seed"`
		Limits    limitsConfig    `json:"limits"`
		Known     json.RawMessage `json:"known"`
		Settings  settingsConfig  `json:"settings"`
	}
	limitsConfig struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}
	settingsConfig struct {
		Accounts       []accountConfig    `json:"accounts"`
		Balancers      int                `json:"balancers"`
		Capabilities   capabilitiesConfig `json:"caps"`
		Charges        struct{}           `json:"charges"`
		Classes        []classConfig      `json:"classes"`
		ClientHabits   clientHabitsConfig `json:"client_habits"`
		FailureDomains []string           `json:"failure_domains"`
		Family         string             `json:"family"`
		Goal           goalConfig         `json:"goal"`
		Invariants     invariantsConfig   `json:"invariants"`
		Kinds          []string           `json:"kinds"`
		MembershipMode string             `json:"membership_mode"`
		OverShareWorth float64            `json:"over_share_worth"`
		Report         reportConfig       `json:"report"`
		SlotNo         int                `json:"slot_no"`
		Specifics      struct{}           `json:"specifics"`
		TickNS         time.Duration      `json:"tick_ns"`
		Tier           int                `json:"tier"`
		Tiers          []string           `json:"tiers"`
		WeightKind     string             `json:"weight_kind"`
		WorthBy        string             `json:"worth_by"`
		Zone           string             `json:"zone"`
	}
	accountConfig struct {
		Name     string  `json:"name"`
		Quota    float64 `json:"quota_per_s"`
		Fraction float64 `json:"fraction"`
	}
	capabilitiesConfig struct {
		Cancel         bool          `json:"cancel"`
		ConnIdle       time.Duration `json:"conn_idle_ns"`
		ConnectTimeout time.Duration `json:"connect_timeout_ns"`
		CPUPerRequest  float64       `json:"cpu_us_per_request"`
		CPUPerSecond   float64       `json:"cpu_us_per_s"`
		MaxAttempts    int           `json:"max_attempts"`
		MaxRetryAfter  time.Duration `json:"max_retry_after_ns"`
		MayDuplicate   bool          `json:"may_duplicate"`
		MostHeld       int           `json:"most_held"`
		Multiplex      int           `json:"multiplex"`
		Peers          bool          `json:"peers"`
		Probes         bool          `json:"probes"`
		RetryAfter     bool          `json:"retry_after"`
	}
	classConfig struct {
		Name        string        `json:"name"`
		Effect      string        `json:"effect"`
		Aim         time.Duration `json:"aim_ns"`
		GiveUp      time.Duration `json:"give_up_ns"`
		Importance  float64       `json:"importance"`
		LateWorth   float64       `json:"late_worth"`
		Streamed    bool          `json:"streamed"`
		KeyScope    string        `json:"key_scope,omitempty"`
		DedupWindow time.Duration `json:"dedup_window_ns,omitempty"`
	}
	clientHabitsConfig struct {
		MarksRetry bool `json:"marks_retry"`
	}
	goalConfig struct {
		Whole       float64 `json:"whole"`
		WorstClass  float64 `json:"worst_class"`
		WorstTenant float64 `json:"worst_tenant"`
		WorstWindow float64 `json:"worst_window"`
	}
	invariantsConfig struct {
		AnswerSlack    time.Duration `json:"answer_slack_ns"`
		AskWithin      time.Duration `json:"ask_within_ns"`
		ColdFrom       float64       `json:"cold_from"`
		Cold           time.Duration `json:"cold_ns"`
		DrainGrace     time.Duration `json:"drain_grace_ns"`
		OverloadFactor float64       `json:"overload_factor"`
		TipAfter       time.Duration `json:"tip_after_ns"`
	}
	reportConfig struct {
		Fields []string `json:"fields"`
		How    string   `json:"how"`
	}
)

// idempotencySettings maps values of Idempotency to those in a node's settings.
var idempotencySettings = map[Idempotency]string{
	Idempotent:      "retryable",
	IdempotentByKey: "dedup",
	NotIdempotent:   "fragile",
}

// NodeConfig returns the JSON configuration file that node i gets at a start. The
// node's seed depends on the scenario's seed, i and start.Incarnation.
func (s *Scenario) NodeConfig(i int, start NodeStartParams) ([]byte, error) {
	known := start.KnownList
	if known == nil {
		known = json.RawMessage(`{"index":0,"snapshot":true,"endpoints":[]}`)
	}
	rng := rand.New(rand.NewPCG(s.Seed, uint64(i)<<32|uint64(start.Incarnation)))
	return json.Marshal(nodeConfig{
		Name:      s.Node(i).Name,
		Listen:    start.Listen,
		Discovery: start.Discovery,
		Seed:      fmt.Sprintf("%016x", rng.Uint64()),
		Limits:    limitsConfig{Cores: s.Fleet.Cores, MemoryMB: s.Fleet.MemoryMB, Sockets: s.Fleet.Sockets},
		Known:     known,
		Settings:  s.settings(i),
	})
}

func (s *Scenario) settings(node int) settingsConfig {
	membership := "pushed"
	if s.Discovery.OnDemand {
		membership = "on_request"
	}
	config := settingsConfig{
		Accounts:       s.accounts(),
		Balancers:      s.Fleet.Nodes,
		Capabilities:   s.capabilities(),
		Classes:        s.classSettings(),
		ClientHabits:   clientHabitsConfig{MarksRetry: true},
		FailureDomains: []string{},
		Family:         "proxy",
		Goal:           goalConfig{Whole: 1},
		Invariants:     s.invariants(),
		Kinds:          []string{},
		MembershipMode: membership,
		OverShareWorth: overQuotaWeight,
		Report:         reportConfig{Fields: []string{}, How: "none"},
		SlotNo:         node,
		TickNS:         minEventInterval,
		Tiers:          []string{"lab"},
		WeightKind:     "rough",
		WorthBy:        "request",
		Zone:           s.Node(node).Zone,
	}
	for _, z := range s.Zones {
		config.FailureDomains = append(config.FailureDomains, z.Name)
	}
	for _, m := range s.Servers.MachineTypes {
		config.Kinds = append(config.Kinds, m.Name)
	}
	return config
}

func (s *Scenario) accounts() []accountConfig {
	accounts := []accountConfig{}
	for t := range s.Traffic.Tenants {
		accounts = append(accounts, accountConfig{
			Name:     TenantName(t),
			Quota:    s.Traffic.Quota,
			Fraction: 1 / float64(s.Traffic.Tenants),
		})
	}
	return accounts
}

func (s *Scenario) capabilities() capabilitiesConfig {
	const microsecondsPerSecond = 1e6
	return capabilitiesConfig{
		Cancel:         s.Fleet.CancelAllowed,
		ConnIdle:       s.Servers.IdleTimeout.Std(),
		ConnectTimeout: s.Network.ConnectTimeout.Std(),
		CPUPerSecond:   s.Fleet.Cores * microsecondsPerSecond,
		MaxAttempts:    s.Fleet.MaxAttempts,
		MaxRetryAfter:  maxRetryAfter,
		MayDuplicate:   s.Fleet.HedgingAllowed,
		MostHeld:       s.Fleet.MaxOpenRequests,
		Multiplex:      1,
		RetryAfter:     s.Fleet.RetryAfterAllowed,
	}
}

func (s *Scenario) classSettings() []classConfig {
	classes := []classConfig{}
	for _, c := range s.Classes {
		config := classConfig{
			Name:       c.Name,
			Effect:     idempotencySettings[c.Idempotency],
			Aim:        c.LatencyObjective.Std(),
			GiveUp:     c.Deadline.Std(),
			Importance: c.PriorityWeight,
			LateWorth:  c.LateWeight,
		}
		if c.Idempotency == IdempotentByKey {
			config.KeyScope = c.KeyScope
			config.DedupWindow = c.KeyWindow.Std()
		}
		classes = append(classes, config)
	}
	return classes
}

func (s *Scenario) invariants() invariantsConfig {
	return invariantsConfig{
		AnswerSlack:    responseSlack,
		AskWithin:      s.Discovery.PollInterval.Std(),
		ColdFrom:       s.Servers.InitialCapacity,
		Cold:           s.Servers.WarmupTime.Std(),
		DrainGrace:     s.Discovery.DrainGrace.Std(),
		OverloadFactor: s.Servers.CrashFactor,
		TipAfter:       s.Servers.CrashWindow.Std(),
	}
}
