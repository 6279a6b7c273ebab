package gateway

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// deadlineWriter writes to a caller that must take each write within a timeout.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// extended is when the deadline was last set.
	extended time.Time
}

// extendFraction: the deadline is set anew once this part of the timeout has
// passed since the last time, rather than for each event.
const extendFraction = 8

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *deadlineWriter {
	return &deadlineWriter{
		ResponseWriter: w,
		controller:     http.NewResponseController(w),
		timeout:        timeout,
	}
}

// extend gives the caller the timeout, less extendFraction of it at most, for
// what is written next. A deadline that passes between two writes does no harm, and net/http clears it
// after the answer; until then it also bounds the last bytes, which net/http
// writes when the handler has returned.
func (w *deadlineWriter) extend() {
	now := time.Now()
	if now.Sub(w.extended) < w.timeout/extendFraction {
		return
	}
	w.extended = now
	// Writers without deadlines (tests' recorders) need none.
	_ = w.controller.SetWriteDeadline(now.Add(w.timeout))
}

// flush sends what was written.
func (w *deadlineWriter) flush() error {
	err := w.controller.Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerGone(err)
	}
	return nil
}

func callerGone(err error) error {
	return errkind.New(errkind.Canceled, "the caller left or took its answer too slowly: %v", err)
}
