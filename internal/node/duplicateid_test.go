package node

import (
	"fmt"
	"io"
	"net/http"
	"testing"
)

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
				io.WriteString(original, requestText(class, "original", "60"))
				receive(t, received, "the original")
				io.WriteString(copying, postText("other", "60")+requestText(class, "original", "60"))
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
