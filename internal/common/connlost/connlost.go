// Package connlost tells connections that the other side ended from those that were
// given up here or fell silent.
package connlost

import (
	"io"
	"syscall"

	"github.com/go-faster/errors"
)

// causes are the errors of a connection that the other side closed or reset before
// its answer was whole.
var causes = []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE}

// Is tells whether the other side ended the connection.
func Is(err error) bool {
	for _, cause := range causes {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}
