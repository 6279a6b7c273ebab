package process

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Ports are taken from below the range that systems use for outgoing
// connections, so that a port stays free between its choice and its use.
const (
	lowestPort   = 18000
	highestPort  = 31999
	portAttempts = 1000
)

var (
	portsMu    sync.Mutex
	portsTaken = map[int]bool{}
)

// FreeAddress returns a loopback address ("127.0.0.1:port") that no one
// listens on and that this process has not handed out before.
func FreeAddress() (string, error) {
	portsMu.Lock()
	defer portsMu.Unlock()
	for range portAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort+1)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if portsTaken[port] || !canListen(address) {
			continue
		}
		portsTaken[port] = true
		return address, nil
	}
	return "", errors.Errorf("no free port found in %d attempts", portAttempts)
}

func canListen(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
