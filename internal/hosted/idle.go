package hosted

import (
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// fixedIdleTimeout is the idle timeout of listeners for which it is not configurable.
func fixedIdleTimeout() time.Duration { return defaultIdleTimeout }

// idleListener gives its connections an idle timeout that may change while the server runs. http.Server reads its
// own only once.
type idleListener struct {
	net.Listener
	idleTimeout func() time.Duration
}

// Accept implements net.Listener.
func (l *idleListener) Accept() (net.Conn, error) {
	connection, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &idleConnection{Conn: connection, idleTimeout: l.idleTimeout}, nil
}

// idleConnection bounds the wait for the next request. http.Server clears the read deadline when a connection
// becomes idle; this type sets the idle timeout instead.
type idleConnection struct {
	net.Conn
	idleTimeout func() time.Duration
	idle        atomic.Bool
}

// SetReadDeadline implements net.Conn.
func (c *idleConnection) SetReadDeadline(deadline time.Time) error {
	if deadline.IsZero() && c.idle.Load() {
		deadline = time.Now().Add(c.idleTimeout())
	}
	return c.Conn.SetReadDeadline(deadline)
}

// trackIdle records whether a connection is waiting for a request. http.Server clears the header deadline before it
// reports a connection as active, so the idle deadline set in its place is cleared here.
func trackIdle(connection net.Conn, state http.ConnState) {
	tracked, ok := connection.(*idleConnection)
	if !ok {
		return
	}
	tracked.idle.Store(state == http.StateIdle)
	if state == http.StateActive {
		_ = tracked.Conn.SetReadDeadline(time.Time{})
	}
}
