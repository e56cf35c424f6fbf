package settings

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
)

// allKeys is a settings object with each key that the package decodes, and an unknown one.
const allKeys = `{
	"balancers": 3, "slot_no": 2, "zone": "n", "failure_domains": ["n", "s"], "kinds": ["m1", "m2"], "tick_ns": 5000000,
	"family": "proxy", "tier": 1, "tiers": ["a", "b"],
	"classes": [{
		"name": "x", "importance": 12.0, "aim_ns": 600000000, "aim_stretch": 1.5, "give_up_ns": 1200000000,
		"late_worth": 0.5, "effect": "dedup", "key_scope": "zone", "dedup_window_ns": 8, "streamed": true,
		"failure_domains_open": ["n"], "allowed_on": ["m1"]
	}],
	"worth_by": "work",
	"accounts": [{"name": "a", "quota_per_s": 5, "fraction": 0.5}],
	"over_share_worth": 0.25,
	"caps": {
		"max_attempts": 4, "may_duplicate": true, "cancel": true, "probes": true, "peers": true,
		"retry_after": true, "max_retry_after_ns": 2000000000, "connect_timeout_ns": 250000000, "conn_idle_ns": 5,
		"multiplex": 100, "most_held": 9, "cpu_us_per_s": 15000, "cpu_us_per_request": 2.5
	},
	"invariants": {
		"answer_slack_ns": 20000000, "ask_within_ns": 10000000000, "drain_grace_ns": 500000000,
		"drain_close_ns": 700000000, "cold_from": 0.32, "cold_ns": 8300000000, "overload_factor": 2.5,
		"tip_after_ns": 1000000000
	},
	"client_habits": {"marks_retry": true},
	"specifics": {"warm_keys": true, "passes_deadline": true},
	"membership_mode": "on_request",
	"weight_kind": "live",
	"report": {"how": "answers", "fields": ["active", "waiting"]},
	"charges": {
		"connection": 1, "handshake": 2, "cross_zone": 3, "waste": 4, "late_fail": 5, "probe": 6, "peer": 7,
		"moves": 8, "origin": 9, "membership_mode": 10, "fleet": 11
	},
	"goal": {"whole": 0.6, "worst_window": 0.4, "worst_class": 0.3, "worst_tenant": 0.2},
	"unknown_key": [1]
}`

func decode(t *testing.T, raw string) balancer.Settings {
	t.Helper()
	s, err := Decode(json.RawMessage(raw))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestDecodeEachKey guards against keys that are ignored or decoded into the wrong field, and against fields that no
// key sets.
func TestDecodeEachKey(t *testing.T) {
	want := balancer.Settings{
		Nodes:            3,
		NodeIndex:        2,
		Zone:             "n",
		Zones:            []string{"n", "s"},
		MachineTypes:     []string{"m1", "m2"},
		MinEventInterval: 5 * time.Millisecond,
		ServiceFamily:    "proxy",
		Tier:             1,
		Tiers:            []string{"a", "b"},
		Classes: []balancer.Class{{
			Name:                "x",
			PriorityWeight:      12,
			LatencyObjective:    600 * time.Millisecond,
			ObjectivePerWork:    1.5,
			Deadline:            1200 * time.Millisecond,
			LateWeight:          0.5,
			Idempotency:         balancer.IdempotentByKey,
			DeduplicationScope:  balancer.DeduplicatedByZone,
			DeduplicationWindow: 8,
			Streamed:            true,
			AllowedZones:        []string{"n"},
			AllowedMachineTypes: []string{"m1"},
		}},
		PriorityByWork:        true,
		Tenants:               []balancer.Tenant{{Name: "a", Quota: 5, QuotaFraction: 0.5}},
		OverQuotaWeight:       0.25,
		MaxAttempts:           4,
		HedgingAllowed:        true,
		CancelAllowed:         true,
		HealthChecksAllowed:   true,
		GossipAllowed:         true,
		RetryAfterAllowed:     true,
		MaxRetryAfter:         2 * time.Second,
		ConnectTimeout:        250 * time.Millisecond,
		IdleConnectionTimeout: 5,
		StreamsPerConnection:  100,
		MaxOpenRequests:       9,
		CPUPerSecond:          15 * time.Millisecond,
		CPUPerRequest:         2500 * time.Nanosecond,
		ResponseSlack:         20 * time.Millisecond,
		PollInterval:          10 * time.Second,
		DrainGrace:            500 * time.Millisecond,
		DrainCloseTimeout:     700 * time.Millisecond,
		SlowStartCapacity:     0.32,
		SlowStartDuration:     8300 * time.Millisecond,
		OverloadFactor:        2.5,
		OverloadDuration:      time.Second,
		ClientsMarkRetries:    true,
		KeyAffinity:           true,
		PropagatesDeadline:    true,
		EndpointsOnDemand:     true,
		WeightKnown:           true,
		WeightDynamic:         true,
		LoadReportSource:      balancer.LoadReportsByResponse,
		LoadReportFields:      []string{"active", "waiting"},
		ResultPenalties: balancer.ResultPenalties{
			Connection:     1,
			Handshake:      2,
			CrossZone:      3,
			Waste:          4,
			LateFailure:    5,
			HealthCheck:    6,
			Gossip:         7,
			Migration:      8,
			Origin:         9,
			EndpointUpdate: 10,
			Fleet:          11,
		},
		ResultWeights: balancer.ResultWeights{Whole: 0.6, WorstWindow: 0.4, WorstClass: 0.3, WorstTenant: 0.2},
	}
	if got := decode(t, allKeys); !reflect.DeepEqual(got, want) {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
	fields := reflect.ValueOf(want)
	for i := range fields.NumField() {
		name := fields.Type().Field(i).Name
		if name != "WeightApproximate" && fields.Field(i).IsZero() { // a weight is either dynamic or approximate
			t.Errorf("no key sets %s", name)
		}
	}
}

// TestAbsentKeysLeaveZeroes guards against absent or empty keys that are rejected or that set a field.
func TestAbsentKeysLeaveZeroes(t *testing.T) {
	if got := decode(t, `{}`); !reflect.DeepEqual(got, balancer.Settings{}) {
		t.Errorf("%+v, want all fields zero", got)
	}
	got := decode(t, `{"membership_mode":"","weight_kind":"","worth_by":"","report":{"how":""}}`)
	if !reflect.DeepEqual(got, balancer.Settings{}) {
		t.Errorf("empty values: %+v, want all fields zero", got)
	}
}

// TestPlacement guards against empty lists that are decoded like absent ones: an absent or null list of zones or
// machine types allows all of them, and an empty list none.
func TestPlacement(t *testing.T) {
	decodeClass := func(keys string) balancer.Class {
		return decode(t, `{"classes":[{"name":"x","effect":"retryable"`+keys+`}]}`).Classes[0]
	}
	if c := decodeClass(""); c.AllowedZones != nil || c.AllowedMachineTypes != nil {
		t.Errorf("absent lists: %+v, want both nil", c)
	}
	c := decodeClass(`,"failure_domains_open":["a","b"],"allowed_on":[]`)
	if len(c.AllowedZones) != 2 || c.AllowedZones[1] != "b" || c.AllowedMachineTypes == nil || len(c.AllowedMachineTypes) != 0 {
		t.Errorf("two zones and no machine type: %+v", c)
	}
	c = decodeClass(`,"failure_domains_open":null,"allowed_on":["k"]`)
	if c.AllowedZones != nil || len(c.AllowedMachineTypes) != 1 {
		t.Errorf("null zones and one machine type: %+v", c)
	}
}

// TestTranslations guards against values of the settings object that are decoded as the wrong constant.
func TestTranslations(t *testing.T) {
	type translation struct {
		raw  string
		set  func(s *balancer.Settings)
		name string
	}
	withClass := func(c balancer.Class) func(s *balancer.Settings) {
		return func(s *balancer.Settings) { s.Classes = []balancer.Class{c} }
	}
	for _, c := range []translation{
		{name: "endpoints are pushed", raw: `{"membership_mode":"pushed"}`, set: func(*balancer.Settings) {}},
		{name: "endpoints on demand", raw: `{"membership_mode":"on_request"}`,
			set: func(s *balancer.Settings) { s.EndpointsOnDemand = true }},
		{name: "no weight", raw: `{"weight_kind":"none"}`, set: func(*balancer.Settings) {}},
		{name: "exact weight", raw: `{"weight_kind":"nominal"}`,
			set: func(s *balancer.Settings) { s.WeightKnown = true }},
		{name: "approximate weight", raw: `{"weight_kind":"rough"}`,
			set: func(s *balancer.Settings) { s.WeightKnown, s.WeightApproximate = true, true }},
		{name: "dynamic weight", raw: `{"weight_kind":"live"}`,
			set: func(s *balancer.Settings) { s.WeightKnown, s.WeightDynamic = true, true }},
		{name: "priority by request", raw: `{"worth_by":"request"}`, set: func(*balancer.Settings) {}},
		{name: "priority by work", raw: `{"worth_by":"work"}`,
			set: func(s *balancer.Settings) { s.PriorityByWork = true }},
		{name: "no load reports", raw: `{"report":{"how":"none"}}`, set: func(*balancer.Settings) {}},
		{name: "load reports by health check", raw: `{"report":{"how":"probe"}}`,
			set: func(s *balancer.Settings) { s.LoadReportSource = balancer.LoadReportsByHealthCheck }},
		{name: "load reports by response", raw: `{"report":{"how":"answers"}}`,
			set: func(s *balancer.Settings) { s.LoadReportSource = balancer.LoadReportsByResponse }},
		{name: "not idempotent", raw: `{"classes":[{"effect":"fragile"}]}`,
			set: withClass(balancer.Class{Idempotency: balancer.NotIdempotent})},
		{name: "idempotent", raw: `{"classes":[{"effect":"retryable"}]}`,
			set: withClass(balancer.Class{Idempotency: balancer.Idempotent})},
		{name: "by key within a cell", raw: `{"classes":[{"effect":"dedup","key_scope":"cell"}]}`,
			set: withClass(balancer.Class{Idempotency: balancer.IdempotentByKey, DeduplicationScope: balancer.DeduplicatedByCell})},
		{name: "by key within a zone", raw: `{"classes":[{"effect":"dedup","key_scope":"zone"}]}`,
			set: withClass(balancer.Class{Idempotency: balancer.IdempotentByKey, DeduplicationScope: balancer.DeduplicatedByZone})},
		{name: "by key everywhere", raw: `{"classes":[{"effect":"dedup","key_scope":"all"}]}`,
			set: withClass(balancer.Class{Idempotency: balancer.IdempotentByKey, DeduplicationScope: balancer.DeduplicatedByFleet})},
	} {
		var want balancer.Settings
		c.set(&want)
		if got := decode(t, c.raw); !reflect.DeepEqual(got, want) {
			t.Errorf("%s:\ngot  %+v\nwant %+v", c.name, got, want)
		}
	}
}

// TestErrorNamesKeyValueAndChoices guards against errors that do not tell operators which key to correct, and how.
func TestErrorNamesKeyValueAndChoices(t *testing.T) {
	for _, c := range []struct {
		raw     string
		want    Error
		message string
	}{
		{`{"membership_mode":"odd"}`, Error{Key: "membership_mode", Value: "odd", Want: "one of on_request, pushed"},
			`unknown membership_mode "odd", want one of on_request, pushed`},
		{`{"report":{"how":"odd"}}`, Error{Key: "report.how", Value: "odd", Want: "one of answers, none, probe"},
			`unknown report.how "odd", want one of answers, none, probe`},
		{`{"weight_kind":"odd"}`, Error{Key: "weight_kind", Value: "odd", Want: "one of live, nominal, none, rough"},
			`unknown weight_kind "odd", want one of live, nominal, none, rough`},
		{`{"worth_by":"odd"}`, Error{Key: "worth_by", Value: "odd", Want: "one of request, work"},
			`unknown worth_by "odd", want one of request, work`},
		{`{"classes":[{"name":"w","effect":"fragile"},{"name":"x","effect":"odd","key_scope":"all"}]}`,
			Error{Element: "classes[1]", Key: "effect", Value: "odd", Want: "one of dedup, fragile, retryable"},
			`class x: unknown effect "odd" in classes[1], want one of dedup, fragile, retryable`},
		{`{"classes":[{"name":"x"}]}`,
			Error{Element: "classes[0]", Key: "effect", Value: "", Want: "one of dedup, fragile, retryable"},
			`class x: unknown effect "" in classes[0], want one of dedup, fragile, retryable`},
		{`{"classes":[{"name":"x","effect":"retryable","key_scope":"odd"}]}`,
			Error{Element: "classes[0]", Key: "key_scope", Value: "odd", Want: "one of all, cell, zone"},
			`class x: unknown key_scope "odd" in classes[0], want one of all, cell, zone`},
		{`{"classes":[{"name":"x","effect":"dedup"}]}`,
			Error{Element: "classes[0]", Key: "key_scope", Value: "", Want: "one of all, cell, zone"},
			`class x: unknown key_scope "" in classes[0], want one of all, cell, zone`},
	} {
		_, err := Decode(json.RawMessage(c.raw))
		var got *Error
		if !errors.As(err, &got) {
			t.Errorf("%s: error %v, want an *Error", c.raw, err)
			continue
		}
		if *got != c.want {
			t.Errorf("%s: %+v, want %+v", c.raw, *got, c.want)
		}
		if err.Error() != c.message {
			t.Errorf("%s: message %q, want %q", c.raw, err, c.message)
		}
	}
}

// TestNullIsRejected guards against JSON null that is accepted as settings with all fields zero: encoding/json decodes
// null without an error and leaves a struct unchanged.
func TestNullIsRejected(t *testing.T) {
	if _, err := Decode(json.RawMessage(`null`)); !errors.Is(err, ErrNull) {
		t.Errorf("error %v, want ErrNull", err)
	}
}

// TestMalformedJSON guards against malformed settings that are accepted, and against errors that do not wrap the cause
// or, for a value of the wrong type, do not name the key.
func TestMalformedJSON(t *testing.T) {
	var wrongType *json.UnmarshalTypeError
	if _, err := Decode(json.RawMessage(`{"caps":{"max_attempts":"four"}}`)); !errors.As(err, &wrongType) || !strings.Contains(err.Error(), "max_attempts") {
		t.Errorf("error %v, want a json.UnmarshalTypeError that names the key", err)
	}
	var syntax *json.SyntaxError
	if _, err := Decode(json.RawMessage(`{"caps"`)); !errors.As(err, &syntax) {
		t.Errorf("error %v, want a json.SyntaxError", err)
	}
}
