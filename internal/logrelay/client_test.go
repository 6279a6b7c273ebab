package logrelay

import (
	"net"
	"net/http"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// Guards against calls to other nodes that arrive after they were given up.
func TestClientResetsConnectionsOnClose(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	connection, err := NewClient().Transport.(*http.Transport).DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	defer connection.Close()
	raw, err := connection.(*net.TCPConn).SyscallConn()
	assert.NilError(t, err)
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		linger, err := unix.GetsockoptLinger(int(descriptor), unix.SOL_SOCKET, unix.SO_LINGER)
		assert.Check(t, err)
		assert.Check(t, linger.Onoff == 1 && linger.Linger == 0, "%+v", linger)
	}))
}
