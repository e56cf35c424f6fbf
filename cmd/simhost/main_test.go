package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// startEvents start a node and give it an endpoint list with one endpoint, 7.
const startEvents = `{"up":{"seed":1,"profile_data":{"balancers":1,"caps":{"max_attempts":2},"classes":[{"name":"x","effect":"retryable",` +
	`"aim_ns":1000000000,"give_up_ns":2000000000,"importance":1}],"invariants":{"answer_slack_ns":1},"tick_ns":5000000}}},` +
	`{"roster_change":{"how":"C","version":1,"items":[{"backend":7,"zone":"z","state":"ready","nominal":1}]}}`

// batchLine returns a batch with these events for node 3.
func batchLine(now int, events string) string {
	return fmt.Sprintf(`{"sim_time_ns":%d,"groups":[{"node_id":3,"happened":[%s]}]}`, now, events) + "\n"
}

// TestRunRepliesToEachBatch guards against batches without a reply, and against a node that loses its state between
// batches: the request in the third batch must go to the endpoint that the second one listed.
func TestRunRepliesToEachBatch(t *testing.T) {
	in := `{"sim_time_ns":1,"groups":[]}` + "\n" + batchLine(1, startEvents) +
		batchLine(2, `{"submit":{"req":"q","band":"x","patience_left_ns":1000000000}}`) +
		batchLine(9, `{"attempt_end":{"req":"q","leg":0,"backend":7,"over":true,"delay_seen_ns":7,"disposition":0}}`) +
		batchLine(10, `{"retire":{}},`+startEvents)
	var out bytes.Buffer
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	replies := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(replies) != 5 || replies[0] != `{"groups":[]}` || !strings.Contains(replies[2], `"assign":{"req":"q","backend":7`) {
		t.Errorf("replies %q, want 5: an empty one first, and an assign of q to backend 7 in the third", replies)
	}
}

// TestInvalidBatchGetsErrorAndNoReply guards against a batch that cannot be handled but gets a reply, and against an
// error that does not name its line. The second case sends an event to a node that has not started.
func TestInvalidBatchGetsErrorAndNoReply(t *testing.T) {
	for _, bad := range []string{"no json\n", batchLine(1, `{"submit":{"req":"q","patience_left_ns":1}}`), batchLine(1, `{"odd":{}}`)} {
		var out bytes.Buffer
		err := run(strings.NewReader(`{"sim_time_ns":1,"groups":[]}`+"\n"+bad), &out)
		if err == nil || !strings.HasPrefix(err.Error(), "line 2: ") || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: error %v, want one line that starts with line 2", bad, err)
		}
		if out.String() != "{\"groups\":[]}\n" {
			t.Errorf("%q: replied %q, want only the reply to line 1", bad, out.String())
		}
	}
}

// TestLargeAndTruncatedBatches guards against lines that exceed the read buffer and are rejected or split, and against
// a batch that the end of the input cuts off and that is still accepted.
func TestLargeAndTruncatedBatches(t *testing.T) {
	var many []string
	for i := range 20000 {
		many = append(many, fmt.Sprintf(`{"submit":{"req":"q%d","band":"x","patience_left_ns":1000000000}}`, i))
	}
	big := batchLine(1, startEvents) + batchLine(2, strings.Join(many, ","))
	var out bytes.Buffer
	if err := run(strings.NewReader(big), &out); err != nil || bytes.Count(out.Bytes(), []byte("\n")) != 2 {
		t.Error(err)
	}
	if err := run(strings.NewReader(big[:len(big)/2]), &out); err == nil {
		t.Error("a truncated batch was accepted")
	}
}
