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

// answerSink takes the answer of one exchange to its caller.
type answerSink interface {
	// message sends one message and returns its encoded size in bytes.
	message(ctx context.Context, message any) (int, error)
	// end ends the answer: cleanly for a nil failure.
	end(failure *errkind.Error)
}

// window holds the credit of one answer stream. It may fall below zero by one message.
type window struct {
	mu      sync.Mutex
	credit  int
	changed chan struct{}
}

func newWindow() *window {
	return &window{credit: streamWindow, changed: make(chan struct{}, 1)}
}

// wait returns once there is credit, or with ctx's error.
func (w *window) wait(ctx context.Context) error {
	for {
		w.mu.Lock()
		open := w.credit > 0
		w.mu.Unlock()
		if open {
			return ctx.Err()
		}
		select {
		case <-w.changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *window) add(bytes int) {
	w.mu.Lock()
	w.credit += bytes
	open := w.credit > 0
	w.mu.Unlock()
	if !open {
		return
	}
	select {
	case w.changed <- struct{}{}:
	default:
	}
}

// exchange is one running handler.
type exchange struct {
	transport *Transport
	ctx       context.Context
	cancel    context.CancelFunc
	window    *window
	sink      answerSink
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
	if err := e.window.wait(e.ctx); err != nil {
		return err
	}
	size, err := e.sink.message(e.ctx, message)
	if err != nil {
		return err
	}
	e.window.add(-size)
	return nil
}

// run answers the request and releases the exchange. The transport must have
// counted it with begin.
func (e *exchange) run(kind frameKind, method Method, incoming *request) {
	defer e.transport.end()
	defer e.cancel()
	e.sink.end(e.answer(kind, method, incoming))
}

// answer runs the handler and turns its error or panic into an errkind.Error.
func (e *exchange) answer(kind frameKind, method Method, incoming *request) (failure *errkind.Error) {
	defer func() {
		if cause := recover(); cause != nil {
			e.transport.options.Logger.Error().Str("method", string(method)).
				Interface("panic", cause).Bytes("stack", debug.Stack()).Msg("peer handler panicked")
			failure = errkind.New(errkind.Internal, "handler of %s panicked: %v", method, cause)
		}
	}()
	if kind == frameCall {
		return errkind.From(e.answerCall(method, incoming))
	}
	return errkind.From(e.answerStream(method, incoming))
}

func (e *exchange) answerCall(method Method, incoming *request) error {
	handler, ok := e.transport.callHandlers[method]
	if !ok {
		return errkind.New(errkind.NotFound, "peer does not serve call %q", method)
	}
	response, err := handler(e.ctx, incoming)
	if err != nil {
		return err
	}
	if _, err := e.sink.message(e.ctx, response); err != nil {
		return errors.Wrap(err, "send response")
	}
	return nil
}

func (e *exchange) answerStream(method Method, incoming *request) error {
	handler, ok := e.transport.streamHandlers[method]
	if !ok {
		return errkind.New(errkind.NotFound, "peer does not serve stream %q", method)
	}
	return handler(e.ctx, incoming, &sender{exchange: e})
}
