package main

import (
	"bytes"
	"fmt"
	"net"
	"time"
)

// badClient sends something on a new connection and reads whatever it is sent until
// the node closes.
type badClient struct {
	address string
	send    func(net.Conn)
}

// run returns how long it took from the connection to the first byte or to the
// close, whichever came first.
func (b badClient) run() time.Duration {
	c, err := net.DialTimeout("tcp", b.address, 5*time.Second)
	if err != nil {
		return 0
	}
	defer c.Close()
	connected := time.Now()
	go b.send(c)
	c.SetReadDeadline(connected.Add(8 * time.Second))
	buffer := make([]byte, 4096)
	first := time.Duration(0)
	for {
		n, err := c.Read(buffer)
		if first == 0 {
			first = time.Since(connected)
		}
		if n == 0 || err != nil {
			return first
		}
	}
}

// sendHugeBody sends a request with a body of 60 MB, at full speed.
func sendHugeBody(c net.Conn) {
	const size = 60_000_000
	fmt.Fprintf(c, "POST /api/7f3a9c21e0b4d655 HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: order-paper\r\nX-Deadline: 0.600\r\nContent-Length: %d\r\n\r\n",
		newID(), size)
	chunk := bytes.Repeat([]byte("x"), 16<<10)
	for sent := 0; sent < size; sent += len(chunk) {
		if _, err := c.Write(chunk); err != nil {
			return
		}
	}
}

// sendPart sends a request with the longest body but for its last 100 bytes, and stops.
func sendPart(c net.Conn) {
	r := request{id: newID(), class: "order-paper", timeout: 600 * time.Millisecond, bodySize: longestBody}
	message := r.encode()
	c.Write(message[:len(message)-100])
}
