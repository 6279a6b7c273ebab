package peer

import (
	"context"
	"runtime/debug"
	"sync"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// request implements Request.
type request struct {
	from string
	data []byte
}

func (r *request) From() string { return r.from }

func (r *request) Decode(message any) error {
	if err := decode(r.data, message); err != nil {
		return errkind.New(errkind.InvalidRequest, "decode peer request: %v", err)
	}
	return nil
}

// responseSink delivers the response of an exchange to its caller.
type responseSink interface {
	// send sends a message and returns its encoded size in bytes.
	send(ctx context.Context, message any) (int, error)
	// end ends the response, successfully if failure is nil.
	end(failure *errkind.Error)
}

// sendWindow holds the flow-control credit of a response stream. One message may reduce it below zero.
type sendWindow struct {
	mu     sync.Mutex
	credit int // in bytes
	// changed is signaled when add leaves a positive credit.
	changed chan struct{}
}

func newSendWindow() *sendWindow {
	return &sendWindow{credit: streamWindowBytes, changed: make(chan struct{}, 1)}
}

// wait blocks until credit is available, or returns the error of ctx.
func (w *sendWindow) wait(ctx context.Context) error {
	for {
		w.mu.Lock()
		available := w.credit > 0
		w.mu.Unlock()
		if available {
			return ctx.Err()
		}
		select {
		case <-w.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *sendWindow) add(bytes int) {
	w.mu.Lock()
	w.credit += bytes
	available := w.credit > 0
	w.mu.Unlock()
	if !available {
		return
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// exchange is a running handler and the response that it sends.
type exchange struct {
	transport  *Transport
	ctx        context.Context
	cancel     context.CancelFunc
	sendWindow *sendWindow
	sink       responseSink
}

// sender implements Sender.
type sender struct {
	exchange *exchange
	mu       sync.Mutex
}

// Send implements Sender.
func (s *sender) Send(message any) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.exchange
	if err := e.sendWindow.wait(e.ctx); err != nil {
		return err
	}
	size, err := e.sink.send(e.ctx, message)
	if err != nil {
		return err
	}
	e.sendWindow.add(-size)
	return nil
}

// run runs the handler and ends the response. The handler must have been counted by Transport.beginHandler.
func (e *exchange) run(kind frameKind, method Method, incoming *request) {
	defer e.transport.endHandler()
	defer e.cancel()
	e.sink.end(e.invoke(kind, method, incoming))
}

// invoke runs the handler and converts its error or panic to an errkind.Error.
func (e *exchange) invoke(kind frameKind, method Method, incoming *request) (failure *errkind.Error) {
	defer func() {
		if cause := recover(); cause != nil {
			e.transport.options.Logger.Error().Str("method", string(method)).
				Interface("panic", cause).Bytes("stack", debug.Stack()).Msg("peer handler panicked")
			failure = errkind.New(errkind.Internal, "handler of %s panicked: %v", method, cause)
		}
	}()
	if kind == frameCall {
		return errkind.From(e.invokeCall(method, incoming))
	}
	return errkind.From(e.invokeStream(method, incoming))
}

func (e *exchange) invokeCall(method Method, incoming *request) error {
	handler, ok := e.transport.callHandlers[method]
	if !ok {
		return errkind.New(errkind.NotFound, "peer does not serve call %q", method)
	}
	response, err := handler(e.ctx, incoming)
	if err != nil {
		return err
	}
	if _, err := e.sink.send(e.ctx, response); err != nil {
		return errors.Wrap(err, "send response")
	}
	return nil
}

func (e *exchange) invokeStream(method Method, incoming *request) error {
	handler, ok := e.transport.streamHandlers[method]
	if !ok {
		return errkind.New(errkind.NotFound, "peer does not serve stream %q", method)
	}
	return handler(e.ctx, incoming, &sender{exchange: e})
}
