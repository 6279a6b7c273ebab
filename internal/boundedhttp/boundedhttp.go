// Package boundedhttp serves HTTP within the memory and the descriptors of a machine, whatever clients send. All
// listeners of a node share a set of connections and a budget of bytes (core/connections). A request is charged while it
// arrives, by what it takes in memory: its header before it is decoded, its body as it is read.
package boundedhttp

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
	"github.com/corkpulley/corkpulley/internal/core/connections"
	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

const (
	// MaxHeaderBytes is the hard limit of header sizes; a configured one is lower.
	MaxHeaderBytes = 64 << 10
	// DefaultHeaderTimeout bounds the time in which a header arrives, unless configured.
	DefaultHeaderTimeout = 10 * time.Second
	// sendBufferBytes is the socket send buffer size of accepted connections. It bounds the kernel memory used for a
	// caller that does not read its response, which no budget of the process covers. The kernel may use twice as much:
	// 256 MB for a thousand such callers, in place of some 4 GB.
	sendBufferBytes = 128 << 10
	// receiveBufferBytes is the socket receive buffer size of accepted connections, kernelBufferBytes the kernel memory for
	// it: bytes that have arrived and that the process has not read.
	receiveBufferBytes = 64 << 10
	kernelBufferBytes  = 2 * receiveBufferBytes
)

// CloseReason is why a connection was closed although its client had not left.
type CloseReason string

// Reasons for which connections are closed.
const (
	// Rejected: all connections of the listener run requests.
	Rejected CloseReason = "rejected"
	// Evicted: the connection has waited longest for its client, and another one needs its place.
	Evicted CloseReason = "evicted"
	// EvictedForMemory: the client of an unfinished request is silent, and another request needs its memory.
	EvictedForMemory CloseReason = "evicted_for_memory"
	// NoMemory: there is no memory for the request, and no silent client.
	NoMemory CloseReason = "no_memory"
	// HeaderTooLarge: the header exceeds its limit.
	HeaderTooLarge CloseReason = "header_too_large"
	// HeaderTimeout: the header did not arrive in time.
	HeaderTimeout CloseReason = "header_timeout"
	// BodyTimeout: the body did not arrive in time.
	BodyTimeout CloseReason = "body_timeout"
)

// CloseReasons returns all reasons.
func CloseReasons() []CloseReason {
	return []CloseReason{Rejected, Evicted, EvictedForMemory, NoMemory, HeaderTooLarge, HeaderTimeout, BodyTimeout}
}

// Limits are the limits for the requests of a listener. They may change while it serves.
type Limits struct {
	// MaxHeaderBytes bounds the size of a header as sent, with its request line.
	MaxHeaderBytes int
	// HeaderTimeout bounds the time from the first byte of a header to its last.
	HeaderTimeout time.Duration
	// IdleTimeout bounds the wait for the next request.
	IdleTimeout time.Duration
}

// Options configure a Server.
type Options struct {
	Address string
	Handler http.Handler
	// Set and Group are where the connections of the listener count.
	Set   *connections.Set
	Group *connections.Group
	// Limits is called for each header that arrives.
	Limits func() Limits
	// IDHeader names the header with the ID of a request, which refusals repeat; empty for none.
	IDHeader string
	// EncodeRefusal returns the header and the content of the response to a refused request; nil for a plain text.
	EncodeRefusal func(failure *errkind.Error) (header http.Header, content []byte)
	// OnRefused is called for each request that is refused before it is decoded; nil for nothing.
	OnRefused func(id string, failure *errkind.Error)
	// OnClosed is called for each connection that is closed although its client had not left, OnBodyRefused for each
	// request whose body is refused for lack of memory; nil for nothing.
	OnClosed      func(reason CloseReason)
	OnBodyRefused func()
}

// Server is a bounded HTTP server with its listener.
type Server struct {
	options  Options
	set      *connections.Set
	listener net.Listener
	http     *http.Server
	// cancelRequests cancels the contexts of all requests.
	cancelRequests context.CancelCauseFunc
	// inFlight is the number of requests being handled.
	inFlight atomic.Int64
}

// Listen opens a listener. Its connections wait until Serve is called.
func Listen(options Options) (*Server, error) {
	config := net.ListenConfig{Control: setBuffers}
	listener, err := config.Listen(context.Background(), "tcp", options.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", options.Address)
	}
	if options.OnRefused == nil {
		options.OnRefused = func(string, *errkind.Error) {}
	}
	if options.EncodeRefusal == nil {
		options.EncodeRefusal = encodePlainRefusal
	}
	requests, cancelRequests := context.WithCancelCause(context.Background())
	s := &Server{options: options, set: options.Set, cancelRequests: cancelRequests}
	s.listener = &boundedListener{Listener: listener, server: s}
	s.http = &http.Server{
		Handler: http.HandlerFunc(s.handle), ConnState: trackState, ConnContext: withConnection,
		BaseContext:    func(net.Listener) context.Context { return requests },
		MaxHeaderBytes: MaxHeaderBytes, ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	return s, nil
}

// setBuffers sets the buffer sizes of a listener, which its connections inherit. Failure is ignored: the system's defaults
// then apply.
func setBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(descriptor uintptr) {
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes)
		_ = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
	})
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// InFlight returns the number of requests being handled.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// Serve handles requests until Shutdown or Close.
func (s *Server) Serve() error {
	if err := s.http.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve HTTP")
	}
	return nil
}

// CloseIdle closes the connections on which no request runs, and from now on each one after its request.
func (s *Server) CloseIdle() { s.http.SetKeepAlivesEnabled(false) }

// CancelRequests cancels the contexts of all requests with a cause. Their connections stay open, for the responses.
func (s *Server) CancelRequests(cause error) { s.cancelRequests(cause) }

// Drain waits until no request is being handled or ctx ends.
func (s *Server) Drain(ctx context.Context) {
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

// Shutdown stops listening and waits for pending requests until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error { return s.http.Shutdown(ctx) }

// Close closes the listener and all connections. Serve need not have been called.
func (s *Server) Close() error { return errors.Join(s.http.Close(), s.listener.Close()) }

// handle serves a request whose body is charged as it is read.
func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	c := r.Context().Value(connectionKey{}).(*connection)
	if r.ContentLength != 0 {
		// http.Server looks at the body of its own request to decide whether to wait for the rest of it.
		r = r.WithContext(r.Context())
		r.Body = &chargedBody{ReadCloser: r.Body, connection: c, length: r.ContentLength}
	}
	if r.ContentLength != 0 && r.Method != http.MethodPost && r.Method != http.MethodPut {
		// Handlers of other methods may leave the body to the kernel while they run.
		if !c.reserve(bytebudget.Headers, kernelBufferBytes) {
			s.closed(NoMemory)
			s.refuse(w, r, noMemory(kernelBufferBytes))
			return
		}
	}
	s.options.Handler.ServeHTTP(w, r)
}

// closed reports a connection that is closed.
func (s *Server) closed(reason CloseReason) {
	if s.options.OnClosed != nil {
		s.options.OnClosed(reason)
	}
}

func (s *Server) refusedBody() {
	if s.options.OnBodyRefused != nil {
		s.options.OnBodyRefused()
	}
}

type connectionKey struct{}

func withConnection(ctx context.Context, accepted net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, accepted.(*connection))
}

// trackState follows the requests of a connection.
func trackState(accepted net.Conn, state http.ConnState) {
	c := accepted.(*connection)
	switch state {
	case http.StateActive:
		c.active.Store(true)
	case http.StateIdle:
		c.requestEnded()
	}
}

// boundedListener accepts connections within the limit of a group.
type boundedListener struct {
	net.Listener
	server *Server
	// closeOnce makes a second Close, by http.Server, succeed.
	closeOnce sync.Once
	closeErr  error
}

// Accept implements net.Listener. Connections beyond the limit are closed unread.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &connection{Conn: accepted, server: l.server, isFirst: true}
		tracked, evicted, ok := l.server.set.Open(l.server.options.Group, c, time.Now())
		if !ok {
			l.server.closed(Rejected)
			_ = accepted.Close()
			continue
		}
		c.tracked = tracked
		if evicted != nil {
			closeEvicted([]*connections.Connection{evicted}, Evicted)
		}
		return c, nil
	}
}

// Close implements net.Listener.
func (l *boundedListener) Close() error {
	l.closeOnce.Do(func() { l.closeErr = l.Listener.Close() })
	return l.closeErr
}

// closeEvicted closes connections that the set has evicted.
func closeEvicted(evicted []*connections.Connection, reason CloseReason) {
	for _, each := range evicted {
		owner := each.Owner.(*connection)
		owner.server.closed(reason)
		_ = owner.Conn.Close()
	}
}
