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
	"syscall"
	"testing"
	"time"

	"bankshift/balancer"
)

// scripted is a connection to a server whose reads are written down: piece
// after piece, then the end.
type scripted struct {
	*net.TCPConn
	pieces []string
	end    error
}

func (c *scripted) Read(b []byte) (int, error) {
	for len(c.pieces) > 0 {
		if n := copy(b, c.pieces[0]); n > 0 {
			c.pieces[0] = c.pieces[0][n:]
			return n, nil
		}
		c.pieces = c.pieces[1:]
	}
	return 0, c.end
}

func (c *scripted) Close() error { return nil } // it plays the next connection

// TestAnswersInPieces: an answer is the same wherever it is cut in two; one
// that has not come whole is served to nobody; and where the connection's end
// is the answer's, a reset is no end.
func TestAnswersInPieces(t *testing.T) {
	p := testPool(backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) { io.Copy(io.Discard, r) }))
	raw, err := net.Dial("tcp", p.backends[1].address)
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	play := func(end error, pieces ...string) result {
		c := &conn{Conn: &scripted{raw.(*net.TCPConn), pieces, end}, of: p.backends[1], pool: p, idleAt: time.Now()}
		c.budget.R = c
		c.read = bufio.NewReader(&c.budget)
		p.backends[1].idle, p.open = []*conn{c}, 1
		return try(t, p, enough)
	}
	for name, answer := range map[string]string{
		"length":     okAnswer,
		"chunks":     "HTTP/1.1 200 OK\r\ntransfer-encoding:  chunked\r\n\r\n1;x=y\r\nh\r\n1\r\ni\r\n0\r\nX-Sum: 1\r\n\r\n",
		"infos":      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + okAnswer,
		"line feeds": "HTTP/1.1 200 OK\nX-Long: a\n b\nCONTENT-LENGTH:2\n\nhi",
		"no length":  "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhi",
		"1.0":        "HTTP/1.0 200 OK\r\n\r\nhi",
	} {
		head := len(answer)
		if name == "no length" || name == "1.0" {
			head = strings.Index(answer, "\r\n\r\n") + 4
		}
		if got := play(io.EOF, strings.Split(answer, "")...); got.code != balancer.OK || string(got.body) != "hi" {
			t.Errorf("%s: byte by byte: outcome %d, body %q", name, got.code, got.body)
		}
		for cut := range len(answer) + 1 {
			if got := play(io.EOF, answer[:cut], answer[cut:]); got.code != balancer.OK || string(got.body) != "hi" {
				t.Errorf("%s: cut at %d: outcome %d, body %q", name, cut, got.code, got.body)
			}
			if got := play(io.EOF, answer[:cut]); (got.code == balancer.OK) != (cut >= head) {
				t.Errorf("%s: ends at %d: outcome %d", name, cut, got.code)
			}
			whole := cut == len(answer) && head == len(answer)
			if got := play(syscall.ECONNRESET, answer[:cut]); (got.code == balancer.OK) != whole || !whole && got.code != balancer.Reset {
				t.Errorf("%s: reset at %d: outcome %d", name, cut, got.code)
			}
		}
	}
}

// TestEndlessAnswers: whatever a server goes on sending, fast or slowly, its
// attempt ends and serves nobody, and it is not read for ever.
func TestEndlessAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	long := "X-Long: " + strings.Repeat("x", 4<<10) + "\r\n"
	for _, c := range []struct {
		name, first, more string
		pause             time.Duration
		want              balancer.Outcome
	}{
		{"head", head, long, 0, balancer.ServerError},
		{"infos", "", "HTTP/1.1 103 Early Hints\r\n\r\n", 0, balancer.ServerError},
		{"body with no length", head + "\r\n", long, 0, balancer.ServerError},
		{"body with no length behind a long head", head + strings.Repeat(long, 5) + "\r\n", long, 0, balancer.ServerError},
		{"body with no length behind long infos", strings.Repeat("HTTP/1.1 103 Hi\r\n"+long+"\r\n", 5) + head + "\r\n", long, 0, balancer.ServerError},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n", 0, balancer.ServerError},
		{"trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n", long, 0, balancer.ServerError},
		{"slow head", head, "X: y\r\n", time.Millisecond, balancer.TimedOut},
		{"slow body", head + "\r\n", "x", time.Millisecond, balancer.TimedOut},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan int, 1)
			p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				readRequest(r)
				sent, err := io.WriteString(conn, c.first)
				for n := 0; err == nil; sent += n {
					n, err = io.WriteString(conn, c.more)
					time.Sleep(c.pause)
				}
				ended <- sent
			}))
			patience := enough
			if c.pause > 0 {
				patience = 50 * time.Millisecond
			}
			if got := try(t, p, patience); got.code != c.want {
				t.Errorf("outcome %d with %d bytes, want %d", got.code, len(got.body), c.want)
			}
			wait(t, ended, "the end of the connection")
		})
	}
}

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
	n := startNodeWith(t, func(s *balancer.Settings) { s.CancelAllowed = false }, backendServer(t, func(_ int, c net.Conn, r *bufio.Reader) {
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
	n.backends.mu.Lock()
	n.backends.rest = 0
	n.backends.mu.Unlock()
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
	body := strings.Repeat("0123456789abcdef", maxBody/16)
	chunked := func(size int) string {
		var b strings.Builder
		b.WriteString("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for rest := body; rest != ""; rest = rest[size:] {
			fmt.Fprintf(&b, "%x\r\n%s\r\n", size, rest[:size])
		}
		b.WriteString("0\r\n\r\n")
		return b.String()
	}
	long := "X-Long: " + strings.Repeat("x", maxHead-100) + "\r\n"
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
