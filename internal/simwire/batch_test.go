package simwire

import (
	"errors"
	"strings"
	"testing"

	"bankshift/internal/settings"
)

// batchLine returns a batch with these events for node 3.
func batchLine(events string) string {
	return `{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[` + events + `]}]}`
}

// decodeOne decodes the only event of a batch.
func decodeOne(t *testing.T, event string) Input {
	t.Helper()
	decoded, err := DecodeBatch([]byte(batchLine(event)))
	if err != nil {
		t.Fatal(err)
	}
	return decoded.Nodes[0].Inputs[0]
}

// TestEmptyBatch guards against batches without events that are rejected or get no reply.
func TestEmptyBatch(t *testing.T) {
	decoded, err := DecodeBatch([]byte(`{"sim_time_ns":8412250000,"groups":[]}`))
	if err != nil || decoded.Now != 8412250000 || len(decoded.Nodes) != 0 {
		t.Error(decoded, err)
	}
	if reply := string(AppendReply(nil, nil)); reply != "{\"groups\":[]}\n" {
		t.Errorf("reply without actions is %q, want an empty list of groups", reply)
	}
}

// TestErrorsNameInvalidInput guards against invalid input that is accepted, and against errors that do not name the
// key, the value or the event that is invalid.
func TestErrorsNameInvalidInput(t *testing.T) {
	for line, want := range map[string]string{
		`nonsense`:                                                   "batch",
		`{"groups":[]}`:                                              "sim_time_ns is missing",
		`{"sim_time_ns":1,"groups":[{}]}`:                            "node_id is missing",
		batchLine(`{"no_such_event":{}}`):                            "unknown event",
		batchLine(`{}`):                                              "want one key",
		batchLine(`{"submit":{"patience_left_ns":1}}`):               "node 3, event 0, submit: req is missing",
		batchLine(`{"submit":{"req":"q"}}`):                          "patience_left_ns is missing",
		batchLine(`{"due":{}}`):                                      "label is missing",
		batchLine(`{"roster_change":{"how":"Q"}}`):                   "unknown how",
		batchLine(`{"up":{"seed":1}}`):                               "profile_data is missing",
		batchLine(`{"probe_result":{"disposition":0}}`):              "backend is missing",
		batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1}}`): "disposition is missing",
		batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":99}}`):                                   "unknown disposition 99",
		batchLine(`{"roster_change":{"how":"F","items":[{"zone":"z","state":"ready"}]}}`):                               "backend is missing",
		batchLine(`{"up":{"seed":1,"profile_data":{"classes":[{"name":"x","effect":"odd","key_scope":"all"}]}}}`):       "unknown effect",
		batchLine(`{"up":{"seed":1,"profile_data":{"classes":[{"name":"x","effect":"retryable","key_scope":"odd"}]}}}`): "unknown key_scope",
		batchLine(`{"up":{"seed":1,"profile_data":{"membership_mode":"odd"}}}`):                                         "unknown membership_mode",
		batchLine(`{"up":{"seed":1,"profile_data":{"report":{"how":"odd"}}}}`):                                          "node 3, event 0, up: unknown report.how",
		batchLine(`{"up":{"seed":1,"profile_data":{"weight_kind":"odd"}}}`):                                             "unknown weight_kind",
		batchLine(`{"up":{"seed":1,"profile_data":{"worth_by":"odd"}}}`):                                                "unknown worth_by",
		batchLine(`{"roster_change":{"how":"F","items":[{"backend":1,"state":"odd"}]}}`):                                "unknown state",
	} {
		if _, err := DecodeBatch([]byte(line)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", line, err, want)
		}
	}
}

// TestErrorsAreTyped guards against errors that callers cannot tell apart with errors.As or errors.Is.
func TestErrorsAreTyped(t *testing.T) {
	for _, event := range []string{`{"submit":{}}`, `{"abandoned":{}}`, `{"attempt_end":{"backend":1}}`, `{"streaming":{"backend":1}}`} {
		var missing *MissingKeyError
		_, err := DecodeBatch([]byte(batchLine(event)))
		if !errors.As(err, &missing) || missing.Key != "req" {
			t.Errorf("%s: error %v, want a missing req", event, err)
		}
	}
	for event, want := range map[string]UnknownValueError{
		`{"probe_result":{"backend":1,"disposition":99}}`:                         {Key: "disposition", Value: "99"},
		`{"roster_change":{"how":"Q"}}`:                                           {Key: "how", Value: `"Q"`},
		`{"roster_change":{"how":"F","items":[{"backend":1,"state":"missing"}]}}`: {Key: "state", Value: `"missing"`},
	} {
		var unknown *UnknownValueError
		_, err := DecodeBatch([]byte(batchLine(event)))
		if !errors.As(err, &unknown) || *unknown != want {
			t.Errorf("%s: error %v, want %+v", event, err, want)
		}
	}
	if _, err := DecodeBatch([]byte(batchLine(`{"no_such_event":{}}`))); !errors.Is(err, ErrUnknownEvent) {
		t.Errorf("error %v, want ErrUnknownEvent", err)
	}
	var invalid *settings.Error
	_, err := DecodeBatch([]byte(batchLine(`{"up":{"seed":1,"profile_data":{"worth_by":"odd"}}}`)))
	if !errors.As(err, &invalid) || invalid.Key != "worth_by" {
		t.Errorf("error %v, want a *settings.Error for worth_by", err)
	}
}

// FuzzDecode guards against lines that make DecodeBatch panic, and against an empty line that is accepted.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(batchLine(strings.ReplaceAll(startEvent, "\n", ""))))
	f.Add([]byte(batchLine(`{"submit":{"req":"q","patience_left_ns":1}},{"due":{"label":7}},{"retire":{}}`)))
	f.Add([]byte(batchLine(`{"attempt_end":{"req":"q","leg":0,"backend":1,"disposition":0,"feedback":{"active":1e400}}}`)))
	f.Add([]byte(`{"sim_time_ns":1,"groups":[{"node_id":3,"happened":[{"subm`))
	f.Fuzz(func(t *testing.T, line []byte) {
		if b, err := DecodeBatch(line); err == nil && b.Nodes == nil && len(line) == 0 {
			t.Fatal("an empty line was accepted")
		}
	})
}
