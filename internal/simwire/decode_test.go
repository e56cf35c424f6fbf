package simwire

import (
	"reflect"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestDecodeEachEvent guards against events that are decoded as another event, and against keys that are ignored or
// decoded into the wrong field.
func TestDecodeEachEvent(t *testing.T) {
	for _, c := range []struct {
		event string
		want  Input
	}{
		{`{"submit":{"req":"q","band":"x","user_group":"t","partition_key":"k","patience_left_ns":5,"cost_guess_ns":6,"flags":1}}`,
			Input{Event: balancer.RequestArrived{ID: "q", Class: "x", Tenant: "t", Key: "k", Timeout: 5, WorkHint: 6, HasWorkHint: true}}},
		{`{"submit":{"req":"q","user_group":7,"patience_left_ns":5,"flags":6}}`,
			Input{Event: balancer.RequestArrived{ID: "q", Timeout: 5, IsRetry: true, Write: true}}},
		{`{"attempt_end":{"req":"q","leg":1,"backend":7,"over":true,"delay_seen_ns":5,"disposition":10}}`,
			Input{Event: balancer.AttemptEnded{ID: "q", Attempt: 1, Endpoint: 7, RequestDone: true, Elapsed: 5, Outcome: balancer.Reset}}},
		{`{"streaming":{"req":"q","leg":1,"backend":7,"delay_seen_ns":5}}`,
			Input{Event: balancer.StreamStarted{ID: "q", Attempt: 1, Endpoint: 7, Elapsed: 5}}},
		{`{"abandoned":{"req":"q"}}`, Input{Event: balancer.RequestAbandoned{ID: "q"}}},
		{`{"probe_result":{"backend":7,"delay_seen_ns":5,"disposition":0,"feedback":{"cpu":0.5}}}`,
			Input{Event: balancer.HealthCheckEnded{Endpoint: 7, Outcome: balancer.OK, Elapsed: 5, Report: &balancer.LoadReport{Utilization: 0.5}}}},
		{`{"due":{"label":77}}`, Input{Event: balancer.TimerFired{Token: 77}}},
		{`{"note_from":{"from":2,"bytes":"aGk="}}`, Input{Event: balancer.MessageReceived{From: 2, Data: []byte("hi")}}},
		{`{"roster_change":{"how":"X"}}`, Input{Event: balancer.EndpointUpdate{Kind: balancer.FailedUpdate}}},
		{`{"roster_change":{"how":"F","version":4,"items":[
			{"backend":1,"zone":"z","model":"m","pod":3,"state":"ready","nominal":1.5,"ready_at_ns":5000000},
			{"backend":2,"state":"gone"}]}}`,
			Input{Event: balancer.EndpointUpdate{Kind: balancer.FullUpdate, Version: 4, Endpoints: []balancer.Endpoint{
				{ID: 1, Zone: "z", MachineType: "m", Cell: 3, State: balancer.Ready, Weight: 1.5, StartedAt: 5 * time.Millisecond},
				{ID: 2, State: balancer.Removed}}}}},
		{`{"retire":{}}`, Input{Retire: true}},
	} {
		if got := decodeOne(t, c.event); !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s: %+v, want %+v", c.event, got, c.want)
		}
	}
}

// TestOutcomeCodes guards against codes that are decoded as the wrong outcome, and against load reports that are
// dropped or rejected because of an unknown field.
func TestOutcomeCodes(t *testing.T) {
	for code, want := range map[string]balancer.Outcome{
		"0":  balancer.OK,
		"1":  balancer.Canceled,
		"4":  balancer.TimedOut,
		"8":  balancer.Rejected,
		"9":  balancer.NotSent,
		"10": balancer.Reset,
		"13": balancer.ServerError,
		"14": balancer.ConnectFailed,
	} {
		input := decodeOne(t, `{"attempt_end":{"req":"q","leg":1,"backend":7,"delay_seen_ns":5,"disposition":`+code+`,
			"feedback":{"active":7,"unknown_field":3,"waiting":2}}}`)
		event := input.Event.(balancer.AttemptEnded)
		if event.Outcome != want || event.Attempt != 1 || event.Endpoint != 7 || event.RequestDone {
			t.Errorf("code %s: %+v", code, event)
		}
		if event.Report.InFlight != 7 || event.Report.Queued != 2 {
			t.Errorf("code %s: load report %+v", code, event.Report)
		}
	}
}

// TestLoadReportWithoutKnownFieldIsNil guards against an empty load report in place of none.
func TestLoadReportWithoutKnownFieldIsNil(t *testing.T) {
	input := decodeOne(t, `{"attempt_end":{"req":"q","leg":0,"backend":7,"disposition":0,"feedback":{"unknown_field":"x"}}}`)
	if event := input.Event.(balancer.AttemptEnded); event.Report != nil {
		t.Errorf("load report %+v, want nil", event.Report)
	}
}
