// Package connlost distinguishes errors of connections that the peer closed from cancellations and timeouts.
package connlost

import (
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// causes are the errors of a connection that the peer closed or reset before the response was complete.
var causes = []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}

// ClosedByPeer reports whether err was caused by the peer closing the connection.
func ClosedByPeer(err error) bool {
	for _, cause := range causes {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
