package keyed

import (
	"context"
	"sync"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/router"
)

// execution is the processing of one key's request on this node. All callers with the key, including the first,
// receive the answer from its first piece.
type execution struct {
	fingerprint string

	mu       sync.Mutex
	changed  chan struct{}
	pieces   []router.Piece
	finished bool
	result   router.Result
	err      error
}

func newExecution(fingerprint string) *execution {
	return &execution{fingerprint: fingerprint, changed: make(chan struct{})}
}

// add appends a piece of the answer.
func (e *execution) add(piece router.Piece) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pieces = append(e.pieces, piece)
	e.notify()
}

// finish sets the result; only the first call has an effect.
func (e *execution) finish(result router.Result, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.finished {
		return
	}
	e.finished = true
	e.result = result
	e.err = err
	e.notify()
}

// notify wakes all callers. Must be called with mu held.
func (e *execution) notify() {
	close(e.changed)
	e.changed = make(chan struct{})
}

// receivedPieces returns the pieces so far.
func (e *execution) receivedPieces() []router.Piece {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pieces
}

// failedWithoutRun reports whether the execution ended with an error before the request ran.
func (e *execution) failedWithoutRun() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.finished && e.err != nil && errkind.KindOf(e.err).Response().Execution == errkind.NotExecuted
}

// streamTo passes all pieces to onPiece in order and returns the result. The execution continues when the caller
// disconnects.
func (e *execution) streamTo(ctx context.Context, onPiece func(router.Piece) error) (router.Result, error) {
	next := 0
	for {
		e.mu.Lock()
		pieces := e.pieces[next:]
		finished, result, err := e.finished, e.result, e.err
		changed := e.changed
		e.mu.Unlock()

		if deliverErr := deliver(pieces, onPiece); deliverErr != nil {
			return router.Result{}, deliverErr
		}
		next += len(pieces)
		if finished {
			return result, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return router.Result{}, errkind.New(errkind.Canceled, "the caller disconnected: %v", ctx.Err())
		}
	}
}

// deliver passes pieces to onPiece in order.
func deliver(pieces []router.Piece, onPiece func(router.Piece) error) error {
	for _, piece := range pieces {
		if err := onPiece(piece); err != nil {
			return errkind.New(errkind.Canceled, "the caller disconnected: %v", err)
		}
	}
	return nil
}
