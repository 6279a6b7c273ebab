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

// Limits on HTTP connections. A write deadline is set for each streamed event
// by the gateway, not here, since answers may last long.
const (
	// readHeaderTimeout bounds the wait for a request's header.
	readHeaderTimeout = 10 * time.Second
	// idleTimeout closes a connection without requests.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 64 << 10
)

// server is one HTTP listener with its router.
type server struct {
	listener net.Listener
	http     *http.Server
}

// listen opens a listener; its handler is the router with the checks that hold
// for all requests.
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

// serve answers requests until shutdown.
func (s *server) serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown stops listening and waits for requests in hand, bounded by ctx.
func (s *server) shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }
