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

// reservations holds a UDP socket for each port handed out, until this process
// ends. Nothing is received on them: they tell other processes that take ports
// by FreeAddress that the TCP port of the same number is taken, also while its
// owner has not begun to listen or is stopped between two starts.
var (
	reservationsMu sync.Mutex
	reservations   = map[string]net.PacketConn{}
)

// FreeAddress returns a loopback address ("127.0.0.1:port") that no one
// listens on and that no process has got from FreeAddress and still holds.
func FreeAddress() (string, error) {
	for range portAttempts {
		port := lowestPort + rand.IntN(highestPort-lowestPort+1)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if reserve(address) {
			return address, nil
		}
	}
	return "", errors.Errorf("no free port found in %d attempts", portAttempts)
}

// reserve reports whether the address is now this caller's alone.
func reserve(address string) bool {
	reservation, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	if !canListen(address) {
		_ = reservation.Close()
		return false
	}
	reservationsMu.Lock()
	defer reservationsMu.Unlock()
	reservations[address] = reservation
	return true
}

func canListen(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	return listener.Close() == nil
}
