package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// smuggledRequest is a request that bad clients put where another request's body
// is expected. It must not reach a backend as a request (request smuggling).
const smuggledRequest = "GET /api/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nX-Class: retryable\r\nX-Deadline: 1\r\n\r\n"

// livenessRequest is a valid request that bad clients put before another text.
const livenessRequest = "GET /health/live HTTP/1.1\r\nHost: h\r\n\r\n"

// badRequestTexts returns the texts that bad clients send: malformed, incomplete or
// ambiguous requests. None of them begins with a request that may be served.
func badRequestTexts(id string) []string {
	head := "POST /api/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id + "\r\nX-Class: fragile\r\nX-Deadline: 1\r\n"
	return []string{
		"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03 noise\r\n\r\n",
		"GET /api/x HTTP/1.1\r\nHost: h\r\nX-Long: " + strings.Repeat("x", 60<<10),
		head + fmt.Sprintf("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", smuggledRequest),
		head + fmt.Sprintf("Content-Length: %d\r\nContent-Length: 0\r\n\r\n%s", len(smuggledRequest), smuggledRequest),
		head + "Content-Length: -1\r\n\r\n" + smuggledRequest,
		head + "Content-Length: 99999999999999999999\r\n\r\n",
		head + fmt.Sprintf("Content-Length: %d\r\n\r\nhalf", 60<<20),
		strings.Replace(head, "X-Deadline: 1", "X-Deadline: soon", 1) + "Content-Length: 4\r\n\r\nbody",
		strings.Replace(head, "fragile", "nobody", 1) + "Content-Length: 4\r\n\r\nbody",
		strings.Replace(head, "X-Request-Id", "X-Nothing", 1) + "Content-Length: 4\r\n\r\nbody",
		head + "Content-Length: 9\r\n\r\nhalf",
		head[:len(head)/2],
		"G",
		"",
	}
}

// startBadClients starts 4 clients that send bad requests.
func (s *soakRun) startBadClients(clients *sync.WaitGroup, address string) {
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.runBadClient(address, i)
		}()
	}
}

// runBadClient sends bad requests, each on a connection of its own, until SIGTERM is
// sent to the node.
func (s *soakRun) runBadClient(address string, number int) {
	for k := 0; ; k++ {
		running := true
		s.locked(func() { running = !s.over && s.sigtermAt.IsZero() })
		if !running {
			return
		}
		texts := badRequestTexts(fmt.Sprintf("bad-%d-%d", number, k))
		i := s.draw(len(texts))
		first := ""
		if texts[i] != "" && s.draw(8) == 0 {
			first = livenessRequest
		}
		if !s.sendBadRequest(address, i, first, texts[i]) {
			return
		}
	}
}

// sendBadRequest sends a text and checks that the node answers with an error status
// or closes the connection within 3 s, and maxNodePause more, as the node may be
// paused. first is a valid request that is sent in the same write before the text,
// empty if there is none. sendBadRequest returns false if it cannot connect.
func (s *soakRun) sendBadRequest(address string, number int, first, text string) bool {
	const limit = 3 * time.Second
	began := time.Now()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(began.Add(limit + maxNodePause))
	io.WriteString(c, first+text) // the write may fail, as the node may close the connection early
	read := bufio.NewReader(c)
	if first != "" {
		skipResponse(read)
	}
	resp, err := http.ReadResponse(read, nil)
	s.locked(func() {
		s.counts["bad requests"]++
		served := err == nil && resp.StatusCode < 400
		late := errors.Is(err, os.ErrDeadlineExceeded) && !s.over
		if served || late {
			s.recordViolation("bad request %d, behind %d bytes: response %v, error %v after %v, want an error status or a closed connection in time",
				number, len(first), resp, err, time.Since(began))
		}
	})
	return true
}

// skipResponse reads a response and its body. An error shows in the next read as well.
func skipResponse(r *bufio.Reader) {
	if resp, err := http.ReadResponse(r, nil); err == nil {
		io.Copy(io.Discard, resp.Body)
	}
}
