package logstream

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// failureReportInterval is the minimum time between two log lines about one operation. A node tails many
// streams, so an outage would otherwise flood its log.
const failureReportInterval = 10 * time.Second

// operation is a kind of call to the log service.
type operation int

const (
	operationRead operation = iota
	operationAppend
	operationLoadSnapshot
	operationCount
)

var operationNames = [operationCount]string{"read", "append", "load_snapshot"}

// failureWindow rate-limits the reports of one operation's failures and recoveries. Its zero value is ready to use.
type failureWindow struct {
	reportedAt time.Time // zero before the first report
	suppressed int       // failures since the last report that were not reported
}

// failed records a failure. It returns whether to report it, and how many were suppressed before it.
func (w *failureWindow) failed(now time.Time) (suppressed int, report bool) {
	if !w.reportedAt.IsZero() && now.Sub(w.reportedAt) < failureReportInterval {
		w.suppressed++
		return 0, false
	}
	return w.reset(now), true
}

// succeeded returns whether to report a success, and how many failures were suppressed before it.
func (w *failureWindow) succeeded(now time.Time) (suppressed int, report bool) {
	if w.suppressed == 0 || now.Sub(w.reportedAt) < failureReportInterval {
		return 0, false
	}
	return w.reset(now), true
}

func (w *failureWindow) reset(now time.Time) int {
	suppressed := w.suppressed
	w.suppressed = 0
	w.reportedAt = now
	return suppressed
}

// failureLog logs failed calls to the log service for all streams of a Manager: the first one immediately, then
// at most one line per operation and failureReportInterval, with the number of suppressed failures.
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
		Msg("log service is available again")
}
