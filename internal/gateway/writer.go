package gateway

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/corkpulley/corkpulley/internal/core/errkind"
)

// deadlineWriter writes to a caller that must accept each write within a timeout.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// extendedAt is when the deadline was last set.
	extendedAt time.Time
}

// extendDivisor limits deadline updates to one per timeout/extendDivisor instead of one per event.
const extendDivisor = 8

func newDeadlineWriter(w http.ResponseWriter, timeout time.Duration) *deadlineWriter {
	return &deadlineWriter{
		ResponseWriter: w,
		controller:     http.NewResponseController(w),
		timeout:        timeout,
	}
}

// extend moves the write deadline so that the next write has at least the timeout less
// timeout/extendDivisor. A deadline that expires between writes is harmless: net/http clears it after
// the answer. Until then it also bounds the bytes that net/http flushes after the handler returns.
func (w *deadlineWriter) extend() {
	now := time.Now()
	if now.Sub(w.extendedAt) < w.timeout/extendDivisor {
		return
	}
	w.extendedAt = now
	// Writers without deadlines, such as test recorders, are left as they are.
	_ = w.controller.SetWriteDeadline(now.Add(w.timeout))
}

func (w *deadlineWriter) flush() error {
	err := w.controller.Flush()
	if err != nil && !errors.Is(err, http.ErrNotSupported) {
		return callerWriteError(err)
	}
	return nil
}

func callerWriteError(err error) error {
	return errkind.New(errkind.Canceled, "the caller disconnected or did not read the answer in time: %v", err)
}
