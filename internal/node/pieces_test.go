package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"bankshift/balancer"
)

// cutting is a listener whose connections are read in two pieces, the first
// as long as its number, or byte by byte.
type cutting struct {
	net.Listener
	number atomic.Int64
	single bool
}

type cutConn struct {
	*net.TCPConn
	first  int
	single bool
}

func (l *cutting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &cutConn{c.(*net.TCPConn), int(l.number.Add(1)), l.single}, nil
}

func (c *cutConn) Read(b []byte) (int, error) {
	switch {
	case c.single:
		b = b[:min(len(b), 1)]
	case c.first > 0:
		b = b[:min(len(b), c.first)]
	}
	n, err := c.TCPConn.Read(b)
	c.first -= n
	return n, err
}

// TestRequestsInPieces: two requests, the second right behind the first, are
// served one after the other, each once and with its own answer, wherever
// their bytes are cut and in each form that a head may have.
func TestRequestsInPieces(t *testing.T) {
	var mu sync.Mutex
	ran := map[string]int{}
	// With no leave to cancel, no attempt is given up in a hiccup of this machine.
	n := startNodeResting(t, 0, func(s *balancer.Settings) { s.CancelAllowed = false }, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			body, _ := io.ReadAll(req.Body)
			id := req.Header.Get("X-Request-Id")
			mu.Lock()
			ran[id]++
			mu.Unlock()
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s %s", len(id)+len(body)+1, id, body)
		}
	}))
	plain := "POST /api/x?a=1 HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: pedido\r\nX-Deadline: 60\r\nIdempotency-Key: k\r\nContent-Length: 4\r\n\r\nrent" +
		"GET /api/y HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: saldo\r\nX-Deadline: 60.000\r\n\r\n"
	odd := "POST http://app.svc/api/x?a=1 HTTP/1.1\nhost:app.svc\nx-request-id:\t%s \nx-class:pedido\nx-deadline: 6e1\nIDEMPOTENCY-KEY:k\nX-Long: a\n b\ncontent-length:4\n\nrent" +
		"\r\nGET /api/y HTTP/1.1\r\nhOST: app.svc\r\nConnection: keep-alive\r\nX-REQUEST-ID:   %s\r\nX-Class: saldo\r\nX-Deadline: 60\r\nContent-Length: 0\r\n\r\n"
	for name, text := range map[string]string{"plain": plain, "odd": odd, "byte by byte": plain + odd} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		ids := func(k int) (ids []any) {
			for i := range strings.Count(text, "%s") {
				ids = append(ids, fmt.Sprintf("%s-%04d-%d", name[:1], k, i))
			}
			return ids
		}
		size := len(fmt.Sprintf(text, ids(0)...))
		l := &cutting{Listener: ln, single: name == "byte by byte"}
		if l.single {
			size = 2
		}
		conns := newConnectionLimiter(l, 100, quiet)
		srv := &http.Server{Handler: n.front, ConnState: conns.trackState, ConnContext: conns.connContext}
		go srv.Serve(conns)
		defer srv.Close()
		for k := 1; k < size; k++ {
			c := (&running{address: ln.Addr().String()}).dial(t)
			want := ids(k)
			fmt.Fprintf(c, text, want...)
			for i, id := range want {
				resp, err := http.ReadResponse(c.read, nil)
				if err != nil {
					t.Fatalf("%s, cut at %d: answer %d: %v", name, k, i, err)
				}
				body, _ := io.ReadAll(resp.Body)
				if resp.StatusCode != 200 || string(body) != fmt.Sprint(id, " ", []string{"rent", ""}[i%2]) {
					t.Errorf("%s, cut at %d: answer %d is %d %q", name, k, i, resp.StatusCode, body)
				}
				mu.Lock()
				if ran[id.(string)] != 1 {
					t.Errorf("%s, cut at %d: request %d ran %d times", name, k, i, ran[id.(string)])
				}
				mu.Unlock()
			}
			c.Close()
		}
	}
}

// TestBodiesOfTheLargestSize: a body holds 64 KiB, in a request and in an answer of any form, however it is cut.
func TestBodiesOfTheLargestSize(t *testing.T) {
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
			came := make(chan int, 1)
			n := startNode(t, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
				req, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				got, _ := io.Copy(io.Discard, req.Body)
				came <- int(got)
				io.WriteString(c, text)
			}))
			a := do(t, n.request(t, "POST", "pagar", "q", "20", strings.NewReader(body)))
			if a.status != http.StatusOK || a.body != body {
				t.Errorf("answer %d with %d bytes, want 200 and %d", a.status, len(a.body), len(body))
			}
			if got := wait(t, came, "the request"); got != len(body) {
				t.Errorf("%d bytes came to the server, want %d", got, len(body))
			}
		})
	}
}
