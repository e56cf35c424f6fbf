package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"
)

// soakBehaviours is how the backends of a run behave, one each.
var soakBehaviours = []string{
	"answers", "answers", "answers",
	"hangs",        // never answers
	"full",         // rejects many requests
	"full late",    // rejects all requests, after a while
	"fails",        // answers many with a server error
	"resets",       // resets some connections instead of answering
	"closes early", // closes idle connections soon
}

// soakBackend is an endpoint with a behaviour of its own.
type soakBackend struct {
	name      string
	address   string
	behaviour string
	drainedAt time.Time // zero: it is not draining
}

// serveBackend serves one connection to the backend of this number.
func (s *soakRun) serveBackend(number int, c net.Conn) {
	defer c.Close()
	backend := s.backends[number]
	r := bufio.NewReader(c)
	for {
		if backend.behaviour == "closes early" {
			c.SetReadDeadline(time.Now().Add(time.Duration(50+s.draw(200)) * time.Millisecond))
		}
		if _, err := r.Peek(1); err != nil {
			return
		}
		c.SetReadDeadline(time.Time{})
		a := soakAttempt{backend: number, firstByteAt: time.Now()}
		a.rejected = backend.behaviour == "full" && s.draw(3) > 0 || backend.behaviour == "full late"
		id, ok := a.readRequest(r)
		if !ok {
			return
		}
		s.checkAttempt(id, a)
		time.Sleep(s.drawMilliseconds(20))
		if backend.behaviour == "full late" { // the next attempt would begin long after a client has left
			time.Sleep(time.Duration(150+s.draw(150)) * time.Millisecond)
		}
		if !s.respond(c, r, backend.behaviour, id, a.rejected) {
			return
		}
	}
}

// readRequest reads a request to its end, records its times and deadline, and
// returns its ID.
func (a *soakAttempt) readRequest(r *bufio.Reader) (id string, ok bool) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return "", false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return "", false
	}
	a.lastByteAt = time.Now()
	seconds, err := strconv.ParseFloat(req.Header.Get("X-Deadline"), 64)
	a.deadline = time.Duration(seconds * float64(time.Second))
	if err != nil {
		a.deadline = time.Hour // which is a violation
	}
	return req.Header.Get("X-Request-Id"), true
}

// respond answers a request as the backend's behaviour says. It reports whether
// the connection goes on.
func (s *soakRun) respond(c net.Conn, r *bufio.Reader, behaviour, id string, rejected bool) (keepOpen bool) {
	switch {
	case behaviour == "hangs":
		io.Copy(io.Discard, r) // until the node gives up
		return false
	case rejected:
		io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case behaviour == "fails" && s.draw(3) == 0:
		io.WriteString(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
	case behaviour == "resets" && s.draw(5) == 0:
		c.(*net.TCPConn).SetLinger(0) // the close resets
		return false
	default:
		return s.sendResponse(c, id)
	}
	return true
}

// sendResponse sends a good response in one of its forms, some in pieces. It
// reports whether the connection goes on.
func (s *soakRun) sendResponse(c net.Conn, id string) (keepOpen bool) {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
	keepOpen = true
	switch s.draw(8) {
	case 0:
		text = chunkedResponse(id)
	case 1:
		text = "HTTP/1.1 200 OK\r\n\r\n" + id
		keepOpen = false
	case 2:
		text = "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + text
	case 3:
		text += text // a second copy
	case 4:
		text = strings.Replace(text, "\r\n", "\r\nConnection: close\r\n", 1)
		keepOpen = false
	}
	cut := s.draw(len(text))
	if s.draw(4) == 0 {
		io.WriteString(c, text[:cut])
		time.Sleep(s.drawMilliseconds(10))
		text = text[cut:]
	}
	_, err := io.WriteString(c, text)
	return keepOpen && err == nil
}

// chunkedResponse returns a response with a chunk for each byte, and a trailer.
func chunkedResponse(body string) string {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, b := range body {
		text += fmt.Sprintf("1;x=y\r\n%c\r\n", b)
	}
	return text + "0\r\nX-Trailer: t\r\n\r\n"
}

// startListener serves connections on a port of its own until the test's end.
func (s *soakRun) startListener(t *testing.T, serve func(net.Conn)) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}
