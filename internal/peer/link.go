package peer

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	dialTimeout = 2 * time.Second
	// linkExpiry is how long an unused link without a connection is kept.
	linkExpiry = time.Minute
)

// dialRetries is the backoff between failed dials of an address. Calls fail immediately until the next dial is due.
var dialRetries = retry.Policy{First: 50 * time.Millisecond, Longest: time.Second}

// link manages the single outgoing connection to a peer address.
type link struct {
	transport *Transport
	address   string

	mu          sync.Mutex
	session     *clientSession
	dialing     chan struct{} // closed when the dial in progress ends
	dialErr     error         // error of the last dial; errSessionClosing if it succeeded
	retryAt     time.Time     // earliest time of the next dial
	dialBackoff *backoff.ExponentialBackOff
	lastUsed    time.Time
}

func newLink(transport *Transport, address string) *link {
	return &link{transport: transport, address: address, dialBackoff: dialRetries.Delays()}
}

// get returns the open session, dialing if necessary.
func (l *link) get(ctx context.Context) (*clientSession, error) {
	l.mu.Lock()
	l.lastUsed = time.Now()
	if l.session != nil {
		defer l.mu.Unlock()
		return l.session, nil
	}
	if l.dialing == nil {
		if time.Now().Before(l.retryAt) {
			defer l.mu.Unlock()
			return nil, l.dialErr
		}
		l.dialing = make(chan struct{})
		go l.dial(l.dialing)
	}
	dialing := l.dialing
	l.mu.Unlock()
	select {
	case <-dialing:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == nil {
		return nil, l.dialErr
	}
	return l.session, nil
}

// dial makes one connection attempt, stores its result and closes finished.
func (l *link) dial(finished chan struct{}) {
	session, err := l.connect()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dialing = nil
	if err != nil {
		l.dialErr = err
		l.retryAt = time.Now().Add(l.dialBackoff.NextBackOff())
	} else {
		l.session = session
		l.dialErr = errSessionClosing
		l.retryAt = time.Time{}
		l.dialBackoff.Reset()
		session.connection.start(bufio.NewReaderSize(session.connection.socket, readBufferSize))
	}
	close(finished)
}

func (l *link) connect() (*clientSession, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	socket, err := dialer.DialContext(l.transport.baseContext, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	connection := newConnection(socket, l.transport.stats)
	session := newClientSession(connection, l.sessionClosed)
	greeting := newFrame(frameHello, 0)
	if err := greeting.encode(hello{NodeID: l.transport.options.NodeID, Version: protocolVersion}); err != nil {
		_ = socket.Close()
		return nil, errors.Wrap(err, "encode hello")
	}
	if !l.transport.addConnection(connection) {
		_ = socket.Close()
		return nil, errTransportClosed
	}
	connection.sendControl(greeting)
	return session, nil
}

func (l *link) sessionClosed(session *clientSession) {
	l.transport.removeConnection(session.connection)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		l.session = nil
	}
}

// discard removes a closing session, so that the next get dials.
func (l *link) discard(session *clientSession) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.session == session {
		l.session = nil
	}
}

// expired reports whether the link may be removed. A caller that still holds a removed link dials an
// additional connection, which is harmless.
func (l *link) expired(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.session == nil && l.dialing == nil && now.Sub(l.lastUsed) > linkExpiry
}
