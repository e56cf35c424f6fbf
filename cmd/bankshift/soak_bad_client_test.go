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

// smuggledRequest is a request that no client sends: it is part of another one's
// body.
const smuggledRequest = "GET /api/x HTTP/1.1\r\nHost: h\r\nX-Request-Id: hidden\r\nX-Class: retryable\r\nX-Deadline: 1\r\n\r\n"

// badRequestTexts returns what bad clients send before they wait. None of them
// begins with a request that could be served.
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
		head[:len(head)/2],
		"G",
		"",
	}
}

// startBadClients starts clients that send what no client should.
func (s *soakRun) startBadClients(clients *sync.WaitGroup, address string) {
	for i := range 4 {
		clients.Add(1)
		go func() {
			defer clients.Done()
			s.runBadClient(address, i)
		}()
	}
}

// runBadClient sends bad requests, each on a connection of its own, until the node
// is ordered to stop.
func (s *soakRun) runBadClient(address string, number int) {
	for k := 0; ; k++ {
		running := true
		s.locked(func() { running = !s.over && s.sigtermAt.IsZero() })
		if !running {
			return
		}
		texts := badRequestTexts(fmt.Sprintf("bad-%d-%d", number, k))
		i := s.draw(len(texts))
		if !s.sendBadRequest(address, i, texts[i]) {
			return
		}
	}
}

// sendBadRequest sends a text and checks that the node answers with an error or
// closes the connection within 3 s. It returns false if it cannot connect.
func (s *soakRun) sendBadRequest(address string, number int, text string) bool {
	const limit = 3 * time.Second
	began := time.Now()
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	c.SetDeadline(began.Add(limit + maxNodePause))
	io.WriteString(c, text) // may be cut short
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	s.locked(func() {
		s.counts["bad requests"]++
		served := err == nil && resp.StatusCode < 400
		late := errors.Is(err, os.ErrDeadlineExceeded) && !s.over
		if served || late {
			s.recordViolation("bad request %d: %v, %v after %v", number, resp, err, time.Since(began))
		}
	})
	return true
}
