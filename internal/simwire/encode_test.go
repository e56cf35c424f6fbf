package simwire

import (
	"encoding/json"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestEncodeEachAction guards against actions with a wrong name, key or value on the wire.
func TestEncodeEachAction(t *testing.T) {
	for _, c := range []struct {
		action balancer.Action
		want   string
	}{
		{balancer.Send{ID: "q", Endpoint: 4294967295}, `{"assign":{"req":"q","backend":4294967295}}`},
		{balancer.Send{ID: "q", Endpoint: 1, Timeout: 5}, `{"assign":{"req":"q","backend":1,"try_for_ns":5}}`},
		{balancer.Reject{ID: "q"}, `{"deny":{"req":"q"}}`},
		{balancer.Reject{ID: "q", RetryAfter: 5}, `{"deny":{"req":"q","hold_off_ns":5}}`},
		{balancer.Fail{ID: `a "b"`}, `{"fail":{"req":"a \"b\""}}`},
		{balancer.CancelAttempt{ID: "q", Attempt: 1}, `{"stop_attempt":{"req":"q","leg":1}}`},
		{balancer.SetTimer{After: 5, Token: -77}, `{"arm":{"from_now_ns":5,"label":-77}}`},
		{balancer.HealthCheck{Endpoint: 1}, `{"probe":{"backend":1}}`},
		{balancer.SendMessage{ToAll: true, Data: []byte("hi")}, `{"tell":{"dest":"*","bytes":"aGk="}}`},
		{balancer.SendMessage{To: 2}, `{"tell":{"dest":2,"bytes":""}}`},
		{balancer.Subscribe{On: true}, `{"subscribe":{"want":true}}`},
		{balancer.FetchEndpoints{}, `{"reload":{}}`},
		{balancer.CloseIdleConnections{Endpoint: 1}, `{"disconnect":{"backend":1}}`},
		{balancer.EndpointEjected{Endpoint: 7, Reason: "late"}, `{"trace":{"message":"endpoint 7 ejected: late"}}`},
		{balancer.EndpointRecovered{Endpoint: 7, SlowStart: true}, `{"trace":{"message":"endpoint 7 recovered, slow start: true"}}`},
	} {
		if got := string(appendAction(nil, c.action)); got != c.want {
			t.Errorf("%+v: %s, want %s", c.action, got, c.want)
		}
	}
}

// TestReplyIsJSON guards against malformed JSON in a reply with several actions, which is assembled from strings, and
// against an entry for a node without actions.
func TestReplyIsJSON(t *testing.T) {
	line := AppendReply(nil, []Reply{
		{Node: 3, Actions: []balancer.Action{
			balancer.Send{ID: "q", Endpoint: 4294967295, Timeout: 80 * time.Millisecond},
			balancer.Reject{ID: "q", RetryAfter: 5},
			balancer.Fail{ID: "q"},
			balancer.CancelAttempt{ID: "q", Attempt: 1},
			balancer.SetTimer{After: 5, Token: 77},
			balancer.HealthCheck{Endpoint: 1},
			balancer.SendMessage{ToAll: true, Data: []byte("hi")},
			balancer.SendMessage{To: 2},
			balancer.Subscribe{On: true},
			balancer.FetchEndpoints{},
			balancer.CloseIdleConnections{Endpoint: 1},
			balancer.EndpointEjected{Endpoint: 7, Reason: "a \"b\""},
		}},
		{Node: 4},
	})
	var reply struct {
		Groups []struct {
			Node    int                         `json:"node_id"`
			Actions []map[string]map[string]any `json:"actions"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(line, &reply); err != nil {
		t.Fatal(err, string(line))
	}
	if len(reply.Groups) != 1 || len(reply.Groups[0].Actions) != 12 {
		t.Fatal(string(line))
	}
	actions := reply.Groups[0].Actions
	if actions[0]["assign"]["try_for_ns"] != 8e7 || actions[6]["tell"]["dest"] != "*" ||
		actions[11]["trace"]["message"] != `endpoint 7 ejected: a "b"` {
		t.Error(string(line))
	}
}
