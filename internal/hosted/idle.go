package hosted

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// fixedIdleTime is the idle time of listeners that no configuration bounds.
func fixedIdleTime() time.Duration { return defaultIdleTime }

// idleListener gives its connections an idle time that may change while the
// server runs, which the server's own cannot.
type idleListener struct {
	net.Listener
	idleTime func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConnection{Conn: connection, idleTime: l.idleTime}, nil
}

// idleConnection bounds the wait for the next request. The server takes the read
// deadline away when a connection becomes idle; this one sets its own in place.
type idleConnection struct {
	net.Conn
	idleTime func() time.Duration
	idle     atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *idleConnection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() && c.idle.Load() {
		deadline = time.Now().Add(c.idleTime())
	}
	return c.Conn.SetReadDeadline(deadline)
}

// noteIdle tells a connection whether it waits for a request. The server takes
// the header's deadline away before it says that the connection is active, so
// the idle time that was set instead goes here.
func noteIdle(connection net.Conn, state http.ConnState) {
	known, ours := connection.(*idleConnection)
	if !ours {
		return
	}
	known.idle.Store(state == http.StateIdle)
	if state == http.StateActive {
		_ = known.Conn.SetReadDeadline(time.Time{})
	}
}
