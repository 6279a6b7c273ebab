package process

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync"

	"github.com/go-faster/errors"
)

// Ports are chosen below the ephemeral range, so that an outgoing connection
// cannot take a port between its reservation and its use.
const (
	lowestPort   = 18000
	highestPort  = 31999
	portAttempts = 1000
)

// reservations holds a UDP socket for each address that FreeAddress returned,
// until this process exits. The socket reserves the TCP port of the same number
// against FreeAddress in other processes, also while nothing listens on it.
var (
	reservationsMu sync.Mutex
	reservations   = map[string]net.PacketConn{}
)

// FreeAddress returns a loopback address ("127.0.0.1:port") that is neither in
// use nor reserved by FreeAddress in any running process.
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

// reserve reserves the address and reports whether that succeeded.
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
