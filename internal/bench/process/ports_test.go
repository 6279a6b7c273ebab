package process

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFreeAddressIsHeldAgainstOtherProcesses(t *testing.T) {
	address, err := FreeAddress()
	assert.NilError(t, err)
	// What another process would do: the reservation is not in its memory.
	assert.Assert(t, !reserve(address), "the address was handed out twice")
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err, "the holder itself may listen")
	assert.NilError(t, listener.Close())
}

func TestFreeAddressIsNotOneThatIsListenedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	assert.Assert(t, !reserve(listener.Addr().String()))
}
