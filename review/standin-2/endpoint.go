package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// arrival is a request as an endpoint has received it.
type arrival struct {
	id      string
	number  int // of the arrivals of this request at all endpoints, from 1
	firstAt time.Time
	lastAt  time.Time
}

// plan is how an endpoint answers a request.
type plan struct {
	work   time.Duration // until the answer
	spoilt bool          // the answer breaks off in the middle
}

// behaviour returns the plan for a request.
type behaviour func(a arrival) plan

// endpoint is a stand-in of a backend. It handles any number of requests at once, one at a
// time on a connection.
type endpoint struct {
	world    *world
	behave   behaviour
	entry    entry
	listener net.Listener
}

func (e *endpoint) start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	e.listener = listener
	e.entry.Address = listener.Addr().String()
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return nil
}

// serve handles the requests of a connection until it ends.
func (e *endpoint) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReaderSize(c, 128<<10)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := arrival{firstAt: time.Now()}
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return // its last byte has not arrived: it does not run
		}
		a.lastAt = time.Now()
		a.id = request.Header.Get("X-Request-Id")
		e.world.note("run", a.id, "at", e.entry.Name, "told", request.Header.Get("X-Deadline"))
		p := e.behave(a)
		time.Sleep(p.work)
		body := "served " + a.id
		if p.spoilt {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body)+100, body)
			e.world.note("spoilt answer", a.id, "at", e.entry.Name)
			return
		}
		if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
			return
		}
	}
}
