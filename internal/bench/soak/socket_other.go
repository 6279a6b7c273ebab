//go:build !linux

package soak

import (
	"net"

	"github.com/go-faster/errors"
)

// peerSocketInode is supported on Linux only.
func peerSocketInode(net.Conn) (uint32, error) {
	return 0, errors.New("identifying the sender of a connection is supported on Linux only")
}

func processHasSocket(int, uint32) bool { return false }
