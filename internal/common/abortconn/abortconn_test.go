package abortconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// acceptUnread sends a request through the dialer that is canceled once its connection is accepted, and returns the
// error with which the peer's read ends.
func acceptUnread(t *testing.T, dialer *net.Dialer) error {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	assert.NilError(t, listener.(*net.TCPListener).SetDeadline(time.Now().Add(5*time.Second)))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+listener.Addr().String(), strings.NewReader("body"))
	assert.NilError(t, err)
	transport := &http.Transport{DialContext: dialer.DialContext}
	ended := make(chan error, 1)
	go func() {
		_, err := transport.RoundTrip(request)
		ended <- err
	}()
	peer, err := listener.Accept()
	assert.NilError(t, err)
	defer peer.Close()
	_, err = io.ReadFull(peer, make([]byte, len("POST")))
	assert.NilError(t, err)
	cancel()
	assert.ErrorIs(t, <-ended, context.Canceled)
	_, err = io.Copy(io.Discard, peer)
	return err
}

// Guards against a connection whose close lets the kernel deliver the bytes of a canceled request.
func TestCanceledRequestResetsConnection(t *testing.T) {
	assert.ErrorIs(t, acceptUnread(t, &net.Dialer{Control: Control}), syscall.ECONNRESET)
	assert.NilError(t, acceptUnread(t, &net.Dialer{}), "a plain close ends the connection properly")
}
