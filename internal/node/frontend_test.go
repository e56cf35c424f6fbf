package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// TestTimeLimitsEndWithTheirRequest guards against time limits that apply for
// too long. The limit on reading a request must not end the wait for its
// response, as if the client had disconnected. The limit on writing a response
// must not affect later requests on the connection.
func TestTimeLimitsEndWithTheirRequest(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			<-release
			io.WriteString(c, okResponse)
		}
	}))
	idempotent, notIdempotent := n.dial(t), n.dial(t)
	idempotent.sendGet(t, "saldo", "q", "60")
	fmt.Fprint(notIdempotent, "POST /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: u\r\nX-Class: pagar\r\nX-Deadline: 60\r\nContent-Length: 1\r\n\r\nx")
	time.Sleep(requestReadTimeout + 200*time.Millisecond)
	close(release)
	for name, c := range map[string]testClient{"idempotent": idempotent, "notIdempotent": notIdempotent} {
		if s := c.status(t); s != 200 {
			t.Errorf("the %s request is answered %d after a long wait, want 200", name, s)
		}
	}
	for end := time.Now().Add(responseWriteTimeout + 200*time.Millisecond); time.Now().Before(end); time.Sleep(idleTimeout / 4) {
		io.WriteString(idempotent, "GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n")
		if s := idempotent.status(t); s != 200 {
			t.Errorf("a health check is answered %d, want 200", s)
		}
	}
	idempotent.sendGet(t, "saldo", "r", "60")
	if s := idempotent.status(t); s != 200 {
		t.Errorf("a later request is answered %d, want 200", s)
	}
}

// TestReadyOnlyWithEndpoints guards against a node that reports itself ready
// without endpoints. Such a node is alive but not ready.
func TestReadyOnlyWithEndpoints(t *testing.T) {
	n := startNode(t)
	for path, want := range map[string]int{"/health/ready": 503, "/health/live": 200} {
		resp, err := http.Get("http://" + n.address + path)
		if err != nil {
			t.Fatal(err)
		}
		resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("%s: %d, want %d", path, resp.StatusCode, want)
		}
	}
}

// TestForwardsRequestAndResponse guards against losing end-to-end headers of a
// request or a response, and against forwarding headers that concern one
// connection or the node only.
func TestForwardsRequestAndResponse(t *testing.T) {
	seen := make(chan *http.Request, 1)
	n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(req.Body)
		seen <- req
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-App: yes\r\nX-Load: nonsense\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}))
	req := n.request(t, "POST", "pedido", "id-1", "20", strings.NewReader("rent"))
	req.Header.Set("Idempotency-Key", "k-1")
	req.Header.Set("Connection", "X-Secret, Idempotency-Key")
	req.Header.Set("X-Secret", "s")
	got := sendRequest(t, req)
	if got.status != 200 || got.body != "rent" || got.header.Get("X-App") != "yes" || got.header.Get("X-Load") != "" {
		t.Errorf("response %+v", got)
	}
	received := <-seen
	deadline, err := strconv.ParseFloat(received.Header.Get("X-Deadline"), 64)
	if err != nil || deadline <= 0 || deadline >= 20 {
		t.Errorf("X-Deadline %q, want a little under 20", received.Header.Get("X-Deadline"))
	}
	if received.Method != "POST" || received.RequestURI != "/api/key?a=1" || received.Header.Get("X-Request-Id") != "id-1" ||
		received.Header.Get("Idempotency-Key") != "k-1" || received.Header.Get("X-Secret") != "" {
		t.Errorf("the backend received %s %s %v", received.Method, received.RequestURI, received.Header)
	}
}
