package hosted

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

const (
	// headerTimeout must exceed any header timeout that a configuration allows.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes is the hard limit of header sizes; the configured one is lower.
	maxHeaderBytes = 64 << 10
)

// sendBufferBytes is the socket send buffer size of accepted connections. It bounds the kernel memory used for a caller
// that does not read its response, which no budget of the process covers. The kernel may use twice as much: 256 MB for a
// thousand such callers, in place of some 4 GB.
const sendBufferBytes = 128 << 10

// setSendBuffer sets the send buffer of a listener, which its connections inherit. Failure is ignored: the system's
// default then applies.
func setSendBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
}

type server struct {
	listener net.Listener
	http     *http.Server
	// inFlight is the number of requests being handled.
	inFlight atomic.Int64
}

// listen returns a server at the address. It closes connections that are idle for longer than idleTimeout, which is
// called for each idle period and may change.
func listen(address string, handler http.Handler, idleTimeout func() time.Duration) (*server, error) {
	config := net.ListenConfig{Control: setSendBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &server{listener: &idleListener{Listener: listener, idleTimeout: idleTimeout}}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
	s.http = &http.Server{
		Handler: counted, ReadHeaderTimeout: headerTimeout, ConnState: trackIdle,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// drain waits until no request is being handled or ctx ends.
func (s *server) drain(ctx context.Context) {
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for s.inFlight.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
