package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is a stand-in for one backend. It answers each request with 200 and the
// request's ID as the body, after its service time.
type backend struct {
	name     string
	listener net.Listener
	record   *record

	service func(*http.Request) time.Duration

	mu   sync.Mutex
	runs map[string]int // by the ID of the request
}

func startBackend(name string, rec *record) (*backend, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &backend{
		name:     name,
		listener: listener,
		record:   rec,
		service:  usualService,
		runs:     map[string]int{},
	}
	go b.serve()
	return b, nil
}

func (b *backend) address() string { return b.listener.Addr().String() }

func (b *backend) serve() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serveConn(c)
	}
}

func (b *backend) serveConn(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		id := request.Header.Get("X-Request-Id")
		b.mu.Lock()
		b.runs[id]++
		b.mu.Unlock()
		b.record.linef("run %s by %s", id, b.name)
		time.Sleep(b.service(request))
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(id), id)
		if err != nil {
			return
		}
	}
}
