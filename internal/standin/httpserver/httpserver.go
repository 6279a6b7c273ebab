// Package httpserver holds what the HTTP stand-ins have in common: listening,
// serving until told to stop, and JSON bodies.
package httpserver

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// DefaultListen is the address of a stand-in that names none: any free port.
const DefaultListen = "127.0.0.1:0"

const (
	maxRequestBytes   = 64 << 10
	shutdownTimeout   = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// Listener listens at one address and tells which one it got. It runs once.
type Listener struct {
	name   string
	listen string
	ready  chan struct{}

	mu      sync.Mutex
	address string
}

// NewListener returns a Listener for the address ("ip:port"; empty takes
// DefaultListen). The name stands in errors.
func NewListener(name, listen string) *Listener {
	if listen == "" {
		listen = DefaultListen
	}
	return &Listener{name: name, listen: listen, ready: make(chan struct{})}
}

// Ready returns a channel that is closed once Serve listens.
func (l *Listener) Ready() <-chan struct{} { return l.ready }

// Address returns the address that Serve listens on; empty before Ready.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Serve listens and serves until ctx ends, and then lets begun requests end for
// shutdownTimeout. An error means that it could not listen or serve.
func (l *Listener) Serve(ctx context.Context, handler http.Handler) error {
	listener, err := net.Listen("tcp", l.listen)
	if err != nil {
		return errors.Wrapf(err, "%s listen", l.name)
	}
	l.mu.Lock()
	l.address = listener.Addr().String()
	l.mu.Unlock()
	close(l.ready)
	server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	select {
	case err := <-served:
		return errors.Wrapf(err, "%s serve", l.name)
	case <-ctx.Done():
	}
	stopContext, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(stopContext); err != nil {
		_ = server.Close()
	}
	return nil
}

// DecodeJSON reads the request's body into message; false when it answered 400
// because the body is no JSON, does not fit, or is larger than 64 KiB.
func DecodeJSON(writer http.ResponseWriter, request *http.Request, message any) bool {
	body := http.MaxBytesReader(writer, request.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(message); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON answers with the status and the body as JSON.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A failed write means that the client left; there is nobody to tell.
	_ = json.NewEncoder(writer).Encode(body)
}
