package keyed

import (
	"context"
	"sync"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
	"github.com/corkpulley/corkpulley/internal/router"
)

// flight is one key's request while this node deals with it. Every caller with
// the key, the first one too, follows the flight from its first piece.
type flight struct {
	fingerprint string

	mu       sync.Mutex
	changed  chan struct{}
	pieces   []router.Piece
	finished bool
	result   router.Result
	err      error
}

func newFlight(fingerprint string) *flight {
	return &flight{fingerprint: fingerprint, changed: make(chan struct{})}
}

// add appends a piece of the answer.
func (f *flight) add(piece router.Piece) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pieces = append(f.pieces, piece)
	f.notify()
}

// finish sets the end of the answer, once; later calls have no effect.
func (f *flight) finish(result router.Result, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.finished {
		return
	}
	f.finished = true
	f.result = result
	f.err = err
	f.notify()
}

// notify wakes all followers; mu is held.
func (f *flight) notify() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// answer returns the pieces so far.
func (f *flight) answer() []router.Piece {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.pieces
}

// failedUnrun reports whether the flight ended with a request that did not run.
func (f *flight) failedUnrun() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.finished && f.err != nil && errkind.KindOf(f.err).Answer().Execution == errkind.NotExecuted
}

// follow hands all pieces to onPiece, in order, and returns the end. When the
// caller leaves, the flight goes on without it.
func (f *flight) follow(ctx context.Context, onPiece func(router.Piece) error) (router.Result, error) {
	next := 0
	for {
		f.mu.Lock()
		pieces := f.pieces[next:]
		finished, result, err := f.finished, f.result, f.err
		changed := f.changed
		f.mu.Unlock()

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
			return router.Result{}, errkind.New(errkind.Canceled, "the caller left: %v", ctx.Err())
		}
	}
}

// deliver hands pieces to onPiece in order.
func deliver(pieces []router.Piece, onPiece func(router.Piece) error) error {
	for _, piece := range pieces {
		if err := onPiece(piece); err != nil {
			return errkind.New(errkind.Canceled, "the caller left: %v", err)
		}
	}
	return nil
}
