package soak

import (
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// TestSenderOfAConnectionIsTheProcessThatHoldsIt: whatever it says of itself.
func TestSenderOfAConnectionIsTheProcessThatHoldsIt(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	sent, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = sent.Close() }()
	taken, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = taken.Close() }()
	socket, err := socketOf(taken)
	assert.NilError(t, err)
	assert.Assert(t, holds(os.Getpid(), socket))
	assert.Assert(t, !holds(os.Getppid(), socket))
}
