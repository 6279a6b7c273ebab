// Package httpserver contains the HTTP server lifecycle and JSON helpers shared by the simulated services.
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

// DefaultListen is the default listen address: any free port on the loopback interface.
const DefaultListen = "127.0.0.1:0"

const (
	maxRequestBytes   = 64 << 10
	shutdownTimeout   = 5 * time.Second
	readHeaderTimeout = 10 * time.Second
)

// Listener serves HTTP at one address. Serve must be called at most once.
type Listener struct {
	name   string
	listen string
	ready  chan struct{}

	mu      sync.Mutex
	address string
}

// NewListener returns a Listener for an address ("ip:port"; empty for DefaultListen). Errors contain the name.
func NewListener(name, listen string) *Listener {
	if listen == "" {
		listen = DefaultListen
	}
	return &Listener{name: name, listen: listen, ready: make(chan struct{})}
}

// Ready returns a channel that is closed once Serve listens.
func (l *Listener) Ready() <-chan struct{} { return l.ready }

// Address returns the address that Serve listens on. It is empty before Ready.
func (l *Listener) Address() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.address
}

// Serve listens and serves until ctx ends, and then waits up to shutdownTimeout for running requests. It returns an
// error if it could not listen or serve.
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

// DecodeJSON decodes the request body into message. If the body is invalid or larger than 64 KiB, it responds with
// 400 and returns false.
func DecodeJSON(writer http.ResponseWriter, request *http.Request, message any) bool {
	body := http.MaxBytesReader(writer, request.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(message); err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes a response with the status and the body as JSON.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	// A write fails only if the client has disconnected.
	_ = json.NewEncoder(writer).Encode(body)
}
