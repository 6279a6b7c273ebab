// Package abortconn makes TCP connections discard unsent bytes when they are closed.
//
// A plain close leaves the bytes of a request that was given up in the kernel, which delivers them once the network lets
// it: after a partition of some seconds, the peer would run a request that nobody waits for, for example one of a job
// that has ended. With the option, closing a connection resets it, also where the kernel closes it because the process
// was killed.
package abortconn

import (
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// Control is a net.Dialer.Control that sets the option before the connection is established.
func Control(_, _ string, raw syscall.RawConn) error {
	var failure error
	err := raw.Control(func(descriptor uintptr) {
		failure = unix.SetsockoptLinger(int(descriptor), unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1, Linger: 0})
	})
	if err = errors.Join(err, failure); err != nil {
		return errors.Wrap(err, "set SO_LINGER")
	}
	return nil
}
