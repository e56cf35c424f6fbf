package upstream

import (
	"bankshift/balancer"
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
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
	play := func(end error, pieces ...string) Result {
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
		if got := play(io.EOF, strings.Split(answer, "")...); got.Outcome != balancer.OK || string(got.Body) != "hi" {
			t.Errorf("%s: byte by byte: outcome %d, body %q", name, got.Outcome, got.Body)
		}
		for cut := range len(answer) + 1 {
			if got := play(io.EOF, answer[:cut], answer[cut:]); got.Outcome != balancer.OK || string(got.Body) != "hi" {
				t.Errorf("%s: cut at %d: outcome %d, body %q", name, cut, got.Outcome, got.Body)
			}
			if got := play(io.EOF, answer[:cut]); (got.Outcome == balancer.OK) != (cut >= head) {
				t.Errorf("%s: ends at %d: outcome %d", name, cut, got.Outcome)
			}
			whole := cut == len(answer) && head == len(answer)
			if got := play(syscall.ECONNRESET, answer[:cut]); (got.Outcome == balancer.OK) != whole || !whole && got.Outcome != balancer.Reset {
				t.Errorf("%s: reset at %d: outcome %d", name, cut, got.Outcome)
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
			if got := try(t, p, patience); got.Outcome != c.want {
				t.Errorf("outcome %d with %d bytes, want %d", got.Outcome, len(got.Body), c.want)
			}
			wait(t, ended, "the end of the connection")
		})
	}
}

// TestKilledBehindAccept: a server dies behind the accept. A request of which it
// has read the last byte may have run; no other is told so without cause.
func TestKilledBehindAccept(t *testing.T) {
	for name, c := range map[string]struct {
		read func(r *bufio.Reader)
		want []balancer.Outcome
	}{
		"nothing read": {func(*bufio.Reader) {}, []balancer.Outcome{balancer.ConnectFailed, balancer.Reset}},
		"half read":    {func(r *bufio.Reader) { r.ReadByte() }, []balancer.Outcome{balancer.ConnectFailed, balancer.Reset}},
		"all read":     {func(r *bufio.Reader) { readRequest(r) }, []balancer.Outcome{balancer.Reset}},
	} {
		p := testPool(backendServer(t, func(_ int, conn net.Conn, r *bufio.Reader) {
			c.read(r)
			conn.(*net.TCPConn).SetLinger(0) // the close resets
		}))
		o := get("/api/x")
		o.Method, o.Body = "POST", make([]byte, maxBody)
		ctx, cancel := context.WithTimeout(context.Background(), enough)
		for range 50 {
			if res := p.Attempt(ctx, ctx, 1, o); !slices.Contains(c.want, res.Outcome) {
				t.Errorf("%s: outcome %d, want one of %d", name, res.Outcome, c.want)
			}
		}
		if cancel(); p.open != 0 {
			t.Errorf("%s: %d connections are kept", name, p.open)
		}
	}
}
