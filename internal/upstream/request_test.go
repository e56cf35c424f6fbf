package upstream

import (
	"bytes"
	"net/http"
	"net/url"
	"testing"
	"time"
)

// TestEncodeRequest guards against changes to a request on its way to an endpoint. Only its
// X-Deadline header is replaced, by the time left, rounded down to milliseconds.
func TestEncodeRequest(t *testing.T) {
	r, err := NewRequest(
		http.MethodPost,
		&url.URL{Path: "/api/a/b", RawPath: "/api/a%2Fb", RawQuery: "x=1&y=%20"},
		"app.svc",
		http.Header{"X-Request-Id": {"q"}, "Idempotency-Key": {"k"}, "X-Deadline": {"9"}},
		[]byte("body"),
	)
	if err != nil {
		t.Fatal(err)
	}
	for timeLeft, deadline := range map[time.Duration]string{
		1500 * time.Millisecond: "1.500",
		time.Second - 1:         "0.999",
		minDeadline:             "0.001",
	} {
		want := "POST /api/a%2Fb?x=1&y=%20 HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 4\r\n" +
			"Idempotency-Key: k\r\nX-Request-Id: q\r\nX-Deadline: " + deadline + "\r\n\r\nbody"
		if got := bytes.Join(r.withDeadline(timeLeft), nil); string(got) != want {
			t.Errorf("with %v left: %q, want %q", timeLeft, got, want)
		}
	}
}
