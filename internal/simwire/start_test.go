package simwire

import (
	"math"
	"reflect"
	"strings"
	"testing"
	"time"

	"bankshift/balancer"
	"bankshift/internal/settings"
)

// startEvent starts a node. Its settings object has keys of most sections, and an unknown one.
const startEvent = `{"up":{"seed":9007199254740993,"profile_data":{"accounts":[{"name":"a","quota_per_s":5,"fraction":0.5}],
"balancers":3,"caps":{"cancel":true,"connect_timeout_ns":250000000,"cpu_us_per_s":15000,"cpu_us_per_request":2.5,"most_held":9,"multiplex":100,"conn_idle_ns":5,"max_attempts":4,"may_duplicate":true,"peers":true,
"probes":true,"retry_after":true,"max_retry_after_ns":2000000000},"classes":[{"aim_ns":600000000,"dedup_window_ns":8,
"effect":"dedup","give_up_ns":1200000000,"importance":12.0,"key_scope":"cell","late_worth":0.5,"name":"x","streamed":true}],
"failure_domains":["n"],"membership_mode":"on_request","report":{"fields":["active"],"how":"answers"},"slot_no":2,
"invariants":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.32,"cold_ns":8300000000,
"drain_grace_ns":500000000,"overload_factor":2.5,"tip_after_ns":1000000000},"tick_ns":5000000,"weight_kind":"live",
"charges":{"cross_zone":0.02,"membership_mode":0.5},"goal":{"whole":0.6,"worst_window":0.4},"family":"proxy","tiers":["a","b"],
"tier":1,"specifics":{"warm_keys":true},"zone":"n","unknown_key":[1]}}}`

// TestStart guards against a start event whose seed is rounded or whose settings are not decoded.
func TestStart(t *testing.T) {
	input := decodeOne(t, strings.ReplaceAll(startEvent, "\n", ""))
	s := input.Start.Settings
	if input.Start.Seed != 9007199254740993 {
		t.Errorf("seed %d, want 9007199254740993", input.Start.Seed)
	}
	if s.Nodes != 3 || s.NodeIndex != 2 || s.Tier != 1 || len(s.Tiers) != 2 || s.ServiceFamily != "proxy" {
		t.Errorf("node and tiers: %+v", s)
	}
	if !s.EndpointsOnDemand || !s.WeightDynamic || !s.HedgingAllowed || !s.KeyAffinity || s.PropagatesDeadline {
		t.Errorf("flags: %+v", s)
	}
	if s.LoadReportSource != balancer.LoadReportsByResponse || s.DrainGrace != 500*time.Millisecond || s.OverloadFactor != 2.5 {
		t.Errorf("load reports and rules: %+v", s)
	}
	if s.CPUPerSecond != 15*time.Millisecond || s.CPUPerRequest != 2500*time.Nanosecond {
		t.Errorf("processor time: %+v", s)
	}
	if s.MaxOpenRequests != 9 || s.IdleConnectionTimeout != 5 || s.StreamsPerConnection != 100 {
		t.Errorf("connections: %+v", s)
	}
	if s.ResultPenalties != (balancer.ResultPenalties{CrossZone: 0.02, EndpointUpdate: 0.5}) || s.ResultWeights != (balancer.ResultWeights{Whole: 0.6, WorstWindow: 0.4}) {
		t.Errorf("result penalties and weights: %+v", s)
	}
	c := s.Classes[0]
	if c.Idempotency != balancer.IdempotentByKey || c.DeduplicationScope != balancer.DeduplicatedByCell ||
		c.PriorityWeight != 12 || !c.Streamed || c.Deadline != 1200*time.Millisecond {
		t.Errorf("class: %+v", c)
	}
}

// TestStartDecodesAllSettings guards against settings that a start event decodes differently from package settings,
// whose tests cover each key.
func TestStartDecodesAllSettings(t *testing.T) {
	const object = `{"balancers":3,"classes":[{"name":"x","effect":"fragile"}],"caps":{"peers":true}}`
	want, err := settings.Decode([]byte(object))
	if err != nil {
		t.Fatal(err)
	}
	got := decodeOne(t, `{"up":{"seed":1,"profile_data":`+object+`}}`).Start.Settings
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v, want %+v", got, want)
	}
}

// TestSeed guards against seeds that are rounded: 9007199254740993, which is 2^53+1, has no exact float64. Unsigned
// 64-bit integers keep their bits, and other numbers give the bits of their float64.
func TestSeed(t *testing.T) {
	for seed, want := range map[string]int64{
		"0":                    0,
		"9007199254740993":     9007199254740993,
		"18446744073709551615": -1,
		"-2":                   int64(math.Float64bits(-2)),
		"1.5":                  int64(math.Float64bits(1.5)),
	} {
		if got := decodeOne(t, `{"up":{"seed":`+seed+`,"profile_data":{}}}`).Start.Seed; got != want {
			t.Errorf("seed %s: %d, want %d", seed, got, want)
		}
	}
	if _, err := DecodeBatch([]byte(batchLine(`{"up":{"seed":1e999,"profile_data":{}}}`))); err == nil || !strings.Contains(err.Error(), "seed: ") {
		t.Errorf("error %v, want one that names the seed", err)
	}
}

// TestPlacementAndDrainClose guards against absent keys that set a limit, and against empty lists of zones or machine
// types that are decoded like absent ones: an empty list allows none of them, an absent or null list all.
func TestPlacementAndDrainClose(t *testing.T) {
	withClass := func(extra string) balancer.Settings {
		return decodeOne(t, `{"up":{"seed":1,"profile_data":{"invariants":{"drain_close_ns":500000000},"weight_kind":"rough","classes":[
			{"name":"x","effect":"retryable"`+extra+`}]}}}`).Start.Settings
	}
	if s := withClass(""); s.DrainCloseTimeout != 500*time.Millisecond || !s.WeightKnown || !s.WeightApproximate || s.WeightDynamic ||
		s.Classes[0].AllowedZones != nil || s.Classes[0].AllowedMachineTypes != nil {
		t.Errorf("absent lists: %+v", s)
	}
	c := withClass(`,"failure_domains_open":["a","b"],"allowed_on":[]`).Classes[0]
	if len(c.AllowedZones) != 2 || c.AllowedZones[1] != "b" || c.AllowedMachineTypes == nil || len(c.AllowedMachineTypes) != 0 {
		t.Errorf("two zones and no machine type: %+v", c)
	}
	if c := withClass(`,"failure_domains_open":null,"allowed_on":["k"]`).Classes[0]; c.AllowedZones != nil || len(c.AllowedMachineTypes) != 1 {
		t.Errorf("null zones and one machine type: %+v", c)
	}
	if s := decodeOne(t, `{"up":{"seed":1,"profile_data":{}}}`).Start.Settings; s.DrainCloseTimeout != 0 || s.WeightKnown || s.EndpointsOnDemand {
		t.Errorf("empty settings: %+v", s)
	}
}
