package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/gorilla/mux"

	"github.com/corkpulley/corkpulley/internal/httpapi"
)

// Limits of HTTP connections. There is no write timeout because streamed answers
// may take long; the gateway sets a write deadline for each event.
const (
	// readHeaderTimeout limits the time to read a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout is how long an idle connection is kept.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 64 << 10
)

// server is an HTTP server with its listener.
type server struct {
	listener net.Listener
	http     *http.Server
}

// listen opens a listener for a server whose handler is the router, wrapped in the
// checks common to all requests.
func listen(address string, router *mux.Router) (*server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", address)
	}
	return &server{
		listener: listener,
		http: &http.Server{
			Handler:           httpapi.NewHandler(router),
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
		},
	}, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

// serve handles requests until shutdown.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown stops listening and waits for pending requests until ctx is done.
func (s *server) shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
