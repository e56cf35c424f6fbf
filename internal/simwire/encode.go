package simwire

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strconv"

	"bankshift/balancer"
)

// Reply holds the actions of one node.
type Reply struct {
	Node    int
	Actions []balancer.Action
}

// AppendReply appends the line that replies to a batch, including the newline.
// Nodes without actions are left out.
func AppendReply(b []byte, replies []Reply) []byte {
	b = append(b, `{"groups":[`...)
	first := true
	for _, reply := range replies {
		if len(reply.Actions) == 0 {
			continue
		}
		if !first {
			b = append(b, ',')
		}
		first = false
		b = appendNode(b, reply)
	}
	return append(b, "]}\n"...)
}

func appendNode(b []byte, reply Reply) []byte {
	b = appendInt(b, `{"node_id":`, int64(reply.Node))
	b = append(b, `,"actions":[`...)
	for i, action := range reply.Actions {
		if i > 0 {
			b = append(b, ',')
		}
		b = appendAction(b, action)
	}
	return append(b, "]}"...)
}

// appendAction appends an action as an object whose only key is the action's name
// on the wire.
func appendAction(b []byte, action balancer.Action) []byte {
	switch a := action.(type) {
	case balancer.Send:
		b = appendSend(b, a)
	case balancer.Reject:
		b = appendReject(b, a)
	case balancer.Fail:
		b = appendText(b, `{"fail":{"req":`, string(a.ID))
	case balancer.CancelAttempt:
		b = appendText(b, `{"stop_attempt":{"req":`, string(a.ID))
		b = appendInt(b, `,"leg":`, int64(a.Attempt))
	case balancer.SetTimer:
		b = appendInt(b, `{"arm":{"from_now_ns":`, int64(a.After))
		b = appendInt(b, `,"label":`, a.Token)
	case balancer.HealthCheck:
		b = appendInt(b, `{"probe":{"backend":`, int64(a.Endpoint))
	case balancer.SendMessage:
		b = appendMessage(b, a)
	case balancer.Subscribe:
		b = append(b, `{"subscribe":{"want":`...)
		b = strconv.AppendBool(b, a.On)
	case balancer.FetchEndpoints:
		b = append(b, `{"reload":{`...)
	case balancer.CloseIdleConnections:
		b = appendInt(b, `{"disconnect":{"backend":`, int64(a.Endpoint))
	case balancer.EndpointEjected:
		b = appendTrace(b, fmt.Sprintf("endpoint %d ejected: %s", a.Endpoint, a.Reason))
	case balancer.EndpointRecovered:
		b = appendTrace(b, fmt.Sprintf("endpoint %d recovered, slow start: %t", a.Endpoint, a.SlowStart))
	}
	return append(b, "}}"...)
}

func appendSend(b []byte, a balancer.Send) []byte {
	b = appendText(b, `{"assign":{"req":`, string(a.ID))
	b = appendInt(b, `,"backend":`, int64(a.Endpoint))
	if a.Timeout != 0 {
		b = appendInt(b, `,"try_for_ns":`, int64(a.Timeout))
	}
	return b
}

func appendReject(b []byte, a balancer.Reject) []byte {
	b = appendText(b, `{"deny":{"req":`, string(a.ID))
	if a.RetryAfter > 0 {
		b = appendInt(b, `,"hold_off_ns":`, int64(a.RetryAfter))
	}
	return b
}

func appendMessage(b []byte, a balancer.SendMessage) []byte {
	if a.ToAll {
		b = append(b, `{"tell":{"dest":"*"`...)
	} else {
		b = appendInt(b, `{"tell":{"dest":`, int64(a.To))
	}
	return appendText(b, `,"bytes":`, base64.StdEncoding.EncodeToString(a.Data))
}

func appendTrace(b []byte, message string) []byte {
	return appendText(b, `{"trace":{"message":`, message)
}

// appendInt appends prefix, a piece of JSON, and then value.
func appendInt(b []byte, prefix string, value int64) []byte {
	b = append(b, prefix...)
	return strconv.AppendInt(b, value, 10)
}

// appendText appends prefix, a piece of JSON, and then text as a JSON string.
func appendText(b []byte, prefix, text string) []byte {
	b = append(b, prefix...)
	quoted, _ := json.Marshal(text) // marshalling a string never fails
	return append(b, quoted...)
}
