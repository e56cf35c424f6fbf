package fleet

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

const (
	firstPort   = 10_000
	portCount   = 20_000 // the range ends below the system's ephemeral ports for outgoing connections
	maxOccupied = 100    // occupied ports that FreeAddresses skips before it fails
)

// portsTried counts the ports tried by all calls of FreeAddresses, so that none
// is returned twice.
var portsTried atomic.Int32

// FreeAddresses returns n loopback addresses on which nothing listens. Their
// host is derived from the id of this process, so that neither another run nor
// an outgoing connection takes the address of a node that is being restarted.
func FreeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 64+pid/254%127, 1+pid%254)
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+int(portsTried.Add(1))%portCount))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			if tries > n+maxOccupied {
				return nil, fmt.Errorf("fleet: no free address after %d tries, want %d addresses: %w", tries+1, n, err)
			}
			continue
		}
		ln.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
