package hosted

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/corkpulley/corkpulley/internal/common/retry"
)

const (
	// linesPerSecond limits the rate of each kind of line, failuresPerSecond that of each kind at level warn or
	// above.
	linesPerSecond    = 200
	failuresPerSecond = 800
	// burstSeconds is the burst size in seconds of the permitted rate.
	burstSeconds = 2
	// suppressedReportPeriod is the interval between reports of suppressed lines.
	suppressedReportPeriod = 10 * time.Second
)

// lineKind is the unit of rate limiting: lines with the same message, split at level warn.
type lineKind struct {
	message string
	failure bool
}

// lineLimit limits the rate of log lines of each kind and counts the suppressed ones. It implements zerolog.Hook
// and is safe for concurrent use.
type lineLimit struct {
	// onSuppressed is called for each suppressed line.
	onSuppressed func()

	mu    sync.Mutex
	kinds map[lineKind]*lineKindState
}

type lineKindState struct {
	limiter    *rate.Limiter
	suppressed int
}

func newLineLimit(onSuppressed func()) *lineLimit {
	return &lineLimit{onSuppressed: onSuppressed, kinds: make(map[lineKind]*lineKindState)}
}

// Run implements zerolog.Hook.
func (l *lineLimit) Run(event *zerolog.Event, level zerolog.Level, message string) {
	if !l.allow(lineKind{message: message, failure: level >= zerolog.WarnLevel}, time.Now()) {
		event.Discard()
		l.onSuppressed()
	}
}

// allow reports whether a line of the kind may be written now.
func (l *lineLimit) allow(kind lineKind, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, found := l.kinds[kind]
	if !found {
		perSecond := linesPerSecond
		if kind.failure {
			perSecond = failuresPerSecond
		}
		state = &lineKindState{limiter: rate.NewLimiter(rate.Limit(perSecond), burstSeconds*perSecond)}
		l.kinds[kind] = state
	}
	if state.limiter.AllowN(now, 1) {
		return true
	}
	state.suppressed++
	return false
}

// drainSuppressed returns the number of suppressed lines for each message since the last call.
func (l *lineLimit) drainSuppressed() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[string]int)
	for kind, state := range l.kinds {
		if state.suppressed > 0 {
			counts[kind.message] += state.suppressed
			state.suppressed = 0
		}
	}
	return counts
}

// report periodically logs the numbers of suppressed lines until ctx ends.
func (l *lineLimit) report(ctx context.Context, logger zerolog.Logger) {
	for retry.Sleep(ctx, suppressedReportPeriod) {
		for message, count := range l.drainSuppressed() {
			logger.Warn().Str("left_out", message).Int("lines", count).Msg("log lines suppressed")
		}
	}
}
