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
	// headerTimeout is beyond any that a configuration is known to allow.
	headerTimeout = 10 * time.Second
	// maxHeaderBytes bounds what is read at all; the configuration's bound is lower.
	maxHeaderBytes = 64 << 10
)

// sendBufferBytes is what the kernel holds of an answer for a caller that does not read, twice at most: memory of
// the machine that no budget of the process counts. A thousand such callers take 256 MB of it, in place of some 4 GB.
const sendBufferBytes = 128 << 10

// boundSendBuffer sets the send buffer of a listener, which its connections inherit. A system that does not bound it
// keeps its own.
func boundSendBuffer(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
	})
}

// server is one listener with its handler.
type server struct {
	listener net.Listener
	http     *http.Server
	// inFlight counts the requests being answered.
	inFlight atomic.Int64
}

// listen returns a server at the address. Idle connections are closed after
// idleTime, which is asked each time and may change.
func listen(address string, handler http.Handler, idleTime func() time.Duration) (*server, error) {
	config := net.ListenConfig{Control: boundSendBuffer}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	s := &server{listener: &idleListener{Listener: listener, idleTime: idleTime}}
	counted := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.inFlight.Add(1)
		defer s.inFlight.Add(-1)
		handler.ServeHTTP(w, r)
	})
	s.http = &http.Server{
		Handler: counted, ReadHeaderTimeout: headerTimeout, ConnState: noteIdle,
		MaxHeaderBytes: maxHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve")
	}
	return nil
}

// drain waits until no request is being answered or ctx ends.
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
