package process

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
)

func TestFreeAddressIsReservedAcrossProcesses(t *testing.T) {
	address, err := FreeAddress()
	assert.NilError(t, err)
	// reserve does not consult the reservations map, so it behaves as in another process.
	assert.Assert(t, !reserve(address), "the address was reserved twice")
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err, "the reservation must not prevent its owner from listening")
	assert.NilError(t, listener.Close())
}

func TestReserveRejectsAddressInUse(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	assert.Assert(t, !reserve(listener.Addr().String()))
}
