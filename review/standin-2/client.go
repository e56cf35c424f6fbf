package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// Slack of the rules on sockets.
const (
	lostAfter  = 500 * time.Millisecond // after its time a request with no answer is lost
	limitSlack = 50 * time.Millisecond  // each time limit grows by it
)

// message is a client's request.
type message struct {
	id       string
	class    string
	deadline time.Duration
	body     string
}

// text returns the request as it is sent.
func (m message) text() string {
	method, key, length := "GET", "", ""
	if m.class != "save-page" {
		method = "POST"
		length = fmt.Sprintf("Content-Length: %d\r\n", len(m.body))
	} else {
		m.body = ""
	}
	if m.class == "submit-form" {
		key = "Idempotency-Key: key-" + m.id + "\r\n"
	}
	return fmt.Sprintf("%s /api/%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n%s%s\r\n%s",
		method, m.id, m.id, m.class, m.deadline.Seconds(), key, length, m.body)
}

// answer is what a client got for a request.
type answer struct {
	status int // 0: no whole answer
	body   string
	close  bool // the node says that it closes the connection
	at     time.Time
	err    error // why there is none
}

// client is a client's connection.
type client struct {
	conn   *net.TCPConn
	reader *bufio.Reader
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{conn: c.(*net.TCPConn), reader: bufio.NewReader(c)}, nil
}

// send writes the requests with one call.
func (c *client) send(messages []message) error {
	var text strings.Builder
	for _, m := range messages {
		text.WriteString(m.text())
	}
	_, err := io.WriteString(c.conn, text.String())
	return err
}

// receive reads one answer, until the given time.
func (c *client) receive(until time.Time) answer {
	c.conn.SetReadDeadline(until)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{err: err, at: time.Now()}
	}
	return answer{status: response.StatusCode, body: string(body), close: response.Close, at: time.Now()}
}
