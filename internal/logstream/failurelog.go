package logstream

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// failureReportInterval is the least time between two lines about the same
// operation. A node tails many streams, so an outage would flood its log.
const failureReportInterval = 10 * time.Second

// operation is a kind of call to the log service.
type operation int

// The kinds of calls.
const (
	operationRead operation = iota
	operationAppend
	operationLoadSnapshot
	operationCount
)

var operationNames = [operationCount]string{"read", "append", "load_snapshot"}

// failureWindow decides which failures of one operation are reported. Its zero
// value is ready to use.
type failureWindow struct {
	reportedAt time.Time // zero before the first report
	suppressed int       // failures since the last report that were not reported
}

// failed notes a failure and tells whether to report it, with the number of
// failures suppressed before it.
func (w *failureWindow) failed(now time.Time) (suppressed int, report bool) {
	if !w.reportedAt.IsZero() && now.Sub(w.reportedAt) < failureReportInterval {
		w.suppressed++
		return 0, false
	}
	return w.take(now), true
}

// succeeded tells whether to report the failures suppressed before a success.
func (w *failureWindow) succeeded(now time.Time) (suppressed int, report bool) {
	if w.suppressed == 0 || now.Sub(w.reportedAt) < failureReportInterval {
		return 0, false
	}
	return w.take(now), true
}

func (w *failureWindow) take(now time.Time) int {
	suppressed := w.suppressed
	w.suppressed = 0
	w.reportedAt = now
	return suppressed
}

// failureLog logs failed calls to the log service for all streams of a
// Manager: the first at once, then at most one line for each operation and
// failureReportInterval, with the number of failures in between.
type failureLog struct {
	logger zerolog.Logger
	now    func() time.Time

	mu      sync.Mutex
	windows [operationCount]failureWindow
}

func newFailureLog(logger zerolog.Logger, now func() time.Time) *failureLog {
	return &failureLog{logger: logger, now: now}
}

func (f *failureLog) failed(operation operation, stream string, err error) {
	f.mu.Lock()
	suppressed, report := f.windows[operation].failed(f.now())
	f.mu.Unlock()
	if !report {
		return
	}
	f.logger.Warn().Err(err).
		Str("operation", operationNames[operation]).
		Str("stream", stream).
		Int("suppressed", suppressed).
		Msg("log service call failed")
}

func (f *failureLog) succeeded(operation operation) {
	f.mu.Lock()
	suppressed, report := f.windows[operation].succeeded(f.now())
	f.mu.Unlock()
	if !report {
		return
	}
	f.logger.Info().
		Str("operation", operationNames[operation]).
		Int("suppressed", suppressed).
		Msg("log service answers again")
}
