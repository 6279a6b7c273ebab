package connlost

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"

	"github.com/go-faster/errors"
	"gotest.tools/v3/assert"
)

func TestClosedByPeerRecognizesClosedConnections(t *testing.T) {
	for _, lost := range []error{
		io.EOF, io.ErrUnexpectedEOF, errors.Wrap(io.EOF, "read"),
		&net.OpError{Op: "read", Err: os.NewSyscallError("read", syscall.ECONNRESET)},
		&net.OpError{Op: "write", Err: os.NewSyscallError("write", syscall.EPIPE)},
	} {
		assert.Assert(t, ClosedByPeer(lost), "%v", lost)
	}
	for _, other := range []error{
		nil, context.Canceled, context.DeadlineExceeded, os.ErrDeadlineExceeded, syscall.ETIMEDOUT,
		syscall.ECONNREFUSED, http.ErrAbortHandler,
	} {
		assert.Assert(t, !ClosedByPeer(other), "%v", other)
	}
}
