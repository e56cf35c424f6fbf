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
	portCount   = 20_000 // below the system's own ports for outgoing connections
	maxOccupied = 100    // ports that are skipped
)

// portsTried counts the ports that were tried; each is returned once.
var portsTried atomic.Int32

// FreeAddresses returns n loopback addresses on which nothing listens. Their
// host belongs to this process alone, so that neither another run nor an
// outgoing connection takes one while a node is away.
func FreeAddresses(n int) ([]string, error) {
	pid := os.Getpid()
	host := fmt.Sprintf("127.%d.%d.1", 64+pid/254%127, 1+pid%254)
	var addresses []string
	for tries := 0; len(addresses) < n; tries++ {
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+int(portsTried.Add(1))%portCount))
		ln, err := net.Listen("tcp", address)
		if err != nil {
			if tries > n+maxOccupied {
				return nil, fmt.Errorf("fleet: no free address: %w", err)
			}
			continue
		}
		ln.Close()
		addresses = append(addresses, address)
	}
	return addresses, nil
}
