package soak

import (
	"net"
	"os"
	"testing"

	"gotest.tools/v3/assert"
)

// The sender of a connection must be identified by the process that holds its socket.
func TestProcessHasSocket(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	sent, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = sent.Close() }()
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	defer func() { _ = accepted.Close() }()
	socket, err := peerSocketInode(accepted)
	assert.NilError(t, err)
	assert.Assert(t, processHasSocket(os.Getpid(), socket))
	assert.Assert(t, !processHasSocket(os.Getppid(), socket))
}
