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

// soakBehaviours lists the behaviour of each backend of a run.
var soakBehaviours = []string{
	"answers", "answers", "answers",
	"hangs",        // never responds
	"full",         // rejects two requests in three, on average
	"full late",    // rejects all requests, 150 to 320 ms after it has received them
	"fails",        // answers one request in three with status 500, on average
	"resets",       // resets the connection of one request in five, on average
	"closes early", // closes connections after 50 to 250 ms of idleness
}

// soakBackend is a backend with one of soakBehaviours.
type soakBackend struct {
	name      string
	address   string
	behaviour string
	drainedAt time.Time // when the endpoint list first named it as draining; zero: never
}

// serveBackend serves one connection to the backend with index number, and checks
// each attempt that it receives.
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
		if backend.behaviour == "full late" { // so that a further attempt would begin long after a client disconnected
			time.Sleep(time.Duration(150+s.draw(150)) * time.Millisecond)
		}
		if !s.respond(c, r, backend.behaviour, id, a.rejected) {
			return
		}
	}
}

// readRequest reads a whole request, records the time of its last byte and its
// deadline, and returns its ID. ok is false if the request cannot be read.
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
		a.deadline = time.Hour // a missing or malformed deadline counts as one that is too long
	}
	return req.Header.Get("X-Request-Id"), true
}

// respond answers a request according to the backend's behaviour. It reports
// whether the connection stays open.
func (s *soakRun) respond(c net.Conn, r *bufio.Reader, behaviour, id string, rejected bool) (keepOpen bool) {
	switch {
	case behaviour == "hangs":
		io.Copy(io.Discard, r) // returns when the node closes the connection
		return false
	case rejected:
		io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
	case behaviour == "fails" && s.draw(3) == 0:
		io.WriteString(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
	case behaviour == "resets" && s.draw(5) == 0:
		c.(*net.TCPConn).SetLinger(0) // makes Close send a RST
		return false
	default:
		return s.sendResponse(c, id)
	}
	return true
}

// sendResponse sends a valid response with the request's ID as its body, in a
// random form: with a length, chunked, ended by closing, behind interim responses,
// sent twice, or with Connection: close. One in four is written in two pieces. It
// reports whether the connection stays open.
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
		text += text // a surplus second response
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

// chunkedResponse returns a chunked response with one chunk for each byte of body,
// each with a chunk extension, and with a trailer.
func chunkedResponse(body string) string {
	text := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, b := range body {
		text += fmt.Sprintf("1;x=y\r\n%c\r\n", b)
	}
	return text + "0\r\nX-Trailer: t\r\n\r\n"
}

// startListener serves connections on a new port until the end of the test.
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
