package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// request returns a request to the node. A header whose value is empty is left out.
func (n *testNode) request(t *testing.T, method, class, id, deadline string, body io.Reader) *http.Request {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+n.address+"/api/key?a=1", body)
	if err != nil {
		t.Fatal(err)
	}
	for name, value := range map[string]string{"X-Request-Id": id, "X-Class": class, "X-Deadline": deadline} {
		if value != "" {
			req.Header.Set(name, value)
		}
	}
	return req
}

// testClient is a client that writes its requests as text on one connection.
type testClient struct {
	*net.TCPConn
	read *bufio.Reader // of the responses
}

// dial connects a client to the node. The connection is closed when the test ends.
func (n *testNode) dial(t *testing.T) testClient {
	t.Helper()
	c, err := net.Dial("tcp", n.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testTimeout))
	return testClient{c.(*net.TCPConn), bufio.NewReader(c)}
}

// connectAt connects a client and returns the time at which it was connected. If
// served is set, the client has received a response before connectAt returns.
func (n *testNode) connectAt(t *testing.T, served bool) (testClient, time.Time) {
	t.Helper()
	c := n.dial(t)
	connectedAt := time.Now()
	if served {
		io.WriteString(c, "GET /health/live HTTP/1.1\r\nHost: app.svc\r\n\r\n")
		if s := c.status(t); s != http.StatusOK {
			t.Fatalf("status %d", s)
		}
	}
	return c, connectedAt
}

// sendGet sends a GET request, which is idempotent if its class is.
func (c testClient) sendGet(t *testing.T, class, id, deadline string) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "GET /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %s\r\n\r\n",
		id, class, deadline); err != nil {
		t.Fatal(err)
	}
}

// sendPost sends a request that is not idempotent: the node does not abandon its
// attempt for another one, however slow the machine is.
func (c testClient) sendPost(t *testing.T, id, deadline string) {
	t.Helper()
	if _, err := io.WriteString(c, postText(id, deadline)); err != nil {
		t.Fatal(err)
	}
}

// status reads a response to its end and returns its status.
func (c testClient) status(t *testing.T) int {
	t.Helper()
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		t.Fatalf("no response: %v", err)
	}
	io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// postText returns a request of a class that is not idempotent.
func postText(id, deadline string) string { return requestText("pagar", id, deadline) }

// requestText returns a request of a class of testConfig, with the method and headers
// of that class.
func requestText(class, id, deadline string) string {
	method, extra := "POST", "Content-Length: 0\r\n"
	switch class {
	case "saldo":
		method, extra = "GET", ""
	case "pedido":
		extra += "Idempotency-Key: k\r\n"
	}
	return fmt.Sprintf("%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %s\r\n%s\r\n", method, id, class, deadline, extra)
}

// pipelinedGets returns the text of count requests, as sent by a client that does not
// wait for responses.
func pipelinedGets(count int) string {
	var b strings.Builder
	for i := range count {
		b.WriteString(requestText("saldo", fmt.Sprint("p", i), "60"))
	}
	return b.String()
}

// pipelinedPosts returns the text of count requests that are not idempotent, as sent by
// a client that does not wait for responses.
func pipelinedPosts(idPrefix string, count int) string {
	var b strings.Builder
	for i := range count {
		b.WriteString(postText(fmt.Sprint(idPrefix, i), "20"))
	}
	return b.String()
}

// clientResponse is a response as received by a client.
type clientResponse struct {
	status int
	header http.Header
	body   string
}

// sendRequest sends a request on a new connection and waits for the response.
func sendRequest(t *testing.T, req *http.Request) clientResponse {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 2 * testTimeout}
	resp, err := client.Do(req)
	if err != nil {
		t.Error(err)
		return clientResponse{}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	return clientResponse{resp.StatusCode, resp.Header, string(body)}
}
