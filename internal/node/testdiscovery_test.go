package node

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
)

// startDiscovery starts a discovery with one endpoint list, whose version is index. It
// sends the list to clients that have no version or another one, and never answers a
// long poll with this version: pollStarted receives a value when such a poll begins,
// pollEnded when it ends.
func startDiscovery(t *testing.T, index int, entries ...string) (address string, pollStarted, pollEnded chan bool) {
	t.Helper()
	pollStarted, pollEnded = make(chan bool, 100), make(chan bool, 100)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("from") == fmt.Sprint(index) {
			pollStarted <- true
			<-r.Context().Done()
			pollEnded <- true
			return
		}
		fmt.Fprintf(w, `{"index":%d,"snapshot":true,"endpoints":[%s]}`, index, strings.Join(entries, ","))
	}))
	t.Cleanup(s.CloseClientConnections)
	return s.Listener.Addr().String(), pollStarted, pollEnded
}

// endpointJSON returns an entry of an endpoint list in JSON.
func endpointJSON(name, address, status string) string {
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"a","type":"m2","group":3,"status":%q,"weight":1.5,"since_ms":7}`, name, address, status)
}

// boundPort binds a port of the loopback interface and returns its address, which
// refuses connections until listen is called.
func boundPort(t *testing.T) (address string, listen func() net.Listener) {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	f := os.NewFile(uintptr(fd), "bound")
	t.Cleanup(func() { f.Close() })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	sa, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", sa.(*syscall.SockaddrInet4).Port), func() net.Listener {
		if err := syscall.Listen(fd, 128); err != nil {
			t.Fatal(err)
		}
		ln, err := net.FileListener(f)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		return ln
	}
}
