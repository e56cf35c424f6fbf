package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

var (
	errNoNewConnections   = errors.New("no new connections are made: the run is over, or the load balancer in front has stopped sending them")
	errClientDisconnected = errors.New("the client disconnected before the response")
	errAskedToClose       = errors.New("the response has Connection: close")
)

// soakClient sends one request after the other on a keep-alive connection.
type soakClient struct {
	*soakRun
	address string
	conn    *net.TCPConn // nil: not connected
	read    *bufio.Reader
}

// connect opens a connection. It returns errNoNewConnections once the run is over,
// and from lateConnectTime after SIGTERM on.
func (c *soakClient) connect() error {
	allowed := true
	c.locked(func() {
		allowed = !c.over && (c.sigtermAt.IsZero() || time.Since(c.sigtermAt) < lateConnectTime)
	})
	if !allowed {
		return errNoNewConnections
	}
	conn, err := net.Dial("tcp", c.address)
	if err != nil {
		return err
	}
	c.conn = conn.(*net.TCPConn)
	c.read = bufio.NewReader(conn)
	return nil
}

func (c *soakClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// run sends requests until no new connections are made or the run is over.
func (c *soakClient) run(number int) {
	defer c.close()
	for k := 0; ; k++ {
		id := fmt.Sprintf("%d-%d-%d", c.seed, number, k)
		if !c.request(id) {
			return
		}
		pause := c.drawMilliseconds(60)
		if c.draw(40) == 0 {
			pause = time.Duration(2500+c.draw(600)) * time.Millisecond // may cross the idle timeout of the node
		}
		time.Sleep(pause)
	}
}

// request sends one request until it is answered, abandoned or lost. It sends the
// request again on a new connection where isLost allows that. It reports whether
// the client goes on with further requests.
func (c *soakClient) request(id string) bool {
	class := soakClasses[c.draw(len(soakClasses))]
	deadline := c.longestDeadline * time.Duration(40+c.draw(61)) / 100
	r := &soakRequest{class: class, deadline: deadline}
	began := time.Now()
	for try := 0; ; try++ {
		if c.conn == nil {
			if err := c.connect(); err != nil {
				return !errors.Is(err, errNoNewConnections) && c.pauseBeforeReconnect()
			}
		}
		done, err := c.exchange(id, r)
		if err == nil {
			return true
		}
		c.close()
		if done || c.isLost(id, r, try, began, err) {
			return true
		}
	}
}

// isLost reports whether a request without a response is lost and must not be sent
// again: it has reached a backend, this was not its first try, or lostToKill holds.
// A lost request is a violation, unless the run is over.
func (c *soakClient) isLost(id string, r *soakRequest, try int, began time.Time, err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := len(r.attempts) > 0 || try > 0 || c.lostToKill(r)
	if lost && !c.over {
		c.recordViolation("%s (%s): no response after %v, deadline %v (try %d, %d attempts): %v; %v after SIGTERM", id, r.class,
			time.Since(began), r.deadline, try, len(r.attempts), err, c.sinceSIGTERM())
	}
	return lost
}

// lostToKill reports whether an unanswered request was sent before SIGKILL and more
// than killSlack after SIGTERM, which is so late that the node must not lose it. The
// caller holds s.mu.
func (s *soakRun) lostToKill(r *soakRequest) bool {
	return !s.killedAt.IsZero() && !r.sentAt.IsZero() && r.sentAt.Before(s.killedAt) && r.sentAt.Sub(s.sigtermAt) > killSlack
}

// sinceSIGTERM returns the time since SIGTERM was sent, or 0 if it was not. The
// caller holds s.mu.
func (s *soakRun) sinceSIGTERM() time.Duration {
	if s.sigtermAt.IsZero() {
		return 0
	}
	return time.Since(s.sigtermAt)
}

// pauseBeforeReconnect waits for 5 ms after a failed connect and reports whether
// the run is still going on.
func (c *soakClient) pauseBeforeReconnect() (running bool) {
	time.Sleep(5 * time.Millisecond)
	c.locked(func() { running = !c.over })
	return running
}

// exchange sends a request and reads its response. It reports whether the request
// is done: it has been answered, or the client has abandoned it. After an error the
// caller has to close the connection, also if the request is done.
func (c *soakClient) exchange(id string, r *soakRequest) (done bool, err error) {
	text := soakRequestText(id, r)
	if c.draw(4) == 0 { // slowly, in two pieces
		half := 1 + c.draw(len(text)-1)
		if _, err := io.WriteString(c.conn, text[:half]); err != nil {
			return false, err
		}
		time.Sleep(c.drawMilliseconds(30))
		text = text[half:]
	}
	c.locked(func() {
		c.requests[id] = r
		r.sentAt = time.Time{}
		c.counts["requests"]++
	})
	if _, err := io.WriteString(c.conn, text); err != nil {
		return false, err
	}
	c.locked(func() { r.sentAt = time.Now() })
	if c.draw(c.abandonOneIn) == 0 { // the caller closes the connection on errClientDisconnected
		time.Sleep(time.Duration(c.draw(int(r.deadline / 4))))
		c.locked(func() { r.disconnectedAt = time.Now() })
		return true, errClientDisconnected
	}
	return c.readResponse(id, r)
}

// soakRequestText returns a request as it is sent over HTTP/1.1. Its class decides
// the method and whether it has an Idempotency-Key.
func soakRequestText(id string, r *soakRequest) string {
	method, key := "POST", ""
	switch r.class {
	case "retryable":
		method = "GET"
	case "dedup":
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	text := fmt.Sprintf("%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %.3f\r\n%s", method, id,
		r.class, r.deadline.Seconds(), key)
	if method == "GET" {
		return text + "\r\n"
	}
	return text + "Content-Length: 4\r\n\r\nbody"
}

// readResponse reads and checks the response to a request. Its results mean the same
// as those of exchange.
func (c *soakClient) readResponse(id string, r *soakRequest) (done bool, err error) {
	c.conn.SetReadDeadline(r.sentAt.Add(r.deadline + responseSlack))
	resp, err := http.ReadResponse(c.read, nil)
	if err != nil {
		return false, err
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, err
	}
	c.locked(func() { c.checkResponse(id, r, resp.StatusCode, string(body)) })
	if resp.Close {
		return true, errAskedToClose
	}
	return true, nil
}

// checkResponse counts a response and checks that a 200 carries its own request's
// ID, that a fragile request is answered with 503 only if no attempt may have run,
// and that no surplus data follows the response. The caller holds c.mu.
func (c *soakClient) checkResponse(id string, r *soakRequest, status int, body string) {
	c.counts[strconv.Itoa(status)]++
	if status == http.StatusOK && body != id {
		c.recordViolation("%s: answered with the body %q, want the ID of the request", id, body)
	}
	if status == http.StatusServiceUnavailable && r.class == "fragile" {
		for _, a := range r.attempts {
			if !a.rejected {
				c.recordViolation("%s: answered with 503, though an attempt may have run", id)
			}
		}
	}
	if c.read.Buffered() > 0 {
		c.recordViolation("%s: data follows the response", id)
	}
}
