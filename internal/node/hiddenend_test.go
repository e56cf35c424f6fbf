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

// Sizes of the tests in which clients send much behind an open request.
const (
	hidingClients  = 8  // together they exceed what is read ahead while memory is scarce
	scarceMemoryMB = 24 // leaves the smallest share for what is read ahead
)

// startSpoilingBackends starts two backends that hold the first attempt of each request
// and then end it with the answer spoilt and the end of the connection. They send the ID
// of each first attempt on first, and those of all others on further.
func startSpoilingBackends(t *testing.T, spoilt string) (addresses []string, first, further chan string, release chan struct{}) {
	t.Helper()
	first, further, release = make(chan string, 1000), make(chan string, 1000), make(chan struct{})
	attempted := make(chan map[string]bool, 1)
	attempted <- map[string]bool{}
	serve := func(_ int, c net.Conn, r *bufio.Reader) {
		req := readRequest(r)
		if req == nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Request-Id")
		ids := <-attempted
		again := ids[id]
		ids[id] = true
		attempted <- ids
		if again {
			further <- id
			io.WriteString(c, okResponse)
			return
		}
		first <- id
		<-release
		io.WriteString(c, spoilt)
	}
	return []string{startBackend(t, serve), startBackend(t, serve)}, first, further, release
}

// hiddenEndCase is a way in which a client leaves behind bytes that the node has not read.
type hiddenEndCase struct {
	class    string
	spoilt   string // the answer to the first attempt
	leave    func(c *net.TCPConn)
	behind   string // what the client sends after its open request
	shortage string // what the node is short of
}

// hiddenEndCases returns the cases of TestNoAttemptAfterHiddenEnd by name.
func hiddenEndCases() map[string]hiddenEndCase {
	const brokenOff, notRun = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhi", "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	cases := map[string]hiddenEndCase{}
	for class, spoilt := range map[string]string{"saldo": brokenOff, "pedido": brokenOff, "pagar": notRun} {
		for end, leave := range map[string]func(c *net.TCPConn){
			"close":      func(c *net.TCPConn) { c.Close() },
			"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
			"half close": func(c *net.TCPConn) { c.CloseWrite() },
		} {
			for size, behind := range map[string]string{
				"less than is read ahead": pipelinedGets(1200),
				"more than is read ahead": pipelinedGets(2500),
				"long bodies":             strings.Repeat(longPost("p", ""), 5),
			} {
				for _, shortage := range []string{"memory", "processor", "nothing"} {
					cases[fmt.Sprintf("%s, %s behind %s, short of %s", class, end, size, shortage)] = hiddenEndCase{class, spoilt, leave, behind, shortage}
				}
			}
		}
	}
	return cases
}

// TestNoAttemptAfterHiddenEnd guards against attempts for clients that have left, whose end
// has not reached the node's machine because the kernel has no room for what they had sent
// before it (review case 9).
func TestNoAttemptAfterHiddenEnd(t *testing.T) {
	for name, test := range hiddenEndCases() {
		t.Run(name, func(t *testing.T) { testNoAttemptAfterHiddenEnd(t, test) })
	}
}

func testNoAttemptAfterHiddenEnd(t *testing.T, test hiddenEndCase) {
	t.Parallel()
	addresses, first, further, release := startSpoilingBackends(t, test.spoilt)
	change := func(c *Config) {
		switch test.shortage {
		case "memory":
			c.MemoryMB = scarceMemoryMB
		case "processor":
			c.Cores = 0.01
		}
	}
	n := startNodeOn(t, newListener(t), change, addresses...)
	if test.shortage == "processor" {
		n.useUpShares()
	}
	var clients []testClient
	for i := range hidingClients {
		c := n.dial(t)
		io.WriteString(c, requestText(test.class, fmt.Sprint("open", i), "60"))
		receive(t, first, "the first attempt")
		clients = append(clients, c)
	}
	for _, c := range clients {
		c.SetWriteDeadline(time.Now().Add(10 * time.Millisecond))
		io.WriteString(c, test.behind)
	}
	for _, c := range clients {
		test.leave(c.TCPConn)
	}
	time.Sleep(disconnectLimit) // attempts may begin within it
	for len(further) > 0 {
		<-further
	}
	close(release)
	waitUntil(t, "all requests and connections to end", func() bool {
		return n.openRequests(t) == 0 && n.frontend.connections.openConnections() == 0
	})
	if late := len(first) + len(further); late > 0 {
		t.Errorf("%d attempts began over %v after their clients had left", late, disconnectLimit)
	}
}

// TestStayingClientsAreAnsweredWhileMemoryIsScarce guards against clients that lose answers
// because what they have sent at once is not read ahead.
func TestStayingClientsAreAnsweredWhileMemoryIsScarce(t *testing.T) {
	const count = 900 // some 90 KB of each client
	backend := startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for readRequest(r) != nil {
			io.WriteString(c, okResponse)
		}
	})
	n := startNodeOn(t, newListener(t), func(c *Config) { c.MemoryMB = scarceMemoryMB }, backend)
	results := make(chan error, hidingClients)
	for i := range hidingClients {
		c := n.dial(t)
		go io.WriteString(c, pipelinedPosts(fmt.Sprint("q", i, "-"), count))
		go func() { results <- c.readAnswers(count) }()
	}
	for range hidingClients {
		if err := receive(t, results, "a client's answers"); err != nil {
			t.Error(err)
		}
	}
}

// readAnswers reads count responses, of which each must be served or a rejection.
func (c testClient) readAnswers(count int) error {
	for i := range count {
		resp, err := http.ReadResponse(c.read, nil)
		if err != nil {
			return fmt.Errorf("response %d of %d: %w", i, count, err)
		}
		io.Copy(io.Discard, resp.Body)
		if resp.StatusCode != http.StatusOK && resp.StatusCode != http.StatusServiceUnavailable {
			return fmt.Errorf("response %d of %d has status %d", i, count, resp.StatusCode)
		}
	}
	return nil
}
