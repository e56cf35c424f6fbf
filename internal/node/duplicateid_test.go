package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
)

// startHoldingBackend starts a backend that sends the ID of each request on received
// and answers the request when a value is sent on the channel that release returns for
// its ID.
func startHoldingBackend(t *testing.T, ids ...string) (address string, received chan string, release map[string]chan bool) {
	received, release = make(chan string, 100), map[string]chan bool{}
	for _, id := range ids {
		release[id] = make(chan bool, 10)
	}
	return startBackend(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			req := readRequest(r)
			if req == nil {
				return
			}
			id := req.Header.Get("X-Request-Id")
			received <- id
			<-release[id]
			io.WriteString(c, okResponse)
		}
	}), received, release
}

// requestText returns a request of a class of testConfig.
func requestText(class, id string) string {
	method, extra := "POST", "Content-Length: 0\r\n"
	switch class {
	case "saldo":
		method, extra = "GET", ""
	case "pedido":
		extra += "Idempotency-Key: k\r\n"
	}
	return fmt.Sprintf("%s /api/x HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: 60\r\n%s\r\n", method, id, class, extra)
}

// TestLateCopyOfRequestRejected guards against a request that runs twice. A copy with
// its ID is sent while the request is open, but waits behind another request on its
// connection and is read only after the request has been answered, or after its client
// has left. The copy must be rejected.
func TestLateCopyOfRequestRejected(t *testing.T) {
	for _, class := range []string{"saldo", "pedido", "pagar"} {
		for _, leaves := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, client leaves %v", class, leaves), func(t *testing.T) {
				backend, received, release := startHoldingBackend(t, "original", "other")
				n := startNode(t, backend)
				original, copying := n.dial(t), n.dial(t)
				io.WriteString(original, requestText(class, "original"))
				receive(t, received, "the original")
				io.WriteString(copying, requestText("pagar", "other")+requestText(class, "original"))
				receive(t, received, "the request before the copy")
				if leaves {
					original.Close()
				} else {
					release["original"] <- true
					if s := original.status(t); s != http.StatusOK {
						t.Fatalf("the original is answered %d, want 200", s)
					}
				}
				waitUntil(t, "the original to end", func() bool { return n.openRequests(t) == 1 })
				release["other"] <- true
				if s := copying.status(t); s != http.StatusOK {
					t.Errorf("the request before the copy is answered %d, want 200", s)
				}
				close(release["original"]) // a copy that is forwarded gets its response
				if s := copying.status(t); s != http.StatusConflict {
					t.Errorf("the copy is answered %d, want 409", s)
				}
				if len(received) > 0 {
					t.Errorf("the copy of %q has reached the backend", <-received)
				}
			})
		}
	}
}
