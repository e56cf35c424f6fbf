package emulator

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"testing"
	"time"
)

const (
	testTimeout = 20 * time.Second       // maximum wait for what must happen, even on a busy machine
	quietPeriod = 100 * time.Millisecond // how long a test watches for what must not happen
)

// checkGoroutineLeaks checks at the end of the test that the number of goroutines
// is back to what it was before.
func checkGoroutineLeaks(t *testing.T) {
	before := runtime.NumGoroutine()
	t.Cleanup(func() {
		for end := time.Now().Add(testTimeout); runtime.NumGoroutine() > before; runtime.Gosched() {
			if time.Now().After(end) {
				stacks := make([]byte, 1<<20)
				t.Fatalf("goroutines leaked:\n%s", stacks[:runtime.Stack(stacks, true)])
			}
		}
	})
}

func closeAtEnd(t *testing.T, c io.Closer) {
	t.Cleanup(func() {
		if err := c.Close(); err != nil {
			t.Error(err)
		}
	})
}

func newServer(t *testing.T, cfg ServerConfig) *Server {
	t.Helper()
	s, err := NewServer(cfg)
	if err != nil {
		t.Fatal(err)
	}
	closeAtEnd(t, s)
	return s
}

// client is a test client with one connection to a server.
type client struct {
	net.Conn
	read *bufio.Reader
}

func dial(t *testing.T, addr string) *client {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(t *testing.T, method, id string, header ...string) {
	t.Helper()
	text := method + " /api/x HTTP/1.1\r\nHost: app\r\nX-Request-Id: " + id + "\r\n" + strings.Join(append(header, ""), "\r\n")
	if method == "POST" {
		text += "Content-Length: 2\r\n\r\n{}"
	} else {
		text += "\r\n"
	}
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

// readResponse reads one response to its end.
func (c *client) readResponse(limit time.Duration) (*http.Response, string, error) {
	c.SetReadDeadline(time.Now().Add(limit))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

func (c *client) wantStatus(t *testing.T, status int) (*http.Response, string) {
	t.Helper()
	resp, body, err := c.readResponse(testTimeout)
	if err != nil || resp.StatusCode != status {
		t.Fatalf("response %v, %v, want %d", resp, err, status)
	}
	return resp, body
}

func (c *client) wantNoResponse(t *testing.T) {
	t.Helper()
	if resp, _, err := c.readResponse(quietPeriod); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("response %v, %v, want none", resp, err)
	}
}

func (c *client) wantError(t *testing.T, want error) {
	t.Helper()
	if resp, _, err := c.readResponse(testTimeout); !errors.Is(err, want) {
		t.Fatalf("response %v, %v, want %v", resp, err, want)
	}
}

// waitUntil waits until another goroutine has made ok return true. what describes
// that state.
func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !ok(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", testTimeout, what)
		}
	}
}
