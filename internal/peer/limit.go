package peer

import (
	"net"
	"time"

	"github.com/corkpulley/corkpulley/internal/boundedhttp"
	"github.com/corkpulley/corkpulley/internal/core/connections"
)

// limitedSocket is a socket that counts towards the limit of accepted connections until it is closed.
type limitedSocket struct {
	net.Conn
	set     *connections.Set
	tracked *connections.Connection
}

// Close implements net.Conn.
func (s *limitedSocket) Close() error {
	s.set.Close(s.tracked)
	return s.Conn.Close()
}

// greeted records that the dialer has sent its hello. From then on the connection is not closed for others.
func (s *limitedSocket) greeted() { s.set.Enter(s.tracked, connections.Running, time.Now()) }

// limit counts an accepted socket. If there are too many, it closes the one that has waited longest for a hello, or the
// given one if all have sent theirs; then it returns nil.
func (t *Transport) limit(socket net.Conn) *limitedSocket {
	set := t.options.Connections
	tracked, evicted, ok := set.Open(t.options.Group, socket, time.Now())
	if !ok {
		t.closedForLimit(socket, boundedhttp.Rejected)
		return nil
	}
	if evicted != nil {
		t.closedForLimit(evicted.Owner.(net.Conn), boundedhttp.Evicted)
	}
	return &limitedSocket{Conn: socket, set: set, tracked: tracked}
}

func (t *Transport) closedForLimit(socket net.Conn, reason boundedhttp.CloseReason) {
	_ = socket.Close()
	if t.options.OnClosed != nil {
		t.options.OnClosed(reason)
	}
}
