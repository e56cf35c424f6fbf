package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"bankshift/balancer"
)

// TestResponseOutcomes guards against a wrong outcome for a response, whether it is
// complete, malformed, too long or cut short by the end of the connection.
func TestResponseOutcomes(t *testing.T) {
	tooLong := strings.Repeat("x", maxBodySize+maxHeadSize+1)
	for _, c := range []struct {
		name, response string // the endpoint closes the connection after the response
		want           balancer.Outcome
	}{
		{"served", okResponse, balancer.OK},
		{"served after 1xx", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse, balancer.OK},
		{"served in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n", balancer.OK},
		{"error", "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"503 with proof", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"504 with proof", "HTTP/1.1 504 Late\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.Rejected},
		{"503 with no proof", "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"500 with a header that proves nothing", "HTTP/1.1 500 Oops\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", balancer.ServerError},
		{"bad request", "HTTP/1.1 400 Bad\r\nContent-Length: 0\r\n\r\n", balancer.BadRequest},
		{"huge length", "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhi", balancer.ServerError},
		{"two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nhi", balancer.ServerError},
		{"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nhi", balancer.ServerError},
		{"malformed chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nhi", balancer.ServerError},
		{"no response", "", balancer.Reset},
		{"half a head", "HTTP/1.1 200 OK\r\nContent-", balancer.Reset},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhi", balancer.Reset},
		{"no HTTP", "hello there\r\n\r\n", balancer.ServerError},
		{"body too long", fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(tooLong), tooLong), balancer.ServerError},
		{"head too long", "HTTP/1.1 200 OK\r\nX-Long: " + tooLong + tooLong, balancer.ServerError},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newTestPool(startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					io.WriteString(conn, c.response)
				}
			}))
			got := attempt(t, p, testTimeout)
			if got.Outcome != c.want {
				t.Errorf("outcome %d, want %d", got.Outcome, c.want)
			}
			if got.Outcome == balancer.OK && string(got.Body) != "hi" {
				t.Errorf("body %q", got.Body)
			}
		})
	}
}

// scriptedConn is a connection whose reads return the given pieces one after another,
// then the error end.
type scriptedConn struct {
	*net.TCPConn
	pieces []string
	end    error
}

func (c *scriptedConn) Read(b []byte) (int, error) {
	for len(c.pieces) > 0 {
		if n := copy(b, c.pieces[0]); n > 0 {
			c.pieces[0] = c.pieces[0][n:]
			return n, nil
		}
		c.pieces = c.pieces[1:]
	}
	return 0, c.end
}

// Close leaves the TCP connection open, for the next scriptedConn.
func (c *scriptedConn) Close() error { return nil }

// TestResponseInPieces guards against results that depend on how a response is split
// into reads, and against accepting an incomplete response. A response without a
// length ends with the connection, but not with a reset of it.
func TestResponseInPieces(t *testing.T) {
	p := newTestPool(startEndpoint(t, func(_ int, _ net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }))
	backend := p.backends[endpoint]
	raw, err := net.Dial("tcp", backend.address)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	attemptReading := func(end error, pieces ...string) Result {
		c := newConn(&scriptedConn{raw.(*net.TCPConn), pieces, end}, p, backend)
		c.idleSince = time.Now()
		backend.idle = []*conn{c}
		p.connections = 1
		return attempt(t, p, testTimeout)
	}
	for name, response := range map[string]string{
		"length":            okResponse,
		"chunks":            "HTTP/1.1 200 OK\r\ntransfer-encoding:  chunked\r\n\r\n1;x=y\r\nh\r\n1\r\ni\r\n0\r\nX-Sum: 1\r\n\r\n",
		"interim responses": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okResponse,
		"line feeds":        "HTTP/1.1 200 OK\nX-Long: a\n b\nCONTENT-LENGTH:2\n\nhi",
		"no length":         "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhi",
		"HTTP/1.0":          "HTTP/1.0 200 OK\r\n\r\nhi",
	} {
		shortest := len(response) // shortest prefix that is a complete response if the connection ends after it
		if name == "no length" || name == "HTTP/1.0" {
			shortest = strings.Index(response, "\r\n\r\n") + 4
		}
		if got := attemptReading(io.EOF, strings.Split(response, "")...); got.Outcome != balancer.OK || string(got.Body) != "hi" {
			t.Errorf("%s: byte by byte: outcome %d, body %q", name, got.Outcome, got.Body)
		}
		for cut := range len(response) + 1 {
			if got := attemptReading(io.EOF, response[:cut], response[cut:]); got.Outcome != balancer.OK || string(got.Body) != "hi" {
				t.Errorf("%s: cut at %d: outcome %d, body %q", name, cut, got.Outcome, got.Body)
			}
			if got := attemptReading(io.EOF, response[:cut]); (got.Outcome == balancer.OK) != (cut >= shortest) {
				t.Errorf("%s: ends at %d: outcome %d", name, cut, got.Outcome)
			}
			whole := cut == len(response) && shortest == len(response)
			got := attemptReading(syscall.ECONNRESET, response[:cut])
			if (got.Outcome == balancer.OK) != whole || !whole && got.Outcome != balancer.Reset {
				t.Errorf("%s: reset at %d: outcome %d", name, cut, got.Outcome)
			}
		}
	}
}

// TestEndlessResponses guards against an attempt that never ends because the endpoint
// goes on sending, fast or slowly. The attempt must end without a response, and the
// connection must be closed.
func TestEndlessResponses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	longHeader := "X-Long: " + strings.Repeat("x", 4<<10) + "\r\n"
	for _, c := range []struct {
		name, first, more string
		pause             time.Duration
		want              balancer.Outcome
	}{
		{"head", head, longHeader, 0, balancer.ServerError},
		{"interim responses", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, balancer.ServerError},
		{"body with no length", head + "\r\n", longHeader, 0, balancer.ServerError},
		{"body with no length after a long head", head + strings.Repeat(longHeader, 5) + "\r\n", longHeader, 0, balancer.ServerError},
		{"body with no length after long interim responses", strings.Repeat("HTTP/1.1 103 Hi\r\n"+longHeader+"\r\n", 5) + head + "\r\n", longHeader, 0, balancer.ServerError},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", 0, balancer.ServerError},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", longHeader, 0, balancer.ServerError},
		{"slow head", head, "X: y\r\n", time.Millisecond, balancer.TimedOut},
		{"slow body", head + "\r\n", "x", time.Millisecond, balancer.TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan int, 1)
			p := newTestPool(startEndpoint(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				sent, err := io.WriteString(conn, c.first)
				for n := 0; err == nil; sent += n {
					n, err = io.WriteString(conn, c.more)
					time.Sleep(c.pause)
				}
				ended <- sent
			}))
			timeout := testTimeout
			if c.pause > 0 {
				timeout = 50 * time.Millisecond
			}
			if got := attempt(t, p, timeout); got.Outcome != c.want {
				t.Errorf("outcome %d with %d bytes, want %d", got.Outcome, len(got.Body), c.want)
			}
			receive(t, ended, "the end of the connection")
		})
	}
}
