// Package callerwrite writes answers to callers that may read slowly, or not at all.
//
// Whoever makes an answer goes on at its own pace: an engine breaks an answer off that is not read for some
// seconds, and its connection would be lost for what the caller does. So the bytes are held here until the caller
// takes them, within a bound for each caller, and count as memory of the node. A caller that takes nothing for a
// while is cut off.
package callerwrite

import (
	"net/http"
	"os"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/bytebudget"
)

const (
	// pieceBytes is what is written at once: the time without progress counts anew for each piece.
	pieceBytes = 32 << 10
	// MaxHeld bounds the bytes held for one caller: a minute of an event stream, or the whole of most answers.
	MaxHeld = 1 << 20
)

// Limits bound what is held for callers and for how long. The zero value bounds nothing but MaxHeld.
type Limits struct {
	Budget *bytebudget.Budget
	// Stall is how long a caller may take no byte of its answer before it is cut off; zero for ever.
	Stall time.Duration
	// Stalled, if set, is told of each caller that was cut off, with the bytes that it had not taken.
	Stalled func(left int)
}

// Write writes content to a caller, piece by piece, and returns when it has taken all, or the error of the first
// piece that it did not take. The bytes count in the budget meanwhile.
func (l Limits) Write(w http.ResponseWriter, content []byte) error {
	left := content
	l.Budget.Take(bytebudget.Answers, int64(len(content)))
	defer l.Budget.Release(bytebudget.Answers, int64(len(content)))
	for len(left) > 0 {
		piece := left[:min(pieceBytes, len(left))]
		if err := l.writePiece(w, piece); err != nil {
			l.tell(err, len(left))
			return err
		}
		left = left[len(piece):]
	}
	l.setDeadline(w, time.Time{})
	return nil
}

func (l Limits) writePiece(w http.ResponseWriter, piece []byte) error {
	if l.Stall > 0 {
		l.setDeadline(w, time.Now().Add(l.Stall))
	}
	_, err := w.Write(piece)
	return err
}

// setDeadline sets when a write ends that makes no progress; the zero time for never. Callers whose connection has
// no deadlines, those of tests, are waited for.
func (l Limits) setDeadline(w http.ResponseWriter, at time.Time) {
	_ = http.NewResponseController(w).SetWriteDeadline(at)
}

// tell tells of a caller that was cut off; one that left by itself is no news.
func (l Limits) tell(err error, left int) {
	if l.Stalled != nil && errors.Is(err, os.ErrDeadlineExceeded) {
		l.Stalled(left)
	}
}
