//go:build !linux

package soak

import (
	"net"

	"github.com/go-faster/errors"
)

// socketOf: only Linux tells.
func socketOf(net.Conn) (uint32, error) {
	return 0, errors.New("the sender of a connection is known on Linux only")
}

func holds(int, uint32) bool { return false }
