package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestLargestBodies guards against a body of 64 KiB, the maximum, that is rejected
// or truncated, in a request or in a response with any framing and chunk size.
func TestLargestBodies(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", maxBodyBytes/16)
	chunked := func(size int) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := body; rest != ""; rest = rest[size:] {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", size, rest[:size])
		}
		b.WriteString("0\r\n\r\n")
		return b.String()
	}
	long := "X-Long: " + strings.Repeat("x", maxHeadBytes-100) + "\r\n"
	for name, text := range map[string]string{
		"length":             fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
		"behind a long head": fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", long, len(body), body),
		"no length":          "HTTP/1.1 200 OK\r\n\r\n" + body,
		"long chunks":        chunked(4 << 10),
		"short chunks":       chunked(16),
		"shortest chunks":    chunked(1),
	} {
		t.Run(name, func(t *testing.T) {
			received := make(chan int, 1)
			n := startNode(t, startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				got, _ := io.Copy(io.Discard, req.Body)
				received <- int(got)
				io.WriteString(c, text)
			}))
			a := sendRequest(t, n.request(t, "POST", "pagar", "q", "20", strings.NewReader(body)))
			if a.status != http.StatusOK || a.body != body {
				t.Errorf("status %d with %d bytes, want 200 and %d", a.status, len(a.body), len(body))
			}
			if got := receive(t, received, "the request"); got != len(body) {
				t.Errorf("the backend received %d bytes, want %d", got, len(body))
			}
		})
	}
}
